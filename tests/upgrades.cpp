// Two processes of one balancer, old and new, beside each other: to callers and to limits they are one.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/file.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "src/base/descriptor.h"
#include "upgrade.h"

namespace firtide
{
namespace
{

// An upstream that counts how often each id runs. A request for .../held takes this long.
constexpr int held_ms = 700;

class CountingUpstream
{
  public:
    CountingUpstream() : server_([this](TestConnection& connection) { serve(connection); }) {}

    std::string list() const
    {
        return R"({"rev":2,"all":true,"targets":[{"uid":"a","endpoint":")" + server_.endpoint() +
               R"(","state":"ready"}]})";
    }
    int runs_of(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return runs_[id];
    }

  private:
    void serve(TestConnection& connection)
    {
        for (std::string head; !(head = connection.receive_message()).empty();) {
            const auto id = head.find("Req-Id: ");
            if (id != std::string::npos) {
                const std::lock_guard lock(mutex_);
                ++runs_[head.substr(id + 8, head.find('\r', id) - id - 8)];
            }
            if (head.find("/held") != std::string::npos) sleep_ms(held_ms);
            connection.send(http_message(status_line_ok, "done"));
        }
    }

    std::mutex mutex_;
    std::map<std::string, int> runs_;
    TestServer server_;
};

// Each process has a listening socket of its own, so that a test says which one a request comes to. The
// folder is common.
class Upgrade : public testing::Test
{
  protected:
    struct Process {
        std::unique_ptr<SharedListener> listener;
        std::unique_ptr<BalancerProcess> balancer;
        uint16_t management = 0;

        uint16_t port() const { return listener->port(); }
        void kill()
        {
            ::kill(balancer->pid, SIGKILL);
            balancer->stop();
        }
    };

    Upgrade()
        : discovery_(
              [this](TestConnection& connection) { serve_unchanging_list(connection, upstream_.list()); })
    {
        program_path = FIRTIDE_PROGRAM;
    }

    // limit_files: the process cannot write to any file.
    Process start(bool limit_files = false)
    {
        Process process{std::make_unique<SharedListener>(), nullptr, free_port()};
        const auto in_child = [&] {
            process.listener->pass_on()();
            setenv("TMPDIR", folder_.folder().c_str(), 1);
            const rlimit nothing{0, 0};
            if (limit_files) setrlimit(RLIMIT_FSIZE, &nothing);
        };
        const auto management = ",\"mgmt\":\"127.0.0.1:" + std::to_string(process.management) + "\"";
        process.balancer = std::make_unique<BalancerProcess>(discovery_.endpoint(), "1024", management,
                                                             in_child, process.port());
        return process;
    }

    static std::string request(const std::string& target, const std::string& id)
    {
        return http_message("POST /" + target + " HTTP/1.1", "pick",
                            "Host: a\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: 900\r\n");
    }
    static std::string status_at(const Process& process, const std::string& target, const std::string& id)
    {
        const auto response = TestConnection(process.port()).send_and_receive(request(target, id));
        return response.substr(0, std::min<size_t>(12, response.size()));
    }
    static size_t metric(const Process& process, const std::string& name)
    {
        TestConnection connection(process.management);
        connection.send("show-resources\n");
        const auto reply = connection.receive_all();
        const auto at = reply.find("node." + name + ":");
        return at == std::string::npos ? SIZE_MAX : std::stoul(reply.substr(at + 6 + name.size()));
    }

    static constexpr const char* ok = "HTTP/1.1 200";
    static constexpr const char* conflict = "HTTP/1.1 409";

    CountingUpstream upstream_;
    TestServer discovery_;
    SharedListener folder_;
};

// Guards against a request that runs at both processes because its id is open at the other one.
TEST_F(Upgrade, AnIdThatIsOpenAtOneProcessDoesNotRunAtTheOther)
{
    const Process old_process = start(), new_process = start();
    for (const bool first_at_old : {true, false}) {
        const Process& first = first_at_old ? old_process : new_process;
        const Process& second = first_at_old ? new_process : old_process;
        for (const char* operation : {"once", "safe"}) {
            SCOPED_TRACE(std::string(operation) +
                         (first_at_old ? ", first at the old" : ", first at the new"));
            const auto id = std::string(operation) + (first_at_old ? "-old" : "-new");
            TestConnection caller(first.port());
            caller.send(request(operation + std::string("/held"), id));
            ASSERT_TRUE(wait_until([&] { return upstream_.runs_of(id) == 1; }));
            EXPECT_EQ(status_at(second, operation + std::string("/x"), id), conflict);
            EXPECT_EQ(first_line(caller.receive_message()), status_line_ok);
            EXPECT_EQ(upstream_.runs_of(id), 1);
        }
    }
}

// The same once it was answered, and once its client has left.
TEST_F(Upgrade, AnIdThatRanAtOneProcessDoesNotRunAtTheOther)
{
    const Process old_process = start(), new_process = start();
    EXPECT_EQ(status_at(old_process, "once/x", "answered"), ok);
    EXPECT_EQ(status_at(new_process, "once/x", "answered"), conflict);
    {
        TestConnection caller(old_process.port());
        caller.send(request("once/held", "left"));
        ASSERT_TRUE(wait_until([&] { return upstream_.runs_of("left") == 1; }));
    }
    sleep_ms(50);
    EXPECT_EQ(status_at(new_process, "once/x", "left"), conflict);
    EXPECT_EQ(upstream_.runs_of("answered"), 1);
    EXPECT_EQ(upstream_.runs_of("left"), 1);
}

