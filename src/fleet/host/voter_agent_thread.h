// The voter agent on a thread of its own, which may block on the disk for as long as that takes.
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
    // `on_effect` is called on the loop. `config` and `files` must outlive the thread.
    VoterAgentThread(event_base* base, const FleetConfig& config, FileSystem& files, uint64_t seed,
                     std::function<void(VoterAgentEffect)> on_effect);
    // Waits for the thread to end.
    ~VoterAgentThread();
    VoterAgentThread(const VoterAgentThread&) = delete;
    VoterAgentThread& operator=(const VoterAgentThread&) = delete;

    // To be called on the loop. Where the disk does not answer for long, the oldest calls are dropped.
    void call(VoterAgentCall call);

  private:
    // On the thread.
    void run(uint64_t seed);
    std::deque<VoterAgentCall> wait_for_calls(Duration at_most);
    void post(std::vector<VoterAgentEffect> effects);

    // On the loop.
    void deliver();

    const FleetConfig& config_;
    FileSystem& files_;
    std::function<void(VoterAgentEffect)> on_effect_;
    Descriptor wakeup_;
    EventPtr wakeup_event_;
    std::mutex mutex_;  // guards what follows
    std::condition_variable calls_changed_;
    std::deque<VoterAgentCall> calls_;
    std::deque<VoterAgentEffect> effects_;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace firtide::fleet
