// Events of the decision module that name what it was never shown, does not know any more, or cannot know:
// none of them has an effect, whatever the numbers.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <set>

#include "balancer_host.h"
#include "repeat_checker.h"
#include "src/balance/peer_message.h"
#include "src/base/random.h"

namespace firtide
{
namespace
{

constexpr uint32_t past_all = std::numeric_limits<uint32_t>::max();

LoadReport long_queue() { return {1000, 1000, 1, {}, {}}; }

class BalancerEvents : public testing::Test
{
  protected:
    BalancerEvents()
        : host_(BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent)))
    {
        host_.set_endpoints(4);
        host_.take_decisions();
    }

    void report(UpstreamId upstream_id, const LoadReport& report)
    {
        host_.balancer.on_probe_completed(host_.now, upstream_id, AttemptResult::succeeded, report);
    }
    double reduction(UpstreamId upstream_id) { return host_.balancer.reduction(host_.now, upstream_id); }

    BalancerHost host_;
};

// Guards against a report that is written past the end of the module's list.
TEST_F(BalancerEvents, ReportsOfUnknownUpstreamsHaveNoEffect)
{
    for (const UpstreamId unknown : {4u, 5u, 400u, max_upstreams, past_all}) {
        report(unknown, long_queue());
        EXPECT_EQ(reduction(unknown), 0);
    }
    // One between those that are known: an index that was skipped.
    host_.change_endpoint(9, EndpointPhase::ready);
    report(7, long_queue());
    EXPECT_EQ(reduction(7), 0);
    host_.change_endpoint(7, EndpointPhase::ready);
    EXPECT_EQ(reduction(7), 0) << "it was not known then";
}

// An overload that others have seen counts when the upstream is shown.
TEST_F(BalancerEvents, ReportsOfKnownUpstreamsCountWhileTheyAreGone)
{
    host_.change_endpoint(4, EndpointPhase::gone);
    report(4, long_queue());
    const double while_gone = reduction(4);
    EXPECT_GT(while_gone, 0);
    host_.change_endpoint(4, EndpointPhase::ready);
    EXPECT_EQ(reduction(4), while_gone);
    host_.change_endpoint(4, EndpointPhase::ready, host_.now);
    EXPECT_EQ(reduction(4), 0) << "it was another process";
}

// Guards against resets of a process that has ended counting for the one that took its place.
TEST_F(BalancerEvents, ResultsOfAProcessBeforeSayNothingOfTheNext)
{
    const auto reduction_after_resets = [](bool restarts) {
        BalancerHost host(
            BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::non_idempotent)));
        host.set_endpoints(1);
        for (const InvocationId id : {0u, 1u}) host.accept(id);
        host.advance_clock(seconds(0.1));
        if (restarts) host.change_endpoint(0, EndpointPhase::ready, host.now);
        for (const InvocationId id : {0u, 1u}) host.end_attempt(id, AttemptResult::reset);
        return host.balancer.reduction(host.now, 0);
    };
    EXPECT_GT(reduction_after_resets(false), 0);
    EXPECT_EQ(reduction_after_resets(true), 0);
}

// Guards against upstreams that are known and hidden taking the places of those that may be used while they
// warm up.
TEST_F(BalancerEvents, UpstreamsThatWereAlwaysGoneChangeNoChoice)
{
    BalancerHost host(BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent)));
    for (UpstreamId hidden = 0; hidden < 100; ++hidden) host.change_endpoint(hidden, EndpointPhase::gone);
    for (const UpstreamId warming : {100u, 101u}) {
        host.change_endpoint(warming, EndpointPhase::ready, host.now);
        host.balancer.on_probe_completed(host.now, warming, AttemptResult::succeeded, {0, {}, {}, {}, {}});
    }
    host.advance_clock(seconds(10));
    EXPECT_EQ(host.send_many(100, AttemptResult::succeeded, ~0u, seconds(0.1)).size(), 2u);
}

TEST_F(BalancerEvents, ReportsThatNoUpstreamCanMeanHaveNoEffect)
{
    for (const double value : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 1e300}) {
        report(1, {value, value, value, value, value});
        EXPECT_EQ(reduction(1), 0) << value;
    }
    EXPECT_EQ(host_.send_many(400).size(), 4u) << "all are used";
}

