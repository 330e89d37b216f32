// Operations that are bound to zones or kinds of machine are sent there alone, at every attempt.
#include <gtest/gtest.h>

#include "balancer_host.h"
#include "src/net/discovery.h"

namespace firtide
{
namespace
{

constexpr uint32_t upstream_count = 9, kind_count = 3;
constexpr MachineKind allowed_kind{1};

// Upstream n is in zone n / 3 and of kind n % 3.
UpstreamLocation location_of(UpstreamId n) { return {ZoneId{n / 3}, {}, MachineKind{n % kind_count}}; }

Settings settings_with(const std::function<void(Operation&)>& restrict)
{
    Operation operation = BalancerHost::make_operation(Idempotency::idempotent);
    restrict(operation);
    return BalancerHost::make_settings(operation);
}

void bind_to_kind(Operation& operation) { operation.allowed_machine_kinds = {{allowed_kind}}; }
void bind_to_zone(Operation& operation) { operation.allowed_zones = {{ZoneId{2}}}; }

void show(BalancerHost& host, EndpointPhase phase_of_allowed = EndpointPhase::ready)
{
    std::vector<EndpointState> all;
    for (UpstreamId n = 0; n < upstream_count; ++n) {
        const bool is_allowed = n % kind_count == 1;
        all.push_back({n, n, is_allowed ? phase_of_allowed : EndpointPhase::ready, location_of(n), 1, {}});
    }
    host.balancer.set_endpoints(host.now, all);
}

// Guards against work at machines or in zones that an operation is not open to.
TEST(Placement, BindsEveryFirstAttempt)
{
    BalancerHost by_kind(settings_with(bind_to_kind));
    show(by_kind);
    for (const auto& [upstream, count] : by_kind.send_many(300))
        EXPECT_EQ(upstream % kind_count, 1u) << count;
    BalancerHost by_zone(settings_with(bind_to_zone));
    show(by_zone);
    for (const auto& [upstream, count] : by_zone.send_many(300)) EXPECT_EQ(upstream / 3, 2u) << count;
    BalancerHost by_both(settings_with([](Operation& operation) {
        bind_to_kind(operation);
        bind_to_zone(operation);
    }));
    show(by_both);
    EXPECT_EQ(by_both.send_many(100), (std::map<UpstreamId, int>{{7, 100}}));
}

TEST(Placement, BindsEveryRetry)
{
    for (const AttemptResult result :
         {AttemptResult::declined, AttemptResult::unreachable, AttemptResult::reset}) {
        BalancerHost host(settings_with(bind_to_kind));
        show(host);
        host.send_many(50);
        host.accept(0);
        for (int attempt = 0; host.is_in_flight(0); ++attempt) {
            ASSERT_LT(attempt, 20);
            EXPECT_EQ(host.last_upstream % kind_count, 1u);
            host.end_attempt(0, result);
        }
    }
}

TEST(Placement, IsKeptWhileNoneOfThoseAllowedCanTakeWork)
{
    for (const EndpointPhase phase : {EndpointPhase::draining, EndpointPhase::gone}) {
        BalancerHost host(settings_with(bind_to_kind));
        show(host, phase);
        host.accept(0);
        EXPECT_EQ(host.take_decisions(), (Decisions{decision::Throttled{0, true}, decision::Released{0}}));
    }
}

TEST(Placement, IsNotAtAPlaceThatIsNotKnown)
{
    for (const auto& restrict : {bind_to_kind, bind_to_zone}) {
        BalancerHost host(settings_with(restrict));
        host.balancer.set_endpoints(host.now, {{0, 0, EndpointPhase::ready, {}, 1, {}}});
        host.accept(0);
        EXPECT_EQ(host.throttled_count, 1);
    }
}

// What was accepted under one kind may go on only where the settings before and the new ones allow it.
TEST(Placement, OfNewSettingsBindsWhatIsOpen)
{
    BalancerHost host(settings_with([](Operation&) {}));
    show(host);
    host.accept(0);
    host.balancer.update_settings(host.now, settings_with(bind_to_kind), {0}, {});
    for (int attempt = 0; attempt < 3 && host.is_in_flight(0); ++attempt) {
        host.end_attempt(0, AttemptResult::declined);
        if (host.is_in_flight(0)) {
            EXPECT_EQ(host.last_upstream % kind_count, 1u);
        }
    }
    EXPECT_FALSE(host.balancer.may_still_send(host.now, 0, 0)) << "it has ended";
}

TEST(Placement, IsReadFromTheSettingsByNumber)
{
    FlatSettings flat{{"dcs", "a,b"},
                      {"kinds", "m1,m2,m3"},
                      {"operations.count", "2"},
                      {"operations.0.allowed_in", "1"},
                      {"operations.0.runs_on", "0,2"}};
    const auto operations = decode_settings(flat).settings.operations;
    EXPECT_EQ(operations[0].allowed_zones, (std::vector<ZoneId>{zone_id("b")}));
    EXPECT_EQ(operations[0].allowed_machine_kinds,
              (std::vector<MachineKind>{machine_kind("m1"), machine_kind("m3")}));
    EXPECT_FALSE(operations[1].allowed_zones || operations[1].allowed_machine_kinds);
    const auto numbered = decode_settings(flat, PlaceIdentity::number).settings.operations;
    EXPECT_EQ(numbered[0].allowed_machine_kinds, (std::vector<MachineKind>{MachineKind{0}, MachineKind{2}}));
    for (const char* wrong : {"3", "-1", "m1", "1.5", "0,,2"}) {
        flat["operations.0.runs_on"] = wrong;
        EXPECT_THROW(decode_settings(flat), SettingError) << wrong;
    }
}

// The list names the kind as `model`.
TEST(Placement, GoesByTheModelsOfTheList)
{
    ServiceConfig config = decode_settings({{"kinds", "m1,m2"},
                                            {"operations.count", "1"},
                                            {"operations.0.name", "op"},
                                            {"operations.0.repeat", "free"},
                                            {"operations.0.runs_on", "1"},
                                            {"policy_limits.max_forwards", "3"}});
    net::Reducer reducer(config, 1, "here:1");
    TimePoint now{1'000'000};
    reducer.reduce(now, net::ServiceStarted{});
    std::string text = R"({"rev":1,"all":true,"targets":[)";
    for (const std::string model : {"m1", "m2", "m3", "m2-x", ""})
        text.append(text.back() == '[' ? "" : ",")
            .append(R"({"uid":"s-)" + model + R"(","endpoint":")" + model +
                    R"(:1","state":"ready","model":")" + model + "\"}");
    const auto list = net::decode_list(text + "]}", TimePoint{});
    ASSERT_TRUE(list);
    reducer.reduce(now, list->update);
    for (uint64_t caller = 1; caller <= 50; ++caller) {
        now = now + seconds(0.01);
        const std::string id = "id" + std::to_string(caller);
        const auto effects = reducer.reduce(
            now,
            net::RequestReceived{caller, {"POST", "/op/x", id, 0, 0, seconds(2), {{"Req-Id", id}}, "body"}});
        for (const net::Effect& effect : effects) {
            const auto* connect = std::get_if<net::ConnectUpstream>(&effect);
            if (!connect) continue;
            EXPECT_EQ(connect->endpoint, "m2:1");
            reducer.reduce(now, net::UpstreamConnected{connect->attempt});
            reducer.reduce(now, net::ResponseReceived{connect->attempt, {200, false, {}, {}, "ok"}});
        }
    }
    EXPECT_EQ(reducer.statistics().outcomes_by_operation["op"].success, 50u);
}

}  // namespace
}  // namespace firtide
