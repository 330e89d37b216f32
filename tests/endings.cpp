// Each way in which something ends, or falls silent, at an instant at which something is still owed: the
// crossing is forced by a scripted peer, a barrier or a stopped process. The rows of docs/endings.md name
// these parts.
#include <algorithm>
#include <memory>
#include <mutex>

#include "trace.h"

using namespace firtide;
using Clock = std::chrono::steady_clock;

namespace
{

double seconds_since(Clock::time_point then)
{
    return std::chrono::duration<double>(Clock::now() - then).count();
}

std::string target(const std::string& uid, const std::string& endpoint, const char* state = "ready")
{
    return R"({"uid":")" + uid + R"(","endpoint":")" + endpoint + R"(","state":")" + state + "\"}";
}

// Discovery, with what it does to each call in the hands of the test.
class Agent
{
  public:
    enum class Does { answers, is_silent, refuses, resets, tears, trickles, answers_late, is_behind };

    Agent() : stand_in_([this](TestConnection& w) { serve(w); }) {}
    ~Agent() { done_ = true; }

    std::string endpoint() const { return stand_in_.endpoint(); }
    void list_is(const std::string& targets)
    {
        const std::lock_guard hold(lock_);
        targets_ = targets, ++version_;
    }
    void does(Does what) { does_ = what; }
    // The calls that came since the last time, in seconds after it.
    std::vector<double> calls()
    {
        const std::lock_guard hold(lock_);
        std::vector<double> at;
        for (const auto& c : calls_) at.push_back(std::chrono::duration<double>(c - since_).count());
        calls_.clear(), since_ = Clock::now();
        return at;
    }
    size_t called()
    {
        const std::lock_guard hold(lock_);
        return calls_.size();
    }

  private:
    std::string list(int version)
    {
        const std::lock_guard hold(lock_);
        return R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[)" + targets_ + "]}";
    }
    int version()
    {
        const std::lock_guard hold(lock_);
        return version_;
    }
    void serve(TestConnection& w)
    {
        for (std::string request; w.is_open() && !(request = w.receive_message()).empty();) {
            {
                const std::lock_guard hold(lock_);
                calls_.push_back(Clock::now());
            }
            const auto after = request.find("after=");
            const int known = after == std::string::npos ? -1 : std::stoi(request.substr(after + 6));
            for (int i = 0; i < 400 && does_ == Does::answers && known >= version(); ++i) sleep_ms(5);
            switch (does_.load()) {
                case Does::answers: w.send(http_message(status_line_ok, list(version()))); break;
                case Does::is_silent: return (void)w.receives_eof(10000);
                case Does::refuses: w.send(http_message("HTTP/1.1 500 no")); break;
                case Does::resets: return w.reset();
                case Does::tears: w.send(status_line_ok + "\r\nContent-Length: 900\r\n\r\n{\"rev\":"); return;
                case Does::is_behind: w.send(http_message(status_line_ok, list(0))); break;
                case Does::answers_late:
                    sleep_ms(800), w.send(http_message(status_line_ok, list(version())));
                    break;
                case Does::trickles:
                    w.send(status_line_ok + "\r\nContent-Length: 900\r\n\r\n{");
                    while (!done_ && !w.receive(50) && !w.at_eof()) w.send(" ");
                    return;
            }
        }
    }

    std::mutex lock_;
    std::string targets_;
    int version_ = 1;
    std::atomic<Does> does_{Does::answers};
    std::atomic<bool> done_{false};
    std::vector<Clock::time_point> calls_;
    Clock::time_point since_ = Clock::now();
    TestServer stand_in_;
};

std::string an_id()
{
    static std::atomic<int> last{1};
    return "Req-Id: " + std::to_string(++last) + "\r\n";
}

std::string get(const std::string& more = "") { return "GET /safe/x HTTP/1.1\r\n" + an_id() + more + "\r\n"; }

// Upstreams that say who they are.
TestServer upstream_called(const std::string& name)
{
    return TestServer([name](TestConnection& w) {
        while (!w.receive_message().empty()) w.send(http_message(status_line_ok, name));
    });
}

