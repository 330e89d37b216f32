// A deduplicated request may go out again only to the group of upstreams that its attempt was sent to, by
// what the list said of them when it was sent. The lists are read as discovery's, and what is sent is seen as
// the effects of the reducer.
#include <gtest/gtest.h>

#include <functional>

#include "balancer_host.h"
#include "src/net/discovery.h"

namespace firtide::net
{
namespace
{

constexpr uint32_t group_count = 3, group_size = 2;
constexpr Duration window = seconds(2);
constexpr uint64_t trials = 24;  // each with a seed of its own

// One upstream of the list: its fields as JSON text, so that a case can leave out or replace any of them.
struct Target {
    std::string uid;
    std::map<std::string, std::string> fields;

    std::string text() const
    {
        std::string out = R"({"uid":")" + uid + '"';
        for (const auto& [key, value] : fields) out.append(",\"").append(key).append("\":").append(value);
        return out + '}';
    }
    Target renamed(const std::string& other_uid) const { return {other_uid, fields}; }
};

std::string uid_of(uint32_t number) { return "s-" + std::to_string(number); }
std::string quoted(const std::string& text) { return '"' + text + '"'; }

// Upstream n is at the endpoint "n:1", in pod and zone n % group_count.
Target target(uint32_t number, uint32_t first_pod = 0)
{
    const uint32_t group = number % group_count;
    return {uid_of(number),
            {{"endpoint", quoted(std::to_string(number) + ":1")},
             {"az", quoted(std::string(1, static_cast<char>('a' + group)))},
             {"pod_group", std::to_string(first_pod + group)},
             {"state", quoted("ready")}}};
}

ServiceConfig service_config(DeduplicationScope scope, std::vector<std::string> zones)
{
    ServiceConfig config;
    config.settings =
        BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::deduplicated, scope));
    config.settings.operations[0].deduplication_window = window;
    config.settings.may_overlap_forwards = false;
    config.operation_names = {"op"};
    config.zone_names = std::move(zones);
    return config;
}

const std::vector<std::string> zones_abc{"a", "b", "c"}, zones_cab{"c", "a", "b"}, zones_bc{"b", "c"};

// What became of a request whose first attempt was reset.
struct Outcome {
    uint32_t first = 0;              // the upstream of the first attempt
    std::optional<uint32_t> second;  // of the second, if there was one
    std::optional<int> status;

    bool went_to_group_of_first() const { return second && *second % group_count == first % group_count; }
    bool went_to_other_group() const { return second && *second % group_count != first % group_count; }
};

// One request at a balancer of its own, with six upstreams in three groups.
class Trial
{
  public:
    Trial(DeduplicationScope scope, uint64_t seed, uint32_t first_pod = 0,
          const std::vector<std::string>& zones = zones_abc)
        : scope_(scope), config_(service_config(scope, zones)), reducer_(config_, seed, "here:1")
    {
        send(ServiceStarted{});
        for (uint32_t n = 0; n < group_count * group_size; ++n) targets_.push_back(target(n, first_pod));
    }

    std::vector<Target>& targets() { return targets_; }
    uint32_t first() const { return outcome_.first; }
    void list_all() { update(true, targets_); }
    void update(bool is_full, const std::vector<Target>& targets)
    {
        std::string text = R"({"rev":1,"all":)" + std::string(is_full ? "true" : "false") + R"(,"targets":[)";
        for (const Target& each : targets) text.append(text.back() == '[' ? "" : ",").append(each.text());
        const auto list = decode_list(text + "]}", TimePoint{});
        ASSERT_TRUE(list) << text;
        send(EndpointListUpdated{list->update});
    }
    void load_zones(const std::vector<std::string>& zones)
    {
        send(ConfigReloaded{"here:1", service_config(scope_, zones)});
    }
    void load_window(Duration duration)
    {
        ServiceConfig config = service_config(scope_, zones_abc);
        config.settings.operations[0].deduplication_window = duration;
        send(ConfigReloaded{"here:1", config});
    }
    // Whether bytes are sent when the connection for the last attempt is there.
    bool sends_when_connected()
    {
        writes_ = 0;
        send(UpstreamConnected{last_attempt_});
        return writes_ > 0;
    }
    void begin_request()
    {
        send(RequestReceived{1, {"POST", "/op/x", "id", 0, 0, seconds(2), {{"Req-Id", "id"}}, "body"}});
        outcome_.first = last_endpoint_.value();
        last_endpoint_.reset();
    }
    void request()
    {
        begin_request();
        send(UpstreamConnected{last_attempt_});
        send(RequestWritten{last_attempt_});
    }
    Outcome reset()
    {
        send(AttemptFailed{last_attempt_, {AttemptProgress::written, FailureCause::connection_lost}});
        outcome_.second = last_endpoint_;
        return outcome_;
    }
    void advance(Duration duration) { now_ = now_ + duration; }

