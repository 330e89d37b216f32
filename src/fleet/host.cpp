#include "host.h"

#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "src/io/log.h"

namespace firtide::fleet
{
namespace
{

constexpr const char* incarnation_file = "member";
constexpr Span tick_every = seconds(0.05), voter_tick_every = seconds(0.02);

struct MemberRecord {
    std::string fleet, member;
    Incarnation incarnation = 0;
    MSGPACK_DEFINE(fleet, member, incarnation)
};

// Of the machine since its start.
std::string boot_id()
{
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    std::getline(file, id);
    return id;
}

uint64_t draw()
{
    std::random_device device;
    return uint64_t{device()} << 32 | device();
}

}  // namespace

Point fleet_now()
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return {int64_t{at.tv_sec} * 1'000'000 + at.tv_nsec / 1000};
}

VoterAgentThread::VoterAgentThread(event_base* base, const FleetConfig& file, FileSystem& files,
                                   uint64_t seed, std::function<void(VoterAgentEffect)> said)
    : file_(file), files_(files), said_(std::move(said)), wakes_loop_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    waking_.reset(event_new(
        base, wakes_loop_.fd(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<VoterAgentThread*>(self)->heard(); }, this));
    event_add(waking_.get(), nullptr);
    thread_ = std::thread([this, seed] { run(seed); });
}

VoterAgentThread::~VoterAgentThread()
{
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    more_.notify_one();
    thread_.join();
}

void VoterAgentThread::call(CallVoterAgent call)
{
    {
        const std::lock_guard lock(mutex_);
        // Guards against a disk that does not answer for minutes: nothing that old is wanted any more.
        if (calls_.size() > 4096) calls_.pop_front();
        calls_.push_back(std::move(call));
    }
    more_.notify_one();
}

void VoterAgentThread::out(std::vector<VoterAgentEffect> effects)
{
    if (effects.empty()) return;
    {
        const std::lock_guard lock(mutex_);
        for (VoterAgentEffect& e : effects) effects_.push_back(std::move(e));
    }
    const uint64_t one = 1;
    (void)!write(wakes_loop_.fd(), &one, sizeof one);
}

void VoterAgentThread::heard()
{
    uint64_t count = 0;
    (void)!read(wakes_loop_.fd(), &count, sizeof count);
    std::deque<VoterAgentEffect> effects;
    {
        const std::lock_guard lock(mutex_);
        effects.swap(effects_);
    }
    for (VoterAgentEffect& e : effects) said_(std::move(e));
}

void VoterAgentThread::run(uint64_t seed)
{
    VoterAgent voter_agent(file_, files_, VoterTimes{}, seed);
    out(voter_agent.start(fleet_now()));
    Point tick = fleet_now();
    std::unique_lock lock(mutex_);
    while (!stop_) {
        const Span wait = tick + voter_tick_every - fleet_now();
        if (calls_.empty() && wait > Span{}) more_.wait_for(lock, std::chrono::microseconds(wait.us));
        if (stop_) break;
        std::deque<CallVoterAgent> calls;
        calls.swap(calls_);
        lock.unlock();
        for (CallVoterAgent& c : calls) {
            const Point now = fleet_now();
            out(voter_agent.handle(now, c.call));
        }
        if (const Point now = fleet_now(); now - tick >= voter_tick_every) {
            tick = now;
            out(voter_agent.tick(now));
        }
        lock.lock();
    }
}

SnapshotWriter::SnapshotWriter(FileSystem& files, std::string boot) : files_(files), boot_(std::move(boot))
{
    thread_ = std::thread([this] { run(); });
}

SnapshotWriter::~SnapshotWriter()
{
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    more_.notify_one();
    thread_.join();
}

void SnapshotWriter::keep(MemberSnapshot memory)
{
    {
        const std::lock_guard lock(mutex_);
        next_ = std::move(memory);
    }
    more_.notify_one();
}

std::string SnapshotWriter::trouble()
{
    const std::lock_guard lock(mutex_);
    return trouble_;
}

void SnapshotWriter::run()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        more_.wait(lock, [this] { return stop_ || next_; });
        if (stop_) return;
        MemberSnapshot memory = std::move(*std::exchange(next_, std::nullopt));
        lock.unlock();
        memory.boot = boot_;
        const auto error = files_.replace(snapshot_file, encode_member_snapshot(memory));
        lock.lock();
        trouble_ = error ? error.message() : "";
    }
}