std::string who_answers(uint16_t port)
{
    const auto answer = TestConnection(port).send_and_receive(get());
    const auto body = answer.find("\r\n\r\n");
    return body == std::string::npos ? "nobody" : answer.substr(body + 4);
}

// ---- discovery ----

// What an agent that was down has at its return counts as told at once: the calls go on all the time.
void silent_agent()
{
    Agent agent;
    TestServer first = upstream_called("the first");
    agent.list_is(target("a", first.endpoint()));
    BalancerProcess f(agent.endpoint());
    agent.does(Agent::Does::is_silent);
    agent.list_is(target("a", first.endpoint()));  // ends the watch that is out
    const auto before = agent.called();
    wait_until([&] { return agent.called() >= before + 2; }, 4000);
    agent.calls();
    sleep_ms(3000);
    double last = 0, longest = 0;
    for (const double at : agent.calls()) longest = std::max(longest, at - last), last = at;
    std::printf("a silent agent: it is called again %s\n",
                longest < 0.4 ? "within 0.4 s, all the time" : std::to_string(longest).c_str());
}

// However a call ended: the change is in force soon after the agent answers again.
void spoilt_calls(const char* what, Agent::Does does, double within)
{
    Agent agent;
    TestServer first = upstream_called("the first"), second = upstream_called("the second");
    agent.list_is(target("a", first.endpoint()));
    BalancerProcess f(agent.endpoint());
    wait_until([&] { return who_answers(f.port) == "the first"; });
    agent.does(does);
    agent.list_is(target("b", second.endpoint()));
    const auto before = agent.called();
    wait_until([&] { return agent.called() >= before + 7; }, 9000);  // its pauses are the longest by then
    agent.does(Agent::Does::answers);
    const auto since = Clock::now();
    wait_until([&] { return who_answers(f.port) == "the second"; }, 7000);
    const double took = seconds_since(since);
    std::printf("an agent %s: the change is in force %s\n", what,
                took < within ? "in time" : std::to_string(took).c_str());
}

// At every phase of a call: from the moment at which the agent answers again to the change being in force.
// Where lists are asked for the module says when; a change counts as told 6 s after that moment.
void every_phase(const char* what, Agent::Does does, bool pushed, double within)
{
    Agent agent;
    TestServer upstreams[] = {upstream_called("0"), upstream_called("1")};
    agent.list_is(target("u0", upstreams[0].endpoint()));
    BalancerProcess f(agent.endpoint(), "1024", "", {}, 0, pushed ? "" : R"("registry_mode":"subscribe",)");
    wait_until([&] { return who_answers(f.port) == "0"; });
    std::vector<double> took;
    const int phases = pushed ? 8 : 3;
    for (int i = 1; i <= phases; ++i) {
        const auto now = std::to_string(i % 2);
        agent.does(does);
        agent.list_is(target("u" + now, upstreams[i % 2].endpoint()));
        const auto before = agent.called();
        wait_until([&] { return agent.called() >= before + (pushed ? 5 : 2); }, 12000);
        sleep_ms(i * 47);  // somewhere within the next call or pause
        agent.does(Agent::Does::answers);
        const auto since = Clock::now();
        wait_until([&] { return who_answers(f.port) == now; }, 9000);
        took.push_back(seconds_since(since));
    }
    std::sort(took.begin(), took.end());
    std::fprintf(stderr, "%s, %s: median %.2f s, worst %.2f s\n", what, pushed ? "pushed" : "asked for",
                 took[took.size() / 2], took.back());
    std::printf("an agent %s, lists are %s: the change is in force %s at every phase\n", what,
                pushed ? "pushed" : "asked for", took.back() < within ? "in time" : "late");
}

// An agent that is always slow: no call may be given up before it has had a chance.
void late_agent()
{
    Agent agent;
    TestServer first = upstream_called("the first");
    agent.list_is(target("a", first.endpoint()));
    agent.does(Agent::Does::answers_late);
    BalancerProcess f(agent.endpoint());
    std::printf(
        "an agent that takes 0.8 s: %s answers\n",
        wait_until([&] { return who_answers(f.port) == "the first"; }, 4000) ? "the first" : "nobody");
}