TEST_F(BalancerEvents, EventsOfUnknownInvocationsHaveNoEffect)
{
    host_.accept(0);
    host_.take_decisions();
    const auto expect_nothing = [&](InvocationId invocation, uint32_t forward) {
        SCOPED_TRACE(std::to_string(invocation) + ", forward " + std::to_string(forward));
        host_.balancer.on_response_begun(host_.now, invocation, forward);
        host_.balancer.on_response_stalled(host_.now, invocation, forward);
        host_.balancer.on_forward_ended(host_.now, invocation, forward, AttemptResult::succeeded,
                                        seconds(0.1), true, long_queue());
        EXPECT_TRUE(host_.take_decisions().empty());
    };
    expect_nothing(0, 1);
    expect_nothing(0, past_all);
    for (const InvocationId unknown : {1u, max_invocations, past_all}) {
        expect_nothing(unknown, 0);
        host_.balancer.on_client_disconnected(host_.now, unknown);
        host_.balancer.on_request_complete(host_.now, unknown, seconds(1));
        EXPECT_TRUE(host_.take_decisions().empty());
    }
    host_.end_attempt(0, AttemptResult::succeeded);
    EXPECT_EQ(host_.take_decisions(), (Decisions{decision::Released{0}}));
    expect_nothing(0, 0);
    host_.balancer.on_client_disconnected(host_.now, 0);
    EXPECT_TRUE(host_.take_decisions().empty()) << "it is released once";
}

TEST_F(BalancerEvents, InvocationsThatCannotBeRoutedFailAtOnce)
{
    const auto accept = [&](InvocationId invocation, uint32_t operation) {
        host_.balancer.accept(host_.now, invocation, {operation, past_all, seconds(1)});
        return host_.take_decisions();
    };
    EXPECT_EQ(accept(0, 1), (Decisions{decision::Errored{0}, decision::Released{0}}));
    EXPECT_EQ(accept(0, past_all), (Decisions{decision::Errored{0}, decision::Released{0}}));
    EXPECT_EQ(accept(past_all, 0), (Decisions{decision::Errored{past_all}, decision::Released{past_all}}));
    EXPECT_EQ(accept(0, 0).size(), 1u);
    EXPECT_TRUE(accept(0, 0).empty()) << "it is in use";
}

TEST_F(BalancerEvents, UpstreamsWithImpossibleNumbersAreLeftOut)
{
    for (const UpstreamId impossible : {max_upstreams, past_all}) {
        host_.change_endpoint(impossible, EndpointPhase::ready);
        report(impossible, long_queue());
    }
    host_.balancer.update_endpoints(host_.now,
                                    {{4,
                                      4,
                                      EndpointPhase::ready,
                                      {ZoneId{past_all}, PodGroup{past_all}, MachineKind{past_all}},
                                      1,
                                      {},
                                      past_all}});
    const auto used = host_.send_many(1000);
    EXPECT_EQ(used.size(), 5u);
    EXPECT_EQ(used.count(past_all), 0u);
}

// The sender is a number in a message; a message may name more upstreams than there are.
TEST(BalancerPeerMessages, OfImpossibleSendersHaveNoEffect)
{
    Settings settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent));
    settings.may_message_peers = true;
    settings.balancer_count = 3;
    BalancerHost host(settings);
    host.set_endpoints(2);
    PeerMessage message{true, {}, {}};
    for (uint16_t name = 0; message.has_room_for_entry(); ++name) message.in_flight.emplace_back(name, 1);
    const auto bytes = encode_peer_message(message);
    for (const uint32_t sender : {0u, 1u, 2u, 3u, past_all})
        for (size_t size = 0; size <= bytes.size(); ++size)
            host.balancer.on_peer_message(host.now, sender, std::string_view(bytes).substr(0, size));
    EXPECT_EQ(host.send_many(200).size(), 2u);
}

// ---- random events ----

// Draws events from a seed, sound ones and others, and checks what the module decides.
class RandomEvents : private BalancerDelegate
{
  public:
    explicit RandomEvents(uint64_t seed)
        : engine_(static_cast<RandomEngine::result_type>(seed)),
          first_settings_(make_settings()),
          repeat_checker_(first_settings_),
          balancer_(first_settings_, seed, *this)
    {
        balancer_.start(now_);
    }

    void run(size_t events)
    {
        for (size_t n = 0; n < events && !testing::Test::HasFailure(); ++n) {
            now_ = now_ + Duration{static_cast<int64_t>(draw(3000))};
            fire_due_timers();
            one_event();
            end_given_up_forwards();
            if (testing::Test::HasFailure()) ADD_FAILURE() << "event " << n << " was the first to fail";
        }
        finish();
        EXPECT_GT(forwards_, events / 50) << "the walk shows little";
        EXPECT_GT(repeat_checker_.repeats(), events / 2000) << "it shows little of repeats";
    }

