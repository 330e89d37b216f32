// What an entry of the list says less than the one before it: the start of a process, and which process it
// is.
#include <gtest/gtest.h>

#include "balancer_host.h"
#include "src/net/discovery.h"

namespace firtide::net
{
namespace
{

constexpr int requests = 200;
constexpr Duration request_interval = seconds(0.01), response_time = seconds(0.005);

ServiceConfig service_config()
{
    ServiceConfig config;
    config.settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::idempotent));
    config.operation_names = {"op"};
    return config;
}

// A balancer with the upstreams "warm" and "cold", of which the latter has just started.
class ListedFields : public testing::Test
{
  protected:
    ListedFields() : config_(service_config()), reducer_(config_, 1, "here:1")
    {
        send(ServiceStarted{});
        list(R"({"uid":"warm","endpoint":"warm:1","state":"ready","boot_ms":0},)" +
             cold_entry(R"("boot_ms":1000000)"));
    }

    static std::string cold_entry(const std::string& field, const std::string& endpoint = "cold:1")
    {
        return R"({"uid":"cold","endpoint":")" + endpoint + R"(","state":"ready")" +
               (field.empty() ? "" : "," + field) + "}";
    }
    void list(const std::string& targets, bool is_full = false)
    {
        const auto decoded = decode_list(R"({"rev":1,"all":)" + std::string(is_full ? "true" : "false") +
                                             R"(,"targets":[)" + targets + "]}",
                                         TimePoint{});
        ASSERT_TRUE(decoded) << targets;
        send(EndpointListUpdated{decoded->update});
    }
    // The requests that "cold" gets of those that are sent now, each answered at once.
    int requests_at_cold()
    {
        int count = 0;
        for (int n = 0; n < requests; ++n) {
            now_ = now_ + (request_interval - response_time);
            const std::string id = "id" + std::to_string(++last_caller_);
            last_endpoint_.clear();
            send(RequestReceived{last_caller_,
                                 {"POST", "/op/x", id, 0, 0, seconds(2), {{"Req-Id", id}}, "body"}});
            count += last_endpoint_.starts_with("cold");
            send(UpstreamConnected{last_attempt_});
            now_ = now_ + response_time;
            send(ResponseReceived{last_attempt_, {200, false, {}, {}, "a response"}});
        }
        return count;
    }
    // By the rule on cold upstreams: the multiple at which one collapses, of the part that it can take of an
    // even share, and a window's beginning.
    int most_while_cold() const
    {
        const Settings& settings = config_.settings;
        const double seconds_sent = (request_interval * requests).seconds();
        const double capacity_share =
            settings.slow_start_min_share +
            (1 - settings.slow_start_min_share) * 2 * seconds_sent / settings.slow_start_duration.seconds();
        return 1 + static_cast<int>(settings.collapse_multiple * capacity_share * requests / 2);
    }

    void send(Event event)
    {
        const auto effects = reducer_.reduce(now_, std::move(event));
        for (const Effect& effect : effects) {
            const auto* connect = std::get_if<ConnectUpstream>(&effect);
            if (!connect) continue;
            last_attempt_ = connect->attempt;
            last_endpoint_ = connect->endpoint;
        }
    }

    ServiceConfig config_;
    Reducer reducer_;
    TimePoint now_{1'000'000'000};  // Unix time 1000 s
    RequestId last_caller_ = 0;
    AttemptId last_attempt_ = 0;
    std::string last_endpoint_;
};

TEST_F(ListedFields, AStartKeepsWorkAwayFromAColdUpstream)
{
    EXPECT_LE(requests_at_cold(), most_while_cold());
}

TEST_F(ListedFields, AStartLongAgoEndsThat)
{
    list(cold_entry(R"("boot_ms":0)"));
    EXPECT_GT(requests_at_cold(), requests / 4);
}

// Guards against a cold upstream that is pushed over since an entry does not say any more when it started.
TEST_F(ListedFields, AnEntryThatDoesNotSayWhenItStartedLeavesItCold)
{
    for (const std::string field : {"", R"("boot_ms":null)", R"("boot_ms":"0")", R"("boot_ms":-1)",
                                    R"("boot_ms":1e300)", R"("boot_ms":1125899906842624)"}) {
        list(cold_entry(R"("boot_ms":0)"));
        list(cold_entry(R"("boot_ms":)" + std::to_string(now_.us / 1000)));
        list(cold_entry(field));
        EXPECT_LE(requests_at_cold(), most_while_cold()) << field;
    }
}

TEST_F(ListedFields, ComingBackWithoutAStartLeavesItCold)
{
    list(R"({"uid":"cold","state":"gone"})");
    list(cold_entry(""));
    EXPECT_LE(requests_at_cold(), most_while_cold());
    list(R"({"uid":"warm","endpoint":"warm:1","state":"ready"})", true);
    list(cold_entry(""));
    EXPECT_LE(requests_at_cold(), most_while_cold());
}

// At another address it is another process: what was known of the one before says nothing about it.
TEST_F(ListedFields, AnotherAddressWithoutAStartIsAnotherProcess)
{
    list(cold_entry("", "cold:2"));
    EXPECT_GT(requests_at_cold(), requests / 4);
}

// Guards against results of a process that is gone, which count for the one that has its uid now.
TEST_F(ListedFields, LateResultsSayNothingOfTheProcessThatTookTheUid)
{
    list(R"({"uid":"old","endpoint":"old:1","state":"ready"})", true);
    std::vector<AttemptId> attempts;
    for (int n = 0; n < 2; ++n) {
        const std::string id = "late" + std::to_string(n);
        send(RequestReceived{++last_caller_,
                             {"POST", "/op/x", id, 0, 0, seconds(2), {{"Req-Id", id}}, "body"}});
        ASSERT_EQ(last_endpoint_, "old:1");
        send(UpstreamConnected{last_attempt_});
        attempts.push_back(last_attempt_);
    }
    list(R"({"uid":"old","state":"gone"})");
    list(R"({"uid":"old","endpoint":"new:1","state":"ready"})");
    for (const AttemptId attempt : attempts)
        send(AttemptFailed{attempt, {AttemptProgress::not_connected, FailureCause::connect_failed}});
    EXPECT_EQ(reducer_.statistics().hosts_down, 0u);
}

}  // namespace
}  // namespace firtide::net