// SIGHUP while the module waits for its turn to ask the old address again.
void moved_between_calls()
{
    Agent dead, agent;
    TestServer first = upstream_called("the first");
    dead.does(Agent::Does::refuses);
    agent.list_is(target("a", first.endpoint()));
    BalancerProcess f(dead.endpoint(), "1024", "", {}, 0, R"("registry_mode":"subscribe",)");
    wait_until([&] { return dead.called() >= 3; }, 8000);  // 1 s at the least until the next
    const auto since = Clock::now();
    f.edit_config_and_reload(dead.endpoint(), agent.endpoint());
    wait_until([&] { return agent.called() > 0; }, 8000);
    std::printf("moved while it waits to ask again: it asks the new agent %s\n",
                seconds_since(since) < 0.5 ? "at once" : "late");
}

// The process stands still while requests come and then a list that says that their upstream drains.
void list_behind_requests()
{
    std::atomic<int> asked{0};
    TestServer first([&](TestConnection& w) {
        while (!w.receive_message().empty()) ++asked, w.send(http_message(status_line_ok, "the first"));
    });
    Agent agent;
    agent.list_is(target("a", first.endpoint()));
    BalancerProcess f(agent.endpoint());
    std::vector<TestConnection> callers;
    for (int i = 0; i < 20; ++i) callers.emplace_back(f.port), callers.back().send(get());
    for (auto& w : callers) w.receive_message();
    wait_until([&] { return agent.called() >= 2; });  // the watch is out
    kill(f.pid, SIGSTOP);
    asked = 0;
    for (auto& w : callers) w.send(get());
    // Long enough not to be read at once.
    agent.list_is(target("a", first.endpoint(), "draining") + std::string(60000, ' '));
    sleep_ms(50);  // the watch is answered: its bytes are with the stopped process
    kill(f.pid, SIGCONT);
    int throttled = 0;
    for (auto& w : callers) throttled += first_line(w.receive_message()).find(" 503 ") != std::string::npos;
    std::printf(
        "a list that came behind 20 requests, in a stall: %d throttled, %d sent to the one that drains\n",
        throttled, asked.load());
}

// ---- callers ----

struct Held {
    std::atomic<int> asked{0}, ended{0};
    std::atomic<bool> go{false};
    TestServer upstream{[this](TestConnection& w) {
        while (!w.receive_message().empty()) {
            ++asked;
            while (!go && !w.at_eof()) w.receive(5);
            if (w.at_eof()) break;
            w.send(http_message(status_line_ok, "held"));
        }
        ++ended;
    }};
};

void gone_behind_bytes()
{
    Held held;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    caller.send(get());
    wait_until([&] { return held.asked == 1; });
    caller.send(std::string(64 * 1024, 'x'));  // stays unread while the request waits
    sleep_ms(60);                              // sooner, it could be one that sends nothing more and listens
    const auto since = Clock::now();
    caller.close();
    wait_until([&] { return held.ended == 1; });
    std::printf("a caller closes behind 64 KiB that nobody reads: its forward is ended %s\n",
                seconds_since(since) < 0.2 ? "at once" : "late");
}

