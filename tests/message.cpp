// Messages: what is taken from callers and from upstreams, and in what pieces.
#include "src/http/message.h"

#include "src/net/config.h"
#include "src/net/discovery.h"
#include "trace.h"

using namespace firtide;
using namespace firtide::net;

namespace
{

ServiceConfig setup()
{
    ServiceConfig s;
    s.operations = {"op"};
    s.settings = Stage::settings(Stage::op(Idempotency::non_idempotent));
    s.tenants = {"one", "two"};
    s.zones = {"x", "y"};
    s.report_names = {"queue", "util"};
    s.report = {&LoadReport::queue, &LoadReport::utilisation};
    return s;
}

void request(const char* what, const std::string& target, Headers headers)
{
    Request r{"POST", target, "", 0, 0, {}, {}, "body"};
    const auto bad = decode_request(setup(), std::move(headers), r);
    if (bad) return (void)std::printf("%s: %d %s\n", what, bad->status, bad->why);
    std::printf("%s: tenant %u, %.3f s; on it goes:\n%s\n", what, r.tenant, r.time_left.seconds(),
                encode_request(r, "host:1", seconds(0.4567)).c_str());
}

// How a reader ends that gets the bytes in two pieces, and how many of them it used.
template <class Reader>
std::pair<MessageReader::State, size_t> take_in_two(Reader& reader, const std::string& bytes, size_t cut)
{
    auto state = reader.take(bytes.substr(0, cut));
    size_t before = 0;
    if (state == MessageReader::State::more && cut < bytes.size())
        state = reader.take(bytes.substr(cut)), before = cut;
    return {state, before + reader.used()};
}

// The same bytes whole and cut at every place must read the same.
void answer(const char* what, const std::string& bytes, size_t last_cut = 400)
{
    const auto s = setup();
    const auto read = [&](size_t cut) {
        ResponseReader reader(s);
        const auto [state, used] = take_in_two(reader, bytes, cut);
        const Response& r = reader.response();
        std::string text = state == ResponseReader::State::malformed ? "malformed"
                           : state == ResponseReader::State::more    ? "not whole"
                                                                     : "whole";
        if (state == ResponseReader::State::whole) {
            text += " " + std::to_string(r.status) + (r.declined ? " declined" : "") + " '" +
                    (r.body.size() > 40 ? std::to_string(r.body.size()) + " bytes" : r.body) + "'" +
                    (reader.keeps_connection() && used == bytes.size() ? "" : ", connection over");
            if (r.report.queue) text += ", queue " + std::to_string(*r.report.queue);
            for (const auto& [name, value] : r.passed_on) text += ", " + name;
        }
        return text;
    };
    const auto whole = read(bytes.size());
    bool alike = true;
    for (size_t cut = 0; cut < std::min(bytes.size(), last_cut); ++cut) alike = alike && read(cut) == whole;
    std::printf("%s: %s%s\n", what, whole.c_str(), alike ? "" : " (but not in pieces)");
}

// The same of a caller's request.
void asked(const char* what, const std::string& bytes)
{
    const auto s = setup();
    const auto read = [&](size_t cut) {
        RequestReader reader(s);
        const auto [state, used] = take_in_two(reader, bytes, cut);
        if (state == RequestReader::State::malformed)
            return std::to_string(reader.why().status) + " " + reader.why().why;
        if (state == RequestReader::State::more) return std::string("not whole");
        const Request& r = reader.request();
        return r.method + " " + r.target + " id " + r.id + " '" + r.body + "'" +
               (reader.old() ? ", old" : "") + (reader.keeps_connection() ? "" : ", closes") +
               (used < bytes.size() ? ", more behind it" : "");
    };
    const auto whole = read(bytes.size());
    bool alike = true;
    for (size_t cut = 0; cut < bytes.size(); ++cut) {
        const auto in_two = read(cut);
        // What comes behind a request that is whole may not have come yet.
        alike = alike && (in_two == whole || in_two + ", more behind it" == whole);
    }
    std::printf("%s: %s%s\n", what, whole.c_str(), alike ? "" : " (but not in pieces)");
}

// A body too large to be taken in whole, cut in pieces of every size: what is taken away is all there is.
void in_pieces(const char* what, const std::string& head, const std::string& body, const std::string& framed)
{
    const auto s = setup();
    bool alike = true;
    for (const size_t size : {1u, 7u, 4096u, 50000u}) {
        ResponseReader reader(s);
        std::string got;
        auto state = ResponseReader::State::more;
        const auto bytes = head + framed;
        for (size_t at = 0; at < bytes.size() && state == ResponseReader::State::more; at += size) {
            state = reader.take(bytes.substr(at, size));
            if (reader.large()) got += reader.take_piece();
        }
        alike = alike && state == ResponseReader::State::whole && got == body;
    }
    std::printf("%s: %s\n", what, alike ? "all of it, in order" : "SOMETHING ELSE");
}

void config(const char* what, const std::string& text)
{
    try {
        const auto c = decode_config(text);
        std::printf("%s: well-formed, %s, %zu operations\n", what, c.name.c_str(), c.setup.operations.size());
    } catch (const ConfigException& bad) {
        std::printf("%s: %s\n", what, bad.what());
    }
}

void list(const char* what, const std::string& text)
{
    const auto l = decode_list(setup(), text, Point{-1'000'000});
    if (!l) return (void)std::printf("%s: no list\n", what);
    std::printf("%s: version %llu, %s\n", what, static_cast<unsigned long long>(l->version),
                l->told.all ? "all" : "changes");
    for (const auto& e : l->told.entries)
        std::printf("  %s %s presence %d zone %u cell %u started %.3f\n", e.uid.c_str(), e.endpoint.c_str(),
                    static_cast<int>(e.phase), e.zone, e.cell,
                    e.started ? static_cast<double>(e.started->us) * 1e-6 : -1);
}

}  // namespace