TEST_F(Upgrade, AnIdempotentIdRunsAgainOnceItWasAnswered)
{
    const Process old_process = start(), new_process = start();
    for (const Process* process : {&old_process, &new_process, &old_process})
        EXPECT_EQ(status_at(*process, "safe/x", "again"), ok);
    EXPECT_EQ(upstream_.runs_of("again"), 3);
}

// Guards against ids that are forgotten when the old process ends, in whichever way, over several upgrades.
TEST_F(Upgrade, IdsOutliveTheOldProcess)
{
    Process process = start();
    EXPECT_EQ(status_at(process, "once/x", "first"), ok);
    for (const bool is_killed : {false, true, true, false}) {
        Process next = start();
        const int runs = upstream_.runs_of("open");
        TestConnection caller(process.port());
        caller.send(request("safe/held", "open"));
        ASSERT_TRUE(wait_until([&] { return upstream_.runs_of("open") > runs; })) << caller.receive_message();
        is_killed ? process.kill() : void(process.balancer->stop());
        process = std::move(next);
        EXPECT_EQ(status_at(process, "once/x", "first"), conflict);
        EXPECT_EQ(status_at(process, "safe/x", "open"), ok) << "its process is gone";
    }
    EXPECT_EQ(upstream_.runs_of("first"), 1);
}

// Guards against both processes running an id that both get in the same instant.
TEST_F(Upgrade, AnIdThatBothProcessesGetAtOnceIsRunByOne)
{
    const Process old_process = start(), new_process = start();
    constexpr int rounds = 300;
    std::optional<TestConnection> first(old_process.port()), second(new_process.port());
    for (int round = 0; round < rounds; ++round) {
        const auto id = "both-" + std::to_string(round);
        // Both orders.
        (round % 2 ? first : second)->send(request("once/x", id));
        (round % 2 ? second : first)->send(request("once/x", id));
        const auto at_first = first->receive_message(), at_second = second->receive_message();
        const bool ran_at_first = first_line(at_first) == status_line_ok;
        const bool ran_at_second = first_line(at_second) == status_line_ok;
        EXPECT_NE(ran_at_first, ran_at_second)
            << id << ": " << first_line(at_first) << ", " << first_line(at_second);
        EXPECT_EQ((ran_at_first ? at_second : at_first).substr(0, 12), conflict);
        EXPECT_EQ(upstream_.runs_of(id), 1);
        // A 409 ends its connection.
        (ran_at_first ? second : first).emplace((ran_at_first ? new_process : old_process).port());
    }
}

// An operator can tell whether ids are shared.
TEST_F(Upgrade, ThatSharesItsIdsSaysSo)
{
    const Process old_process = start(), new_process = start();
    sleep_ms(300);
    EXPECT_EQ(metric(old_process, "request_ids_shared"), 1u);
    EXPECT_EQ(metric(new_process, "request_ids_shared"), 1u);
    // An older version: it holds its lock and has published nothing.
    const std::string path = folder_.folder() + "/start-older.firtide";
    const Descriptor older(open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600));
    ASSERT_EQ(flock(older.fd(), LOCK_EX), 0);
    EXPECT_TRUE(wait_until([&] { return metric(new_process, "request_ids_shared") == 0; }));
    EXPECT_EQ(status_at(new_process, "once/x", "beside"), ok);
}

// Guards against a process that waits for the other one, which is stopped.
TEST_F(Upgrade, AStoppedProcessHoldsUpNoOther)
{
    const Process old_process = start(), new_process = start();
    TestConnection caller(old_process.port());
    caller.send(request("once/held", "stopped"));
    ASSERT_TRUE(wait_until([&] { return upstream_.runs_of("stopped") == 1; }));
    ::kill(old_process.balancer->pid, SIGSTOP);
    EXPECT_EQ(status_at(new_process, "once/x", "stopped"), conflict);
    for (int n = 0; n < 200; ++n) EXPECT_EQ(status_at(new_process, "once/x", "n" + std::to_string(n)), ok);
    const Process next = start();
    EXPECT_EQ(status_at(next, "once/x", "stopped"), conflict);
    EXPECT_EQ(status_at(next, "once/x", "next"), ok);
    ::kill(old_process.balancer->pid, SIGCONT);
    EXPECT_EQ(first_line(caller.receive_message()), status_line_ok);
    EXPECT_EQ(upstream_.runs_of("stopped"), 1);
}

// Guards against a start that is refused, or a process that ends, because nothing can be shared.
TEST_F(Upgrade, WhereNothingCanBeSharedBothProcessesServe)
{
    const Process old_process = start(true), new_process = start();
    for (const Process* process : {&old_process, &new_process}) {
        EXPECT_TRUE(wait_until([&] { return metric(*process, "request_ids_shared") == 0; }));
        EXPECT_EQ(status_at(*process, "once/x", "id" + std::to_string(process->port())), ok);
        EXPECT_EQ(status_at(*process, "once/x", "id" + std::to_string(process->port())), conflict);
    }
}

// A process that can write to no file still shares the ids of the one that was there before.
TEST_F(Upgrade, AProcessThatCannotPublishTakesPartInAnothersIds)
{
    const Process old_process = start(), new_process = start(true);
    EXPECT_EQ(status_at(old_process, "once/x", "x"), ok);
    EXPECT_EQ(status_at(new_process, "once/x", "x"), conflict);
    EXPECT_EQ(status_at(new_process, "once/x", "y"), ok);
    EXPECT_EQ(status_at(old_process, "once/x", "y"), conflict);
}

}  // namespace
}  // namespace firtide