void half_closed()
{
    std::atomic<int> asked{0};
    TestServer declines([&](TestConnection& w) {
        while (!w.receive_message().empty())
            ++asked, sleep_ms(200), w.send(http_message("HTTP/1.1 503 no", "", "Srv-Declined: 1\r\n"));
    });
    Agent agent;
    agent.list_is(target("a", declines.endpoint()) + "," + target("b", declines.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    caller.send(get()), caller.shutdown_write();
    const auto answer = first_line(caller.receive_message());
    std::printf(
        "a caller closes its sending side with its request, which is declined 0.2 s later: %s, %d sent\n",
        answer.c_str(), asked.load());
}

// Half a request, and the rest while the process stands still for longer than a request may take.
void whole_in_a_stall()
{
    Held held;
    held.go = true;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    const auto request = get();
    caller.send(request.substr(0, 20));
    TestConnection(f.port).send_and_receive(get());  // the first half has been read by now
    kill(f.pid, SIGSTOP);
    sleep_ms(2700);
    caller.send(request.substr(20));
    kill(f.pid, SIGCONT);
    std::printf("a request that became whole in a stall of 2.7 s: %s\n",
                first_line(caller.receive_message()).c_str());
}

// Its request and its end come while the process stands still.
void gone_in_a_stall()
{
    Held held;
    held.go = true;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    caller.send_and_receive(get());
    const int before = held.asked;
    kill(f.pid, SIGSTOP);
    caller.send(get()), caller.shutdown_write();
    sleep_ms(200);
    kill(f.pid, SIGCONT);
    const auto answer = first_line(caller.receive_message());
    std::printf("a caller asks and closes its sending side in a stall of 0.2 s: %s, %d sent on\n",
                answer.c_str(), held.asked - before);
}

// A hundred that wait for their first attempt, at an upstream that nobody answers for, and leave together: at
// once, when they could be such that send nothing more and listen, or a moment later.
void burst_that_leaves(int after_ms)
{
    const int full = socket(AF_INET, SOCK_STREAM, 0);
    auto at = TestConnection::loopback_address(0);
    bind(full, reinterpret_cast<sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    getsockname(full, reinterpret_cast<sockaddr*>(&at), &size);
    listen(full, 0);
    const uint16_t port = ntohs(at.sin_port);
    TestConnection fills(port);  // its queue: further connections never come up, and are given up after 0.1 s
    std::atomic<int> sent_on{0};
    TestServer other([&](TestConnection& w) {
        for (std::string request; !(request = w.receive_message()).empty();
             w.send(http_message(status_line_ok, "the other")))
            sent_on += request.find("/safe/burst") != std::string::npos;
    });
    const auto nobody = target("a", "127.0.0.1:" + std::to_string(port));
    Agent agent;
    agent.list_is(nobody);
    BalancerProcess f(agent.endpoint());
    std::vector<TestConnection> callers;
    for (int i = 0; i < 100; ++i) callers.emplace_back(f.port);
    for (auto& w : callers) w.send("GET /safe/burst HTTP/1.1\r\n" + an_id() + "\r\n");
    sleep_ms(after_ms);
    callers.clear();
    sleep_ms(60);  // what begins at the other one begins later than this after they have gone
    agent.list_is(nobody + "," + target("b", other.endpoint()));
    wait_until([&] { return who_answers(f.port) == "the other"; }, 4000);
    sleep_ms(300);  // by now all that they waited for is given up
    std::printf("a hundred leave %s, before their first attempt: %d sent on\n",
                after_ms ? "a moment later" : "at once", sent_on.load());
    close(full);
}

// All descriptors are taken by callers that say nothing and by such that rest; some wait for their answers.
void crowded()
{
    Held held;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint(), "128");
    std::vector<TestConnection> owed, idle;
    for (int i = 0; i < 8; ++i) owed.emplace_back(f.port), owed.back().send(get());
    wait_until([&] { return held.asked == 8; });
    for (int i = 0; i < 100; ++i) idle.emplace_back(f.port);
    TestConnection asks(f.port);
    const auto since = Clock::now();
    const auto answer = first_line(asks.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n"));
    const bool soon = seconds_since(since) < 1.5;
    held.go = true;
    int served = 0;
    for (auto& w : owed) served += first_line(w.receive_message()) == status_line_ok;
    std::printf(
        "behind 100 that say nothing, with 128 descriptors: %s %s, %d of 8 that were owed an answer got it\n",
        answer.c_str(), soon ? "soon" : "late", served);
}

// The same while discovery is down, and operators and upstreams need theirs when it is back.
void crowded_while_down()
{
    Held held;
    held.go = true;
    Agent agent;
    agent.does(Agent::Does::is_silent);
    agent.list_is(target("a", held.upstream.endpoint()));
    const uint16_t management = free_port();
    BalancerProcess f(agent.endpoint(), "128", R"(,"mgmt":"127.0.0.1:)" + std::to_string(management) + "\"");
    std::vector<TestConnection> idle;
    for (int i = 0; i < 200; ++i) idle.emplace_back(f.port);
    const auto before = agent.called();
    wait_until([&] { return agent.called() >= before + 3; });
    agent.does(Agent::Does::answers);
    const auto since = Clock::now();
    wait_until([&] {
        TestConnection w(management);
        w.send("ready\n");
        return w.receive_all() == "SUCCESS ready\n";
    });
    const auto answer = who_answers(f.port);
    std::printf("discovery is back behind 200 that say nothing: %s, %s\n", answer.c_str(),
                seconds_since(since) < 1.5 ? "soon" : "late");
}

// Evicted to make room: what crosses the end is not reset.
void evicted()
{
    Held held;
    held.go = true;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint(), "128");
    TestConnection rests(f.port);
    rests.send_and_receive(get());
    const int before = held.asked;
    sleep_ms(2100);  // nobody who has rested for less than 2 s is evicted
    std::vector<TestConnection> idle;
    for (int i = 0; i < 100; ++i) idle.emplace_back(f.port);
    const bool ended = rests.receives_eof(4000);
    rests.send(get());
    sleep_ms(5);
    std::printf("one that rests is evicted, and its next request crosses: %s, %s, %d sent on\n",
                ended ? "the end came first" : "NO END", rests.was_reset() ? "reset" : "not reset",
                held.asked - before);
}

// Thirty that start at once: with the list of before while discovery is down, and without one when it is
// back.
void thirty_at_once()
{
    Held held;
    held.go = true;
    for (const bool known : {true, false}) {
        Agent agent;
        agent.does(Agent::Does::is_silent);
        agent.list_is(target("a", held.upstream.endpoint()));
        const auto list =
            R"(,"known":{"rev":1,"all":true,"targets":[)" + target("a", held.upstream.endpoint()) + "]}";
        std::vector<std::unique_ptr<BalancerProcess>> all;
        std::vector<std::thread> starting;
        for (int i = 0; i < 30; ++i) all.emplace_back();
        for (auto& one : all)
            starting.emplace_back(
                [&] { one = std::make_unique<BalancerProcess>(agent.endpoint(), "256", known ? list : ""); });
        for (auto& t : starting) t.join();
        const auto ready = [&] {
            int n = 0;
            for (auto& one : all)
                n +=
                    first_line(TestConnection(one->port).send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n")) ==
                    status_line_ok;
            return n;
        };
        const int down = ready();
        agent.does(Agent::Does::answers);
        const auto since = Clock::now();
        wait_until([&] { return ready() == 30; }, 5000);
        const double took = seconds_since(since);
        std::fprintf(stderr, "thirty at once, %s: %d ready while discovery is down, all %.2f s after\n",
                     known ? "with a list" : "without", down, took);
        std::printf(
            "thirty start at once %s a list while discovery is down: %d ready, all %s once it is back\n",
            known ? "with" : "without", down, took < 2 ? "soon" : "late");
        for (auto& one : all) kill(one->pid, SIGTERM);
    }
}

// At the end of a connection, between requests: what crosses it is not sent on, and nothing is reset.
void crossing_shutdown()
{
    Held held;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint());
    held.go = true;
    TestConnection resting(f.port), silent(f.port);
    resting.send_and_receive(get());
    const int before = held.asked;
    kill(f.pid, SIGTERM);
    const bool ended = resting.receives_eof(3000) && silent.receives_eof(3000);
    resting.send(get()), silent.send(get().substr(0, 9));
    resting.shutdown_write(), silent.shutdown_write();
    int status = 0;
    waitpid(std::exchange(f.pid, 0), &status, 0);
    std::printf("a request crosses the end of its connection: %s, %d sent on, %s, exit status %d\n",
                ended ? "the end came first" : "NO END", held.asked - before,
                resting.was_reset() || silent.was_reset() ? "reset" : "not reset", status);
}

// Clients wait for 1 s at the most: the process is killed 1.7 s after the signal at the earliest.
void short_deadlines()
{
    Held held;
    Agent agent;
    agent.list_is(target("a", held.upstream.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection half(f.port), before(f.port), never(f.port);
    half.send("POST /once/x HTTP/1.1\r\n" + an_id() + "Req-Deadline-Ms: 1000\r\nContent-Length: 1\r\n");
    never.send("POST /once/x HTTP/1.1\r\n");
    before.send(get("Req-Deadline-Ms: 1000\r\n"));
    wait_until([&] { return held.asked == 1; });
    const auto since = Clock::now();
    kill(f.pid, SIGTERM);
    kill(f.pid, SIGTERM);
    const auto first = first_line(before.receive_message());
    half.send("\r\nx");  // whole now, a second or so after the signal
    const auto second = first_line(half.receive_message());
    const auto third = first_line(never.receive_message());
    const double took = seconds_since(since);
    int status = 0;
    waitpid(std::exchange(f.pid, 0), &status, 0);
    std::printf(
        "stopping where clients wait for 1 s: %s, whole after the signal: %s, never whole: %s, all %s, "
        "exit status %d %s\n",
        first.c_str(), second.c_str(), third.c_str(),
        took < 1.6 ? "before it may be killed" : std::to_string(took).c_str(), status,
        seconds_since(since) < 1.7 ? "before that too" : "later");
}

// SIGTERM before the first list, and with a SIGHUP right behind it.
void stopped_early()
{
    Agent agent;
    agent.does(Agent::Does::is_silent);
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    std::printf("no list yet: %s", first_line(caller.send_and_receive(get())).c_str());
    kill(f.pid, SIGTERM), kill(f.pid, SIGHUP);
    std::printf(", after SIGTERM and SIGHUP: %s", first_line(caller.send_and_receive(get())).c_str());
    caller.close();
    int status = 0;
    waitpid(std::exchange(f.pid, 0), &status, 0);
    std::printf(", exit status %d\n", status);
}

// ---- upstreams ----

// An answer with no length that is reset has not ended.
void reset_within_an_answer()
{
    TestServer resets([&](TestConnection& w) {
        w.receive_message();
        w.send(status_line_ok + "\r\nConnection: close\r\n\r\nhalf");
        w.receive(100);
        w.reset();
    });
    TestServer ends([&](TestConnection& w) {
        w.receive_message();
        w.send(status_line_ok + "\r\nConnection: close\r\n\r\nwhole");
    });
    Agent agent;
    agent.list_is(target("a", resets.endpoint()));
    BalancerProcess f(agent.endpoint());
    TestConnection caller(f.port);
    std::printf("an answer with no length is reset: %s\n",
                first_line(caller.send_and_receive("POST /once/x HTTP/1.1\r\n" + an_id() +
                                                   "Content-Length: 0\r\n\r\n"))
                    .c_str());
    agent.list_is(target("b", ends.endpoint()));
    wait_until([&] { return who_answers(f.port) == "whole"; });
    std::printf("it ends: %s\n", who_answers(f.port).c_str());
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    signal(SIGPIPE, SIG_IGN);
    std::printf("-- discovery\n");
    silent_agent();
    using Does = Agent::Does;
    spoilt_calls("refuses", Does::refuses, 0.5);
    spoilt_calls("resets its calls", Does::resets, 0.5);
    spoilt_calls("tears its answers", Does::tears, 0.5);
    spoilt_calls("is behind", Does::is_behind, 0.5);
    spoilt_calls("never ends its answers", Does::trickles, 0.5);
    every_phase("is silent", Does::is_silent, true, 0.6);
    every_phase("tears its answers", Does::tears, true, 0.6);
    every_phase("is silent", Does::is_silent, false, 5.5);
    every_phase("refuses", Does::refuses, false, 5.5);
    late_agent();
    moved_between_calls();
    list_behind_requests();
    std::printf("-- callers\n");
    gone_behind_bytes();
    half_closed();
    whole_in_a_stall();
    gone_in_a_stall();
    burst_that_leaves(0);
    burst_that_leaves(50);
    crowded();
    crowded_while_down();
    evicted();
    thirty_at_once();
    crossing_shutdown();
    short_deadlines();
    stopped_early();
    std::printf("-- upstreams\n");
    reset_within_an_answer();
}