Directory Host::open(const FleetConfig& file, const std::string& path)
{
    const std::string where = path + ": fleet.data: " + file.data + ": ";
    std::optional<Directory> folder;
    if (const auto error = Directory::open(file.data, folder))
        throw CannotStart(
            where + (error == std::errc::operation_would_block ? "another process has it" : error.message()));
    std::optional<std::string> text;
    if (const auto error = folder->read(incarnation_file, text)) throw CannotStart(where + error.message());
    if (text) {
        const auto record = unpack<MemberRecord>(*text);
        if (record && (record->fleet != file.name || record->member != file.id))
            throw CannotStart(where + "is the folder of member '" + record->member + "' of fleet '" +
                              record->fleet + "'");
    }
    if (const auto error = folder->replace("writable", "")) throw CannotStart(where + error.message());
    return std::move(*folder);
}

void Host::check(const FleetConfig& file, const std::string& path) { (void)open(file, path); }

Incarnation Host::next_incarnation()
{
    std::optional<std::string> text;
    (void)folder_.read(incarnation_file, text);
    const auto record = text ? unpack<MemberRecord>(*text) : std::nullopt;
    return (record ? record->incarnation : 0) + 1;
}

// A disk that fails costs no more than that others have to be asked how far it had come.
void Host::keep_incarnation()
{
    if (fleet_.incarnation() == kept_) return;
    kept_ = fleet_.incarnation();
    if (const auto error = folder_.replace(incarnation_file, pack(MemberRecord{file_.name, file_.id, kept_})))
        note({"trouble", file_.id, "the incarnation is not kept: " + error.message(), 0, "", {}});
}

Host::Host(event_base* base, FleetConfig file, const std::string& path, Hooks hooks)
    : base_(base),
      file_(std::move(file)),
      hooks_(std::move(hooks)),
      folder_(open(file_, path)),
      instance_(draw() | 1),
      fleet_(file_, instance_, next_incarnation(), draw()),
      peers_(base, file_, instance_, draw(),
             [this](MemberIndex from, Message m) {
                 tell(MessageReceived{from, std::move(m)});
             }),
      duty_notifier_(base, [this](const std::string& duty, Epoch epoch) {
          tell(EffectRefused{duty, epoch});
      })
{
    keep_incarnation();
    ticking_.reset(event_new(
        base_, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<Host*>(self)->tick(); },
        this));
}

Host::~Host() = default;

void Host::start()
{
    if (file_.members[file_.self].voter)
        voter_agent_ = std::make_unique<VoterAgentThread>(
            base_, file_, folder_, draw(),
            [this](VoterAgentEffect e) { tell(VoterAgentReported{std::move(e)}); });
    if (file_.recovery) {
        tell(recall());
        keeper_ = std::make_unique<SnapshotWriter>(folder_, boot_id());
    }
    tell(StartupEvent{});
    const auto every = to_timeval(tick_every);
    event_add(ticking_.get(), &every);
}

SnapshotLoaded Host::recall()
{
    std::optional<std::string> bytes;
    if (const auto error = folder_.read(snapshot_file, bytes))
        return {"it cannot be read: " + error.message(), {}};
    if (!bytes) return {};
    auto decoded = decode_member_snapshot(*bytes);
    if (auto* why = std::get_if<std::string>(&decoded)) return {std::move(*why), {}};
    auto& memory = std::get<MemberSnapshot>(decoded);
    // The boot clock goes on as long as the machine does; wall clocks are not asked.
    std::optional<Span> ago;
    if (const Span since{fleet_now().us - memory.boot_us}; memory.boot == boot_id() && since >= Span{})
        ago = since;
    return {std::move(memory), ago};
}

void Host::tick()
{
    tell(Tick{});
    keep_incarnation();
    if (!keeper_) return;
    if (auto trouble = keeper_->trouble(); trouble != kept_trouble_) {
        kept_trouble_ = std::move(trouble);
        note({"trouble",
              file_.id,
              kept_trouble_.empty() ? "the snapshot is kept again"
                                    : "the snapshot is not kept: " + kept_trouble_,
              0,
              "",
              {}});
    }
}

