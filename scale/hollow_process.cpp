#include "hollow_process.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

#include "line_stream.h"
#include "src/fleet/host/commands.h"
#include "src/fleet/host/host.h"
#include "src/io/log.h"
#include "src/net/discovery.h"
#include "traffic_meter.h"

namespace firtide::scale
{
namespace
{

constexpr Duration max_timer_delay = seconds(0.05);  // of a start; beyond it the process is overloaded
constexpr Duration leave_timeout = seconds(0.3);     // to send the last messages

class HollowMember
{
  public:
    using Report = std::function<void(const HollowReport&)>;

    HollowMember(event_base* base, const net::Config& config, fleet::FleetConfig file, std::string path,
                 Report report)
        : base_(base),
          config_(config),
          file_(std::move(file)),
          path_(std::move(path)),
          report_(std::move(report))
    {
        leave_timer_.reset(evtimer_new(
            base, [](evutil_socket_t, short, void* self) { static_cast<HollowMember*>(self)->stop(); },
            this));
    }
    HollowMember(const HollowMember&) = delete;

    void join()
    {
        if (host_) stop();
        fleet::Host::Hooks hooks;
        hooks.apply_endpoint_list = [this](const fleet::ApplyEndpointList& list) {
            report_(ListInForce{file_.self, list.version, fleet::fleet_now()});
        };
        hooks.set_discovery_polling = [this](bool on) { set_discovery_polling(on); };
        host_.emplace(base_, file_, path_, std::move(hooks));
        host_->start();
    }

    void leave()
    {
        if (!host_) return;
        host_->notify(fleet::ShutdownRequested{});
        const auto wait = to_timeval(leave_timeout);
        event_add(leave_timer_.get(), &wait);
    }

    MemberTraffic traffic() const
    {
        return {file_.self, host_ ? sum(previous_traffic_, host_->traffic()) : previous_traffic_};
    }

    void add_to(HollowView& view) const
    {
        if (!host_) return;
        const auto& seen = host_->fleet();
        const auto alive = static_cast<uint32_t>(seen.membership().alive_count());
        uint32_t held = 0;
        for (const auto& duty : file_.duties)
            held += seen.lease_client().table().entry(duty.name).holder != 0;
        view.min_alive = view.members == 0 ? alive : std::min(view.min_alive, alive);
        view.duties_held = view.members == 0 ? held : std::min(view.duties_held, held);
        view.with_leader += seen.lease_client().leader().has_value();
        ++view.members;
    }

  private:
    void stop()
    {
        event_del(leave_timer_.get());
        if (!host_) return;
        previous_traffic_ = sum(previous_traffic_, host_->traffic());
        discovery_.reset();
        host_.reset();
    }

    // The holder of the list duty polls discovery, as in a balancer.
    void set_discovery_polling(bool on)
    {
        if (!discovery_) make_discovery();
        if (on)
            discovery_->start_polling();
        else
            discovery_->stop_polling();
    }

    void make_discovery()
    {
        discovery_.emplace(base_, config_, TimePoint{}, [](const net::Event&) {});
        const auto source = net::to_string(config_.discovery);
        if (file_.endpoint_deltas)
            return discovery_->set_entries_callback([this, source](uint64_t version, auto lines, auto uids) {
                host_->notify(
                    fleet::EndpointListFetched{source, version, "", std::move(lines), std::move(uids)});
            });
        discovery_->set_list_callback([this, source](uint64_t version, std::string text) {
            host_->notify(fleet::EndpointListFetched{source, version, std::move(text), nullptr, {}});
        });
    }

