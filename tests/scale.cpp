// Tests scale runs: first options, estimate, statistics and change tracking as units, then complete runs of a
// few real and many hollow members. The runs are checked by counts and state, never by time.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "scale/change_tracker.h"
#include "scale/child_process.h"
#include "scale/estimate.h"
#include "scale/fleet_view.h"
#include "scale/hollow_protocol.h"
#include "scale/options.h"
#include "scale/statistics.h"

namespace firtide::scale
{
namespace
{

Options options_of(std::string_view experiment, const std::vector<NamedValue>& overrides = {})
{
    const auto decoded = decode_options(experiment, overrides);
    if (const auto* error = std::get_if<ConfigError>(&decoded)) ADD_FAILURE() << to_string(*error);
    const auto* options = std::get_if<Options>(&decoded);
    return options ? *options : Options{};
}

std::string error_of(std::string_view experiment, const std::vector<NamedValue>& overrides = {})
{
    const auto decoded = decode_options(experiment, overrides);
    const auto* error = std::get_if<ConfigError>(&decoded);
    return error ? to_string(*error) : "";
}

TEST(ScaleOptions, UpstreamsAndServicesFollowTheMembers)
{
    const auto options = options_of("members = 720\n");
    EXPECT_EQ(options.upstreams, 720U);
    EXPECT_EQ(options.services, 40U);
    EXPECT_EQ(options.hollow(), 715U);
}

TEST(ScaleOptions, CommandLineOverridesTheExperiment)
{
    const auto options = options_of("members = 100\nseed = 7\n", {{"members", "200"}, {"trouble", "killed"}});
    EXPECT_EQ(options.members, 200U);
    EXPECT_EQ(options.seed, 7U);
    EXPECT_EQ(options.disruption, Disruption::killed);
}

TEST(ScaleOptions, OptionValuesAreTheEffectiveValues)
{
    const auto options = options_of("members = 30\nchanges-per-second = 0.5\nlists = \"deltas\"\n");
    std::string listed;
    for (const auto& [name, value] : option_values(options)) listed += name + "=" + value + " ";
    EXPECT_NE(listed.find("members=30 "), std::string::npos) << listed;
    EXPECT_NE(listed.find("changes-per-second=0.5 "), std::string::npos) << listed;
    EXPECT_NE(listed.find("lists=deltas "), std::string::npos) << listed;
}

TEST(ScaleOptions, ErrorsNameLineAndKey)
{
    EXPECT_EQ(error_of("members = 20\nmembrs = 30\n"), "line 2: membrs: unknown key");
    EXPECT_EQ(error_of("members = 20\n\nreal = 30\n"), "line 3: real: 30 are more than the 20 members");
    EXPECT_EQ(error_of("real = 2\n"), "line 1: real: 2 are fewer than the 3 voters, who are all real");
    EXPECT_EQ(error_of("voters = 4\nreal = 8\n"), "line 1: voters: 3, 5 or 7 are expected");
    EXPECT_EQ(error_of("members = 0\n"), "line 1: members: a whole number from 1 to 2000 is expected");
    EXPECT_EQ(error_of("seconds = \"long\"\n"), "line 1: seconds: a number from 1 to 3600 is expected");
    EXPECT_EQ(error_of("trouble = \"fire\"\n"),
              "line 1: trouble: one of none, killed, restart is expected, not 'fire'");
}

TEST(ScaleOptions, CommandLineErrorsHaveNoLine)
{
    EXPECT_EQ(error_of("", {{"members", "0"}}), "line 0: members: a whole number from 1 to 2000 is expected");
    EXPECT_EQ(error_of("", {{"members", "x"}}), "line 0: members: 'x' cannot be read");
    EXPECT_EQ(error_of("", {{"nope", "1"}}), "line 0: nope: unknown key");
}

TEST(ScaleOptions, TooFewHollowMembersCannotBeKilled)
{
    EXPECT_NE(error_of("members = 40\nreal = 40\ntrouble = \"killed\"\n"), "");
    EXPECT_NE(error_of("members = 10\ntrouble = \"killed\"\n"), "");
    EXPECT_EQ(error_of("members = 40\ntrouble = \"killed\"\n"), "");
}

TEST(ScaleEstimate, CountsProcesses)
{
    Options options;
    options.members = 400, options.real = 10, options.hollow_per_process = 100, options.upstreams = 400;
    EXPECT_EQ(hollow_processes(options), 4U);
    EXPECT_EQ(estimate(options).processes, 15U);
    options.disruption = Disruption::killed;
    EXPECT_EQ(hollow_processes(options), 5U);
}

TEST(ScaleEstimate, GrowsWithMembersAndUpstreams)
{
    Options small, large, listed;
    small.upstreams = large.upstreams = 100;
    for (Options* one : {&small, &large, &listed}) one->hollow_per_process = 40;
    large.members = 1000, listed.upstreams = 10'000;
    EXPECT_GT(estimate(large).memory_mb, estimate(small).memory_mb);
    EXPECT_GT(estimate(listed).memory_mb, estimate(small).memory_mb);
    EXPECT_GT(estimate(large).descriptors_per_process, estimate(small).descriptors_per_process);
}

TEST(ScaleEstimate, RefusesRunsThatExceedALimit)
{
    const MachineLimits limits{1000, 5000};
    EXPECT_FALSE(exceeded_limit({300, 500, 5000}, limits));
    EXPECT_TRUE(exceeded_limit({301, 500, 5000}, limits));
    EXPECT_TRUE(exceeded_limit({300, 501, 5000}, limits));
    EXPECT_TRUE(exceeded_limit({300, 500, 5001}, limits));
}

TEST(ScaleStatistics, SpreadIsMedianAndMax)
{
    EXPECT_EQ(spread_of({}).max, 0);
    EXPECT_EQ(spread_of({3, 1, 2}).median, 2);
    EXPECT_EQ(spread_of({4, 1, 2, 3}).median, 2.5);
    EXPECT_EQ(spread_of({4, 1, 2, 3}).max, 4);
}

TEST(ScaleStatistics, PercentileIsOneOfTheValues)
{
    std::vector<double> values;
    for (int i = 100; i >= 1; --i) values.push_back(i);
    EXPECT_EQ(percentile({}, 0.5), 0);
    EXPECT_EQ(percentile(values, 0.5), 50);
    EXPECT_EQ(percentile(values, 0.99), 99);
    EXPECT_EQ(percentile(values, 1), 100);
}

TEST(ScaleChanges, ALaterVersionPutsEarlierChangesInForceToo)
{
    ChangeTracker tracker(1);
    tracker.member_up(0, {});
    tracker.record_change(2, {1000});
    tracker.record_change(3, {2000});
    tracker.record_list_in_force(0, 3, {5000});
    const auto summary = tracker.summary({});
    ASSERT_EQ(summary.seconds.size(), 2U);
    EXPECT_DOUBLE_EQ(summary.seconds[0], 0.004);
    EXPECT_DOUBLE_EQ(summary.seconds[1], 0.003);
    EXPECT_EQ(summary.missing, 0U);
    EXPECT_TRUE(tracker.all_at_last_version());
}

TEST(ScaleChanges, ChangeThatAMemberNeverReachesIsMissing)
{
    ChangeTracker tracker(2);
    tracker.member_up(0, {});
    tracker.member_up(1, {});
    tracker.record_change(2, {1000});
    tracker.record_list_in_force(0, 2, {1500});
    tracker.record_list_in_force(1, 1, {1500});
    EXPECT_EQ(tracker.summary({}).missing, 1U);
    EXPECT_EQ(tracker.summary({}).members_at_last_version, 1U);
    EXPECT_FALSE(tracker.all_at_last_version());
}

TEST(ScaleChanges, ChangesDoNotCountForMembersThatAreDown)
{
    ChangeTracker tracker(1);
    tracker.member_up(0, {});
    tracker.record_change(2, {1000});  // not reached before its end
    tracker.member_down(0, {1100});
    tracker.record_change(3, {1200});  // while it is down
    tracker.member_up(0, {1300});
    tracker.record_change(4, {1400});
    tracker.record_list_in_force(0, 4, {1500});
    const auto summary = tracker.summary({});
    EXPECT_EQ(summary.missing, 0U);
    ASSERT_EQ(summary.seconds.size(), 1U);
    EXPECT_DOUBLE_EQ(summary.seconds[0], 0.0001);
}

TEST(ScaleProtocol, ReportsAndCommandsRoundTrip)
{
    const auto list = decode_report(encode(HollowReport{ListInForce{7, 12, {345}}}));
    ASSERT_TRUE(list && std::holds_alternative<ListInForce>(*list));
    EXPECT_EQ(std::get<ListInForce>(*list).version, 12U);
    EXPECT_EQ(std::get<ListInForce>(*list).since.us, 345);
    fleet::TrafficCounts counts;
    counts.bytes_out = 99;
    const auto traffic = decode_report(encode(HollowReport{MemberTraffic{3, counts}}));
    ASSERT_TRUE(traffic && std::holds_alternative<MemberTraffic>(*traffic));
    EXPECT_EQ(std::get<MemberTraffic>(*traffic).counts.bytes_out, 99U);
    const auto leave = decode_command(encode(HollowCommand{Leave{5}}));
    ASSERT_TRUE(leave && std::holds_alternative<Leave>(*leave));
    EXPECT_EQ(std::get<Leave>(*leave).member, 5U);
    EXPECT_FALSE(decode_report("list 1 2"));
    EXPECT_FALSE(decode_report("list 1 2 3 4"));
    EXPECT_FALSE(decode_command("leave"));
}

TEST(ScaleFleetView, DecodesShowFleetAndRejectsTruncatedAnswers)
{
    const std::string answer =
        "me b1 incarnation 1 term 3 leader b2 majority yes voter voting\n"
        "traffic messages_in 1 messages_out 2 bytes_in 3 bytes_out 4 dropped 5\n"
        "member b1 alive zone z0 incarnation 1 votes\nmember b2 gone zone z1 incarnation 0\n"
        "duty list holder b1 epoch 1 left_ms 3 mine\nduty d1 holder none epoch 0 left_ms 0\nEOT\n";
    const auto view = decode_fleet_view(answer);
    ASSERT_TRUE(view);
    EXPECT_EQ(view->leader, "b2");
    EXPECT_EQ(view->alive, 1U);
    EXPECT_EQ(view->duties, 2U);
    EXPECT_EQ(view->duties_held, 1U);
    EXPECT_EQ(view->own_duties, std::vector<std::string>{"list"});
    ASSERT_TRUE(view->traffic);
    EXPECT_EQ(view->traffic->bytes_out, 4U);
    EXPECT_FALSE(decode_fleet_view(answer.substr(0, answer.size() - 4)));
}

// ---- complete runs ----

class ScaleRun : public testing::Test
{
  protected:
    ScaleRun()
    {
        char path[] = "/tmp/firtide-scale-test-XXXXXX";
        folder_ = mkdtemp(path);
        // A killed controller leaves its temporary directory here, so that it is removed too.
        setenv("TMPDIR", folder_.c_str(), 1);
    }
    ~ScaleRun() override
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    std::string path(const std::string& name) const { return folder_ + "/" + name; }