    void send(Event event)
    {
        now_ = now_ + seconds(0.01);
        for (const Effect& effect : reducer_.reduce(now_, std::move(event))) {
            if (const auto* response = std::get_if<SendResponse>(&effect))
                outcome_.status = response->response.status;
            writes_ += std::holds_alternative<WriteUpstream>(effect);
            const auto* connect = std::get_if<ConnectUpstream>(&effect);
            if (!connect) continue;
            last_attempt_ = connect->attempt;
            last_endpoint_ = static_cast<uint32_t>(std::stoul(connect->endpoint));
        }
    }

  private:
    DeduplicationScope scope_;
    ServiceConfig config_;
    Reducer reducer_;
    TimePoint now_{1'000'000};
    std::vector<Target> targets_;
    AttemptId last_attempt_ = 0;
    int writes_ = 0;
    std::optional<uint32_t> last_endpoint_;
    Outcome outcome_;
};

// Lists of before a start, as a snapshot, a file or the configuration has them.
void restore_list_with_first_elsewhere(Trial& trial)
{
    const auto entries = [&] {
        std::string text;
        for (const Target& each : trial.targets())
            text.append(text.empty() ? "" : ",")
                .append(each.uid == uid_of(trial.first()) ? target(trial.first() + 1).renamed(each.uid).text()
                                                          : each.text());
        return decode_list(R"({"rev":1,"all":true,"targets":[)" + text + "]}", TimePoint{});
    }();
    ASSERT_TRUE(entries);
    trial.send(EndpointListRestored{entries->update.entries});
}

// What is done between the first attempt and its reset.
struct Change {
    std::string name;
    std::function<void(Trial&)> apply;
};

void PrintTo(const Change& change, std::ostream* out) { *out << change.name; }

// The entry of the first attempt's upstream with other fields.
Target changed_first(Trial& trial, const std::string& state, const std::map<std::string, std::string>& fields)
{
    Target made = trial.targets()[trial.first()];
    made.fields["state"] = quoted(state);
    for (const auto& [key, value] : fields) made.fields[key] = value;
    return made;
}

// In a list of changes.
Change first_is(const std::string& name, const std::string& state,
                const std::map<std::string, std::string>& fields)
{
    return {name, [=](Trial& trial) { trial.update(false, {changed_first(trial, state, fields)}); }};
}

// Of uid and state alone.
Change first_is_only(const std::string& name, const std::string& state)
{
    return {name, [=](Trial& trial) {
                trial.update(false, {{uid_of(trial.first()), {{"state", quoted(state)}}}});
            }};
}

void list_without_first(Trial& trial)
{
    std::erase_if(trial.targets(), [&](const Target& each) { return each.uid == uid_of(trial.first()); });
    trial.list_all();
}

// Its uid comes up again as another process, in another group.
void move_first(Trial& trial)
{
    trial.update(false, {{uid_of(trial.first()), {{"state", quoted("gone")}}}});
    const uint32_t elsewhere = trial.first() + 100 * group_count + 1;
    trial.update(false, {{uid_of(trial.first()), target(elsewhere).fields}});
}

std::vector<Change> changes_of_the_list()
{
    return {{"Nothing", [](Trial&) {}},
            first_is("GoneInFull", "gone", {}),
            first_is_only("GoneByUidAndStateAlone", "gone"),
            first_is_only("DrainingByUidAndStateAlone", "draining"),
            first_is_only("OfAnUnknownStateAlone", "odd"),
            {"NotInAFullList", list_without_first},
            first_is("GoneFromAnotherGroup", "gone", {{"pod_group", "1"}, {"az", quoted("b")}}),
            first_is("DrainingInAnotherGroup", "draining", {{"pod_group", "1"}, {"az", quoted("b")}}),
            first_is("GoneOfForeignTypes", "gone", {{"pod_group", quoted("2")}, {"az", "7"}}),
            first_is("GoneOutOfRange", "gone", {{"pod_group", "-1"}, {"az", quoted("elsewhere")}}),
            first_is("GoneOfThePodAfterTheLast", "gone", {{"pod_group", "4294967296"}}),
            {"ComesUpElsewhere", move_first},
            {"RestoredElsewhere", restore_list_with_first_elsewhere}};
}

class RepeatAfterChange : public testing::TestWithParam<std::tuple<DeduplicationScope, uint32_t, Change>>
{
};