  private:
    static constexpr uint32_t upstream_count = 40, invocation_count = 60;
    struct Invocation {
        bool is_open = false, is_answered = false;
        std::vector<bool> in_flight;
    };

    uint32_t draw(uint32_t below) { return static_cast<uint32_t>(engine_()) % below; }
    bool one_in(uint32_t n) { return draw(n) == 0; }

    Settings make_settings()
    {
        const auto operation = [this] {
            Operation made = BalancerHost::make_operation(static_cast<Idempotency>(draw(3)),
                                                          static_cast<DeduplicationScope>(draw(3)));
            made.late_response_value = draw(2);
            if (one_in(4)) made.allowed_zones = {{ZoneId{draw(3)}, ZoneId{draw(3)}}};
            if (one_in(4)) made.allowed_machine_kinds = {{MachineKind{draw(3)}, MachineKind{draw(3)}}};
            return made;
        };
        Settings settings = BalancerHost::make_settings(operation());
        while (one_in(2)) settings.operations.push_back(operation());
        settings.tenant_quotas.assign(draw(4), 10.0);
        settings.balancer_count = 1 + draw(4);
        settings.cross_zone_price = draw(2) * 0.01;
        settings.may_message_peers = one_in(2);
        settings.load_reports_by_probe = one_in(2);
        settings.must_watch_endpoint_list = one_in(2);
        settings.may_overlap_forwards = one_in(2);
        settings.may_cancel = one_in(2);
        return settings;
    }

    // Mostly of the first ones, now and then of one past them or past all.
    UpstreamId any_upstream()
    {
        if (one_in(20)) return one_in(2) ? past_all - draw(3) : max_upstreams + draw(3);
        return draw(one_in(10) ? 4 * upstream_count : upstream_count);
    }
    InvocationId any_invocation() { return one_in(20) ? past_all - draw(3) : draw(2 * invocation_count); }
    double any_value()
    {
        constexpr std::array odd{0.0,
                                 -1.0,
                                 1e-300,
                                 1e300,
                                 std::numeric_limits<double>::infinity(),
                                 std::numeric_limits<double>::quiet_NaN()};
        return one_in(4) ? odd[draw(odd.size())] : draw(1000) / 10.0;
    }
    LoadReport any_report()
    {
        LoadReport report;
        for (auto member : {&LoadReport::queue_length, &LoadReport::in_flight, &LoadReport::utilisation,
                            &LoadReport::mean_latency_ms, &LoadReport::errors_per_second})
            if (one_in(3)) report.*member = any_value();
        return report;
    }
    EndpointState any_endpoint()
    {
        EndpointState endpoint;
        endpoint.upstream_id = any_upstream();
        // An index may come to stand for another upstream.
        endpoint.global_id = endpoint.upstream_id + (one_in(10) ? 1000 * draw(3) : 0);
        endpoint.phase = static_cast<EndpointPhase>(draw(3));
        endpoint.location = any_location();
        endpoint.capacity = 0.01 + draw(100) / 50.0;
        if (one_in(3)) endpoint.started_at = now_ + seconds(10 - static_cast<double>(draw(60)));
        endpoint.machine_type = one_in(10) ? past_all - draw(2) : draw(4);
        return endpoint;
    }
    UpstreamLocation any_location()
    {
        UpstreamLocation location;
        if (!one_in(6)) location.zone = ZoneId{draw(3)};
        if (!one_in(6)) location.pod_group = PodGroup{draw(3)};
        if (!one_in(6)) location.machine_kind = MachineKind{draw(3)};
        return location;
    }
    AttemptResult any_result() { return static_cast<AttemptResult>(draw(9)); }

    void one_event()
    {
        switch (draw(14)) {
            case 0: return change_endpoints();
            case 1: return complete_probe();
            case 2: return end_unknown_forward();
            case 3: return receive_peer_message();
            case 4: return any_response_event();
            case 5: return disconnect_any_client();
            case 6: return other_event();
            case 7:
            case 8:
            case 9:
            case 10: return accept();
            default: return end_any_forward();
        }
    }

