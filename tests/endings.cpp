// Connections, requests and processes that end, or fall silent, while a response or a change is still
// outstanding. The race is forced by a scripted peer, a barrier or a stopped process. The rows of
// docs/endings.md name these cases.
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

// A discovery agent whose behaviour at each request is set by the test.
class DiscoveryAgent
{
  public:
    enum class Behaviour {
        answers,
        is_silent,
        refuses,
        resets,
        truncates,
        trickles,
        answers_late,
        sends_older_list
    };

    DiscoveryAgent() : server_([this](TestConnection& connection) { serve(connection); }) {}
    ~DiscoveryAgent() { done_ = true; }

    std::string endpoint() const { return server_.endpoint(); }
    void set_list(const std::string& targets)
    {
        const std::lock_guard lock(mutex_);
        targets_ = targets, ++version_;
    }
    void set_behaviour(Behaviour behaviour) { behaviour_ = behaviour; }
    // The requests received since the last call of this function, in seconds after it.
    std::vector<double> take_request_times()
    {
        const std::lock_guard lock(mutex_);
        std::vector<double> at;
        for (const auto& c : request_times_) at.push_back(std::chrono::duration<double>(c - since_).count());
        request_times_.clear(), since_ = Clock::now();
        return at;
    }
    size_t request_count()
    {
        const std::lock_guard lock(mutex_);
        return request_times_.size();
    }

  private:
    std::string list(int version)
    {
        const std::lock_guard lock(mutex_);
        return R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[)" + targets_ + "]}";
    }
    int version()
    {
        const std::lock_guard lock(mutex_);
        return version_;
    }
    void serve(TestConnection& connection)
    {
        for (std::string request;
             connection.is_open() && !(request = connection.receive_message()).empty();) {
            {
                const std::lock_guard lock(mutex_);
                request_times_.push_back(Clock::now());
            }
            const auto after = request.find("after=");
            const int known = after == std::string::npos ? -1 : std::stoi(request.substr(after + 6));
            for (int i = 0; i < 400 && behaviour_ == Behaviour::answers && known >= version(); ++i)
                sleep_ms(5);
            switch (behaviour_.load()) {
                case Behaviour::answers:
                    connection.send(http_message(status_line_ok, list(version())));
                    break;
                case Behaviour::is_silent: return (void)connection.receives_eof(10000);
                case Behaviour::refuses: connection.send(http_message("HTTP/1.1 500 no")); break;
                case Behaviour::resets: return connection.reset();
                case Behaviour::truncates:
                    connection.send(status_line_ok + "\r\nContent-Length: 900\r\n\r\n{\"rev\":");
                    return;
                case Behaviour::sends_older_list:
                    connection.send(http_message(status_line_ok, list(0)));
                    break;
                case Behaviour::answers_late:
                    sleep_ms(800), connection.send(http_message(status_line_ok, list(version())));
                    break;
                case Behaviour::trickles:
                    connection.send(status_line_ok + "\r\nContent-Length: 900\r\n\r\n{");
                    while (!done_ && !connection.receive(50) && !connection.at_eof()) connection.send(" ");
                    return;
            }
        }
    }

    std::mutex mutex_;
    std::string targets_;
    int version_ = 1;
    std::atomic<Behaviour> behaviour_{Behaviour::answers};
    std::atomic<bool> done_{false};
    std::vector<Clock::time_point> request_times_;
    Clock::time_point since_ = Clock::now();
    TestServer server_;
};

std::string next_id_header()
{
    static std::atomic<int> last{1};
    return "Req-Id: " + std::to_string(++last) + "\r\n";
}

std::string get(const std::string& more = "")
{
    return "GET /safe/x HTTP/1.1\r\n" + next_id_header() + more + "\r\n";
}

// An upstream that answers with its name.
TestServer upstream_named(const std::string& name)
{
    return TestServer([name](TestConnection& connection) {
        while (!connection.receive_message().empty()) connection.send(http_message(status_line_ok, name));
    });
}

std::string answering_upstream(uint16_t port)
{
    const auto answer = TestConnection(port).send_and_receive(get());
    const auto body = answer.find("\r\n\r\n");
    return body == std::string::npos ? "nobody" : answer.substr(body + 4);
}

