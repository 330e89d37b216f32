// Requests for the list of upstreams by a large fleet, in virtual time: a discovery service that answers in
// turn must not be asked so often that answers come too late.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "balancer_host.h"

namespace firtide
{
namespace
{

constexpr Duration work_of_call = seconds(0.02);
constexpr Duration max_wait_for_answer = seconds(2);    // a later answer is lost, and its work with it
constexpr Duration change_in_force_after = seconds(6);  // from when discovery had it and could be reached
constexpr TimePoint outage_begins{100'000'000}, outage_ends{108'000'000};

class EventQueue
{
  public:
    void schedule(TimePoint at, std::function<void()> action) { events_.emplace(at, std::move(action)); }
    TimePoint now() const { return now_; }
    void run_until(TimePoint end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        now_ = end;
    }

  private:
    TimePoint now_{0};
    std::multimap<TimePoint, std::function<void()>> events_;
};

// Works off all calls in their order, also those whose callers have given up; silent during the outage.
class Discovery
{
  public:
    explicit Discovery(EventQueue& events) : events_(events) {}

    void ask(std::function<void(bool answered)> on_result)
    {
        const TimePoint now = events_.now();
        const bool reachable = now < outage_begins || now >= outage_ends;
        if (reachable) idle_from_ = std::max(idle_from_, now) + work_of_call;
        const bool in_time = reachable && idle_from_ - now <= max_wait_for_answer;
        if (reachable && now >= outage_ends && !in_time) ++late_answers_;
        events_.schedule(in_time ? idle_from_ : now + max_wait_for_answer,
                         [in_time, on_result = std::move(on_result)] { on_result(in_time); });
    }
    int late_answers() const { return late_answers_; }

  private:
    EventQueue& events_;
    TimePoint idle_from_{0};
    int late_answers_ = 0;  // since the end of the outage
};

// A balancer that only asks for the list, and was started with an older one.
class Member : private BalancerDelegate
{
  public:
    Member(EventQueue& events, Discovery& discovery, uint32_t fleet_size, uint64_t seed)
        : events_(events),
          discovery_(discovery),
          balancer_(make_settings(fleet_size), seed, *this),
          started_(events.now())
    {
        balancer_.start(started_);
        balancer_.set_endpoints(started_, {{0, 0, EndpointPhase::ready, {}, 1, {}}});
    }

    // Discovery has gone down.
    void break_watch()
    {
        if (!std::exchange(informed_at_, std::nullopt)) return;
        balancer_.on_endpoint_list_fetched(events_.now(), false);
    }
    TimePoint started() const { return started_; }
    std::optional<TimePoint> informed_at() const { return informed_at_; }

  private:
    static Settings make_settings(uint32_t fleet_size)
    {
        auto settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent));
        settings.must_watch_endpoint_list = true;
        settings.balancer_count = fleet_size;
        return settings;
    }

    void watch_endpoint_list() override
    {
        discovery_.ask([this](bool answered) {
            if (answered) informed_at_ = events_.now();
            balancer_.on_endpoint_list_fetched(events_.now(), answered);
        });
    }
    void start_timer(TimePoint at, uint64_t timer) override
    {
        events_.schedule(at, [this, timer] { balancer_.on_timer_fired(events_.now(), timer); });
    }
    void forward(InvocationId, UpstreamId, Duration) override {}
    void throttle(InvocationId, Duration) override {}
    void fail(InvocationId) override {}
    void cancel_forward(InvocationId, uint32_t) override {}
    void set_forward_timeout(InvocationId, uint32_t, Duration) override {}
    void release_invocation(InvocationId) override {}
    void probe(UpstreamId) override {}
    void close_idle_connections(UpstreamId) override {}
    void broadcast(const std::string&) override {}

    EventQueue& events_;
    Discovery& discovery_;
    std::optional<TimePoint> informed_at_;
    Balancer balancer_;
    TimePoint started_;
};

class Fleet
{
  public:
    Fleet(uint32_t size, uint64_t seed) : size_(size), seed_(seed) { add_members(size); }

    void add_members(uint32_t count)
    {
        for (uint32_t i = 0; i < count; ++i)
            members_.emplace_back(events_, discovery_, size_, seed_ * 1000 + members_.size());
    }
    void break_watches()
    {
        for (Member& member : members_) member.break_watch();
    }
    void break_watch(size_t member) { members_[member].break_watch(); }
    std::optional<TimePoint> informed_at(size_t member) const { return members_[member].informed_at(); }
    void run_until(TimePoint end) { events_.run_until(end); }
    int late_answers() const { return discovery_.late_answers(); }
    // Members that did not get the list within the term.
    int uninformed_members() const
    {
        return static_cast<int>(std::count_if(members_.begin(), members_.end(), [](const Member& member) {
            const TimePoint reachable = std::max(member.started(), outage_ends);
            return !member.informed_at() || *member.informed_at() - reachable > change_in_force_after;
        }));
    }

  private:
    const uint32_t size_;
    const uint64_t seed_;
    EventQueue events_;
    Discovery discovery_{events_};
    std::deque<Member> members_;
};

class ListRequests : public testing::TestWithParam<uint64_t>
{
};

// Guards against a fleet that asks more often than discovery can answer after an outage, while members
// restart: the answers come too late, everyone asks again, and nobody learns of a drain in time.
TEST_P(ListRequests, OfALargeFleetAreAllAnsweredAfterAnOutage)
{
    Fleet fleet(220, GetParam());
    fleet.run_until(outage_begins);
    fleet.break_watches();
    fleet.run_until(outage_ends + seconds(1.5));
    fleet.add_members(33);
    fleet.run_until(outage_ends + seconds(3.5));
    fleet.add_members(33);
    fleet.run_until(outage_ends + seconds(20));
    EXPECT_EQ(fleet.late_answers(), 0);
    EXPECT_EQ(fleet.uninformed_members(), 0);
}

// Guards against a spread that lets one broken watch wait: it takes 2.5 s to notice, of the 6 s in all.
TEST_P(ListRequests, OfOneMemberAreRepeatedSoonAfterItsWatchBreaks)
{
    Fleet fleet(220, GetParam());
    const TimePoint broken_at = TimePoint{} + seconds(50);
    fleet.run_until(broken_at);
    fleet.break_watch(7);
    fleet.run_until(broken_at + seconds(20));
    ASSERT_TRUE(fleet.informed_at(7));
    EXPECT_LT(*fleet.informed_at(7) - broken_at, seconds(3.5));
}

INSTANTIATE_TEST_SUITE_P(Seeds, ListRequests, testing::Range<uint64_t>(1, 11));

}  // namespace
}  // namespace firtide