    void change_endpoints()
    {
        std::vector<EndpointState> endpoints(draw(one_in(5) ? upstream_count : 4));
        for (EndpointState& endpoint : endpoints) endpoint = any_endpoint();
        const bool is_full = one_in(8);
        if (is_full) phases_.clear();
        for (const EndpointState& endpoint : endpoints) {
            phases_[endpoint.upstream_id] = endpoint.phase;
            repeat_checker_.on_endpoint(endpoint);
        }
        is_full ? balancer_.set_endpoints(now_, endpoints) : balancer_.update_endpoints(now_, endpoints);
    }
    void complete_probe()
    {
        balancer_.on_probe_completed(now_, any_upstream(),
                                     one_in(4) ? any_result() : AttemptResult::succeeded, any_report());
    }
    void accept()
    {
        const InvocationId id = any_invocation();
        const bool was_open = invocations_[id].is_open;
        if (!was_open) invocations_[id] = {true, false, {}};
        const uint32_t operation = one_in(10) ? past_all - draw(2) : draw(3);
        if (!was_open) repeat_checker_.on_accepted(id, operation);
        balancer_.accept(now_, id,
                         {operation, one_in(10) ? past_all : draw(5),
                          one_in(10) ? Duration{INT64_MAX - draw(2)} : seconds(draw(300) / 100.0), one_in(5),
                          one_in(2) ? 0u : 1 + draw(3)});
    }
    void end_any_forward()
    {
        if (invocations_.empty()) return;
        auto chosen = invocations_.lower_bound(any_invocation());
        if (chosen == invocations_.end()) chosen = invocations_.begin();
        for (uint32_t forward = 0; forward < chosen->second.in_flight.size(); ++forward)
            if (chosen->second.in_flight[forward]) return end_forward(chosen->first, forward, any_result());
    }
    void end_forward(InvocationId id, uint32_t forward, AttemptResult result)
    {
        Invocation& invocation = invocations_[id];
        if (forward >= invocation.in_flight.size() || !invocation.in_flight[forward]) return;
        invocation.in_flight[forward] = false;
        if (result == AttemptResult::succeeded) invocation.is_answered = true;
        repeat_checker_.on_ended(id, forward, result);
        const bool answered = invocation.is_answered;
        balancer_.on_forward_ended(now_, id, forward, result,
                                   one_in(10) ? Duration{INT64_MAX} : seconds(draw(200) / 100.0), answered,
                                   any_report());
    }
    void end_unknown_forward()
    {
        const InvocationId id = any_invocation();
        const auto found = invocations_.find(id);
        const auto sent = found == invocations_.end() ? 0 : found->second.in_flight.size();
        balancer_.on_forward_ended(now_, id, one_in(3) ? past_all : static_cast<uint32_t>(sent) + draw(3),
                                   any_result(), seconds(0.1), one_in(2), any_report());
    }
    void any_response_event()
    {
        const uint32_t forward = one_in(5) ? past_all : draw(4);
        one_in(2) ? balancer_.on_response_begun(now_, any_invocation(), forward)
                  : balancer_.on_response_stalled(now_, any_invocation(), forward);
    }
    void disconnect_any_client()
    {
        const InvocationId id = any_invocation();
        if (const auto found = invocations_.find(id); found != invocations_.end())
            found->second.is_answered = true;  // nobody is left to answer
        balancer_.on_client_disconnected(now_, id);
    }
    void receive_peer_message()
    {
        std::string bytes = one_in(2) || broadcast_.empty() ? std::string(draw(40), '\0') : broadcast_;
        if (one_in(2))
            for (char& byte : bytes) byte = static_cast<char>(draw(256));
        balancer_.on_peer_message(now_, one_in(10) ? past_all : draw(6), bytes);
    }
    void other_event()
    {
        switch (draw(6)) {
            case 0: return balancer_.on_request_complete(now_, any_invocation(), seconds(draw(200) / 100.0));
            case 1: return balancer_.on_timer_fired(now_, draw(1000));
            case 2: return balancer_.on_endpoint_list_fetched(now_, one_in(2));
            case 3: return balancer_.set_subset_fraction(draw(100) / 100.0);
            case 4: return reload();
            default: EXPECT_LE(balancer_.reduction(now_, any_upstream()), 1);
        }
    }
    void reload()
    {
        const auto any_mapping = [this] {
            IndexMapping mapping(draw(6));
            for (auto& index : mapping)
                if (one_in(2)) index = one_in(5) ? past_all : draw(5);
            return mapping;
        };
        const Settings settings = make_settings();
        const IndexMapping operations = any_mapping();
        repeat_checker_.on_settings(settings, operations);
        balancer_.update_settings(now_, settings, operations, any_mapping());
    }