// ---- discovery ----

// An agent that comes back counts as having delivered its list at once, so requests to a silent agent must
// never pause for long.
void silent_agent()
{
    DiscoveryAgent agent;
    TestServer first = upstream_named("the first");
    agent.set_list(target("a", first.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    agent.set_behaviour(DiscoveryAgent::Behaviour::is_silent);
    agent.set_list(target("a", first.endpoint()));  // ends the watch in flight
    const auto before = agent.request_count();
    wait_until([&] { return agent.request_count() >= before + 2; }, 4000);
    agent.take_request_times();
    sleep_ms(3000);
    double last = 0, longest = 0;
    for (const double at : agent.take_request_times()) longest = std::max(longest, at - last), last = at;
    std::printf("a silent agent: it is called again %s\n",
                longest < 0.4 ? "within 0.4 s, all the time" : std::to_string(longest).c_str());
}

// However requests to the agent failed: the change takes effect soon after the agent answers again.
void failed_requests(const char* what, DiscoveryAgent::Behaviour behaviour, double within)
{
    DiscoveryAgent agent;
    TestServer first = upstream_named("the first"), second = upstream_named("the second");
    agent.set_list(target("a", first.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    wait_until([&] { return answering_upstream(balancer.port) == "the first"; });
    agent.set_behaviour(behaviour);
    agent.set_list(target("b", second.endpoint()));
    const auto before = agent.request_count();
    // By then the retry delay is at its maximum.
    wait_until([&] { return agent.request_count() >= before + 7; }, 9000);
    agent.set_behaviour(DiscoveryAgent::Behaviour::answers);
    const auto since = Clock::now();
    wait_until([&] { return answering_upstream(balancer.port) == "the second"; }, 7000);
    const double took = seconds_since(since);
    std::printf("an agent %s: the change is in force %s\n", what,
                took < within ? "in time" : std::to_string(took).c_str());
}

// The agent comes back at different phases of a request: measures the time from its first answer to the
// change being in force. Where lists are polled the decision module says when to ask; a change counts as
// delivered 6 s after that moment.
void failed_requests_at_every_phase(const char* what, DiscoveryAgent::Behaviour behaviour, bool pushed,
                                    double within)
{
    DiscoveryAgent agent;
    TestServer upstreams[] = {upstream_named("0"), upstream_named("1")};
    agent.set_list(target("u0", upstreams[0].endpoint()));
    BalancerProcess balancer(agent.endpoint(), "1024", "", {}, 0,
                             pushed ? "" : R"("registry_mode":"subscribe",)");
    wait_until([&] { return answering_upstream(balancer.port) == "0"; });
    std::vector<double> took;
    const int phases = pushed ? 8 : 3;
    for (int i = 1; i <= phases; ++i) {
        const auto now = std::to_string(i % 2);
        agent.set_behaviour(behaviour);
        agent.set_list(target("u" + now, upstreams[i % 2].endpoint()));
        const auto before = agent.request_count();
        wait_until([&] { return agent.request_count() >= before + (pushed ? 5 : 2); }, 12000);
        sleep_ms(i * 47);  // somewhere within the next request or delay
        agent.set_behaviour(DiscoveryAgent::Behaviour::answers);
        const auto since = Clock::now();
        wait_until([&] { return answering_upstream(balancer.port) == now; }, 9000);
        took.push_back(seconds_since(since));
    }
    std::sort(took.begin(), took.end());
    std::fprintf(stderr, "%s, %s: median %.2f s, worst %.2f s\n", what, pushed ? "pushed" : "polled",
                 took[took.size() / 2], took.back());
    std::printf("an agent %s, lists are %s: the change is in force %s at every phase\n", what,
                pushed ? "pushed" : "polled", took.back() < within ? "in time" : "late");
}

// An agent that is always slow: requests must not be given up before it can answer.
void slow_agent()
{
    DiscoveryAgent agent;
    TestServer first = upstream_named("the first");
    agent.set_list(target("a", first.endpoint()));
    agent.set_behaviour(DiscoveryAgent::Behaviour::answers_late);
    BalancerProcess balancer(agent.endpoint());
    std::printf("an agent that takes 0.8 s: %s answers\n",
                wait_until([&] { return answering_upstream(balancer.port) == "the first"; }, 4000)
                    ? "the first"
                    : "nobody");
}

// SIGHUP while the decision module waits to ask the old address again.
void moved_between_calls()
{
    DiscoveryAgent dead, agent;
    TestServer first = upstream_named("the first");
    dead.set_behaviour(DiscoveryAgent::Behaviour::refuses);
    agent.set_list(target("a", first.endpoint()));
    BalancerProcess balancer(dead.endpoint(), "1024", "", {}, 0, R"("registry_mode":"subscribe",)");
    // The next follows 1 s later at the earliest.
    wait_until([&] { return dead.request_count() >= 3; }, 8000);
    const auto since = Clock::now();
    balancer.edit_config_and_reload(dead.endpoint(), agent.endpoint());
    wait_until([&] { return agent.request_count() > 0; }, 8000);
    std::printf("moved while it waits to ask again: the new agent is asked %s\n",
                seconds_since(since) < 0.5 ? "at once" : "late");
}

// While the process stands still, requests arrive, and after them a list in which their upstream drains.
void list_behind_requests()
{
    std::atomic<int> requests_received{0};
    TestServer first([&](TestConnection& connection) {
        while (!connection.receive_message().empty())
            ++requests_received, connection.send(http_message(status_line_ok, "the first"));
    });
    DiscoveryAgent agent;
    agent.set_list(target("a", first.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    std::vector<TestConnection> callers;
    for (int i = 0; i < 20; ++i) callers.emplace_back(balancer.port), callers.back().send(get());
    for (auto& connection : callers) connection.receive_message();
    wait_until([&] { return agent.request_count() >= 2; });  // the watch is in flight
    kill(balancer.pid, SIGSTOP);
    requests_received = 0;
    for (auto& connection : callers) connection.send(get());
    // Long enough not to be read in one go.
    agent.set_list(target("a", first.endpoint(), "draining") + std::string(60000, ' '));
    sleep_ms(50);  // the watch is answered: its bytes wait in the stopped process's socket
    kill(balancer.pid, SIGCONT);
    int throttled = 0;
    for (auto& connection : callers)
        throttled += first_line(connection.receive_message()).find(" 503 ") != std::string::npos;
    std::printf(
        "a list that came behind 20 requests, in a stall: %d throttled, %d sent to the draining upstream\n",
        throttled, requests_received.load());
}

// ---- callers ----

struct HeldUpstream {
    std::atomic<int> requests_received{0}, closed{0};
    std::atomic<bool> release{false};
    TestServer upstream{[this](TestConnection& connection) {
        while (!connection.receive_message().empty()) {
            ++requests_received;
            while (!release && !connection.at_eof()) connection.receive(5);
            if (connection.at_eof()) break;
            connection.send(http_message(status_line_ok, "held"));
        }
        ++closed;
    }};
};

void closed_behind_unread_bytes()
{
    HeldUpstream held_upstream;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    caller.send(get());
    wait_until([&] { return held_upstream.requests_received == 1; });
    caller.send(std::string(64 * 1024, 'x'));  // stays unread while the request waits
    sleep_ms(60);  // any sooner, this could be a half-close by a caller that still reads
    const auto since = Clock::now();
    caller.close();
    wait_until([&] { return held_upstream.closed == 1; });
    std::printf("a caller closes behind 64 KiB that nobody reads: its forward is ended %s\n",
                seconds_since(since) < 0.2 ? "at once" : "late");
}

void half_closed()
{
    std::atomic<int> requests_received{0};
    TestServer declines([&](TestConnection& connection) {
        while (!connection.receive_message().empty())
            ++requests_received, sleep_ms(200),
                connection.send(http_message("HTTP/1.1 503 no", "", "Srv-Declined: 1\r\n"));
    });
    DiscoveryAgent agent;
    agent.set_list(target("a", declines.endpoint()) + "," + target("b", declines.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    caller.send(get()), caller.shutdown_write();
    const auto answer = first_line(caller.receive_message());
    std::printf(
        "a caller closes its sending side with its request, which is declined 0.2 s later: %s, %d sent\n",
        answer.c_str(), requests_received.load());
}

// Half a request, and the rest while the process stands still for longer than a request may take.
void completed_in_a_stall()
{
    HeldUpstream held_upstream;
    held_upstream.release = true;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    const auto request = get();
    caller.send(request.substr(0, 20));
    TestConnection(balancer.port).send_and_receive(get());  // by now the first half has been read
    kill(balancer.pid, SIGSTOP);
    sleep_ms(2700);
    caller.send(request.substr(20));
    kill(balancer.pid, SIGCONT);
    std::printf("a request that became whole in a stall of 2.7 s: %s\n",
                first_line(caller.receive_message()).c_str());
}

// The caller's request and the end of its stream arrive while the process stands still.
void half_closed_in_a_stall()
{
    HeldUpstream held_upstream;
    held_upstream.release = true;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    caller.send_and_receive(get());
    const int before = held_upstream.requests_received;
    kill(balancer.pid, SIGSTOP);
    caller.send(get()), caller.shutdown_write();
    sleep_ms(200);
    kill(balancer.pid, SIGCONT);
    const auto answer = first_line(caller.receive_message());
    std::printf("a caller asks and closes its sending side in a stall of 0.2 s: %s, %d sent on\n",
                answer.c_str(), held_upstream.requests_received - before);
}

// A hundred callers wait for their first attempt, at an upstream that never completes a connection, and
// disconnect together: at once, when it could be a half-close by callers that still read, or a moment
// later.
void burst_that_disconnects(int after_ms)
{
    const int full_listener = socket(AF_INET, SOCK_STREAM, 0);
    auto at = TestConnection::loopback_address(0);
    bind(full_listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
    socklen_t size = sizeof at;
    getsockname(full_listener, reinterpret_cast<sockaddr*>(&at), &size);
    listen(full_listener, 0);
    const uint16_t port = ntohs(at.sin_port);
    // Fills the queue: further connections are never completed, and are given up after 0.1 s.
    TestConnection fills_queue(port);
    std::atomic<int> sent_on{0};
    TestServer other([&](TestConnection& connection) {
        for (std::string request; !(request = connection.receive_message()).empty();
             connection.send(http_message(status_line_ok, "the other")))
            sent_on += request.find("/safe/burst") != std::string::npos;
    });
    const auto nobody = target("a", "127.0.0.1:" + std::to_string(port));
    DiscoveryAgent agent;
    agent.set_list(nobody);
    BalancerProcess balancer(agent.endpoint());
    std::vector<TestConnection> callers;
    for (int i = 0; i < 100; ++i) callers.emplace_back(balancer.port);
    for (auto& connection : callers)
        connection.send("GET /safe/burst HTTP/1.1\r\n" + next_id_header() + "\r\n");
    sleep_ms(after_ms);
    callers.clear();
    sleep_ms(60);  // attempts at the other upstream begin later than this after the callers have gone
    agent.set_list(nobody + "," + target("b", other.endpoint()));
    wait_until([&] { return answering_upstream(balancer.port) == "the other"; }, 4000);
    sleep_ms(300);  // by now all of their attempts are given up
    std::printf("a hundred leave %s, before their first attempt: %d sent on\n",
                after_ms ? "a moment later" : "at once", sent_on.load());
    close(full_listener);
}

// All descriptors are taken by callers that send nothing; some callers wait for responses.
void all_descriptors_taken()
{
    HeldUpstream held_upstream;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint(), "128");
    std::vector<TestConnection> awaiting, idle;
    for (int i = 0; i < 8; ++i) awaiting.emplace_back(balancer.port), awaiting.back().send(get());
    wait_until([&] { return held_upstream.requests_received == 8; });
    for (int i = 0; i < 100; ++i) idle.emplace_back(balancer.port);
    TestConnection asks(balancer.port);
    const auto since = Clock::now();
    const auto answer = first_line(asks.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n"));
    const bool soon = seconds_since(since) < 1.5;
    held_upstream.release = true;
    int served = 0;
    for (auto& connection : awaiting) served += first_line(connection.receive_message()) == status_line_ok;
    std::printf(
        "behind 100 that send nothing, with 128 descriptors: %s %s, %d of 8 outstanding responses arrived\n",
        answer.c_str(), soon ? "soon" : "late", served);
}

// The same while discovery is down; operators and upstreams need descriptors when it is back.
void descriptors_taken_during_outage()
{
    HeldUpstream held_upstream;
    held_upstream.release = true;
    DiscoveryAgent agent;
    agent.set_behaviour(DiscoveryAgent::Behaviour::is_silent);
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    const uint16_t management = free_port();
    BalancerProcess balancer(agent.endpoint(), "128",
                             R"(,"mgmt":"127.0.0.1:)" + std::to_string(management) + "\"");
    std::vector<TestConnection> idle;
    for (int i = 0; i < 200; ++i) idle.emplace_back(balancer.port);
    const auto before = agent.request_count();
    wait_until([&] { return agent.request_count() >= before + 3; });
    agent.set_behaviour(DiscoveryAgent::Behaviour::answers);
    const auto since = Clock::now();
    wait_until([&] {
        TestConnection connection(management);
        connection.send("ready\n");
        return connection.receive_all() == "SUCCESS ready\n";
    });
    const auto answer = answering_upstream(balancer.port);
    std::printf("discovery is back behind 200 that send nothing: %s, %s\n", answer.c_str(),
                seconds_since(since) < 1.5 ? "soon" : "late");
}

// A connection is evicted: a request that crosses the end must not be answered by a reset.
void eviction()
{
    HeldUpstream held_upstream;
    held_upstream.release = true;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint(), "128");
    TestConnection rests(balancer.port);
    rests.send_and_receive(get());
    const int before = held_upstream.requests_received;
    sleep_ms(2100);  // connections idle for less than 2 s are never evicted
    std::vector<TestConnection> idle;
    for (int i = 0; i < 100; ++i) idle.emplace_back(balancer.port);
    const bool ended = rests.receives_eof(4000);
    rests.send(get());
    sleep_ms(5);
    std::printf("one that rests is evicted, and its next request crosses: %s, %s, %d sent on\n",
                ended ? "the end came first" : "NO END", rests.was_reset() ? "reset" : "not reset",
                held_upstream.requests_received - before);
}

// Thirty processes start at once while discovery is down: those with a known list are ready during the
// outage, those without one soon after it.
void thirty_processes_at_once()
{
    HeldUpstream held_upstream;
    held_upstream.release = true;
    for (const bool known : {true, false}) {
        DiscoveryAgent agent;
        agent.set_behaviour(DiscoveryAgent::Behaviour::is_silent);
        agent.set_list(target("a", held_upstream.upstream.endpoint()));
        const auto list = R"(,"known":{"rev":1,"all":true,"targets":[)" +
                          target("a", held_upstream.upstream.endpoint()) + "]}";
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
        agent.set_behaviour(DiscoveryAgent::Behaviour::answers);
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

// The process ends a connection between requests: a request that crosses the end is not forwarded, and
// nothing is reset.
void crossing_shutdown()
{
    HeldUpstream held_upstream;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    held_upstream.release = true;
    TestConnection resting(balancer.port), silent(balancer.port);
    resting.send_and_receive(get());
    const int before = held_upstream.requests_received;
    kill(balancer.pid, SIGTERM);
    const bool ended = resting.receives_eof(3000) && silent.receives_eof(3000);
    resting.send(get()), silent.send(get().substr(0, 9));
    resting.shutdown_write(), silent.shutdown_write();
    int status = 0;
    waitpid(std::exchange(balancer.pid, 0), &status, 0);
    std::printf("a request crosses the end of its connection: %s, %d sent on, %s, exit status %d\n",
                ended ? "the end came first" : "NO END", held_upstream.requests_received - before,
                resting.was_reset() || silent.was_reset() ? "reset" : "not reset", status);
}

// Clients wait for at most 1 s: the process is killed 1.7 s after the signal at the earliest.
void short_deadlines()
{
    HeldUpstream held_upstream;
    DiscoveryAgent agent;
    agent.set_list(target("a", held_upstream.upstream.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection half(balancer.port), before(balancer.port), never(balancer.port);
    half.send("POST /once/x HTTP/1.1\r\n" + next_id_header() +
              "Req-Deadline-Ms: 1000\r\nContent-Length: 1\r\n");
    never.send("POST /once/x HTTP/1.1\r\n");
    before.send(get("Req-Deadline-Ms: 1000\r\n"));
    wait_until([&] { return held_upstream.requests_received == 1; });
    const auto since = Clock::now();
    kill(balancer.pid, SIGTERM);
    kill(balancer.pid, SIGTERM);
    const auto first = first_line(before.receive_message());
    half.send("\r\nx");  // complete now, about a second after the signal
    const auto second = first_line(half.receive_message());
    const auto third = first_line(never.receive_message());
    const double took = seconds_since(since);
    int status = 0;
    waitpid(std::exchange(balancer.pid, 0), &status, 0);
    std::printf(
        "stopping where clients wait for 1 s: %s, whole after the signal: %s, never whole: %s, all %s, "
        "exit status %d %s\n",
        first.c_str(), second.c_str(), third.c_str(),
        took < 1.6 ? "before it may be killed" : std::to_string(took).c_str(), status,
        seconds_since(since) < 1.7 ? "before that too" : "later");
}

// SIGTERM before the first list, followed at once by SIGHUP.
void stopped_early()
{
    DiscoveryAgent agent;
    agent.set_behaviour(DiscoveryAgent::Behaviour::is_silent);
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    std::printf("no list yet: %s", first_line(caller.send_and_receive(get())).c_str());
    kill(balancer.pid, SIGTERM), kill(balancer.pid, SIGHUP);
    std::printf(", after SIGTERM and SIGHUP: %s", first_line(caller.send_and_receive(get())).c_str());
    caller.close();
    int status = 0;
    waitpid(std::exchange(balancer.pid, 0), &status, 0);
    std::printf(", exit status %d\n", status);
}

// ---- upstreams ----

// A response without a length is not complete if its connection is reset.
void reset_within_an_answer()
{
    TestServer resets([&](TestConnection& connection) {
        connection.receive_message();
        connection.send(status_line_ok + "\r\nConnection: close\r\n\r\nhalf");
        connection.receive(100);
        connection.reset();
    });
    TestServer ends([&](TestConnection& connection) {
        connection.receive_message();
        connection.send(status_line_ok + "\r\nConnection: close\r\n\r\nwhole");
    });
    DiscoveryAgent agent;
    agent.set_list(target("a", resets.endpoint()));
    BalancerProcess balancer(agent.endpoint());
    TestConnection caller(balancer.port);
    std::printf("an answer with no length is reset: %s\n",
                first_line(caller.send_and_receive("POST /once/x HTTP/1.1\r\n" + next_id_header() +
                                                   "Content-Length: 0\r\n\r\n"))
                    .c_str());
    agent.set_list(target("b", ends.endpoint()));
    wait_until([&] { return answering_upstream(balancer.port) == "whole"; });
    std::printf("it ends: %s\n", answering_upstream(balancer.port).c_str());
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    signal(SIGPIPE, SIG_IGN);
    std::printf("-- discovery\n");
    silent_agent();
    using Behaviour = DiscoveryAgent::Behaviour;
    failed_requests("refuses", Behaviour::refuses, 0.5);
    failed_requests("resets its connections", Behaviour::resets, 0.5);
    failed_requests("truncates its responses", Behaviour::truncates, 0.5);
    failed_requests("sends an older list", Behaviour::sends_older_list, 0.5);
    failed_requests("never ends its answers", Behaviour::trickles, 0.5);
    failed_requests_at_every_phase("is silent", Behaviour::is_silent, true, 0.6);
    failed_requests_at_every_phase("truncates its responses", Behaviour::truncates, true, 0.6);
    failed_requests_at_every_phase("is silent", Behaviour::is_silent, false, 5.5);
    failed_requests_at_every_phase("refuses", Behaviour::refuses, false, 5.5);
    slow_agent();
    moved_between_calls();
    list_behind_requests();
    std::printf("-- callers\n");
    closed_behind_unread_bytes();
    half_closed();
    completed_in_a_stall();
    half_closed_in_a_stall();
    burst_that_disconnects(0);
    burst_that_disconnects(50);
    all_descriptors_taken();
    descriptors_taken_during_outage();
    eviction();
    thirty_processes_at_once();
    crossing_shutdown();
    short_deadlines();
    stopped_early();
    std::printf("-- upstreams\n");
    reset_within_an_answer();
}
