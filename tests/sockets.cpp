// The service on loopback, between test clients and servers that act as callers, an upstream and discovery.
#include <memory>
#include <mutex>

#include "trace.h"

using namespace firtide;

namespace
{

// What the upstream does with a request. Each part of the test sets its own.
std::function<void(TestConnection&, const std::string&)> upstream_behaviour;
std::atomic<int> upstream_requests{0}, upstream_closes{0};

void serve_upstream(TestConnection& connection)
{
    for (std::string request; connection.is_open() && !(request = connection.receive_message()).empty();) {
        ++upstream_requests;
        upstream_behaviour(connection, request);
    }
    ++upstream_closes;
}

std::string upstream_endpoint;
std::mutex list_mutex;
std::string current_list;
std::atomic<int> list_version{1}, discovery_requests{0};
std::atomic<bool> discovery_silent{false};

void serve_discovery(TestConnection& connection)
{
    for (std::string request; connection.is_open() && !(request = connection.receive_message()).empty();) {
        const auto after = request.find("after=");
        ++discovery_requests;
        if (after != std::string::npos)
            for (int i = 0; i < 20 && std::stoi(request.substr(after + 6)) >= list_version; ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (discovery_silent) return (void)connection.receives_eof(10000);
        const std::lock_guard lock(list_mutex);
        connection.send(http_message(status_line_ok, current_list));
    }
}

std::string target(const char* uid, const std::string& endpoint, const char* state)
{
    return std::string(R"({"uid":")") + uid + R"(","endpoint":")" + endpoint + R"(","state":")" + state +
           "\"}";
}

void set_list(const std::string& targets)
{
    const std::lock_guard lock(list_mutex);
    current_list =
        "{\"rev\":" + std::to_string(++list_version) + R"(,"all":true,"targets":[)" + targets + "]}";
}

// Answers the next request for a newer version with this text instead of a list.
void set_malformed_list(const std::string& text)
{
    const std::lock_guard lock(list_mutex);
    current_list = text, ++list_version;
}

std::string next_id_header()
{
    static std::atomic<int> last{1};
    return "Req-Id: " + std::to_string(++last) + "\r\n";
}

std::string get(const std::string& path)
{
    return "GET /safe/" + path + " HTTP/1.1\r\nHost: a\r\n" + next_id_header() + "\r\n";
}

std::string post(const std::string& path, const std::string& body = "b")
{
    return http_message("POST /once/" + path + " HTTP/1.1", body,
                        "Host: a\r\n" + next_id_header() + "Req-Deadline-Ms: 600\r\n");
}

void print_response(const char* what, const std::string& answer)
{
    const auto body = answer.find("\r\n\r\n");
    const auto text = body == std::string::npos ? "" : answer.substr(body + 4);
    std::printf("%s: %s, %s\n", what, first_line(answer).c_str(),
                text.size() > 80 ? (std::to_string(text.size()) + " bytes").c_str() : text.c_str());
}

void outcomes(BalancerProcess& firtide, const TestServer& upstream)
{
    const std::pair<const char*, std::function<void(TestConnection&, const std::string&)>> behaviours[] = {
        {"answers",
         [](TestConnection& connection, auto&) { connection.send(http_message(status_line_ok, "well")); }},
        {"answers in chunks",
         [](TestConnection& connection, auto&) {
             connection.send(status_line_ok + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n");
         }},
        {"answers and closes",
         [](TestConnection& connection, auto&) {
             connection.send(http_message(status_line_ok, "well", "Connection: close\r\n")),
                 connection.close();
         }},
        {"answers 500",
         [](TestConnection& connection, auto&) { connection.send(http_message("HTTP/1.1 500 no")); }},
        {"answers 503",
         [](TestConnection& connection, auto&) { connection.send(http_message("HTTP/1.1 503 no")); }},
        {"declines",
         [](TestConnection& connection, auto&) {
             connection.send(http_message("HTTP/1.1 503 no", "", "Srv-Declined: 1\r\n"));
         }},
        {"closes without an answer", [](TestConnection& connection, auto&) { connection.close(); }},
        {"resets", [](TestConnection& connection, auto&) { connection.reset(); }},
        {"answers half",
         [](TestConnection& connection, auto&) {
             connection.send(status_line_ok + "\r\nContent-Length: 9\r\n\r\nhalf"), connection.close();
         }},
        {"answers nonsense", [](TestConnection& connection, auto&) { connection.send("nonsense\r\n\r\n"); }},
        {"is silent",
         [](TestConnection& connection, auto&) { connection.receives_eof(1500), connection.close(); }},
    };
    for (const auto& [what, behaviour] : behaviours) {
        upstream_behaviour = behaviour;
        set_list(target(what, upstream.endpoint(), "ready"));  // a new upstream, without history
        sleep_ms(50);
        upstream_requests = 0;
        TestConnection caller(firtide.port);
        std::printf("upstream %s: ", what);
        const auto once = first_line(caller.send_and_receive(post("x")));
        const int forwards = upstream_requests.exchange(0);
        const auto safe = first_line(caller.send_and_receive(get("x")));
        std::printf("once %s after %d, safe %s after %d\n", once.c_str(), forwards, safe.c_str(),
                    upstream_requests.load());
    }
}

// Malformed responses, and responses followed by further bytes.
void malformed_responses(BalancerProcess& firtide, const TestServer& upstream)
{
    const std::pair<const char*, std::string> behaviours[] = {
        {"begins and goes no further", status_line_ok + "\r\nContent-Length: 9\r\n\r\nhalf"},
        {"never ends its head", status_line_ok + "\r\nX: y\r\n"},
        {"says that it has 3 GB", status_line_ok + "\r\nContent-Length: 3221225472\r\n\r\nxxxx"},
        {"has a length and chunks",
         status_line_ok +
             "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"},
    };
    for (const auto& [what, bytes] : behaviours) {
        upstream_behaviour = [&](TestConnection& connection, auto&) {
            if (upstream_requests > 1) return connection.send(http_message(status_line_ok, "well"));
            connection.send(bytes);
            connection.receives_eof(1500);
        };
        set_list(target(what, upstream.endpoint(), "ready"));  // a new upstream, without history
        sleep_ms(50);
        std::printf("an answer %s: ", what);
        TestConnection caller(firtide.port);
        upstream_requests = 0;
        const auto once = first_line(caller.send_and_receive(post("x")));
        upstream_requests = 0;
        const auto safe = first_line(caller.send_and_receive(get("x")));
        std::printf("once %s, safe %s after %d\n", once.c_str(), safe.c_str(), upstream_requests.load());
        for (int i = 0; i < 12; ++i) caller.send_and_receive(get("x"));  // successes that allow another retry
    }
    set_list(target("another", upstream.endpoint(), "ready"));
    sleep_ms(50);
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send("HTTP/1.1 102 Processing\r\n\r\n"), sleep_ms(600),
            connection.send(http_message(status_line_ok, "well"));
    };
    print_response("an interim answer, and the real one late",
                   TestConnection(firtide.port).send_and_receive(get("x")));
    const auto go = std::make_shared<std::atomic<bool>>(false);
    upstream_behaviour = [go](TestConnection& connection, const std::string& request) {
        const auto answer = http_message(status_line_ok, request.substr(0, request.find(' ', 6)));
        connection.send(answer);
        wait_until([&go] { return go->load(); });
        connection.send(answer);
    };
    TestConnection caller(firtide.port);
    caller.send_and_receive(post("one"));
    kill(firtide.pid, SIGSTOP);
    caller.send(post("two")), sleep_ms(50);
    *go = true, sleep_ms(50);
    kill(firtide.pid, SIGCONT);
    print_response("a second copy comes late, and the next request", caller.receive_message());
}

// Upstreams that refuse connections, or never complete them because the listener's queue is full.
void unreachable(BalancerProcess& firtide)
{
    const int full_listener = socket(AF_INET, SOCK_STREAM, 0);
    auto at = TestConnection::loopback_address(free_port());
    const std::string port = std::to_string(ntohs(at.sin_port));
    bind(full_listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
    listen(full_listener, 0);
    TestConnection fills_queue(ntohs(at.sin_port));
    for (const auto& [what, where] :
         {std::pair("refuses", std::to_string(free_port())), {"does not complete connections", port}}) {
        set_list(target(what, "127.0.0.1:" + where, "ready"));
        sleep_ms(50);
        std::printf("upstream %s: once %s\n", what,
                    first_line(TestConnection(firtide.port).send_and_receive(post("x"))).c_str());
    }
    close(full_listener);
}

// The process stands still for a while, as on a machine short of processors.
void stalled(BalancerProcess& firtide)
{
    upstream_behaviour = [](TestConnection& connection, const std::string& request) {
        const int ms = std::stoi(request.substr(request.find("Req-Deadline-Ms: ") + 17));
        connection.send(http_message(
            status_line_ok, ms <= 330 ? "forwarded with the reduced deadline" : std::to_string(ms) + " ms"));
        if (request.find("/closing") != std::string::npos) connection.receives_eof(100), connection.close();
    };
    TestConnection caller(firtide.port);
    caller.send_and_receive(post("closing"));
    kill(firtide.pid, SIGSTOP);
    caller.send(post("x"));
    sleep_ms(300);  // the upstream closes the connection meanwhile
    kill(firtide.pid, SIGCONT);
    print_response("after a stall of 0.3 s", caller.receive_message());
}

void callers(BalancerProcess& firtide)
{
    upstream_behaviour = [](TestConnection& connection, const std::string& request) {
        const auto deadline = request.find("Req-Deadline-Ms: ") + 17;
        const int ms = std::stoi(request.substr(deadline));
        connection.send(http_message(
            status_line_ok, request.substr(0, request.find('\r')) +
                                (ms > 550 && ms <= 600 ? ", in time" : ", " + std::to_string(ms) + " ms") +
                                ", " + std::to_string(request.size() - request.find("\r\n\r\n") - 4) +
                                " bytes"));
    };
    TestConnection caller(firtide.port);
    print_response("plain", caller.send_and_receive(post("a/b?c=d%20e")));
    print_response("64 KiB", caller.send_and_receive(post("x", std::string(65536, 'x'))));
    print_response("chunked", caller.send_and_receive(
                                  "POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: 600\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    caller.send(post("first") + post("second"));
    print_response("two at once", caller.receive_message());
    print_response("and the second", caller.receive_message());
    const auto whole = post("slow");
    caller.send(whole.substr(0, 30)), sleep_ms(30), caller.send(whole.substr(30, whole.size() - 31)),
        sleep_ms(30);
    caller.send(whole.substr(whole.size() - 1));
    print_response("in pieces", caller.receive_message());
    const auto expecting =
        http_message("POST /once/x HTTP/1.1", "b",
                     "Req-Id: continued-1\r\nReq-Deadline-Ms: 600\r\nExpect: 100-continue\r\n");
    std::printf("Expect: 100-continue: %s",
                first_line(caller.send_and_receive(expecting.substr(0, expecting.size() - 1))).c_str());
    print_response(", and then", caller.send_and_receive("b"));
    print_response("70000 bytes, passed on",
                   TestConnection(firtide.port).send_and_receive(post("x", std::string(70000, 'x'))));
    const std::pair<const char*, std::string> bad[] = {
        {"no HTTP", "hello\r\n\r\n"},
        {"bytes", std::string("\0\xff\x80\r\n\r\n", 7)},
        {"no id", "GET /safe HTTP/1.1\r\n\r\n"},
        {"unknown operation", "GET /other HTTP/1.1\r\nReq-Id: 1\r\n\r\n"},
        {"unknown method", "BREW /safe HTTP/1.1\r\nReq-Id: 1\r\n\r\n"},
        {"bad length", "POST /once HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: x\r\n\r\n"},
        {"negative length", "POST /once HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: -5\r\n\r\n"},
        {"a length and chunks",
         "POST /once HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 1\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n"},
        {"another coding",
         "POST /once HTTP/1.1\r\nReq-Id: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
        {"a huge length", "POST /once HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 99999999999999999999\r\n\r\n"},
        {"a header that goes on", "GET /safe HTTP/1.1\r\nReq-Id: 1\r\nX: a\r\n b\r\n\r\n"},
        {"two lengths",
         "POST /once HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 1\r\nContent-Length: 0\r\n\r\nb"},
        {"a target with a host", "GET http://a/-/ready HTTP/1.1\r\n\r\n"},
        {"bad chunk", "POST /once HTTP/1.1\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
        {"bad header", "GET /safe HTTP/1.1\r\nReq-Id 1\r\n\r\n"},
        {"endless head", "GET /safe HTTP/1.1\r\nX: " + std::string(40000, 'x')},
        {"bad deadline", "GET /safe HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: soon\r\n\r\n"},
    };
    for (const auto& [what, text] : bad)
        std::printf("%s: %s\n", what,
                    first_line(TestConnection(firtide.port).send_and_receive(text)).c_str());
    print_response("a valid request after those", TestConnection(firtide.port).send_and_receive(post("x")));
}

// Slow callers. Guards against connections that stay open for ever by sending a byte now and then, and
// against refusing other callers because of them.
void slow_callers(BalancerProcess& firtide)
{
    upstream_behaviour = [](TestConnection& connection, auto&) {
        sleep_ms(200), connection.send(http_message(status_line_ok, "well"));
    };
    const std::pair<const char*, std::string> begun[] = {
        {"sends nothing", ""},
        {"half a head", "GET /safe/x HTTP/1.1\r\n"},
        {"half a body", http_message("POST /once/x HTTP/1.1", "body body", next_id_header()).substr(0, 60)},
        {"a head that never ends", "GET /safe/x HTTP/1.1\r\n"},
    };
    std::vector<TestConnection> all;
    for (const auto& [what, text] : begun) all.emplace_back(firtide.port), all.back().send(text);
    for (int i = 0; i < 28; ++i) sleep_ms(100), all.back().send("X: y\r\n");
    for (size_t i = 0; i < all.size(); ++i) {
        const auto answer = all[i].receive_message();
        std::printf("%s: %s, %s within 3 s\n", begun[i].first, first_line(answer).c_str(),
                    all[i].receives_eof(200) ? "closed" : "still open");
    }
    TestConnection many(firtide.port), usual(firtide.port);
    std::string hundreds;
    for (int i = 0; i < 100; ++i) hundreds += get("many");
    many.send(hundreds), usual.send(get("x"));
    const auto answer = usual.receive_message();
    print_response("beside a hundred requests at once", answer);
    int answers = 0;
    while (!many.receive_message().empty()) ++answers;
    std::printf("of the hundred %s were answered before their connection was closed\n",
                answers > 0 && answers < 20 ? "a few" : std::to_string(answers).c_str());
}

// Bodies that would not fit into memory are refused before they arrive. Guards against exceeding the memory
// limit.
void large_bodies(const std::string& discovery)
{
    BalancerProcess firtide(discovery, "512,\"memory_mb\":16");
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send(http_message(status_line_ok, "well"));
    };
    std::vector<TestConnection> all;
    const auto whole = post("x", std::string(65536, 'x'));
    for (int i = 0; i < 160; ++i) all.emplace_back(firtide.port), all.back().send(whole.substr(0, 60000));
    int refused = 0;
    sleep_ms(100);
    for (auto& connection : all) refused += connection.receive(0);
    std::printf("of 160 bodies of 64 KiB at once %s refused early\n",
                refused > 0 && refused < 160 ? "some are" : std::to_string(refused).c_str());
    all.clear();
    sleep_ms(50);
    print_response("and then",
                   TestConnection(firtide.port).send_and_receive(post("x", std::string(65536, 'x'))));
    TestConnection huge(firtide.port);
    huge.send("POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 60000000\r\n\r\n");
    std::printf("60 MB: %s, before a byte of it\n", first_line(huge.receive_message()).c_str());
}

// Dozens of incomplete requests while few descriptors are left. Guards against other callers having to wait
// until all of those have timed out.
void incomplete_requests(const std::string& discovery)
{
    BalancerProcess firtide(discovery, "64");
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send(http_message(status_line_ok, "well"));
    };
    // Callers that send one request and stay connected: idle connections may not be closed at once.
    std::vector<TestConnection> half, staying;
    std::string answer;
    for (int i = 0; i < 24; ++i)
        staying.emplace_back(firtide.port), answer = staying.back().send_and_receive(get("x"));
    std::printf("the last of 24 connections that stay open after one request %s\n",
                answer.find("Connection: close") != std::string::npos ? "is to close after its response"
                                                                      : "may stay open");
    staying.clear();
    sleep_ms(50);
    for (int i = 0; i < 60; ++i)
        half.emplace_back(firtide.port), half.back().send("GET /safe/x HTTP/1.1\r\n");
    TestConnection usual(firtide.port);
    usual.send(get("x"));
    std::printf("behind 60 half requests, with 64 descriptors: %s\n",
                usual.receive(1500) ? first_line(usual.receive_message()).c_str() : "nothing within 1.5 s");
}

void disconnects(BalancerProcess& firtide)
{
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.receives_eof(1500), connection.close();
    };
    for (const bool by_reset : {false, true}) {
        sleep_ms(50);
        upstream_closes = upstream_requests = 0;
        TestConnection caller(firtide.port);
        caller.send(get("x"));
        wait_until([] { return upstream_requests == 1; });
        sleep_ms(60);  // any sooner, this could be a half-close by a caller that still reads
        by_reset ? caller.reset() : caller.close();
        std::printf("a caller leaves%s: its forward is %s\n", by_reset ? " by a reset" : "",
                    wait_until([] { return upstream_closes == 1; }, 300) ? "ended" : "still out");
    }
    upstream_behaviour = [](TestConnection& connection, auto&) {
        sleep_ms(100), connection.send(http_message(status_line_ok, "well"));
    };
    TestConnection caller(firtide.port);
    caller.send(get("x")), caller.shutdown_write();
    print_response("a caller closes its sending side alone", caller.receive_message());
    std::printf("and then its connection is %s\n", caller.receives_eof(500) ? "closed" : "still open");
}

void idle(BalancerProcess& firtide)
{
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send(http_message(status_line_ok));
    };
    TestConnection(firtide.port).send_and_receive(get("x"));
    upstream_closes = 0;
    int waited_ms = 0;
    for (; upstream_closes == 0 && waited_ms < 2000; waited_ms += 10) sleep_ms(10);
    std::printf("an idle connection is closed %s\n", waited_ms > 200 && waited_ms < 380
                                                         ? "clearly before the upstream would"
                                                         : std::to_string(waited_ms).c_str());
}

void list_changes(BalancerProcess& firtide, const TestServer& upstream)
{
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send(http_message(status_line_ok));
    };
    TestServer other([](TestConnection& connection) {
        while (!connection.receive_message().empty())
            connection.send(http_message(status_line_ok, "the other"));
    });
    const auto answers = [&] {
        const auto a = TestConnection(firtide.port).send_and_receive(get("x"));
        return a.find("the other") != std::string::npos ? "the other"
               : first_line(a) == status_line_ok        ? "the first"
                                                        : "nobody";
    };
    const auto after = [&](const char* what, const std::string& targets) {
        set_list(targets);
        sleep_ms(100);
        std::printf("%s: %s answers\n", what, answers());
    };
    const auto after_malformed_list = [&](const char* what, const std::string& text) {
        set_malformed_list(text);
        sleep_ms(100);
        std::printf("%s: %s answers\n", what, answers());
    };
    const auto old = [&](const char* state) {
        return R"({"rev":1,"all":true,"targets":[)" + target("u", upstream.endpoint(), state) + "]}";
    };
    after_malformed_list("a truncated list", R"({"rev":900,"all":true,"targets":[{"uid":"u","endp)");
    after_malformed_list("a list of another form", R"({"rev":900,"all":true,"targets":{"u":"gone"}})");
    after_malformed_list("a target without an id", R"({"rev":900,"all":true,"targets":[{"state":"gone"}]})");
    after_malformed_list("an older list, in which it drains", old("draining"));
    set_list(target("u", upstream.endpoint(), "draining"));
    wait_until([&] { return std::string(answers()) == "nobody"; }, 5000);
    std::printf("it drains: %s answers\n", answers());
    after_malformed_list("an older list, in which it is ready", old("ready"));
    set_list(target("u", upstream.endpoint(), "draining"));
    sleep_ms(1200);  // longer than the longest delay between requests to discovery
    std::printf("it drains still: %s answers\n", answers());
    after("it is ready again", target("u", upstream.endpoint(), "ready"));
    after("it moves", target("u", other.endpoint(), "ready"));
    after("it is gone", target("u", other.endpoint(), "gone"));
    after("a list without it", "");
    discovery_silent = true;
    set_list(target("u", upstream.endpoint(), "ready"));
    sleep_ms(300);
    std::printf("discovery falls silent: %s answers\n", answers());
    discovery_silent = false;
    wait_until([&] { return firtide.port && std::string(answers()) == "the first"; }, 5000);
    std::printf("discovery is back: %s answers\n", answers());
    const int before = discovery_requests;
    sleep_ms(500);
    std::printf("a watch without changes is repeated %s\n",
                discovery_requests - before <= 4 ? "as it ends" : "all the time");
}

// SIGHUP under load. Guards against ending on the signal, against an invalid file taking effect, and
// against an old discovery agent being heard after the address has changed.
void reloading(const std::string& discovery)
{
    BalancerProcess firtide(discovery);
    TestServer other([](TestConnection& connection) {
        while (!connection.receive_message().empty())
            connection.send(http_message(status_line_ok, "the other"));
    });
    TestServer moved([&](TestConnection& connection) {
        const auto list =
            R"({"rev":1,"all":true,"targets":[)" + target("v", other.endpoint(), "ready") + "]}";
        for (std::string request; !(request = connection.receive_message()).empty();
             connection.send(http_message(status_line_ok, list)))
            if (request.find("after=1&") != std::string::npos) sleep_ms(100);
    });
    upstream_behaviour = [](TestConnection& connection, auto&) {
        sleep_ms(300), connection.send(http_message(status_line_ok, "the first"));
    };
    TestConnection busy_caller(firtide.port), caller(firtide.port);
    busy_caller.send(get("x"));
    sleep_ms(50);
    firtide.edit_config_and_reload(discovery, "nowhere");
    print_response("an invalid file", caller.send_and_receive(get("x")));
    firtide.edit_config_and_reload("nowhere", moved.endpoint());
    sleep_ms(100);
    print_response("discovery's address changed", caller.send_and_receive(get("x")));
    print_response("what was in flight", busy_caller.receive_message());
    set_list(target("u", upstream_endpoint, "ready"));
    sleep_ms(200);
    print_response("the old agent sends a list", caller.send_and_receive(get("x")));
    std::printf("exit status %d\n", firtide.stop().status);
}

// How often each request reached the upstream, by Req-Id.
struct RequestCounts {
    std::mutex mutex;
    std::map<std::string, int> by_id;
};

// Settings are switched back and forth under load, with files in between that are invalid, truncated or
// missing. Guards against losing an accepted request, and against answering or sending it twice.
void settings_changes(const std::string& discovery)
{
    BalancerProcess firtide(discovery);
    const auto requests = std::make_shared<RequestCounts>();
    upstream_behaviour = [requests](TestConnection& connection, const std::string& request) {
        const auto at = request.find("Req-Id: ");
        {
            const std::lock_guard lock(requests->mutex);
            ++requests->by_id[request.substr(at, request.find('\r', at) - at)];
        }
        sleep_ms(60), connection.send(http_message(status_line_ok, "done"));
    };
    std::atomic<bool> on{true};
    std::atomic<int> served{0}, other{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] {
            for (TestConnection connection(firtide.port); on;)
                ++(first_line(connection.send_and_receive(i % 2 ? post("x", "b") : get("x"))) ==
                           status_line_ok
                       ? served
                       : other);
        });
    const std::string was = R"("max_forwards":3)", is = R"("max_forwards":2,"may_duplicate":true)";
    const std::string last = "\"conn_idle_us\":400000,";
    for (int i = 0; i < 5; ++i) {
        sleep_ms(80), firtide.edit_config_and_reload(was, is);
        sleep_ms(40), firtide.edit_config_and_reload(last, "\"conn_idle_us\":\"soon\",");  // invalid
        sleep_ms(40), firtide.edit_config_and_reload("\"conn_idle_us\":\"soon\",", last);
        const auto whole = firtide.config_text;
        sleep_ms(40), firtide.edit_config_and_reload(whole.substr(whole.size() / 2), "");  // truncated
        firtide.config_text = whole;
        sleep_ms(40);
        unlink(firtide.config_path.c_str()), kill(firtide.pid, SIGHUP);  // missing
        sleep_ms(40), firtide.edit_config_and_reload(is, was);
    }
    sleep_ms(100);
    on = false;
    for (auto& c : callers) c.join();
    int twice = 0;
    const auto& effects = requests->by_id;
    for (const auto& [id, n] : effects) twice += n > 1;
    std::printf(
        "settings switched back and forth five times: %s served, %d not, %d executed without a response, %d "
        "twice\n",
        served > 50 ? "all" : "few", other.load(), static_cast<int>(effects.size()) - served, twice);
    TestConnection caller(firtide.port);
    const std::string safe = R"({"name":"safe","repeat":"free","client_timeout_us":1000000},)";
    firtide.edit_config_and_reload(safe, ""), sleep_ms(50);
    print_response("a removed operation", caller.send_and_receive(get("x")));
    TestConnection again(firtide.port);
    print_response("the remaining operation", again.send_and_receive(post("x", "b")));
    firtide.edit_config_and_reload("[\n", "[" + safe + "\n"), sleep_ms(50);
    TestConnection back(firtide.port);
    print_response("the operation is restored", back.send_and_receive(get("x")));
    firtide.config_text.replace(firtide.config_text.find(safe), safe.size(), "");
    firtide.edit_config_and_reload("\"127.0.0.1:" + std::to_string(firtide.port), "\"127.0.0.1:1");
    sleep_ms(50);
    print_response("a file with another listen address is refused as a whole",
                   back.send_and_receive(get("x")));
    std::printf("exit status %d\n", firtide.stop().status);
}

void stopping(const std::string& discovery)
{
    // Clients wait for 3 s: the process is killed no sooner than 3.7 s after the signal. endings.cpp tests
    // clients that wait for less.
    BalancerProcess firtide(discovery);
    firtide.edit_config_and_reload(R"("client_timeout_us":1000000},)", R"("client_timeout_us":3000000},)");
    TestConnection(firtide.port).send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    upstream_behaviour = [](TestConnection& connection, auto&) {
        sleep_ms(700), connection.send(http_message(status_line_ok, "late"));
    };
    TestConnection busy_caller(firtide.port), resting(firtide.port), half(firtide.port), other(firtide.port);
    busy_caller.send(get("x"));
    resting.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    half.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n"),
        other.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    half.send("GET /safe/x HTTP/1.1\r\n");
    wait_until([] { return upstream_requests > 0; });
    std::thread stop([&] {
        const auto since = std::chrono::steady_clock::now();
        std::printf("exit status %d", firtide.stop().status);
        std::printf(", %s a request that never ends\n",
                    std::chrono::steady_clock::now() - since < std::chrono::seconds(10) ? "in spite of"
                                                                                        : "held up by");
    });
    sleep_ms(300);
    TestConnection late(firtide.port);
    std::printf("0.3 s after SIGTERM: %s",
                first_line(late.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n")).c_str());
    std::printf("%s", late.receives_eof() ? ", its connection is closed\n" : "\n");
    TestConnection last(firtide.port);
    last.send(get("x"));
    std::printf("what was in flight: %s\n", first_line(busy_caller.receive_message()).c_str());
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.send(http_message(status_line_ok, "quick"));
    };
    sleep_ms(500);
    std::printf("a second later, on an idle connection: %s\n",
                first_line(resting.send_and_receive(get("x"))).c_str());
    other.send("GET /safe/x HTTP/1.1\r\n");
    std::printf("an idle connection is %s\n", resting.receives_eof() ? "closed" : "still open");
    std::printf("a request sent after SIGTERM: %s\n", first_line(last.receive_message()).c_str());
    // Guards against exiting before the last response is delivered: the upstream never answers this
    // request, so its response is due just before the end.
    upstream_behaviour = [](TestConnection& connection, auto&) {
        connection.receives_eof(2000), connection.close();
    };
    sleep_ms(900);
    other.send(next_id_header() + "\r\n");
    std::printf("a request completed just before the end, which its upstream never answers: %s\n",
                first_line(other.receive_message()).c_str());
    stop.join();
    std::printf("a new connection %s\n",
                TestConnection(firtide.port).is_open() ? "is still accepted" : "is refused");
}

void many_callers(const std::string& discovery, int callers, const char* sockets, const std::string& body)
{
    BalancerProcess firtide(discovery, sockets);
    upstream_behaviour = [](TestConnection& connection, auto&) {
        sleep_ms(100), connection.send(http_message(status_line_ok, std::string(65536, 'x')));
    };
    std::vector<TestConnection> all;
    for (int i = 0; i < callers; ++i) {
        all.emplace_back(firtide.port);
        all.back().send(body.empty() ? get("x") : post("x", body));
    }
    int served = 0, refused = 0, other = 0;
    for (auto& connection : all) {
        const auto line = first_line(connection.receive_message());
        ++(line == status_line_ok ? served : line.find(" 503 ") != std::string::npos ? refused : other);
    }
    const auto used = firtide.stop();
    std::printf("%d callers, with %s descriptors: ", callers, sockets);
    if (served == 0 || other > 0)
        std::printf("%d served, %d throttled, %d not answered, ", served, refused, other);
    std::printf("exit status %d, %s spinning, %s 100 MB\n", used.status,
                used.cpu_seconds < 0.5 ? "no" : "with",
                used.memory_mb < 100 ? "under" : std::to_string(used.memory_mb).c_str());
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    signal(SIGPIPE, SIG_IGN);
    TestServer upstream(serve_upstream), discovery(serve_discovery);
    upstream_endpoint = upstream.endpoint();
    set_list(target("u", upstream.endpoint(), "ready"));
    const auto run_part = [&](const char* what, auto&& part) {
        std::printf("-- %s\n", what);
        std::fflush(stdout);
        part();
    };
    run_part("outcomes", [&] {
        BalancerProcess f(discovery.endpoint());
        outcomes(f, upstream);
    });
    set_list(target("u", upstream.endpoint(), "ready"));
    set_list(target("u", upstream.endpoint(), "ready"));
    run_part("malformed responses", [&] {
        BalancerProcess f(discovery.endpoint());
        malformed_responses(f, upstream);
    });
    run_part("callers", [&] {
        BalancerProcess f(discovery.endpoint());
        callers(f);
    });
    run_part("slow callers", [&] {
        BalancerProcess f(discovery.endpoint());
        slow_callers(f);
    });
    run_part("half requests", [&] { incomplete_requests(discovery.endpoint()); });
    run_part("large bodies", [&] { large_bodies(discovery.endpoint()); });
    run_part("leaving", [&] {
        BalancerProcess f(discovery.endpoint());
        disconnects(f);
    });
    run_part("unreachable", [&] {
        BalancerProcess f(discovery.endpoint());
        unreachable(f);
    });
    set_list(target("u", upstream.endpoint(), "ready"));
    run_part("a stall", [&] {
        BalancerProcess f(discovery.endpoint());
        stalled(f);
    });
    run_part("idle", [&] {
        BalancerProcess f(discovery.endpoint());
        idle(f);
    });
    run_part("the list", [&] {
        BalancerProcess f(discovery.endpoint());
        list_changes(f, upstream);
    });
    run_part("the configuration is read again", [&] { reloading(discovery.endpoint()); });
    set_list(target("u", upstream.endpoint(), "ready"));
    run_part("new settings", [&] { settings_changes(discovery.endpoint()); });
    run_part("stopping", [&] { stopping(discovery.endpoint()); });
    run_part("many callers", [&] {
        many_callers(discovery.endpoint(), 150, "64", "");
        many_callers(discovery.endpoint(), 400, "1024", std::string(65536, 'x'));
    });
}
