#include "voter_agent_thread.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include "fleet_clock.h"

namespace firtide::fleet
{
namespace
{

constexpr Duration tick_interval = seconds(0.02);
constexpr size_t max_calls = 4096;  // nobody waits for older ones any more

}  // namespace

VoterAgentThread::VoterAgentThread(event_base* base, const FleetConfig& config, FileSystem& files,
                                   uint64_t seed, std::function<void(VoterAgentEffect)> on_effect)
    : config_(config),
      files_(files),
      on_effect_(std::move(on_effect)),
      wakeup_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    const auto on_wakeup = [](evutil_socket_t, short, void* self) {
        static_cast<VoterAgentThread*>(self)->deliver();
    };
    wakeup_event_.reset(event_new(base, wakeup_.fd(), EV_READ | EV_PERSIST, on_wakeup, this));
    event_add(wakeup_event_.get(), nullptr);
    thread_ = std::thread([this, seed] { run(seed); });
}

VoterAgentThread::~VoterAgentThread()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    calls_changed_.notify_one();
    thread_.join();
}

void VoterAgentThread::call(VoterAgentCall call)
{
    {
        const std::lock_guard lock(mutex_);
        if (calls_.size() > max_calls) calls_.pop_front();
        calls_.push_back(std::move(call));
    }
    calls_changed_.notify_one();
}

void VoterAgentThread::post(std::vector<VoterAgentEffect> effects)
{
    if (effects.empty()) return;
    {
        const std::lock_guard lock(mutex_);
        for (VoterAgentEffect& effect : effects) effects_.push_back(std::move(effect));
    }
    const uint64_t one = 1;
    (void)!write(wakeup_.fd(), &one, sizeof one);
}

void VoterAgentThread::deliver()
{
    uint64_t count = 0;
    (void)!read(wakeup_.fd(), &count, sizeof count);
    std::deque<VoterAgentEffect> effects;
    {
        const std::lock_guard lock(mutex_);
        effects.swap(effects_);
    }
    for (VoterAgentEffect& effect : effects) on_effect_(std::move(effect));
}

// Returns early if calls are queued or the thread must stop.
std::deque<VoterAgentCall> VoterAgentThread::wait_for_calls(Duration timeout)
{
    std::unique_lock lock(mutex_);
    if (!stopping_ && calls_.empty() && timeout > Duration{})
        calls_changed_.wait_for(lock, std::chrono::microseconds(timeout.us));
    return std::exchange(calls_, {});
}

void VoterAgentThread::run(uint64_t seed)
{
    const auto is_stopping = [this] {
        const std::lock_guard lock(mutex_);
        return stopping_;
    };
    VoterAgent agent(config_, files_, VoterTiming{}, seed);
    post(agent.start(fleet_now()));
    TimePoint last_tick = fleet_now();
    while (!is_stopping()) {
        const auto calls = wait_for_calls(last_tick + tick_interval - fleet_now());
        if (is_stopping()) return;
        for (const VoterAgentCall& call : calls) post(agent.handle(fleet_now(), call));
        const TimePoint now = fleet_now();
        if (now - last_tick < tick_interval) continue;
        last_tick = now;
        post(agent.tick(now));
    }
}

}  // namespace firtide::fleet
