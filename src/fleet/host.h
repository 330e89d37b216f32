// A member on a real loop: hands the fleet its events and carries out its effects. All that it does for a
// duty passes one gate here, with the clock read right before it.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "duty_notifier.h"
#include "fleet.h"
#include "peers.h"

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
    VoterAgentThread(event_base* base, const FleetFile& file, Files& files, uint64_t seed,
                     std::function<void(VoterAgentEffect)> said);
    ~VoterAgentThread();

    void call(CallVoterAgent call);

  private:
    void run(uint64_t seed);
    void out(std::vector<VoterAgentEffect> effects);
    void heard();

    const FleetFile& file_;
    Files& files_;
    std::function<void(VoterAgentEffect)> said_;
    net::Descriptor wakes_loop_;
    net::Timer waking_;
    std::mutex mutex_;
    std::condition_variable more_;
    std::deque<CallVoterAgent> calls_;
    std::deque<VoterAgentEffect> effects_;
    bool stop_ = false;
    std::thread thread_;
};

// Writes snapshots, the newest at a time, on a thread of its own: encoding and the disk cost the loop
// nothing.
class Keeper
{
  public:
    Keeper(Files& files, std::string boot);
    ~Keeper();
    void keep(Memory memory);
    std::string trouble();  // of the last write; empty: none

  private:
    void run();

    Files& files_;
    const std::string boot_;
    std::mutex mutex_;
    std::condition_variable more_;
    std::optional<Memory> next_;
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
        std::function<void(const UseList&)> use_list;
        std::function<void(const ProbeNow&, const std::string& duty, Epoch epoch)> probe;
        std::function<void(const UseReports&)> use_reports;
        std::function<void()> drain, resume;
        std::function<void(UseFleet&)> use_fleet;
        std::function<void(UseSignals&)> use_signals;
        std::function<void(UseMemory&)> use_memory;
        std::function<void(const UseState&)> use_state;
        std::function<void(UseParts&)> use_parts;  // its points are of fleet_now()
    };

    // Makes or opens the member's folder; throws CannotStart where that, or the address, cannot be had.
    Host(event_base* base, FleetFile file, const std::string& path, Hooks hooks);
    ~Host();

    void start();
    void tell(FleetEvent event);
    // The gate, for what leaves later than it was ordered.
    bool passes(const std::string& duty, Epoch epoch, Span lasts = {});
    const FleetFile& file() const { return file_; }
    const Fleet& fleet() const { return fleet_; }
    const TrafficCounts& traffic() const { return peers_.counts(); }

    // Checks the folder of a fleet file as a start would, and lets go of it.
    static void check(const FleetFile& file, const std::string& path);

  private:
    static Folder open(const FleetFile& file, const std::string& path);
    Incarnation next_incarnation();
    void keep_incarnation();
    Recalled recall();
    void carry_out(FleetEffect& effect);
    void act(const Act& act);
    void note(const Noted& noted);
    void tick();

    event_base* base_;
    const FleetFile file_;
    Hooks hooks_;
    Folder folder_;
    const Life life_;
    Incarnation kept_ = 0;
    Fleet fleet_;
    Peers peers_;
    DutyNotifier duty_notifier_;
    std::unique_ptr<VoterAgentThread> voter_agent_;
    std::unique_ptr<Keeper> keeper_;
    std::string kept_trouble_;
    net::Timer ticking_;
    std::deque<FleetEvent> events_;
    bool reducing_ = false;
    uint64_t stopped_at_gate_ = 0;
};

// The fleet's clock: goes on while the machine is suspended.
Point fleet_now();

}  // namespace firtide::fleet