    event_base* base_;
    const net::Config& config_;
    const fleet::FleetConfig file_;
    const std::string path_;
    const Report report_;
    fleet::TrafficCounts previous_traffic_;  // before the last join
    std::optional<fleet::Host> host_;
    std::optional<net::Discovery> discovery_;
    EventPtr leave_timer_;
};

class HollowProcess
{
  public:
    explicit HollowProcess(const HollowSpec& spec)
        : first_member_(spec.first_member),
          start_interval_(spec.start_interval),
          config_(net::read_config(spec.config_path)),
          base_(event_base_new()),
          controller_(
              base_.get(), STDIN_FILENO, [this](std::string_view line) { execute(line); },
              [this] { event_base_loopbreak(base_.get()); })
    {
        // Read once; the copies of the members differ only in identity, address and data directory.
        const auto file = fleet::read_fleet_config(spec.fleet_path);
        for (size_t index = 0; index < spec.data_folders.size(); ++index) {
            fleet::FleetConfig own = file;
            own.self = spec.first_member + static_cast<fleet::MemberIndex>(index);
            own.id = own.members[own.self].id;
            own.listen = own.members[own.self].address;
            own.data_directory = spec.data_folders[index];
            members_.push_back(std::make_unique<HollowMember>(
                base_.get(), config_, std::move(own), spec.fleet_path,
                [this](const HollowReport& report) { controller_.write(encode(report)); }));
        }
    }

    void run()
    {
        start_timer_.reset(event_new(
            base_.get(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<HollowProcess*>(self)->start_next(); },
            this));
        const auto interval = to_timeval(start_interval_);
        start_due_ = monotonic_now() + start_interval_;
        event_add(start_timer_.get(), &interval);
        event_base_dispatch(base_.get());
    }

  private:
    // Skips a start while this process falls behind.
    void start_next()
    {
        const TimePoint now = monotonic_now();
        const bool late = now - start_due_ > max_timer_delay;
        start_due_ = now + start_interval_;
        if (late) return;
        if (members_started_ < members_.size()) members_[members_started_++]->join();
        if (members_started_ < members_.size()) return;
        event_del(start_timer_.get());
        controller_.write(encode(Started{}));
    }

    HollowMember* member(uint32_t index) const
    {
        const bool own = index >= first_member_ && index - first_member_ < members_.size();
        return own ? members_[index - first_member_].get() : nullptr;
    }

    void execute(std::string_view line)
    {
        const auto command = decode_command(line);
        if (!command) return;
        if (std::holds_alternative<SampleTraffic>(*command)) return report_traffic();
        if (std::holds_alternative<ShowView>(*command)) return report_view();
        if (const auto* leave = std::get_if<Leave>(&*command)) {
            if (auto* target = member(leave->member)) target->leave();
        } else if (const auto* join = std::get_if<Join>(&*command)) {
            if (auto* target = member(join->member)) target->join();
        }
    }

    void report_traffic()
    {
        for (const auto& hollow : members_) controller_.write(encode(hollow->traffic()));
        controller_.write(encode(TrafficSampled{}));
    }

    void report_view()
    {
        HollowView view;
        for (const auto& hollow : members_) hollow->add_to(view);
        controller_.write(encode(view));
    }

    const uint32_t first_member_;
    const Duration start_interval_;
    const net::Config config_;
    EventBasePtr base_;
    LineStream controller_;
    std::vector<std::unique_ptr<HollowMember>> members_;
    EventPtr start_timer_;
    TimePoint start_due_;
    size_t members_started_ = 0;
};

}  // namespace

int run_hollow_process(const std::string& spec_path)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Ctrl-C is sent to the whole process group, but only the controller decides when this process ends.
    std::signal(SIGINT, SIG_IGN);
    std::ifstream file(spec_path);
    std::stringstream text;
    text << file.rdbuf();
    const auto spec = decode_spec(text.str());
    if (!spec) {
        std::fprintf(stderr, "firtide-scale: %s: is not a valid specification of hollow members\n",
                     spec_path.c_str());
        return 2;
    }
    try {
        init_logging("hollow", "error");
        HollowProcess(*spec).run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "firtide-scale: %s\n", e.what());
        return 2;
    }
    return 0;
}

}  // namespace firtide::scale