    ChildProcess start(std::vector<std::string> arguments)
    {
        std::vector<std::string> all{FIRTIDE_SCALE,   "run",    "--program",
                                     FIRTIDE_PROGRAM, "--json", path("result.json")};
        all.insert(all.end(), arguments.begin(), arguments.end());
        return ChildProcess::execute(all, path("errors"));
    }

    // Returns the exit status, or 128 plus the number of the signal.
    static int wait_for(ChildProcess& process)
    {
        int status = 0;
        if (waitpid(process.id(), &status, 0) != process.id()) return -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    int run(std::vector<std::string> arguments)
    {
        auto process = start(std::move(arguments));
        return wait_for(process);
    }

    std::string errors() const
    {
        std::ifstream file(path("errors"));
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

    nlohmann::json result() const
    {
        std::ifstream file(path("result.json"));
        return nlohmann::json::parse(file, nullptr, false);
    }

    // The leader sees every member alive, all members have the last version, and no change is missing.
    void expect_complete(const nlohmann::json& result, uint64_t members)
    {
        EXPECT_EQ(result["state"]["leader_sees_alive"], members);
        EXPECT_EQ(result["state"]["members_up"], members);
        EXPECT_EQ(result["state"]["members_at_last_version"], members);
        EXPECT_EQ(result["changes_missing"], 0);
    }

  private:
    std::string folder_;
};

TEST_F(ScaleRun, WholeListsReachEveryMemberAndBytesAreCounted)
{
    ASSERT_EQ(run({"--members", "250", "--real", "4", "--seconds", "3", "--changes-per-second", "2"}), 0)
        << errors();
    const auto got = result();
    expect_complete(got, 250);
    ASSERT_GE(got["changes_made"], 5);
    EXPECT_EQ(got["change_in_force_seconds"]["counted"], got["changes_made"].get<uint64_t>() * 250);
    EXPECT_EQ(got["hollow"]["members"], 246);
    EXPECT_EQ(got["balancer"]["members"], 4);
    EXPECT_EQ(got["state"]["list_holder"], "b4");
    // Each member forwards each change as the whole list to between one and three others. All other messages
    // are short.
    const auto bytes = got["totals"]["bytes_out"].get<double>();
    const auto lists = got["changes_made"].get<double>() * 250 * got["run"]["list_bytes"].get<double>();
    const auto messages = got["totals"]["messages_out"].get<double>();
    EXPECT_GE(bytes, lists);
    EXPECT_LE(bytes, 4 * lists + 500 * messages);
}

TEST_F(ScaleRun, DeltasReachEveryMemberInFewerBytes)
{
    ASSERT_EQ(run({"--members", "150", "--real", "4", "--seconds", "3", "--changes-per-second", "2",
                   "--lists", "deltas"}),
              0)
        << errors();
    const auto got = result();
    expect_complete(got, 150);
    const auto lists = got["changes_made"].get<double>() * 150 * got["run"]["list_bytes"].get<double>();
    EXPECT_LT(got["totals"]["bytes_out"].get<double>(), lists);
}

TEST_F(ScaleRun, KilledMembersAreNotWaitedFor)
{
    ASSERT_EQ(run({"--members", "60", "--real", "4", "--seconds", "3", "--trouble", "killed"}), 0)
        << errors();
    const auto got = result();
    EXPECT_EQ(got["run"]["killed_members"], 3);
    EXPECT_EQ(got["state"]["members_up"], 57);
    EXPECT_EQ(got["state"]["members_at_last_version"], 57);
    EXPECT_EQ(got["changes_missing"], 0);
}

TEST_F(ScaleRun, MembersThatLeaveAndReturnReachTheLastVersion)
{
    ASSERT_EQ(run({"--members", "40", "--real", "4", "--seconds", "4", "--restarts-per-second", "1"}), 0)
        << errors();
    const auto got = result();
    EXPECT_GE(got["run"]["restarts"], 3);
    EXPECT_EQ(got["state"]["members_at_last_version"], 40);
    EXPECT_EQ(got["changes_missing"], 0);
}

TEST_F(ScaleRun, InvalidInputsAreRefusedInOneLine)
{
    const auto refused = [this](std::vector<std::string> arguments) {
        std::filesystem::remove(path("errors"));
        EXPECT_EQ(run(std::move(arguments)), 2);
        const auto text = errors();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
        EXPECT_FALSE(std::filesystem::exists(path("result.json")));
        return text;
    };
    std::ofstream(path("experiment.toml")) << "members = 20\nmembrs = 30\n";
    EXPECT_EQ(refused({"--experiment", path("experiment.toml")}),
              "firtide-scale: " + path("experiment.toml") + ":2: membrs: unknown key\n");
    EXPECT_EQ(refused({"--members", "0"}),
              "firtide-scale: --members: a whole number from 1 to 2000 is expected\n");
    EXPECT_EQ(refused({"--members", "4", "--real", "5"}),
              "firtide-scale: --real: 5 are more than the 4 members\n");
    EXPECT_EQ(refused({"--real", "2"}),
              "firtide-scale: --real: 2 are fewer than the 3 voters, who are all real\n");
    refused({"--nope", "1"});
    refused({"--experiment", path("absent.toml")});
    refused({"--program", path("absent")});
    EXPECT_NE(refused({"--members", "2000", "--upstreams", "40000"}).find("half of the machine's"),
              std::string::npos);
    EXPECT_NE(refused({"--members", "2000", "--real", "250", "--hollow-per-process", "30"}).find("processes"),
              std::string::npos);
}

// All running processes whose parent is `parent`.
std::vector<pid_t> children_of(pid_t parent)
{
    std::vector<pid_t> found;
    for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
        const pid_t pid = std::atoi(entry.path().filename().c_str());
        std::ifstream file(entry.path() / "stat");
        std::string line;
        if (pid <= 0 || !std::getline(file, line)) continue;
        std::istringstream fields(line.substr(line.rfind(')') + 1));
        std::string state;
        pid_t its_parent = 0;
        if (fields >> state >> its_parent && its_parent == parent) found.push_back(pid);
    }
    return found;
}

// Waits without a timeout for the processes to end; ctest limits the time of the whole test.
void wait_until_gone(const std::vector<pid_t>& processes)
{
    for (const pid_t pid : processes)
        while (kill(pid, 0) == 0) {
            std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
            std::string line;
            std::getline(file, line);
            if (line.find(") Z") != std::string::npos) break;
            usleep(10'000);
        }
}

std::vector<pid_t> wait_for_children(ChildProcess& controller, size_t count)
{
    for (;;) {
        auto found = children_of(controller.id());
        if (found.size() >= count || !controller.running()) return found;
        usleep(10'000);
    }
}

TEST_F(ScaleRun, NoProcessIsLeftAfterAnInterrupt)
{
    for (const int number : {SIGINT, SIGTERM, SIGKILL}) {
        auto controller = start({"--members", "60", "--real", "4", "--seconds", "600"});
        const auto children = wait_for_children(controller, 5);
        ASSERT_EQ(children.size(), 5U) << errors();
        controller.signal(number);
        EXPECT_EQ(wait_for(controller), 128 + number);
        wait_until_gone(children);
    }
}

}  // namespace
}  // namespace firtide::scale
