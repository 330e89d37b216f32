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

constexpr Duration longest_delay = seconds(0.05);  // of a start: then this process has too much to do
constexpr Duration leaves_within = seconds(0.3);   // for its last messages to go out

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
        leaving_.reset(evtimer_new(
            base, [](evutil_socket_t, short, void* self) { static_cast<HollowMember*>(self)->end(); }, this));
    }
    HollowMember(const HollowMember&) = delete;

    void join()
    {
        if (host_) end();
        fleet::Host::Hooks hooks;
        hooks.apply_endpoint_list = [this](const fleet::ApplyEndpointList& list) {
            report_(ListInForce{file_.self, list.version, fleet::fleet_now()});
        };
        hooks.set_discovery_polling = [this](bool on) { ask_discovery(on); };
        host_.emplace(base_, file_, path_, std::move(hooks));
        host_->start();
    }

    void leave()
    {
        if (!host_) return;
        host_->notify(fleet::ShutdownRequested{});
        const auto wait = to_timeval(leaves_within);
        event_add(leaving_.get(), &wait);
    }

    MemberTraffic traffic() const { return {file_.self, host_ ? sum(earlier_, host_->traffic()) : earlier_}; }

    void add_to(View& view) const
    {
        if (!host_) return;
        const auto& seen = host_->fleet();
        const auto alive = static_cast<uint32_t>(seen.membership().alive_count());
        uint32_t held = 0;
        for (const auto& duty : file_.duties)
            held += seen.lease_client().table().entry(duty.name).holder != 0;
        view.least_alive = view.members == 0 ? alive : std::min(view.least_alive, alive);
        view.duties_held = view.members == 0 ? held : std::min(view.duties_held, held);
        view.with_leader += seen.lease_client().leader().has_value();
        ++view.members;
    }

  private:
    void end()
    {
        event_del(leaving_.get());
        if (!host_) return;
        earlier_ = sum(earlier_, host_->traffic());
        discovery_.reset();
        host_.reset();
    }

    // The member that holds the list asks discovery, as a balancer would.
    void ask_discovery(bool on)
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
        if (file_.deltas)
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
    fleet::TrafficCounts earlier_;  // of its lives before this one
    std::optional<fleet::Host> host_;
    std::optional<net::Discovery> discovery_;
    EventPtr leaving_;
};

class HollowProcess
{
  public:
    explicit HollowProcess(const HollowSpec& spec)
        : first_(spec.first),
          start_every_(spec.start_every),
          config_(net::read_config(spec.config_path)),
          base_(event_base_new()),
          controller_(
              base_.get(), STDIN_FILENO, [this](std::string_view line) { obey(line); },
              [this] { event_base_loopbreak(base_.get()); })
    {
        // Read once; the members' own copies differ in who they are.
        const auto file = fleet::read_fleet_config(spec.fleet_path);
        for (size_t place = 0; place < spec.data_folders.size(); ++place) {
            fleet::FleetConfig own = file;
            own.self = spec.first + static_cast<fleet::MemberIndex>(place);
            own.id = own.members[own.self].id;
            own.listen = own.members[own.self].address;
            own.data = spec.data_folders[place];
            members_.push_back(std::make_unique<HollowMember>(
                base_.get(), config_, std::move(own), spec.fleet_path,
                [this](const HollowReport& report) { controller_.write(encode(report)); }));
        }
    }

    void run()
    {
        starting_.reset(event_new(
            base_.get(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) { static_cast<HollowProcess*>(self)->start_next(); },
            this));
        const auto every = to_timeval(start_every_);
        start_due_ = monotonic_now() + start_every_;
        event_add(starting_.get(), &every);
        event_base_dispatch(base_.get());
    }

  private:
    // Nobody is started while this process falls behind.
    void start_next()
    {
        const TimePoint now = monotonic_now();
        const bool late = now - start_due_ > longest_delay;
        start_due_ = now + start_every_;
        if (late) return;
        if (started_ < members_.size()) members_[started_++]->join();
        if (started_ < members_.size()) return;
        event_del(starting_.get());
        controller_.write(encode(Started{}));
    }

    HollowMember* member(uint32_t place) const
    {
        const bool own = place >= first_ && place - first_ < members_.size();
        return own ? members_[place - first_].get() : nullptr;
    }

    void obey(std::string_view line)
    {
        const auto command = decode_command(line);
        if (!command) return;
        if (std::holds_alternative<SampleTraffic>(*command)) return sample();
        if (std::holds_alternative<ShowView>(*command)) return show_view();
        if (const auto* leave = std::get_if<Leave>(&*command)) {
            if (auto* one = member(leave->member)) one->leave();
        } else if (const auto* join = std::get_if<Join>(&*command)) {
            if (auto* one = member(join->member)) one->join();
        }
    }

    void sample()
    {
        for (const auto& one : members_) controller_.write(encode(one->traffic()));
        controller_.write(encode(TrafficSampled{}));
    }

    void show_view()
    {
        View view;
        for (const auto& one : members_) one->add_to(view);
        controller_.write(encode(view));
    }

    const uint32_t first_;
    const Duration start_every_;
    const net::Config config_;
    EventBasePtr base_;
    LineStream controller_;
    std::vector<std::unique_ptr<HollowMember>> members_;
    EventPtr starting_;
    TimePoint start_due_;
    size_t started_ = 0;  // of the members
};

}  // namespace

int run_hollow_process(const std::string& spec_path)
{
    std::signal(SIGPIPE, SIG_IGN);
    // Ctrl-C reaches the whole group of processes; the controller alone decides when this one ends.
    std::signal(SIGINT, SIG_IGN);
    std::ifstream file(spec_path);
    std::stringstream text;
    text << file.rdbuf();
    const auto spec = decode_spec(text.str());
    if (!spec) {
        std::fprintf(stderr, "firtide-scale: %s: is no description of hollow members\n", spec_path.c_str());
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
