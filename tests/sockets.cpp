// The service on loopback, between stand-ins for callers, an upstream and discovery.
#include <memory>
#include <mutex>

#include "trace.h"

using namespace firtide;

namespace
{

// What the upstream does with a request, by the last part of its path.
std::function<void(Wire&, const std::string&)> upstream_does;
std::atomic<int> asked{0}, ended{0};

void serve_upstream(Wire& wire)
{
    for (std::string request; wire.open() && !(request = wire.message()).empty();) {
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

void serve_discovery(Wire& wire)
{
    for (std::string request; wire.open() && !(request = wire.message()).empty();) {
        const auto after = request.find("after=");
        ++watches;
        if (after != std::string::npos)
            for (int i = 0; i < 20 && std::stoi(request.substr(after + 6)) >= version; ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (silent) return (void)wire.ended(10000);
        const std::lock_guard hold(list_lock);
        wire.send(http(ok, list_now));
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
    return http("POST /once/" + path + " HTTP/1.1", body,
                "Host: a\r\n" + an_id() + "Req-Deadline-Ms: 600\r\n");
}

void tell(const char* what, const std::string& answer)
{
    const auto body = answer.find("\r\n\r\n");
    const auto text = body == std::string::npos ? "" : answer.substr(body + 4);
    std::printf("%s: %s, %s\n", what, first_line(answer).c_str(),
                text.size() > 80 ? (std::to_string(text.size()) + " bytes").c_str() : text.c_str());
}

void outcomes(Running& firtide, const StandIn& upstream)
{
    const std::pair<const char*, std::function<void(Wire&, const std::string&)>> ways[] = {
        {"answers", [](Wire& w, auto&) { w.send(http(ok, "well")); }},
        {"answers in chunks",
         [](Wire& w, auto&) { w.send(ok + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"); }},
        {"answers and closes",
         [](Wire& w, auto&) { w.send(http(ok, "well", "Connection: close\r\n")), w.close(); }},
        {"answers 500", [](Wire& w, auto&) { w.send(http("HTTP/1.1 500 no")); }},
        {"answers 503", [](Wire& w, auto&) { w.send(http("HTTP/1.1 503 no")); }},
        {"declines", [](Wire& w, auto&) { w.send(http("HTTP/1.1 503 no", "", "Srv-Declined: 1\r\n")); }},
        {"closes without an answer", [](Wire& w, auto&) { w.close(); }},
        {"resets", [](Wire& w, auto&) { w.reset(); }},
        {"answers half", [](Wire& w, auto&) { w.send(ok + "\r\nContent-Length: 9\r\n\r\nhalf"), w.close(); }},
        {"answers nonsense", [](Wire& w, auto&) { w.send("nonsense\r\n\r\n"); }},
        {"is silent", [](Wire& w, auto&) { w.ended(1500), w.close(); }},
    };
    for (const auto& [what, way] : ways) {
        upstream_does = way;
        list_is(target(what, upstream.endpoint(), "ready"));  // one that nothing is known of
        pause(50);
        asked = 0;
        Wire caller(firtide.port);
        std::printf("upstream %s: ", what);
        const auto once = first_line(caller.ask(post("x")));
        const int forwards = asked.exchange(0);
        const auto safe = first_line(caller.ask(get("x")));
        std::printf("once %s after %d, safe %s after %d\n", once.c_str(), forwards, safe.c_str(),
                    asked.load());
    }
}

// Answers that come spoilt, or bring more than belongs to them.
void spoilt(Running& firtide, const StandIn& upstream)
{
    const std::pair<const char*, std::string> ways[] = {
        {"begins and goes no further", ok + "\r\nContent-Length: 9\r\n\r\nhalf"},
        {"never ends its head", ok + "\r\nX: y\r\n"},
        {"says that it has 3 GB", ok + "\r\nContent-Length: 3221225472\r\n\r\nxxxx"},
        {"has a length and chunks",
         ok + "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n0\r\n\r\n"},
    };
    for (const auto& [what, bytes] : ways) {
        upstream_does = [&](Wire& w, auto&) {
            if (asked > 1) return w.send(http(ok, "well"));
            w.send(bytes);
            w.ended(1500);
        };
        list_is(target(what, upstream.endpoint(), "ready"));  // one that nothing is known of
        pause(50);
        std::printf("an answer %s: ", what);
        Wire caller(firtide.port);
        asked = 0;
        const auto once = first_line(caller.ask(post("x")));
        asked = 0;
        const auto safe = first_line(caller.ask(get("x")));
        std::printf("once %s, safe %s after %d\n", once.c_str(), safe.c_str(), asked.load());
        for (int i = 0; i < 12; ++i) caller.ask(get("x"));  // earns another second try
    }
    list_is(target("another", upstream.endpoint(), "ready"));
    pause(50);
    upstream_does = [](Wire& w, auto&) {
        w.send("HTTP/1.1 102 Processing\r\n\r\n"), pause(600), w.send(http(ok, "well"));
    };
    tell("an interim answer, and the real one late", Wire(firtide.port).ask(get("x")));
    const auto go = std::make_shared<std::atomic<bool>>(false);
    upstream_does = [go](Wire& w, const std::string& request) {
        const auto answer = http(ok, request.substr(0, request.find(' ', 6)));
        w.send(answer);
        until([&go] { return go->load(); });
        w.send(answer);
    };
    Wire caller(firtide.port);
    caller.ask(post("one"));
    kill(firtide.process, SIGSTOP);
    caller.send(post("two")), pause(50);
    *go = true, pause(50);
    kill(firtide.process, SIGCONT);
    tell("a second copy comes late, and the next request", caller.message());
}

// Upstreams that refuse, or that nobody answers for: the queue of this socket is full.
void unreachable(Running& firtide)
{
    const int full = socket(AF_INET, SOCK_STREAM, 0);
    auto at = Wire::address(free_port());
    const std::string port = std::to_string(ntohs(at.sin_port));
    bind(full, reinterpret_cast<sockaddr*>(&at), sizeof at);
    listen(full, 0);
    Wire fills(ntohs(at.sin_port));
    for (const auto& [what, where] :
         {std::pair("refuses", std::to_string(free_port())), {"is not there", port}}) {
        list_is(target(what, "127.0.0.1:" + where, "ready"));
        pause(50);
        std::printf("upstream %s: once %s\n", what, first_line(Wire(firtide.port).ask(post("x"))).c_str());
    }
    close(full);
}

// The program stands still for a while, as on a machine short of processors.
void stalled(Running& firtide)
{
    upstream_does = [](Wire& w, const std::string& request) {
        const int ms = std::stoi(request.substr(request.find("Req-Deadline-Ms: ") + 17));
        w.send(http(ok, ms <= 330 ? "told how little time is left" : std::to_string(ms) + " ms"));
        if (request.find("/closing") != std::string::npos) w.ended(100), w.close();
    };
    Wire caller(firtide.port);
    caller.ask(post("closing"));
    kill(firtide.process, SIGSTOP);
    caller.send(post("x"));
    pause(300);  // the upstream closes its end meanwhile
    kill(firtide.process, SIGCONT);
    tell("after standing still", caller.message());
}

void callers(Running& firtide)
{
    upstream_does = [](Wire& w, const std::string& request) {
        const auto deadline = request.find("Req-Deadline-Ms: ") + 17;
        const int ms = std::stoi(request.substr(deadline));
        w.send(http(ok, request.substr(0, request.find('\r')) +
                            (ms > 550 && ms <= 600 ? ", in time" : ", " + std::to_string(ms) + " ms") + ", " +
                            std::to_string(request.size() - request.find("\r\n\r\n") - 4) + " bytes"));
    };
    Wire caller(firtide.port);
    tell("plain", caller.ask(post("a/b?c=d%20e")));
    tell("64 KiB", caller.ask(post("x", std::string(65536, 'x'))));
    tell("chunked", caller.ask("POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: 600\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"));
    caller.send(post("first") + post("second"));
    tell("two at once", caller.message());
    tell("and the second", caller.message());
    const auto whole = post("slow");
    caller.send(whole.substr(0, 30)), pause(30), caller.send(whole.substr(30, whole.size() - 31)), pause(30);
    caller.send(whole.substr(whole.size() - 1));
    tell("in pieces", caller.message());
    const auto expecting =
        http("POST /once/x HTTP/1.1", "b", "Req-Id: 1\r\nReq-Deadline-Ms: 600\r\nExpect: 100-continue\r\n");
    std::printf("asks first: %s", first_line(caller.ask(expecting.substr(0, expecting.size() - 1))).c_str());
    tell(", and then", caller.ask("b"));
    tell("70000 bytes, passed on", Wire(firtide.port).ask(post("x", std::string(70000, 'x'))));
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
        std::printf("%s: %s\n", what, first_line(Wire(firtide.port).ask(text)).c_str());
    tell("and after all that", Wire(firtide.port).ask(post("x")));
}

// Callers who take their time. Guards against connections that live for ever on a byte now and then, and
// against turning away the usual callers beside them.
void slow(Running& firtide)
{
    upstream_does = [](Wire& w, auto&) { pause(200), w.send(http(ok, "well")); };
    const std::pair<const char*, std::string> begun[] = {
        {"says nothing", ""},
        {"half a head", "GET /safe/x HTTP/1.1\r\n"},
        {"half a body", http("POST /once/x HTTP/1.1", "body body", an_id()).substr(0, 60)},
        {"a head that never ends", "GET /safe/x HTTP/1.1\r\n"},
    };
    std::vector<Wire> all;
    for (const auto& [what, text] : begun) all.emplace_back(firtide.port), all.back().send(text);
    for (int i = 0; i < 28; ++i) pause(100), all.back().send("X: y\r\n");
    for (size_t i = 0; i < all.size(); ++i) {
        const auto answer = all[i].message();
        std::printf("%s: %s, %s within 3 s\n", begun[i].first, first_line(answer).c_str(),
                    all[i].ended(200) ? "closed" : "still open");
    }
    Wire many(firtide.port), usual(firtide.port);
    std::string hundreds;
    for (int i = 0; i < 100; ++i) hundreds += get("many");
    many.send(hundreds), usual.send(get("x"));
    const auto answer = usual.message();
    tell("beside a hundred requests at once", answer);
    int answers = 0;
    while (!many.message().empty()) ++answers;
    std::printf("of the hundred %s were answered before their connection was closed\n",
                answers > 0 && answers < 20 ? "a few" : std::to_string(answers).c_str());
}

// Bodies that would not fit are refused before they come. Guards against the limit of memory.
void large(const std::string& discovery)
{
    Running firtide(discovery, "128,\"memory_mb\":16");
    upstream_does = [](Wire& w, auto&) { w.send(http(ok, "well")); };
    std::vector<Wire> all;
    const auto whole = post("x", std::string(65536, 'x'));
    for (int i = 0; i < 40; ++i) all.emplace_back(firtide.port), all.back().send(whole.substr(0, 60000));
    int refused = 0;
    for (auto& w : all) refused += w.more(20);
    std::printf("of 40 bodies of 64 KiB at once %s refused early\n",
                refused > 0 && refused < 40 ? "some are" : std::to_string(refused).c_str());
    all.clear();
    pause(50);
    tell("and then", Wire(firtide.port).ask(post("x", std::string(65536, 'x'))));
    Wire huge(firtide.port);
    huge.send("POST /once/x HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 60000000\r\n\r\n");
    std::printf("60 MB: %s, before a byte of it\n", first_line(huge.message()).c_str());
}

// Half requests by the dozen where few descriptors are left. Guards against callers that wait to be let in
// until those have had all their time.
void besieged(const std::string& discovery)
{
    Running firtide(discovery, "64");
    upstream_does = [](Wire& w, auto&) { w.send(http(ok, "well")); };
    // Guards against callers who ask once and stay: what rests may not be closed at once.
    std::vector<Wire> half, staying;
    std::string answer;
    for (int i = 0; i < 24; ++i) staying.emplace_back(firtide.port), answer = staying.back().ask(get("x"));
    std::printf("the last of 24 who ask once and stay %s\n",
                answer.find("Connection: close") != std::string::npos ? "is told to go" : "may stay");
    staying.clear();
    pause(50);
    for (int i = 0; i < 60; ++i)
        half.emplace_back(firtide.port), half.back().send("GET /safe/x HTTP/1.1\r\n");
    Wire usual(firtide.port);
    usual.send(get("x"));
    std::printf("behind 60 half requests and 64 descriptors: %s\n",
                usual.more(1500) ? first_line(usual.message()).c_str() : "nothing within 1.5 s");
}

void leaving(Running& firtide)
{
    upstream_does = [](Wire& w, auto&) { w.ended(1500), w.close(); };
    for (const bool by_reset : {false, true}) {
        pause(50);
        ended = asked = 0;
        Wire caller(firtide.port);
        caller.send(get("x"));
        until([] { return asked == 1; });
        pause(60);  // sooner, it could be one that sends nothing more and listens
        by_reset ? caller.reset() : caller.close();
        std::printf("a caller leaves%s: its forward is %s\n", by_reset ? " by a reset" : "",
                    until([] { return ended == 1; }, 300) ? "ended" : "still out");
    }
    upstream_does = [](Wire& w, auto&) { pause(100), w.send(http(ok, "well")); };
    Wire caller(firtide.port);
    caller.send(get("x")), caller.end_sending();
    tell("a caller closes its sending side alone", caller.message());
    std::printf("and then its connection is %s\n", caller.ended(500) ? "closed" : "still open");
}

void idle(Running& firtide)
{
    upstream_does = [](Wire& w, auto&) { w.send(http(ok)); };
    Wire(firtide.port).ask(get("x"));
    ended = 0;
    int stood = 0;
    for (; ended == 0 && stood < 2000; stood += 10) pause(10);
    std::printf("an idle connection is closed %s\n", stood > 200 && stood < 380
                                                         ? "clearly before the upstream would"
                                                         : std::to_string(stood).c_str());
}

void listed(Running& firtide, const StandIn& upstream)
{
    upstream_does = [](Wire& w, auto&) { w.send(http(ok)); };
    StandIn other([](Wire& w) {
        while (!w.message().empty()) w.send(http(ok, "the other"));
    });
    const auto answers = [&] {
        const auto a = Wire(firtide.port).ask(get("x"));
        return a.find("the other") != std::string::npos ? "the other"
               : first_line(a) == ok                    ? "the first"
                                                        : "nobody";
    };
    const auto after = [&](const char* what, const std::string& targets) {
        list_is(targets);
        pause(100);
        std::printf("%s: %s answers\n", what, answers());
    };
    const auto spoilt = [&](const char* what, const std::string& text) {
        list_is_spoilt(text);
        pause(100);
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
    until([&] { return std::string(answers()) == "nobody"; }, 5000);
    std::printf("it drains: %s answers\n", answers());
    spoilt("older than the last, in which it is ready", old("ready"));
    list_is(target("u", upstream.endpoint(), "draining"));
    pause(1200);  // longer than the longest pause between calls
    std::printf("it drains still: %s answers\n", answers());
    after("it is ready again", target("u", upstream.endpoint(), "ready"));
    after("it moves", target("u", other.endpoint(), "ready"));
    after("it is gone", target("u", other.endpoint(), "gone"));
    after("a list without it", "");
    silent = true;
    list_is(target("u", upstream.endpoint(), "ready"));
    pause(300);
    std::printf("discovery falls silent: %s answers\n", answers());
    silent = false;
    until([&] { return firtide.port && std::string(answers()) == "the first"; }, 5000);
    std::printf("and is back: %s answers\n", answers());
    const int before = watches;
    pause(500);
    std::printf("a quiet watch is called again %s\n", watches - before <= 4 ? "as it ends" : "all the time");
}

// SIGHUP under load. Guards against ending on it, against a file that is wrong, and against an old agent that
// still answers after the move.
void reloading(const std::string& discovery)
{
    Running firtide(discovery);
    StandIn other([](Wire& w) {
        while (!w.message().empty()) w.send(http(ok, "the other"));
    });
    StandIn moved([&](Wire& w) {
        const auto list =
            R"({"rev":1,"all":true,"targets":[)" + target("v", other.endpoint(), "ready") + "]}";
        for (std::string request; !(request = w.message()).empty(); w.send(http(ok, list)))
            if (request.find("after=1&") != std::string::npos) pause(100);
    });
    upstream_does = [](Wire& w, auto&) { pause(300), w.send(http(ok, "the first")); };
    Wire busy(firtide.port), caller(firtide.port);
    busy.send(get("x"));
    pause(50);
    firtide.reread(discovery, "nowhere");
    tell("a file that is wrong", caller.ask(get("x")));
    firtide.reread("nowhere", moved.endpoint());
    pause(100);
    tell("discovery moved", caller.ask(get("x")));
    tell("what was in flight", busy.message());
    list_is(target("u", upstream_endpoint, "ready"));
    pause(200);
    tell("the old agent says something", caller.ask(get("x")));
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
    Running firtide(discovery);
    const auto requests = std::make_shared<RequestCounts>();
    upstream_does = [requests](Wire& w, const std::string& request) {
        const auto at = request.find("Req-Id: ");
        {
            const std::lock_guard hold(requests->lock);
            ++requests->by_id[request.substr(at, request.find('\r', at) - at)];
        }
        pause(60), w.send(http(ok, "done"));
    };
    std::atomic<bool> on{true};
    std::atomic<int> served{0}, other{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] {
            for (Wire w(firtide.port); on;)
                ++(first_line(w.ask(i % 2 ? post("x", "b") : get("x"))) == ok ? served : other);
        });
    const std::string was = R"("max_forwards":3)", is = R"("max_forwards":2,"may_duplicate":true)";
    const std::string last = "\"conn_idle_us\":400000,";
    for (int i = 0; i < 5; ++i) {
        pause(80), firtide.reread(was, is);
        pause(40), firtide.reread(last, "\"conn_idle_us\":\"soon\",");  // wrong
        pause(40), firtide.reread("\"conn_idle_us\":\"soon\",", last);
        const auto whole = firtide.text;
        pause(40), firtide.reread(whole.substr(whole.size() / 2), "");  // cut in half
        firtide.text = whole;
        pause(40);
        unlink(firtide.file.c_str()), kill(firtide.process, SIGHUP);  // not there
        pause(40), firtide.reread(is, was);
    }
    pause(100);
    on = false;
    for (auto& c : callers) c.join();
    int twice = 0;
    const auto& effects = requests->by_id;
    for (const auto& [id, n] : effects) twice += n > 1;
    std::printf(
        "switched five times forth and back: %s served, %d not, %d effects for an answer too many, %d "
        "twice\n",
        served > 50 ? "all" : "few", other.load(), static_cast<int>(effects.size()) - served, twice);
    Wire caller(firtide.port);
    const std::string safe = R"({"name":"safe","repeat":"free","client_timeout_us":1000000},)";
    firtide.reread(safe, ""), pause(50);
    tell("an operation that is no more", caller.ask(get("x")));
    Wire again(firtide.port);
    tell("the other one", again.ask(post("x", "b")));
    firtide.reread("[\n", "[" + safe + "\n"), pause(50);
    Wire back(firtide.port);
    tell("it is back", back.ask(get("x")));
    firtide.text.replace(firtide.text.find(safe), safe.size(), "");
    firtide.reread("\"127.0.0.1:" + std::to_string(firtide.port), "\"127.0.0.1:1");
    pause(50);
    tell("another address to listen at: refused as a whole", back.ask(get("x")));
    std::printf("exit status %d\n", firtide.stop().status);
}

void stopping(const std::string& discovery)
{
    // Clients that wait for 3 s: a process is killed no sooner than 3.7 s after the signal. What holds where
    // they wait for less is in endings.cpp.
    Running firtide(discovery);
    firtide.reread(R"("client_timeout_us":1000000},)", R"("client_timeout_us":3000000},)");
    Wire(firtide.port).ask("GET /-/ready HTTP/1.1\r\n\r\n");
    upstream_does = [](Wire& w, auto&) { pause(700), w.send(http(ok, "late")); };
    Wire busy(firtide.port), resting(firtide.port), half(firtide.port), other(firtide.port);
    busy.send(get("x"));
    resting.ask("GET /-/ready HTTP/1.1\r\n\r\n");
    half.ask("GET /-/ready HTTP/1.1\r\n\r\n"), other.ask("GET /-/ready HTTP/1.1\r\n\r\n");
    half.send("GET /safe/x HTTP/1.1\r\n");
    until([] { return asked > 0; });
    std::thread stop([&] {
        const auto since = std::chrono::steady_clock::now();
        std::printf("exit status %d", firtide.stop().status);
        std::printf(", %s a request that never ends\n",
                    std::chrono::steady_clock::now() - since < std::chrono::seconds(10) ? "in spite of"
                                                                                        : "held up by");
    });
    pause(300);
    Wire late(firtide.port);
    std::printf("0.3 s after SIGTERM: %s", first_line(late.ask("GET /-/ready HTTP/1.1\r\n\r\n")).c_str());
    std::printf("%s", late.ended() ? ", its connection is closed\n" : "\n");
    Wire last(firtide.port);
    last.send(get("x"));
    std::printf("what was in flight: %s\n", first_line(busy.message()).c_str());
    upstream_does = [](Wire& w, auto&) { w.send(http(ok, "quick")); };
    pause(500);
    std::printf("a second later, on a connection that rested: %s\n",
                first_line(resting.ask(get("x"))).c_str());
    other.send("GET /safe/x HTTP/1.1\r\n");
    std::printf("an idle connection is %s\n", resting.ended() ? "closed" : "still open");
    std::printf("what came after SIGTERM: %s\n", first_line(last.message()).c_str());
    // Guards against leaving with the last answer on its way: nobody answers this one, until just before the
    // end.
    upstream_does = [](Wire& w, auto&) { w.ended(2000), w.close(); };
    pause(900);
    other.send(an_id() + "\r\n");
    std::printf("what is whole just before the end, and never answered: %s\n",
                first_line(other.message()).c_str());
    stop.join();
    std::printf("a new caller %s\n", Wire(firtide.port).open() ? "still gets in" : "is not let in any more");
}

void crowd(const std::string& discovery, int callers, const char* sockets, const std::string& body)
{
    Running firtide(discovery, sockets);
    upstream_does = [](Wire& w, auto&) { pause(100), w.send(http(ok, std::string(65536, 'x'))); };
    std::vector<Wire> all;
    for (int i = 0; i < callers; ++i) {
        all.emplace_back(firtide.port);
        all.back().send(body.empty() ? get("x") : post("x", body));
    }
    int served = 0, refused = 0, other = 0;
    for (auto& w : all) {
        const auto line = first_line(w.message());
        ++(line == ok ? served : line.find(" 503 ") != std::string::npos ? refused : other);
    }
    const auto used = firtide.stop();
    std::printf("%d callers and %s descriptors: ", callers, sockets);
    if (served == 0 || other > 0)
        std::printf("%d served, %d throttled, %d not answered, ", served, refused, other);
    std::printf("exit status %d, %s spinning, %s 100 MB\n", used.status, used.cpu < 0.5 ? "no" : "with",
                used.memory_mb < 100 ? "under" : std::to_string(used.memory_mb).c_str());
}

}  // namespace

int main(int, char** argv)
{
    program = argv[1];
    signal(SIGPIPE, SIG_IGN);
    StandIn upstream(serve_upstream), discovery(serve_discovery);
    upstream_endpoint = upstream.endpoint();
    list_is(target("u", upstream.endpoint(), "ready"));
    const auto play = [&](const char* what, auto&& part) {
        std::printf("-- %s\n", what);
        std::fflush(stdout);
        part();
    };
    play("outcomes", [&] {
        Running f(discovery.endpoint());
        outcomes(f, upstream);
    });
    list_is(target("u", upstream.endpoint(), "ready"));
    list_is(target("u", upstream.endpoint(), "ready"));
    play("spoilt answers", [&] {
        Running f(discovery.endpoint());
        spoilt(f, upstream);
    });
    play("callers", [&] {
        Running f(discovery.endpoint());
        callers(f);
    });
    play("slow callers", [&] {
        Running f(discovery.endpoint());
        slow(f);
    });
    play("half requests", [&] { besieged(discovery.endpoint()); });
    play("large bodies", [&] { large(discovery.endpoint()); });
    play("leaving", [&] {
        Running f(discovery.endpoint());
        leaving(f);
    });
    play("unreachable", [&] {
        Running f(discovery.endpoint());
        unreachable(f);
    });
    list_is(target("u", upstream.endpoint(), "ready"));
    play("a stall", [&] {
        Running f(discovery.endpoint());
        stalled(f);
    });
    play("idle", [&] {
        Running f(discovery.endpoint());
        idle(f);
    });
    play("the list", [&] {
        Running f(discovery.endpoint());
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