    void fire_due_timers()
    {
        while (!timers_.empty() && timers_.begin()->first <= now_) {
            const uint64_t id = timers_.begin()->second;
            timers_.erase(timers_.begin());
            balancer_.on_timer_fired(now_, id);
        }
    }
    void end_given_up_forwards()
    {
        for (const auto& [id, forward, result] : std::exchange(given_up_, {}))
            end_forward(id, forward, result);
    }
    // Every accepted invocation has its one answer, and is released.
    void finish()
    {
        for (int round = 0; round < 20; ++round)
            for (InvocationId id = 0; id < 2 * invocation_count; ++id)
                for (uint32_t forward = 0; forward < invocations_[id].in_flight.size(); ++forward)
                    end_forward(id, forward, AttemptResult::succeeded);
        for (const auto& [id, invocation] : invocations_) {
            EXPECT_FALSE(invocation.is_open) << id;
        }
    }

    void answer(InvocationId id)
    {
        EXPECT_TRUE(invocations_[id].is_open) << id;
        EXPECT_FALSE(std::exchange(invocations_[id].is_answered, true)) << id << " is answered twice";
    }
    void forward(InvocationId id, UpstreamId upstream_id, Duration timeout) override
    {
        EXPECT_TRUE(invocations_[id].is_open) << id;
        EXPECT_FALSE(invocations_[id].is_answered) << id;
        EXPECT_GT(timeout, Duration{});
        const auto phase = phases_.find(upstream_id);
        ASSERT_TRUE(phase != phases_.end()) << upstream_id;
        EXPECT_EQ(phase->second, EndpointPhase::ready) << upstream_id;
        repeat_checker_.on_forward(now_, id, upstream_id);
        invocations_[id].in_flight.push_back(true);
        ++forwards_;
    }
    void throttle(InvocationId id, Duration) override
    {
        repeat_checker_.on_throttled(id);
        answer(id);
    }
    void fail(InvocationId id) override { answer(id); }
    void cancel_forward(InvocationId id, uint32_t forward) override
    {
        ASSERT_LT(forward, invocations_[id].in_flight.size());
        given_up_.push_back({id, forward, AttemptResult::cancelled});
    }
    void set_forward_timeout(InvocationId id, uint32_t forward, Duration) override
    {
        EXPECT_LT(forward, invocations_[id].in_flight.size());
    }
    void give_up_forward(InvocationId id, uint32_t forward) override
    {
        ASSERT_LT(forward, invocations_[id].in_flight.size());
        given_up_.push_back({id, forward, AttemptResult::reset});
    }
    void release_invocation(InvocationId id) override
    {
        EXPECT_TRUE(std::exchange(invocations_[id].is_open, false)) << id << " is released twice";
        EXPECT_TRUE(invocations_[id].is_answered) << id;
        for (const bool in_flight : invocations_[id].in_flight) EXPECT_FALSE(in_flight) << id;
        invocations_[id].in_flight.clear();
        repeat_checker_.on_released(id);
    }
    void start_timer(TimePoint at, uint64_t id) override { timers_.emplace(at, id); }
    void probe(UpstreamId upstream_id) override { EXPECT_EQ(phases_[upstream_id], EndpointPhase::ready); }
    void close_idle_connections(UpstreamId) override {}
    void watch_endpoint_list() override {}
    void broadcast(const std::string& message) override { broadcast_ = message; }

    struct GivenUp {
        InvocationId invocation;
        uint32_t forward;
        AttemptResult result;
    };

    RandomEngine engine_;
    TimePoint now_{1'000'000'000};
    std::map<UpstreamId, EndpointPhase> phases_;
    std::map<InvocationId, Invocation> invocations_;
    std::multimap<TimePoint, uint64_t> timers_;
    std::vector<GivenUp> given_up_;
    std::string broadcast_;
    size_t forwards_ = 0;
    Settings first_settings_;
    RepeatChecker repeat_checker_;
    Balancer balancer_;
};

// Guards against an event with any number in it that reads or writes past a table, above all under the
// sanitizers.
class BalancerWalk : public testing::TestWithParam<uint64_t>
{
};

TEST_P(BalancerWalk, OfRandomEventsKeepsTheRules)
{
    constexpr size_t events = 300'000;
    RandomEvents(GetParam()).run(events);
}

INSTANTIATE_TEST_SUITE_P(Seeds, BalancerWalk, testing::Values(1, 2, 3, 4, 5, 6, 7, 8),
                         [](const auto& seed) { return "Seed" + std::to_string(seed.param); });

}  // namespace
}  // namespace firtide
