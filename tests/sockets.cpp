// The service on loopback, between stand-ins for callers, an upstream and discovery.
#include <memory>
#include <mutex>

#include "trace.h"

using namespace firtide;

namespace
{

// What the upstream does with a request, by the last part of its path.
std::function<void(TestConnection&, const std::string&)> upstream_does;
std::atomic<int> asked{0}, ended{0};

void serve_upstream(TestConnection& wire)
{
    for (std::string request; wire.is_open() && !(request = wire.receive_message()).empty();) {
        ++asked;
        upstream_does(wire, request);
    }
    ++ended;
}

std::string upstream_endpoint;
std::mutex list_lock;
std::string list_now;
std::atomic<int> version{1}, watches{0};
std::atomic<bool> silent{false};

void serve_discovery(TestConnection& wire)
{
    for (std::string request; wire.is_open() && !(request = wire.receive_message()).empty();) {
        const auto after = request.find("after=");
        ++watches;
        if (after != std::string::npos)
            for (int i = 0; i < 20 && std::stoi(request.substr(after + 6)) >= version; ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (silent) return (void)wire.receives_eof(10000);
        const std::lock_guard hold(list_lock);
        wire.send(http_message(status_line_ok, list_now));
    }
}

std::string target(const char* uid, const std::string& endpoint, const char* state)
{
    return std::string(R"({"uid":")") + uid + R"(","endpoint":")" + endpoint + R"(","state":")" + state +
           "\"}";
}

void list_is(const std::string& targets)
{
    const std::lock_guard hold(list_lock);
    list_now = "{\"rev\":" + std::to_string(++version) + R"(,"all":true,"targets":[)" + targets + "]}";
}

// What is no list of the next version, at the next call.
void list_is_spoilt(const std::string& text)
{
    const std::lock_guard hold(list_lock);
    list_now = text, ++version;
}

std::string an_id()
{
    static std::atomic<int> last{1};
    return "Req-Id: " + std::to_string(++last) + "\r\n";
}

std::string get(const std::string& path)
{
    return "GET /safe/" + path + " HTTP/1.1\r\nHost: a\r\n" + an_id() + "\r\n";
}

std::string post(const std::string& path, const std::string& body = "b")
{
    return http_message("POST /once/" + path + " HTTP/1.1", body,
                        "Host: a\r\n" + an_id() + "Req-Deadline-Ms: 600\r\n");
}

void tell(const char* what, const std::string& answer)
{
    const auto body = answer.find("\r\n\r\n");
    const auto text = body == std::string::npos ? "" : answer.substr(body + 4);
    std::printf("%s: %s, %s\n", what, first_line(answer).c_str(),
                text.size() > 80 ? (std::to_string(text.size()) + " bytes").c_str() : text.c_str());
}

void outcomes(BalancerProcess& firtide, const TestServer& upstream)
{
    const std::pair<const char*, std::function<void(TestConnection&, const std::string&)>> ways[] = {
        {"answers", [](TestConnection& w, auto&) { w.send(http_message(status_line_ok, "well")); }},
        {"answers in chunks",
         [](TestConnection& w, auto&) {
             w.send(status_line_ok + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n");
         }},
        {"answers and closes",
         [](TestConnection& w, auto&) {
             w.send(http_message(status_line_ok, "well", "Connection: close\r\n")), w.close();
         }},
        {"answers 500", [](TestConnection& w, auto&) { w.send(http_message("HTTP/1.1 500 no")); }},
        {"answers 503", [](TestConnection& w, auto&) { w.send(http_message("HTTP/1.1 503 no")); }},
        {"declines", [](TestConnection& w,
                        auto&) { w.send(http_message("HTTP/1.1 503 no", "", "Srv-Declined: 1\r\n")); }},
        {"closes without an answer", [](TestConnection& w, auto&) { w.close(); }},
        {"resets", [](TestConnection& w, auto&) { w.reset(); }},
        {"answers half",
         [](TestConnection& w, auto&) {
             w.send(status_line_ok + "\r\nContent-Length: 9\r\n\r\nhalf"), w.close();
         }},
        {"answers nonsense", [](TestConnection& w, auto&) { w.send("nonsense\r\n\r\n"); }},
        {"is silent", [](TestConnection& w, auto&) { w.receives_eof(1500), w.close(); }},
    };
    for (const auto& [what, way] : ways) {
        upstream_does = way;
        list_is(target(what, upstream.endpoint(), "ready"));  // one that nothing is known of
        sleep_ms(50);
        asked = 0;
        TestConnection caller(firtide.port);
        std::printf("upstream %s: ", what);
        const auto once = first_line(caller.send_and_receive(post("x")));
        const int forwards = asked.exchange(0);
        const auto safe = first_line(caller.send_and_receive(get("x")));
        std::printf("once %s after %d, safe %s after %d\n", once.c_str(), forwards, safe.c_str(),
                    asked.load());
    }
}

// Answers that come spoilt, or bring more than belongs to them.
void spoilt(BalancerProcess& firtide, const TestServer& upstream)
{
    const std::pair<const char*, std::string> ways[] = {
        {"begins and goes no further", status_line_ok + "\r\nContent-Length: 9\r\n\r\nhalf"},
        {"never ends its head", status_line_ok + "\r\nX: y\r\n"},
        {"says that it has 3 GB", status_line_ok + "\r\nContent-Length: 3221225472\r\n\r\nxxxx"},
        {"has a length and chunks",
         status_line_ok +
             "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"},
    };
    for (const auto& [what, bytes] : ways) {
        upstream_does = [&](TestConnection& w, auto&) {
            if (asked > 1) return w.send(http_message(status_line_ok, "well"));
            w.send(bytes);
            w.receives_eof(1500);
        };
        list_is(target(what, upstream.endpoint(), "ready"));  // one that nothing is known of
        sleep_ms(50);
        std::printf("an answer %s: ", what);
        TestConnection caller(firtide.port);
        asked = 0;
        const auto once = first_line(caller.send_and_receive(post("x")));
        asked = 0;
        const auto safe = first_line(caller.send_and_receive(get("x")));
        std::printf("once %s, safe %s after %d\n", once.c_str(), safe.c_str(), asked.load());
        for (int i = 0; i < 12; ++i) caller.send_and_receive(get("x"));  // earns another second try
    }
    list_is(target("another", upstream.endpoint(), "ready"));
    sleep_ms(50);
    upstream_does = [](TestConnection& w, auto&) {
        w.send("HTTP/1.1 102 Processing\r\n\r\n"), sleep_ms(600),
            w.send(http_message(status_line_ok, "well"));
    };
    tell("an interim answer, and the real one late", TestConnection(firtide.port).send_and_receive(get("x")));
    const auto go = std::make_shared<std::atomic<bool>>(false);
    upstream_does = [go](TestConnection& w, const std::string& request) {
        const auto answer = http_message(status_line_ok, request.substr(0, request.find(' ', 6)));
        w.send(answer);
        wait_until([&go] { return go->load(); });
        w.send(answer);
    };
    TestConnection caller(firtide.port);
    caller.send_and_receive(post("one"));
    kill(firtide.pid, SIGSTOP);
    caller.send(post("two")), sleep_ms(50);
    *go = true, sleep_ms(50);
    kill(firtide.pid, SIGCONT);
    tell("a second copy comes late, and the next request", caller.receive_message());
}

// Upstreams that refuse, or that nobody answers for: the queue of this socket is full.
void unreachable(BalancerProcess& firtide)
{
    const int full = socket(AF_INET, SOCK_STREAM, 0);
    auto at = TestConnection::loopback_address(free_port());
    const std::string port = std::to_string(ntohs(at.sin_port));
    bind(full, reinterpret_cast<sockaddr*>(&at), sizeof at);
    listen(full, 0);
    TestConnection fills(ntohs(at.sin_port));
    for (const auto& [what, where] :
         {std::pair("refuses", std::to_string(free_port())), {"is not there", port}}) {
        list_is(target(what, "127.0.0.1:" + where, "ready"));
        sleep_ms(50);
        std::printf("upstream %s: once %s\n", what,
                    first_line(TestConnection(firtide.port).send_and_receive(post("x"))).c_str());
    }
    close(full);
}

// The program stands still for a while, as on a machine short of processors.
void stalled(BalancerProcess& firtide)
{
    upstream_does = [](TestConnection& w, const std::string& request) {
        const int ms = std::stoi(request.substr(request.find("Req-Deadline-Ms: ") + 17));
        w.send(http_message(status_line_ok,
                            ms <= 330 ? "told how little time is left" : std::to_string(ms) + " ms"));
        if (request.find("/closing") != std::string::npos) w.receives_eof(100), w.close();
    };
    TestConnection caller(firtide.port);
    caller.send_and_receive(post("closing"));
    kill(firtide.pid, SIGSTOP);
    caller.send(post("x"));
    sleep_ms(300);  // the upstream closes its end meanwhile
    kill(firtide.pid, SIGCONT);
    tell("after standing still", caller.receive_message());
}

void callers(BalancerProcess& firtide)
{
    upstream_does = [](TestConnection& w, const std::string& request) {
        const auto deadline = request.find("Req-Deadline-Ms: ") + 17;
        const int ms = std::stoi(request.substr(deadline));
        w.send(http_message(status_line_ok,
                            request.substr(0, request.find('\r')) +
                                (ms > 550 && ms <= 600 ? ", in time" : ", " + std::to_string(ms) + " ms") +
                                ", " + std::to_string(request.size() - request.find("\r\n\r\n") - 4) +
                                " bytes"));
    };
    TestConnection caller(firtide.port);
    tell("plain", caller.send_and_receive(post("a/b?c=d%20e")));
    tell("64 KiB", caller.send_and_receive(post("x", std::string(65536, 'x'))));
    tell("chunked",
         caller.send_and_receive("POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: 600\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    caller.send(post("first") + post("second"));
    tell("two at once", caller.receive_message());
    tell("and the second", caller.receive_message());
    const auto whole = post("slow");
    caller.send(whole.substr(0, 30)), sleep_ms(30), caller.send(whole.substr(30, whole.size() - 31)),
        sleep_ms(30);
    caller.send(whole.substr(whole.size() - 1));
    tell("in pieces", caller.receive_message());
    const auto expecting = http_message("POST /once/x HTTP/1.1", "b",
                                        "Req-Id: 1\r\nReq-Deadline-Ms: 600\r\nExpect: 100-continue\r\n");
    std::printf("asks first: %s",
                first_line(caller.send_and_receive(expecting.substr(0, expecting.size() - 1))).c_str());
    tell(", and then", caller.send_and_receive("b"));
    tell("70000 bytes, passed on",
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
    tell("and after all that", TestConnection(firtide.port).send_and_receive(post("x")));
}

// Callers who take their time. Guards against connections that live for ever on a byte now and then, and
// against turning away the usual callers beside them.
void slow(BalancerProcess& firtide)
{
    upstream_does = [](TestConnection& w, auto&) {
        sleep_ms(200), w.send(http_message(status_line_ok, "well"));
    };
    const std::pair<const char*, std::string> begun[] = {
        {"says nothing", ""},
        {"half a head", "GET /safe/x HTTP/1.1\r\n"},
        {"half a body", http_message("POST /once/x HTTP/1.1", "body body", an_id()).substr(0, 60)},
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
    tell("beside a hundred requests at once", answer);
    int answers = 0;
    while (!many.receive_message().empty()) ++answers;
    std::printf("of the hundred %s were answered before their connection was closed\n",
                answers > 0 && answers < 20 ? "a few" : std::to_string(answers).c_str());
}

// Bodies that would not fit are refused before they come. Guards against the limit of memory.
void large(const std::string& discovery)
{
    BalancerProcess firtide(discovery, "128,\"memory_mb\":16");
    upstream_does = [](TestConnection& w, auto&) { w.send(http_message(status_line_ok, "well")); };
    std::vector<TestConnection> all;
    const auto whole = post("x", std::string(65536, 'x'));
    for (int i = 0; i < 40; ++i) all.emplace_back(firtide.port), all.back().send(whole.substr(0, 60000));
    int refused = 0;
    for (auto& w : all) refused += w.receive(20);
    std::printf("of 40 bodies of 64 KiB at once %s refused early\n",
                refused > 0 && refused < 40 ? "some are" : std::to_string(refused).c_str());
    all.clear();
    sleep_ms(50);
    tell("and then", TestConnection(firtide.port).send_and_receive(post("x", std::string(65536, 'x'))));
    TestConnection huge(firtide.port);
    huge.send("POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 60000000\r\n\r\n");
    std::printf("60 MB: %s, before a byte of it\n", first_line(huge.receive_message()).c_str());
}

// Half requests by the dozen where few descriptors are left. Guards against callers that wait to be let in
// until those have had all their time.
void besieged(const std::string& discovery)
{
    BalancerProcess firtide(discovery, "64");
    upstream_does = [](TestConnection& w, auto&) { w.send(http_message(status_line_ok, "well")); };
    // Guards against callers who ask once and stay: what rests may not be closed at once.
    std::vector<TestConnection> half, staying;
    std::string answer;
    for (int i = 0; i < 24; ++i)
        staying.emplace_back(firtide.port), answer = staying.back().send_and_receive(get("x"));
    std::printf("the last of 24 who ask once and stay %s\n",
                answer.find("Connection: close") != std::string::npos ? "is told to go" : "may stay");
    staying.clear();
    sleep_ms(50);
    for (int i = 0; i < 60; ++i)
        half.emplace_back(firtide.port), half.back().send("GET /safe/x HTTP/1.1\r\n");
    TestConnection usual(firtide.port);
    usual.send(get("x"));
    std::printf("behind 60 half requests and 64 descriptors: %s\n",
                usual.receive(1500) ? first_line(usual.receive_message()).c_str() : "nothing within 1.5 s");
}

void leaving(BalancerProcess& firtide)
{
    upstream_does = [](TestConnection& w, auto&) { w.receives_eof(1500), w.close(); };
    for (const bool by_reset : {false, true}) {
        sleep_ms(50);
        ended = asked = 0;
        TestConnection caller(firtide.port);
        caller.send(get("x"));
        wait_until([] { return asked == 1; });
        sleep_ms(60);  // sooner, it could be one that sends nothing more and listens
        by_reset ? caller.reset() : caller.close();
        std::printf("a caller leaves%s: its forward is %s\n", by_reset ? " by a reset" : "",
                    wait_until([] { return ended == 1; }, 300) ? "ended" : "still out");
    }
    upstream_does = [](TestConnection& w, auto&) {
        sleep_ms(100), w.send(http_message(status_line_ok, "well"));
    };
    TestConnection caller(firtide.port);
    caller.send(get("x")), caller.shutdown_write();
    tell("a caller closes its sending side alone", caller.receive_message());
    std::printf("and then its connection is %s\n", caller.receives_eof(500) ? "closed" : "still open");
}

void idle(BalancerProcess& firtide)
{
    upstream_does = [](TestConnection& w, auto&) { w.send(http_message(status_line_ok)); };
    TestConnection(firtide.port).send_and_receive(get("x"));
    ended = 0;
    int stood = 0;
    for (; ended == 0 && stood < 2000; stood += 10) sleep_ms(10);
    std::printf("an idle connection is closed %s\n", stood > 200 && stood < 380
                                                         ? "clearly before the upstream would"
                                                         : std::to_string(stood).c_str());
}

void listed(BalancerProcess& firtide, const TestServer& upstream)
{
    upstream_does = [](TestConnection& w, auto&) { w.send(http_message(status_line_ok)); };
    TestServer other([](TestConnection& w) {
        while (!w.receive_message().empty()) w.send(http_message(status_line_ok, "the other"));
    });
    const auto answers = [&] {
        const auto a = TestConnection(firtide.port).send_and_receive(get("x"));
        return a.find("the other") != std::string::npos ? "the other"
               : first_line(a) == status_line_ok        ? "the first"
                                                        : "nobody";
    };
    const auto after = [&](const char* what, const std::string& targets) {
        list_is(targets);
        sleep_ms(100);
        std::printf("%s: %s answers\n", what, answers());
    };
    const auto spoilt = [&](const char* what, const std::string& text) {
        list_is_spoilt(text);
        sleep_ms(100);
        std::printf("%s: %s answers\n", what, answers());
    };
    const auto old = [&](const char* state) {
        return R"({"rev":1,"all":true,"targets":[)" + target("u", upstream.endpoint(), state) + "]}";
    };
    spoilt("a list cut short", R"({"rev":900,"all":true,"targets":[{"uid":"u","endp)");
    spoilt("of another form", R"({"rev":900,"all":true,"targets":{"u":"gone"}})");
    spoilt("a target without an id", R"({"rev":900,"all":true,"targets":[{"state":"gone"}]})");
    spoilt("older than the last, in which it drains", old("draining"));
    list_is(target("u", upstream.endpoint(), "draining"));
    wait_until([&] { return std::string(answers()) == "nobody"; }, 5000);
    std::printf("it drains: %s answers\n", answers());
    spoilt("older than the last, in which it is ready", old("ready"));
    list_is(target("u", upstream.endpoint(), "draining"));
    sleep_ms(1200);  // longer than the longest pause between calls
    std::printf("it drains still: %s answers\n", answers());
    after("it is ready again", target("u", upstream.endpoint(), "ready"));
    after("it moves", target("u", other.endpoint(), "ready"));
    after("it is gone", target("u", other.endpoint(), "gone"));
    after("a list without it", "");
    silent = true;
    list_is(target("u", upstream.endpoint(), "ready"));
    sleep_ms(300);
    std::printf("discovery falls silent: %s answers\n", answers());
    silent = false;
    wait_until([&] { return firtide.port && std::string(answers()) == "the first"; }, 5000);
    std::printf("and is back: %s answers\n", answers());
    const int before = watches;
    sleep_ms(500);
    std::printf("a quiet watch is called again %s\n", watches - before <= 4 ? "as it ends" : "all the time");
}

// SIGHUP under load. Guards against ending on it, against a file that is wrong, and against an old agent that
// still answers after the move.
void reloading(const std::string& discovery)
{
    BalancerProcess firtide(discovery);
    TestServer other([](TestConnection& w) {
        while (!w.receive_message().empty()) w.send(http_message(status_line_ok, "the other"));
    });
    TestServer moved([&](TestConnection& w) {
        const auto list =
            R"({"rev":1,"all":true,"targets":[)" + target("v", other.endpoint(), "ready") + "]}";
        for (std::string request; !(request = w.receive_message()).empty();
             w.send(http_message(status_line_ok, list)))
            if (request.find("after=1&") != std::string::npos) sleep_ms(100);
    });
    upstream_does = [](TestConnection& w, auto&) {
        sleep_ms(300), w.send(http_message(status_line_ok, "the first"));
    };
    TestConnection busy(firtide.port), caller(firtide.port);
    busy.send(get("x"));
    sleep_ms(50);
    firtide.edit_config_and_reload(discovery, "nowhere");
    tell("a file that is wrong", caller.send_and_receive(get("x")));
    firtide.edit_config_and_reload("nowhere", moved.endpoint());
    sleep_ms(100);
    tell("discovery moved", caller.send_and_receive(get("x")));
    tell("what was in flight", busy.receive_message());
    list_is(target("u", upstream_endpoint, "ready"));
    sleep_ms(200);
    tell("the old agent says something", caller.send_and_receive(get("x")));
    std::printf("exit status %d\n", firtide.stop().status);
}

// Requests that reached the upstream, by their id.
struct RequestCounts {
    std::mutex lock;
    std::map<std::string, int> by_id;
};

// New settings under load, forth and back, with files between that are wrong, cut in half or not there.
// Guards against losing, answering or sending twice what was taken in.
void switching(const std::string& discovery)
{
    BalancerProcess firtide(discovery);
    const auto requests = std::make_shared<RequestCounts>();
    upstream_does = [requests](TestConnection& w, const std::string& request) {
        const auto at = request.find("Req-Id: ");
        {
            const std::lock_guard hold(requests->lock);
            ++requests->by_id[request.substr(at, request.find('\r', at) - at)];
        }
        sleep_ms(60), w.send(http_message(status_line_ok, "done"));
    };
    std::atomic<bool> on{true};
    std::atomic<int> served{0}, other{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] {
            for (TestConnection w(firtide.port); on;)
                ++(first_line(w.send_and_receive(i % 2 ? post("x", "b") : get("x"))) == status_line_ok
                       ? served
                       : other);
        });
    const std::string was = R"("max_forwards":3)", is = R"("max_forwards":2,"may_duplicate":true)";
    const std::string last = "\"conn_idle_us\":400000,";
    for (int i = 0; i < 5; ++i) {
        sleep_ms(80), firtide.edit_config_and_reload(was, is);
        sleep_ms(40), firtide.edit_config_and_reload(last, "\"conn_idle_us\":\"soon\",");  // wrong
        sleep_ms(40), firtide.edit_config_and_reload("\"conn_idle_us\":\"soon\",", last);
        const auto whole = firtide.config_text;
        sleep_ms(40), firtide.edit_config_and_reload(whole.substr(whole.size() / 2), "");  // cut in half
        firtide.config_text = whole;
        sleep_ms(40);
        unlink(firtide.config_path.c_str()), kill(firtide.pid, SIGHUP);  // not there
        sleep_ms(40), firtide.edit_config_and_reload(is, was);
    }
    sleep_ms(100);
    on = false;
    for (auto& c : callers) c.join();
    int twice = 0;
    const auto& effects = requests->by_id;
    for (const auto& [id, n] : effects) twice += n > 1;
    std::printf(
        "switched five times forth and back: %s served, %d not, %d effects for an answer too many, %d "
        "twice\n",
        served > 50 ? "all" : "few", other.load(), static_cast<int>(effects.size()) - served, twice);
    TestConnection caller(firtide.port);
    const std::string safe = R"({"name":"safe","repeat":"free","client_timeout_us":1000000},)";
    firtide.edit_config_and_reload(safe, ""), sleep_ms(50);
    tell("an operation that is no more", caller.send_and_receive(get("x")));
    TestConnection again(firtide.port);
    tell("the other one", again.send_and_receive(post("x", "b")));
    firtide.edit_config_and_reload("[\n", "[" + safe + "\n"), sleep_ms(50);
    TestConnection back(firtide.port);
    tell("it is back", back.send_and_receive(get("x")));
    firtide.config_text.replace(firtide.config_text.find(safe), safe.size(), "");
    firtide.edit_config_and_reload("\"127.0.0.1:" + std::to_string(firtide.port), "\"127.0.0.1:1");
    sleep_ms(50);
    tell("another address to listen at: refused as a whole", back.send_and_receive(get("x")));
    std::printf("exit status %d\n", firtide.stop().status);
}

void stopping(const std::string& discovery)
{
    // Clients that wait for 3 s: a process is killed no sooner than 3.7 s after the signal. What holds where
    // they wait for less is in endings.cpp.
    BalancerProcess firtide(discovery);
    firtide.edit_config_and_reload(R"("client_timeout_us":1000000},)", R"("client_timeout_us":3000000},)");
    TestConnection(firtide.port).send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    upstream_does = [](TestConnection& w, auto&) {
        sleep_ms(700), w.send(http_message(status_line_ok, "late"));
    };
    TestConnection busy(firtide.port), resting(firtide.port), half(firtide.port), other(firtide.port);
    busy.send(get("x"));
    resting.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    half.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n"),
        other.send_and_receive("GET /-/ready HTTP/1.1\r\n\r\n");
    half.send("GET /safe/x HTTP/1.1\r\n");
    wait_until([] { return asked > 0; });
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
    std::printf("what was in flight: %s\n", first_line(busy.receive_message()).c_str());
    upstream_does = [](TestConnection& w, auto&) { w.send(http_message(status_line_ok, "quick")); };
    sleep_ms(500);
    std::printf("a second later, on a connection that rested: %s\n",
                first_line(resting.send_and_receive(get("x"))).c_str());
    other.send("GET /safe/x HTTP/1.1\r\n");
    std::printf("an idle connection is %s\n", resting.receives_eof() ? "closed" : "still open");
    std::printf("what came after SIGTERM: %s\n", first_line(last.receive_message()).c_str());
    // Guards against leaving with the last answer on its way: nobody answers this one, until just before the
    // end.
    upstream_does = [](TestConnection& w, auto&) { w.receives_eof(2000), w.close(); };
    sleep_ms(900);
    other.send(an_id() + "\r\n");
    std::printf("what is whole just before the end, and never answered: %s\n",
                first_line(other.receive_message()).c_str());
    stop.join();
    std::printf("a new caller %s\n",
                TestConnection(firtide.port).is_open() ? "still gets in" : "is not let in any more");
}

void crowd(const std::string& discovery, int callers, const char* sockets, const std::string& body)
{
    BalancerProcess firtide(discovery, sockets);
    upstream_does = [](TestConnection& w, auto&) {
        sleep_ms(100), w.send(http_message(status_line_ok, std::string(65536, 'x')));
    };
    std::vector<TestConnection> all;
    for (int i = 0; i < callers; ++i) {
        all.emplace_back(firtide.port);
        all.back().send(body.empty() ? get("x") : post("x", body));
    }
    int served = 0, refused = 0, other = 0;
    for (auto& w : all) {
        const auto line = first_line(w.receive_message());
        ++(line == status_line_ok ? served : line.find(" 503 ") != std::string::npos ? refused : other);
    }
    const auto used = firtide.stop();
    std::printf("%d callers and %s descriptors: ", callers, sockets);
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
    list_is(target("u", upstream.endpoint(), "ready"));
    const auto play = [&](const char* what, auto&& part) {
        std::printf("-- %s\n", what);
        std::fflush(stdout);
        part();
    };
    play("outcomes", [&] {
        BalancerProcess f(discovery.endpoint());
        outcomes(f, upstream);
    });
    list_is(target("u", upstream.endpoint(), "ready"));
    list_is(target("u", upstream.endpoint(), "ready"));
    play("spoilt answers", [&] {
        BalancerProcess f(discovery.endpoint());
        spoilt(f, upstream);
    });
    play("callers", [&] {
        BalancerProcess f(discovery.endpoint());
        callers(f);
    });
    play("slow callers", [&] {
        BalancerProcess f(discovery.endpoint());
        slow(f);
    });
    play("half requests", [&] { besieged(discovery.endpoint()); });
    play("large bodies", [&] { large(discovery.endpoint()); });
    play("leaving", [&] {
        BalancerProcess f(discovery.endpoint());
        leaving(f);
    });
    play("unreachable", [&] {
        BalancerProcess f(discovery.endpoint());
        unreachable(f);
    });
    list_is(target("u", upstream.endpoint(), "ready"));
    play("a stall", [&] {
        BalancerProcess f(discovery.endpoint());
        stalled(f);
    });
    play("idle", [&] {
        BalancerProcess f(discovery.endpoint());
        idle(f);
    });
    play("the list", [&] {
        BalancerProcess f(discovery.endpoint());
        listed(f, upstream);
    });
    play("the configuration is read again", [&] { reloading(discovery.endpoint()); });
    list_is(target("u", upstream.endpoint(), "ready"));
    play("new settings", [&] { switching(discovery.endpoint()); });
    play("stopping", [&] { stopping(discovery.endpoint()); });
    play("a crowd", [&] {
        crowd(discovery.endpoint(), 150, "64", "");
        crowd(discovery.endpoint(), 400, "1024", std::string(65536, 'x'));
    });
}