// Events that come while effects are carried out wait for their turn.
void Host::tell(FleetEvent event)
{
    if (auto* asked = std::get_if<AdminRequest>(&event)) asked->traffic = peers_.counts();
    events_.push_back(std::move(event));
    if (reducing_) return;
    reducing_ = true;
    while (!events_.empty()) {
        FleetEvent next = std::move(events_.front());
        events_.pop_front();
        auto effects = fleet_.reduce(fleet_now(), std::move(next));
        for (FleetEffect& e : effects) carry_out(e);
    }
    reducing_ = false;
}

bool Host::authorize(const std::string& duty, Epoch epoch, Span lasts)
{
    LeasedEffect act;
    act.duty = duty, act.epoch = epoch, act.lasts = lasts;
    const bool well = fleet_.lease_allows(fleet_now(), act);
    stopped_at_gate_ += !well;
    return well;
}

void Host::act(const LeasedEffect& a)
{
    const auto gate = [&] { return authorize(a.duty, a.epoch, a.lasts); };
    if (const auto* told = std::get_if<fleet::NotifySubscriber>(&a.what))
        return duty_notifier_.tell(told->address, {a.duty, file_.id, a.epoch, told->number, told->left_ms},
                                   gate);
    if (!gate()) return;
    if (const auto* publish = std::get_if<Publish>(&a.what)) {
        for (const Send& s : publish->sends) peers_.send(s.to, s.message);
    } else if (const auto* probe = std::get_if<StartProbes>(&a.what)) {
        if (hooks_.probe) hooks_.probe(*probe, a.duty, a.epoch);
    } else if (hooks_.drain) {
        hooks_.drain();
    }
}

void Host::carry_out(FleetEffect& effect)
{
    if (auto* send = std::get_if<Send>(&effect)) return peers_.send(send->to, send->message);
    if (auto* call = std::get_if<CallVoterAgent>(&effect)) {
        if (voter_agent_) voter_agent_->call(std::move(*call));
        return;
    }
    if (auto* a = std::get_if<LeasedEffect>(&effect)) return act(*a);
    if (auto* noted = std::get_if<LogEvent>(&effect)) return note(*noted);
    if (auto* reply = std::get_if<Reply>(&effect)) {
        if (hooks_.reply) hooks_.reply(reply->caller, reply->text);
    } else if (auto* ask = std::get_if<SetDiscoveryPolling>(&effect)) {
        if (hooks_.ask_discovery) hooks_.ask_discovery(ask->on);
    } else if (auto* list = std::get_if<ApplyEndpointList>(&effect)) {
        if (hooks_.use_list) hooks_.use_list(*list);
    } else if (auto* reports = std::get_if<ApplyProbeReports>(&effect)) {
        if (hooks_.use_reports) hooks_.use_reports(*reports);
    } else if (auto* uses = std::get_if<ApplySubsetPeers>(&effect)) {
        if (hooks_.use_fleet) hooks_.use_fleet(*uses);
    } else if (auto* signals = std::get_if<ApplyOutlierReports>(&effect)) {
        if (hooks_.use_signals) hooks_.use_signals(*signals);
    } else if (auto* parts = std::get_if<ApplyQuotas>(&effect)) {
        if (hooks_.use_parts) hooks_.use_parts(*parts);
    } else if (auto* memory = std::get_if<ApplySnapshot>(&effect)) {
        if (hooks_.use_memory) hooks_.use_memory(*memory);
    } else if (auto* state = std::get_if<ApplyFleetState>(&effect)) {
        if (hooks_.use_state) hooks_.use_state(*state);
    } else if (auto* keep = std::get_if<WriteSnapshot>(&effect)) {
        if (keeper_) keeper_->keep(std::move(keep->memory));
    } else if (std::get_if<EndDrain>(&effect)) {
        if (hooks_.resume) hooks_.resume();
    }
}

// One line of JSON for each change that somebody may have to trace.
void Host::note(const LogEvent& n)
{
    if (!spdlog::should_log(spdlog::level::info)) return;
    nlohmann::ordered_json line{
        {"boot_us", fleet_now().us}, {"fleet", file_.name}, {"member", file_.id}, {"event", n.event}};
    if (n.event == "gained" || n.event == "lost") {
        line["duty"] = n.subject;
        line["epoch"] = n.epoch;
        line["until_us"] = n.until.us;
    } else {
        if (!n.subject.empty()) line["subject"] = n.subject;
        if (!n.health.empty()) line["health"] = n.health;
        if (n.epoch) line["number"] = n.epoch;
    }
    if (!n.why.empty()) line["why"] = n.why;
    log_line(line.dump());
}

}  // namespace firtide::fleet