// Guards against the repeat of a request at an upstream that doesn't know it, once the list says less or
// something else of the one that held it, and against a repeat that is held back for no reason.
TEST_P(RepeatAfterChange, GoesToTheGroupThatTheAttemptWasSentTo)
{
    const auto& [scope, first_pod, change] = GetParam();
    for (uint64_t seed = 1; seed <= trials; ++seed) {
        Trial trial(scope, seed, first_pod);
        trial.list_all();
        trial.request();
        change.apply(trial);
        const Outcome outcome = trial.reset();
        EXPECT_TRUE(outcome.went_to_group_of_first())
            << "seed " << seed << ": sent to " << outcome.first << ", then "
            << (outcome.second ? std::to_string(*outcome.second) : "answered");
    }
}

std::string name_of(const testing::TestParamInfo<RepeatAfterChange::ParamType>& info)
{
    const auto& [scope, first_pod, change] = info.param;
    return (scope == DeduplicationScope::zone ? "Zone" : first_pod ? "PodsFrom1" : "PodsFrom0") + change.name;
}

INSTANTIATE_TEST_SUITE_P(Zones, RepeatAfterChange,
                         testing::Combine(testing::Values(DeduplicationScope::zone), testing::Values(0u),
                                          testing::ValuesIn(changes_of_the_list())),
                         name_of);
INSTANTIATE_TEST_SUITE_P(Pods, RepeatAfterChange,
                         testing::Combine(testing::Values(DeduplicationScope::pod_group),
                                          testing::Values(0u, 1u), testing::ValuesIn(changes_of_the_list())),
                         name_of);

// Guards against zones of new settings that are compared with the places of the settings before.
TEST(RepeatAfterNewSettings, GoesToTheZoneThatTheAttemptWasSentTo)
{
    for (const bool is_relisted : {false, true}) {
        for (uint64_t seed = 1; seed <= trials; ++seed) {
            Trial trial(DeduplicationScope::zone, seed);
            trial.list_all();
            trial.request();
            trial.update(false, {{uid_of(trial.first()), {{"state", quoted("gone")}}}});
            trial.load_zones(zones_cab);
            if (is_relisted) list_without_first(trial);
            EXPECT_TRUE(trial.reset().went_to_group_of_first()) << "seed " << seed;
        }
    }
}

// A list of changes that follows new settings names only what has changed since.
TEST(RepeatAfterNewSettings, GoesToAZoneThatTheyBringWithoutANewList)
{
    for (uint64_t seed = 1; seed <= trials; ++seed) {
        Trial trial(DeduplicationScope::zone, seed, 0, zones_bc);
        trial.list_all();
        trial.load_zones(zones_abc);
        trial.request();
        trial.update(false, {changed_first(trial, "gone", {})});
        EXPECT_TRUE(trial.reset().went_to_group_of_first()) << "seed " << seed;
    }
}

TEST(RepeatAfterNewSettings, IsNotSentToAZoneThatTheyDoNotKnow)
{
    for (uint64_t seed = 1; seed <= trials; ++seed) {
        Trial trial(DeduplicationScope::zone, seed);
        trial.list_all();
        trial.request();
        trial.load_zones(zones_bc);
        const Outcome outcome = trial.reset();
        EXPECT_FALSE(outcome.went_to_other_group()) << "seed " << seed;
        EXPECT_EQ(outcome.second.has_value(), outcome.first % group_count != 0) << "seed " << seed;
    }
}

// Guards against a repeat that was allowed when its connection was begun, and is not any more when it is
// there.
TEST(RepeatThatIsNotSentYet, IsSentWhileNothingChanges)
{
    Trial trial(DeduplicationScope::pod_group, 1);
    trial.list_all();
    trial.request();
    ASSERT_TRUE(trial.reset().second);
    EXPECT_TRUE(trial.sends_when_connected());
}

TEST(RepeatThatIsNotSentYet, IsNotSentAfterTheWindowOfNewSettings)
{
    Trial trial(DeduplicationScope::pod_group, 1);
    trial.list_all();
    trial.request();
    ASSERT_TRUE(trial.reset().second);
    trial.load_window(seconds(0.1));
    trial.advance(seconds(0.2));
    EXPECT_FALSE(trial.sends_when_connected());
}

TEST(RepeatThatIsNotSentYet, IsNotSentOnceItsUpstreamIsInAnotherGroup)
{
    for (const char* group : {"7", "null"}) {
        Trial trial(DeduplicationScope::pod_group, 1);
        trial.list_all();
        trial.request();
        const Outcome outcome = trial.reset();
        ASSERT_TRUE(outcome.second);
        Target moved = trial.targets()[*outcome.second];
        moved.fields["pod_group"] = group;
        trial.update(false, {moved});
        EXPECT_FALSE(trial.sends_when_connected()) << group;
    }
}

