// Runs the voter agent on a separate thread, which may block on the disk.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "src/fleet/consensus/voter_agent.h"
#include "src/io/event.h"

namespace firtide::fleet
{

class VoterAgentThread
{
  public:
    // `on_effect` is called on the event loop. `config` and `files` must outlive the thread.
    VoterAgentThread(event_base* base, const FleetConfig& config, FileSystem& files, uint64_t seed,
                     std::function<void(VoterAgentEffect)> on_effect);
    // Stops and joins the thread.
    ~VoterAgentThread();
    VoterAgentThread(const VoterAgentThread&) = delete;
    VoterAgentThread& operator=(const VoterAgentThread&) = delete;

    // To be called on the event loop. While the disk blocks for long, the oldest calls are dropped.
    void call(VoterAgentCall call);

  private:
    // On the agent's thread.
    void run(uint64_t seed);
    std::deque<VoterAgentCall> wait_for_calls(Duration timeout);
    void post(std::vector<VoterAgentEffect> effects);

    // On the event loop.
    void deliver();

    const FleetConfig& config_;
    FileSystem& files_;
    std::function<void(VoterAgentEffect)> on_effect_;
    Descriptor wakeup_;
    EventPtr wakeup_event_;
    std::mutex mutex_;  // guards the members below
    std::condition_variable calls_changed_;
    std::deque<VoterAgentCall> calls_;
    std::deque<VoterAgentEffect> effects_;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace firtide::fleet
