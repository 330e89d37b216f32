// A member on a real loop: hands the fleet its events and carries out its effects. All that it does for a
// duty authorize one gate here, with the clock read right before it.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "fleet.h"
#include "src/fleet/transport/duty_notifier.h"
#include "src/fleet/transport/peers.h"

namespace firtide::fleet
{

// Why a fleet file cannot be used here.
struct CannotStart : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The voter agent on a thread of its own, which may wait for the disk as long as it takes.
class VoterAgentThread
{
  public:
    // said: called on the loop.
    VoterAgentThread(event_base* base, const FleetConfig& file, FileSystem& files, uint64_t seed,
                     std::function<void(VoterAgentEffect)> said);
    ~VoterAgentThread();

    void call(CallVoterAgent call);

  private:
    void run(uint64_t seed);
    void out(std::vector<VoterAgentEffect> effects);
    void heard();

    const FleetConfig& file_;
    FileSystem& files_;
    std::function<void(VoterAgentEffect)> said_;
    Descriptor wakes_loop_;
    Timer waking_;
    std::mutex mutex_;
    std::condition_variable more_;
    std::deque<CallVoterAgent> calls_;
    std::deque<VoterAgentEffect> effects_;
    bool stop_ = false;
    std::thread thread_;
};

// Writes snapshots, the newest at a time, on a thread of its own: encoding and the disk cost the loop
// nothing.
class SnapshotWriter
{
  public:
    SnapshotWriter(FileSystem& files, std::string boot);
    ~SnapshotWriter();
    void keep(MemberSnapshot memory);
    std::string trouble();  // of the last write; empty: none

  private:
    void run();

    FileSystem& files_;
    const std::string boot_;
    std::mutex mutex_;
    std::condition_variable more_;
    std::optional<MemberSnapshot> next_;
    std::string trouble_;
    bool stop_ = false;
    std::thread thread_;
};

class Host
{
  public:
    // What the balancer round it does. Each may be empty.
    struct Hooks {
        std::function<void(uint64_t caller, const std::string& text)> reply;
        std::function<void(bool on)> ask_discovery;
        std::function<void(const ApplyEndpointList&)> use_list;
        std::function<void(const StartProbes&, const std::string& duty, Epoch epoch)> probe;
        std::function<void(const ApplyProbeReports&)> use_reports;
        std::function<void()> drain, resume;
        std::function<void(ApplySubsetPeers&)> use_fleet;
        std::function<void(ApplyOutlierReports&)> use_signals;
        std::function<void(ApplySnapshot&)> use_memory;
        std::function<void(const ApplyFleetState&)> use_state;
        std::function<void(ApplyQuotas&)> use_parts;  // its points are of fleet_now()
    };

    // Makes or opens the member's folder; throws CannotStart where that, or the address, cannot be had.
    Host(event_base* base, FleetConfig file, const std::string& path, Hooks hooks);
    ~Host();

    void start();
    void tell(FleetEvent event);
    // The gate, for what leaves later than it was ordered.
    bool authorize(const std::string& duty, Epoch epoch, Span lasts = {});
    const FleetConfig& file() const { return file_; }
    const Fleet& fleet() const { return fleet_; }
    const TrafficCounts& traffic() const { return peers_.counts(); }

    // Checks the folder of a fleet file as a start would, and lets go of it.
    static void check(const FleetConfig& file, const std::string& path);

  private:
    static Directory open(const FleetConfig& file, const std::string& path);
    Incarnation next_incarnation();
    void keep_incarnation();
    SnapshotLoaded recall();
    void carry_out(FleetEffect& effect);
    void act(const LeasedEffect& act);
    void note(const LogEvent& noted);
    void tick();

    event_base* base_;
    const FleetConfig file_;
    Hooks hooks_;
    Directory folder_;
    const InstanceId instance_;
    Incarnation kept_ = 0;
    Fleet fleet_;
    Peers peers_;
    DutyNotifier duty_notifier_;
    std::unique_ptr<VoterAgentThread> voter_agent_;
    std::unique_ptr<SnapshotWriter> keeper_;
    std::string kept_trouble_;
    Timer ticking_;
    std::deque<FleetEvent> events_;
    bool reducing_ = false;
    uint64_t stopped_at_gate_ = 0;
};

// The fleet's clock: goes on while the machine is suspended.
Point fleet_now();

}  // namespace firtide::fleet