// Guards against a first attempt that is kept under the group which its upstream had before its bytes were
// sent.
TEST(FirstAttemptThatIsNotSentYet, IsNotSentOnceTheGroupOfItsUpstreamIsNotKnown)
{
    const auto sends_after = [](const Change& change) {
        Trial trial(DeduplicationScope::zone, 1);
        trial.list_all();
        trial.begin_request();
        change.apply(trial);
        return trial.sends_when_connected();
    };
    EXPECT_TRUE(sends_after(changes_of_the_list()[0]));
    EXPECT_FALSE(sends_after(first_is("WithoutAZone", "ready", {{"az", "null"}})));
    EXPECT_FALSE(
        sends_after({"UnderSettingsWithoutItsZone", [](Trial& trial) { trial.load_zones({"elsewhere"}); }}));
}

// A value that names no group: the field of an entry, as JSON.
struct NoGroup {
    std::string name;
    DeduplicationScope scope;
    std::optional<std::string> value;  // unset: the entry lacks the field
};

void PrintTo(const NoGroup& value, std::ostream* out) { *out << value.name; }

class UnknownGroup : public testing::TestWithParam<NoGroup>
{
  protected:
    // Gives every listed upstream for which `applies` holds the value that names no group.
    static void list_with_unknown(Trial& trial, const std::function<bool(uint32_t)>& applies)
    {
        const std::string key = GetParam().scope == DeduplicationScope::zone ? "az" : "pod_group";
        for (uint32_t n = 0; n < trial.targets().size(); ++n) {
            if (!applies(n)) continue;
            auto& fields = trial.targets()[n].fields;
            fields.erase(key);
            if (GetParam().value) fields[key] = *GetParam().value;
        }
        trial.list_all();
    }
};

// Guards against taking what is no group for the first one, or two of them for the same.
TEST_P(UnknownGroup, IsNeitherTheFirstNorThatOfAnother)
{
    for (uint64_t seed = 1; seed <= trials; ++seed) {
        Trial trial(GetParam().scope, seed);
        list_with_unknown(trial, [](uint32_t) { return true; });
        trial.request();
        const Outcome outcome = trial.reset();
        EXPECT_FALSE(outcome.second) << "seed " << seed << ": sent to " << outcome.first << ", then to "
                                     << *outcome.second;
        EXPECT_EQ(outcome.status, 502) << "it may have run";
    }
}

TEST_P(UnknownGroup, GetsNoRepeatOfAKnownOne)
{
    const auto is_unknown = [](uint32_t n) { return n >= group_count; };
    for (uint64_t seed = 1; seed <= trials; ++seed) {
        Trial trial(GetParam().scope, seed);
        list_with_unknown(trial, is_unknown);
        trial.request();
        const Outcome outcome = trial.reset();
        if (!outcome.second) continue;
        EXPECT_EQ(*outcome.second, outcome.first) << "seed " << seed;
        EXPECT_FALSE(is_unknown(*outcome.second)) << "seed " << seed;
    }
}

// What has not run may go anywhere.
TEST_P(UnknownGroup, GetsWhatHasNotRun)
{
    Trial trial(GetParam().scope, 1);
    list_with_unknown(trial, [](uint32_t) { return true; });
    trial.send(RequestReceived{1, {"POST", "/op/x", "id", 0, 0, seconds(2), {{"Req-Id", "id"}}, "body"}});
    trial.send(AttemptFailed{1, {AttemptProgress::not_connected, FailureCause::connect_failed}});
    trial.send(UpstreamConnected{2});
    const Outcome outcome = trial.reset();
    EXPECT_EQ(outcome.status, 502);
}

INSTANTIATE_TEST_SUITE_P(
    Values, UnknownGroup,
    testing::Values(NoGroup{"PodAbsent", DeduplicationScope::pod_group, {}},
                    NoGroup{"PodNull", DeduplicationScope::pod_group, "null"},
                    NoGroup{"PodOfForeignType", DeduplicationScope::pod_group, R"("0")"},
                    NoGroup{"PodNegative", DeduplicationScope::pod_group, "-1"},
                    NoGroup{"PodTooHigh", DeduplicationScope::pod_group, "4294967296"},
                    NoGroup{"PodFarTooHigh", DeduplicationScope::pod_group, "18446744073709551616"},
                    NoGroup{"PodNotWhole", DeduplicationScope::pod_group, "0.5"},
                    NoGroup{"PodBeyondAnyNumber", DeduplicationScope::pod_group, "1e300"},
                    NoGroup{"ZoneAbsent", DeduplicationScope::zone, {}},
                    NoGroup{"ZoneNull", DeduplicationScope::zone, "null"},
                    NoGroup{"ZoneOfForeignType", DeduplicationScope::zone, "0"},
                    NoGroup{"ZoneEmpty", DeduplicationScope::zone, R"("")"},
                    NoGroup{"ZoneUnknown", DeduplicationScope::zone, R"("elsewhere")"}),
    [](const auto& value) { return value.param.name; });

}  // namespace
}  // namespace firtide::net