int main()
{
    const std::pair<std::string, std::string> id{"req-id", "1"};
    request("plain", "/op/a?b=c", {id, {"Req-Deadline-Ms", "480"}, {"X", "y"}, {"Connection", "close"}});
    request("a tenant, no deadline", "/op", {id, {"Req-Owner", "two"}});
    request("a tenant that the settings do not name", "/op", {id, {"Req-Owner", "three"}});
    request("a longer deadline than the operation's", "/op", {id, {"Req-Deadline-Ms", "99999"}});
    request("unknown operation", "/other/op", {id});
    request("no id", "/op", {});
    request("no target", "op", {id});
    request("a target with a space", "/op/a b", {id});
    request("unreadable deadline", "/op", {id, {"Req-Deadline-Ms", "12x"}});
    request("negative deadline", "/op", {id, {"Req-Deadline-Ms", "-1"}});
    request("a stray carriage return", "/op", {id, {"X", "a\rReq-Id: 2"}});

    const std::string ok = "HTTP/1.1 200 OK\r\n", length = "Content-Length: 4\r\n\r\nbody";
    answer("plain", ok + "Srv-Load: queue=2,util=0.5,other=1\r\nX-A: b\r\n" + length);
    answer("a report that cannot be read", ok + "Srv-Load: queue=nan,=,util\r\n" + length);
    answer("declined", "HTTP/1.1 503 no\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
    answer("closing", ok + "Connection: close\r\n" + length);
    answer("old", "HTTP/1.0 200 OK\r\n" + length);
    answer("lines without carriage returns", "HTTP/1.1 200 OK\nContent-Length: 1\n\nx");
    answer("in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n");
    answer("an interim answer first", "HTTP/1.1 100 Continue\r\n\r\n" + ok + length);
    answer("a header in two lines", ok + "X: a\r\n b\r\n" + length);
    answer("cut short", ok + "Content-Length: 9\r\n\r\nbody");
    answer("chunks cut short", ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    answer("until its announced end", ok + "Connection: close\r\n\r\nbody");
    answer("no length and no end announced", ok + "\r\nbody");
    answer("two lengths", ok + "Content-Length: 5\r\n" + length);
    answer("a negative length", ok + "Content-Length: -4\r\n\r\nbody");
    answer("64 KiB", ok + "Content-Length: 65536\r\n\r\n" + std::string(65536, 'x'));
    answer("more", ok + "Content-Length: 65537\r\n\r\n" + std::string(65537, 'x'));
    answer("chunks of more", ok + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + std::string(65535, 'x') +
                                 "\r\n2\r\nxx\r\n0\r\n\r\n");
    answer("a head without end", ok + std::string(20000, 'x'));
    answer("more bytes than the answer", ok + length + "rest", 20);
    answer("no HTTP", "hello\r\n\r\n");
    answer("a header without colon", ok + "hello\r\n\r\n");

    const std::string post = "POST /op/a HTTP/1.1\r\nReq-Id: 7\r\n";
    asked("in chunks, with extensions and trailers",
          post + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n");
    asked("behind empty lines, with a host in its target",
          "\r\n\r\nGET http://a/op/b?c HTTP/1.1\r\nReq-Id: 7\r\n\r\n");
    asked("old", "POST /op HTTP/1.0\r\nReq-Id: 7\r\nContent-Length: 2\r\n\r\nab");
    asked("closing", post + "Connection: close\r\nContent-Length: 1\r\n\r\na");
    asked("two at once", post + "Content-Length: 1\r\n\r\na" + post + "Content-Length: 1\r\n\r\nb");
    asked("a bad chunk", post + "Transfer-Encoding: chunked\r\n\r\n-1\r\nabc\r\n");
    asked("a chunk that overflows", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n");
    asked("over 40 MiB", post + "Content-Length: 50000000\r\n\r\n");
    asked("cut short", post + "Content-Length: 5\r\n\r\nabcd");
    {
        std::string body, framed;
        for (int i = 0; i < 5000; ++i) {
            const auto part = std::to_string(i) + " of a large body;";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", part.size());
            body += part, framed += size + part + "\r\n";
        }
        const auto stated = ok + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        in_pieces("a large body of a stated length", stated, body, body);
        // Only from the size on at which an answer is passed on.
        std::printf("pieces are framed as chunks: '%s' '%s' '%s'\n", encode_piece("ab", true, false).c_str(),
                    encode_piece("", true, true).c_str(), encode_piece("c", false, true).c_str());
        in_pieces("a large body in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", body,
                  framed + "0\r\n\r\n");
    }
    const std::string head = R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff")";
    const std::string op = R"({"name":"op","repeat":"free"})";
    config("configuration", head + R"(,"name":"n1","settings":{"operations":[)" + op + "]}}");
    config("no JSON", "{");
    config("no settings", head + "}");
    config("no operations", head + R"(,"settings":{}})");
    config("a bad choice", head + R"(,"settings":{"operations":[{"name":"op","repeat":"maybe"}]}})");
    config("a bad number", head + R"(,"settings":{"contract":{"cold_us":"x"},"operations":[)" + op + "]}}");
    for (const char* bad :
         {R"({"contract":{"left_margin_us":-1},)", R"({"contract":{"ready_margin_us":"1s"},)",
          R"({"policy_limits":{"reply_slots":0},)", R"({"policy_limits":{"reply_slots":2.5},)"})
        config("a bad margin or count", head + R"(,"settings":)" + bad + R"("operations":[)" + op + "]}}");
    config("a bad address", R"({"listen":"here","discovery":"127.0.0.1:2","seed":"ff","settings":{}})");
    config("a bad seed", R"({"listen":"a:1","discovery":"a:2","seed":"xyz","settings":{}})");
    config("a bad limit", head + R"(,"limits":{"sockets":3},"settings":{}})");
    std::printf(
        "flat and nested settings say the same: %s\n",
        [] {
            const auto flat =
                decode_settings(split_lines("operations.count=1\noperations.0.name=op\noperations.0.repeat="
                                            "guarded\noperations.0.group=zone\n"
                                            "contract.cold_share=0.25\ntelemetry.fields=depth,tps\npolicy_"
                                            "limits.cancel=true\ndcs=x,y\ntier=1"));
            const auto nested =
                decode_config(
                    R"({"listen":"a:1","discovery":"a:2","seed":"1","settings":{"dcs":["x","y"],"tier":1,
                "operations":[{"name":"op","repeat":"guarded","group":"zone"}],"contract":{"cold_share":0.25},
                "telemetry":{"fields":["depth","tps"]},"policy_limits":{"cancel":true}}})")
                    .setup;
            const auto &a = flat.settings, &b = nested.settings;
            return flat.operations == nested.operations && flat.zones == nested.zones &&
                   flat.report == nested.report && flat.report_names == nested.report_names &&
                   a.cold_share == b.cold_share && a.tier == b.tier &&
                   a.operations[0].repeat == b.operations[0].repeat && a.may_cancel && b.may_cancel &&
                   a.operations[0].group == DeduplicationScope::zone &&
                   b.operations[0].group == DeduplicationScope::zone && a.tier == 1;
        }()
            ? "yes"
            : "no");

    list("list", R"({"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"1.2.3.4:5","az":"y","pod_group":3,
        "state":"ready","boot_ms":2500},{"uid":"b","endpoint":"e","az":"?","state":"draining","boot_ms":0}]})");
    list("changes", R"({"rev":8,"all":false,"targets":[{"uid":"a","state":"gone"}]})");
    list("an unknown state", R"({"rev":8,"all":false,"targets":[{"uid":"a","state":"odd"}]})");
    list("no targets", R"({"rev":8})");
    list("no JSON", "rev 8");
}
