// HTTP messages, the configuration and lists of upstreams: what is accepted, what is rejected, and how it is
// forwarded.
#include "src/http/message.h"

#include <gtest/gtest.h>

#include "balancer_host.h"
#include "src/base/replace.h"
#include "src/net/config.h"
#include "src/net/discovery.h"

namespace firtide::net
{
namespace
{

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string four_byte_body = "Content-Length: 4\r\n\r\nbody";
const std::string post_head = "POST /op/a HTTP/1.1\r\nReq-Id: 7\r\n";

ServiceConfig service_config()
{
    ServiceConfig config;
    config.operation_names = {"op"};
    config.settings = BalancerHost::make_settings(BalancerHost::make_operation(Idempotency::non_idempotent));
    config.tenant_names = {"one", "two"};
    config.zone_names = {"x", "y"};
    config.load_report_fields = {"queue", "util"};
    config.load_report_members = {&LoadReport::queue_length, &LoadReport::utilisation};
    return config;
}

// ---- requests that are forwarded ----

// How a request is rejected; or for which tenant and with how much time it is accepted, and what is sent to
// the upstream.
std::string forward(const std::string& target, Headers headers)
{
    Request request{"POST", target, "", 0, 0, {}, {}, "body"};
    const auto error = decode_request(service_config(), std::move(headers), request);
    if (error) return std::to_string(error->status) + " " + error->reason;
    return "tenant " + std::to_string(request.tenant) + ", " + std::to_string(request.time_left.us / 1000) +
           " ms\n" + encode_request(request, "host:1", seconds(0.4567));
}

std::string expected_request(const std::string& first_line, const std::string& headers)
{
    return first_line + " HTTP/1.1\r\nHost: host:1\r\nreq-id: 1\r\n" + headers +
           "Req-Deadline-Ms: 456\r\nContent-Length: 4\r\n\r\nbody";
}

const std::pair<std::string, std::string> id_header{"req-id", "1"};

TEST(ForwardedRequest, KeepsHeadersOfTheRequestAndDropsThoseOfTheConnection)
{
    const Headers headers{id_header, {"Req-Deadline-Ms", "480"}, {"X", "y"}, {"Connection", "close"}};
    EXPECT_EQ(forward("/op/a?b=c", headers),
              "tenant 2, 480 ms\n" + expected_request("POST /op/a?b=c", "X: y\r\n"));
}

TEST(ForwardedRequest, HasTheTenantThatTheSettingsName)
{
    EXPECT_EQ(forward("/op", {id_header, {"Req-Owner", "two"}}),
              "tenant 1, 2000 ms\n" + expected_request("POST /op", "Req-Owner: two\r\n"));
    EXPECT_EQ(forward("/op", {id_header, {"Req-Owner", "three"}}),
              "tenant 2, 2000 ms\n" + expected_request("POST /op", "Req-Owner: three\r\n"));
}

TEST(ForwardedRequest, HasNoMoreTimeThanItsOperation)
{
    EXPECT_EQ(forward("/op", {id_header, {"Req-Deadline-Ms", "99999"}}),
              "tenant 2, 2000 ms\n" + expected_request("POST /op", ""));
}

TEST(ForwardedRequest, IsRefusedForAnUnknownOperation)
{
    EXPECT_EQ(forward("/other/op", {id_header}), "404 no such operation");
}

TEST(ForwardedRequest, IsRefusedForATargetOrIdThatCannotBeRead)
{
    EXPECT_EQ(forward("/op", {}), "400 Req-Id is missing");
    EXPECT_EQ(forward("op", {id_header}), "400 unreadable target");
    EXPECT_EQ(forward("/op/a b", {id_header}), "400 unreadable target");
}

TEST(ForwardedRequest, IsRefusedForHeadersThatCannotBeRead)
{
    EXPECT_EQ(forward("/op", {id_header, {"Req-Deadline-Ms", "12x"}}), "400 unreadable Req-Deadline-Ms");
    EXPECT_EQ(forward("/op", {id_header, {"Req-Deadline-Ms", "-1"}}), "400 unreadable Req-Deadline-Ms");
    EXPECT_EQ(forward("/op", {id_header, {"X", "a\rReq-Id: 2"}}), "400 unreadable header");
}

// ---- readers ----

struct ParseResult {
    MessageReader::State state = MessageReader::State::incomplete;
    size_t consumed_bytes = 0;
};

// The final state of a reader that gets the bytes in two parts, and how many of them it consumed.
template <class Reader>
ParseResult parse_in_two_parts(Reader& reader, const std::string& bytes, size_t cut)
{
    auto state = reader.parse(bytes.substr(0, cut));
    size_t before = 0;
    if (state == MessageReader::State::incomplete && cut < bytes.size()) {
        state = reader.parse(bytes.substr(cut));
        before = cut;
    }
    return {state, before + reader.consumed_bytes()};
}

std::string read_response(const std::string& bytes, size_t cut)
{
    const auto config = service_config();
    ResponseReader reader(config);
    const ParseResult parsed = parse_in_two_parts(reader, bytes, cut);
    if (parsed.state == ResponseReader::State::malformed) return "malformed";
    if (parsed.state == ResponseReader::State::incomplete) return "incomplete";
    const Response& response = reader.response();
    const bool is_large = response.body.size() > 40;
    const std::string body = is_large ? std::to_string(response.body.size()) + " bytes" : response.body;
    std::string text = "complete " + std::to_string(response.status) + (response.declined ? " declined" : "");
    text += " '" + body + "'";
    if (!reader.keep_alive() || parsed.consumed_bytes != bytes.size()) text += ", connection ends";
    if (response.load_report.queue_length)
        text += ", queue " + std::to_string(*response.load_report.queue_length);
    for (const auto& [name, value] : response.forwarded_headers) text += ", " + std::string(name);
    return text;
}

// The bytes in one part and in two parts, cut at every position below `last_cut`, must give the same result.
void expect_response(const std::string& expected, const std::string& bytes, size_t last_cut = 400)
{
    EXPECT_EQ(read_response(bytes, bytes.size()), expected);
    for (size_t cut = 0; cut < std::min(bytes.size(), last_cut); ++cut)
        ASSERT_EQ(read_response(bytes, cut), expected) << "cut at " << cut;
}

std::string read_request(const std::string& bytes, size_t cut)
{
    const auto config = service_config();
    RequestReader reader(config);
    const ParseResult parsed = parse_in_two_parts(reader, bytes, cut);
    if (parsed.state == RequestReader::State::malformed)
        return std::to_string(reader.error().status) + " " + reader.error().reason;
    if (parsed.state == RequestReader::State::incomplete) return "incomplete";
    const Request& request = reader.request();
    return request.method + " " + request.target + " id " + request.id + " '" + request.body + "'" +
           (reader.is_http_1_0() ? ", HTTP/1.0" : "") + (reader.keep_alive() ? "" : ", closes") +
           (parsed.consumed_bytes < bytes.size() ? ", unread bytes follow" : "");
}

void expect_request(const std::string& expected, const std::string& bytes)
{
    EXPECT_EQ(read_request(bytes, bytes.size()), expected);
    for (size_t cut = 0; cut < bytes.size(); ++cut) {
        const auto in_two_parts = read_request(bytes, cut);
        // The bytes after a complete request may not have arrived yet.
        if (in_two_parts + ", unread bytes follow" == expected) continue;
        ASSERT_EQ(in_two_parts, expected) << "cut at " << cut;
    }
}

TEST(ResponseReader, ReadsHeadersAndALoadReport)
{
    expect_response("complete 200 'body', queue 2.000000, X-A",
                    ok_line + "Srv-Load: queue=2,util=0.5,other=1\r\nX-A: b\r\n" + four_byte_body);
    expect_response("complete 200 'body'", ok_line + "Srv-Load: queue=nan,=,util\r\n" + four_byte_body);
}

TEST(ResponseReader, ReadsADeclinedRequest)
{
    expect_response("complete 503 declined ''",
                    "HTTP/1.1 503 no\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
}

TEST(ResponseReader, TellsWhenTheConnectionIsOver)
{
    expect_response("complete 200 'body', connection ends",
                    ok_line + "Connection: close\r\n" + four_byte_body);
    expect_response("complete 200 'body', connection ends", "HTTP/1.0 200 OK\r\n" + four_byte_body);
    expect_response("complete 200 'body', connection ends", ok_line + four_byte_body + "rest", 20);
}

// Guards against a body that no such response has being read as the response to the next request.
TEST(ResponseReader, KeepsNoConnectionOnWhichAnUnexpectedBodyMayFollow)
{
    expect_response("complete 204 ''", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
    expect_response("complete 204 '', connection ends",
                    "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n");
    expect_response("complete 304 '', connection ends",
                    "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n");
}

TEST(ResponseReader, AcceptsAllFormsOfTheProtocol)
{
    expect_response("complete 200 'x'", "HTTP/1.1 200 OK\nContent-Length: 1\n\nx");
    expect_response(
        "complete 200 'abcd'",
        ok_line + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n");
    expect_response("complete 200 'body'", "HTTP/1.1 100 Continue\r\n\r\n" + ok_line + four_byte_body);
}

TEST(ResponseReader, WaitsForTheRestOfATruncatedMessage)
{
    expect_response("incomplete", ok_line + "Content-Length: 9\r\n\r\nbody");
    expect_response("incomplete", ok_line + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    expect_response("incomplete", ok_line + "Connection: close\r\n\r\nbody");
}

TEST(ResponseReader, RejectsAmbiguousFraming)
{
    expect_response("malformed", ok_line + "X: a\r\n b\r\n" + four_byte_body);
    expect_response("malformed", ok_line + "\r\nbody");
    expect_response("malformed", ok_line + "Content-Length: 5\r\n" + four_byte_body);
    expect_response("malformed", ok_line + "Content-Length: -4\r\n\r\nbody");
}

TEST(ResponseReader, RejectsWhatIsNoResponse)
{
    expect_response("malformed", ok_line + std::string(20000, 'x'));
    expect_response("malformed", "hello\r\n\r\n");
    expect_response("malformed", ok_line + "hello\r\n\r\n");
}

TEST(ResponseReader, AcceptsBodiesOf64KiBAndMore)
{
    expect_response("complete 200 '65536 bytes'",
                    ok_line + "Content-Length: 65536\r\n\r\n" + std::string(65536, 'x'));
    expect_response("complete 200 '65537 bytes'",
                    ok_line + "Content-Length: 65537\r\n\r\n" + std::string(65537, 'x'));
    expect_response("complete 200 '65537 bytes'", ok_line + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" +
                                                      std::string(65535, 'x') + "\r\n2\r\nxx\r\n0\r\n\r\n");
}

TEST(RequestReader, AcceptsAllFormsOfTheProtocol)
{
    expect_request(
        "POST /op/a id 7 'abcd'",
        post_head + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nabc\r\n1\r\nd\r\n0\r\nT: x\r\n\r\n");
    expect_request("GET /op/b?c id 7 ''", "\r\n\r\nGET http://a/op/b?c HTTP/1.1\r\nReq-Id: 7\r\n\r\n");
    expect_request("POST /op id 7 'ab', HTTP/1.0, closes",
                   "POST /op HTTP/1.0\r\nReq-Id: 7\r\nContent-Length: 2\r\n\r\nab");
    expect_request("POST /op/a id 7 'a', closes",
                   post_head + "Connection: close\r\nContent-Length: 1\r\n\r\na");
}

TEST(RequestReader, LeavesASecondRequestUnread)
{
    const std::string second = post_head + "Content-Length: 1\r\n\r\nb";
    expect_request("POST /op/a id 7 'a', unread bytes follow",
                   post_head + "Content-Length: 1\r\n\r\na" + second);
}

TEST(RequestReader, RejectsBadChunksAndTooLargeBodies)
{
    const std::string chunked = post_head + "Transfer-Encoding: chunked\r\n\r\n";
    expect_request("400 unreadable request", chunked + "-1\r\nabc\r\n");
    expect_request("400 unreadable request", chunked + "ffffffffffffffffff\r\n");
    const std::string too_much = post_head + "Content-Length: 50000000\r\n\r\n";
    expect_request("413 too much", too_much);
}

TEST(RequestReader, WaitsForTheRestOfATruncatedMessage)
{
    expect_request("incomplete", post_head + "Content-Length: 5\r\n\r\nabcd");
}

// ---- large bodies ----

// A body that is too large to buffer arrives in parts of `part_size`: take_body() returns all of it, in
// order.
void expect_in_parts(const std::string& bytes, const std::string& body, size_t part_size)
{
    const auto config = service_config();
    ResponseReader reader(config);
    std::string received;
    auto state = ResponseReader::State::incomplete;
    for (size_t at = 0; at < bytes.size() && state == ResponseReader::State::incomplete; at += part_size) {
        state = reader.parse(bytes.substr(at, part_size));
        if (reader.exceeds_buffer()) received += reader.take_body();
    }
    EXPECT_EQ(state, ResponseReader::State::complete);
    EXPECT_TRUE(received == body) << received.size() << " of " << body.size() << " bytes";
}

struct LargeBody {
    std::string plain, chunks;
};

LargeBody large_body()
{
    LargeBody body;
    for (int i = 0; i < 5000; ++i) {
        const auto part = std::to_string(i) + " of a large body;";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        body.plain += part;
        body.chunks += size + part + "\r\n";
    }
    body.chunks += "0\r\n\r\n";
    return body;
}

TEST(LargeBody, OfAStatedLengthArrivesInParts)
{
    const LargeBody body = large_body();
    const auto head = ok_line + "Content-Length: " + std::to_string(body.plain.size()) + "\r\n\r\n";
    for (const size_t size : {1u, 7u, 4096u, 50000u}) expect_in_parts(head + body.plain, body.plain, size);
}

TEST(LargeBody, InChunksArrivesInParts)
{
    const LargeBody body = large_body();
    const auto head = ok_line + "Transfer-Encoding: chunked\r\n\r\n";
    for (const size_t size : {1u, 7u, 4096u, 50000u}) expect_in_parts(head + body.chunks, body.plain, size);
}

TEST(LargeBody, IsFramedAsChunksWhereItsLengthIsNotStated)
{
    EXPECT_EQ(encode_body_chunk("ab", true, false), "2\r\nab\r\n");
    EXPECT_EQ(encode_body_chunk("", true, true), "0\r\n\r\n");
    EXPECT_EQ(encode_body_chunk("c", false, true), "c");
}

// ---- the configuration ----

const std::string config_head = R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff")";
const std::string operation = R"({"name":"op","repeat":"free"})";

std::string config_error(const std::string& text)
{
    try {
        (void)decode_config(text);
    } catch (const ConfigException& error) {
        return error.what();
    }
    return "";
}

TEST(Configuration, IsDecoded)
{
    const auto config =
        decode_config(config_head + R"(,"name":"n1","settings":{"operations":[)" + operation + "]}}");
    EXPECT_EQ(config.name, "n1");
    EXPECT_EQ(config.service_config.operation_names.size(), 1u);
}

TEST(Configuration, IsRefusedWhereAPartIsMissing)
{
    EXPECT_EQ(config_error("{"), "the configuration is not a JSON object");
    EXPECT_EQ(config_error(config_head + "}"), "settings: an object is expected");
    EXPECT_EQ(config_error(config_head + R"(,"settings":{}})"),
              "settings.operations: at least one is expected");
}

TEST(Configuration, IsRefusedForAValueThatCannotBeRead)
{
    const auto with = [](const std::string& settings) {
        return config_head + R"(,"settings":)" + settings + R"("operations":[)" + operation + "]}}";
    };
    EXPECT_EQ(config_error(config_head + R"(,"settings":{"operations":[{"name":"op","repeat":"maybe"}]}})"),
              "settings: unreadable setting operations.0.repeat=maybe");
    EXPECT_EQ(config_error(with(R"({"contract":{"cold_us":"x"},)")),
              "settings: unreadable setting contract.cold_us=x");
    EXPECT_EQ(config_error(with(R"({"contract":{"left_margin_us":-1},)")),
              "settings: unreadable setting contract.left_margin_us=-1");
    EXPECT_EQ(config_error(with(R"({"contract":{"ready_margin_us":"1s"},)")),
              "settings: unreadable setting contract.ready_margin_us=1s");
    const std::string bad_count =
        "settings: policy_limits.reply_slots: a whole number of 1 or more is expected";
    EXPECT_EQ(config_error(with(R"({"policy_limits":{"reply_slots":0},)")), bad_count);
    EXPECT_EQ(config_error(with(R"({"policy_limits":{"reply_slots":2.5},)")), bad_count);
}

TEST(Configuration, IsRefusedForABadAddressSeedOrLimit)
{
    EXPECT_EQ(config_error(R"({"listen":"here","discovery":"127.0.0.1:2","seed":"ff","settings":{}})"),
              "listen: address:port is expected, not 'here'");
    EXPECT_EQ(config_error(R"({"listen":"a:1","discovery":"a:2","seed":"xyz","settings":{}})"),
              "seed: a hexadecimal number of up to 16 digits is expected, not 'xyz'");
    EXPECT_EQ(config_error(config_head + R"(,"limits":{"sockets":3},"settings":{}})"),
              "limits.sockets: a number of 64 or more is expected");
}

TEST(Configuration, IsTheSameFlatAndNested)
{
    const auto flat = decode_settings(parse_flat_settings(
        "operations.count=1\noperations.0.name=op\noperations.0.repeat=guarded\noperations.0.group=zone\n"
        "contract.cold_share=0.25\ntelemetry.fields=depth,tps\npolicy_limits.cancel=true\ndcs=x,y\n"
        "tier=1"));
    const auto nested =
        decode_config(
            R"({"listen":"a:1","discovery":"a:2","seed":"1","settings":{"dcs":["x","y"],"tier":1,
                "operations":[{"name":"op","repeat":"guarded","group":"zone"}],"contract":{"cold_share":0.25},
                "telemetry":{"fields":["depth","tps"]},"policy_limits":{"cancel":true}}})")
            .service_config;
    EXPECT_EQ(flat.operation_names, nested.operation_names);
    EXPECT_EQ(flat.zone_names, nested.zone_names);
    EXPECT_TRUE(flat.load_report_members == nested.load_report_members);
    EXPECT_EQ(flat.load_report_fields, nested.load_report_fields);
    EXPECT_EQ(flat.settings.slow_start_min_share, nested.settings.slow_start_min_share);
    EXPECT_EQ(flat.settings.tier, 1u);
    EXPECT_EQ(nested.settings.tier, 1u);
    EXPECT_EQ(flat.settings.operations[0].idempotency, nested.settings.operations[0].idempotency);
    EXPECT_TRUE(flat.settings.may_cancel);
    EXPECT_TRUE(nested.settings.may_cancel);
    EXPECT_EQ(flat.settings.operations[0].deduplication_scope, DeduplicationScope::zone);
    EXPECT_EQ(nested.settings.operations[0].deduplication_scope, DeduplicationScope::zone);
}

// ---- lists of upstreams ----

std::optional<EndpointList> decode_with_config(const std::string& text)
{
    return decode_list(text, TimePoint{-1'000'000});
}

void expect_entry(const ListedEndpoint& entry, const std::string& uid, const std::string& endpoint,
                  EndpointPhase phase, const UpstreamLocation& location, std::optional<TimePoint> started)
{
    EXPECT_EQ(entry.uid, uid);
    EXPECT_EQ(entry.endpoint, endpoint);
    EXPECT_EQ(entry.phase, phase);
    EXPECT_EQ(entry.location, location);
    EXPECT_EQ(entry.started_at, started);
}

TEST(EndpointList, HasAllFieldsOfItsEntries)
{
    const auto list = decode_with_config(
        R"({"rev":7,"all":true,"targets":[{"uid":"a","endpoint":"1.2.3.4:5","az":"y","pod_group":3,
        "state":"ready","boot_ms":2500},{"uid":"b","endpoint":"e","az":"?","state":"draining","boot_ms":0}]})");
    ASSERT_TRUE(list);
    EXPECT_EQ(list->version, 7u);
    EXPECT_TRUE(list->update.is_full);
    ASSERT_EQ(list->update.entries.size(), 2u);
    expect_entry(list->update.entries[0], "a", "1.2.3.4:5", EndpointPhase::ready,
                 {zone_id("y"), PodGroup{3}, {}}, TimePoint{1'500'000});
    expect_entry(list->update.entries[1], "b", "e", EndpointPhase::draining, {zone_id("?"), {}, {}},
                 listed_long_ago);
}

// Guards against readers of ended requests that keep what had arrived of them.
TEST(ReplacedReader, FreesWhatHadArrivedOfARequest)
{
    const ServiceConfig config = service_config();
    RequestReader reader(config);
    const size_t bytes_when_new = reader.head_memory_bytes();
    reader.parse("GET /op/a HTTP/1.1\r\n" + std::string(8 * 1024, 'a'));
    ASSERT_GT(reader.head_memory_bytes(), size_t{8 * 1024});
    replace_and_free(reader, RequestReader(config));
    EXPECT_EQ(reader.head_memory_bytes(), bytes_when_new);
}

TEST(ReplacedReader, FreesWhatHadArrivedOfAResponse)
{
    const ServiceConfig config = service_config();
    ResponseReader reader(config);
    const size_t bytes_when_new = reader.memory_bytes();
    reader.parse(ok_line + std::string(8 * 1024, 'a'));
    ASSERT_GT(reader.memory_bytes(), size_t{8 * 1024});
    replace_and_free(reader, ResponseReader(config));
    EXPECT_EQ(reader.memory_bytes(), bytes_when_new);
}

TEST(EndpointList, HasChanges)
{
    const auto gone = decode_with_config(R"({"rev":8,"all":false,"targets":[{"uid":"a","state":"gone"}]})");
    ASSERT_TRUE(gone && gone->update.entries.size() == 1);
    EXPECT_EQ(gone->version, 8u);
    EXPECT_FALSE(gone->update.is_full);
    expect_entry(gone->update.entries[0], "a", "", EndpointPhase::gone, {}, std::nullopt);
}

TEST(EndpointList, ReadsAnUnknownStateAsDraining)
{
    const auto unknown = decode_with_config(R"({"rev":8,"all":false,"targets":[{"uid":"a","state":"odd"}]})");
    ASSERT_TRUE(unknown && unknown->update.entries.size() == 1);
    EXPECT_EQ(unknown->version, 8u);
    EXPECT_FALSE(unknown->update.is_full);
    expect_entry(unknown->update.entries[0], "a", "", EndpointPhase::draining, {}, std::nullopt);
}

// Guards against what is no value, or none that there can be, being taken for one: the first pod, a huge
// capacity, a start long ago.
TEST(EndpointList, TakesValuesThatThereCannotBeForAbsentOnes)
{
    const auto entry_with = [](const std::string& key, const std::string& value) {
        const auto list =
            decode_with_config(R"({"rev":8,"targets":[{"uid":"a","endpoint":"e","state":"ready",")" + key +
                               "\":" + value + "}]}");
        return list && list->update.entries.size() == 1 ? list->update.entries[0] : ListedEndpoint{};
    };
    for (const std::string none :
         {"null", "true", "{}", "[1]", "-1", "1.5", "1e300", "99999999999999999999"}) {
        EXPECT_EQ(entry_with("pod_group", none).location, UpstreamLocation{}) << none;
        EXPECT_EQ(entry_with("boot_ms", none).started_at, std::nullopt) << none;
    }
    for (const std::string none : {"null", "7", "[]", R"("")"})
        EXPECT_EQ(entry_with("az", none).location, UpstreamLocation{}) << none;
    for (const std::string none : {"null", R"("2")", "-1", "0", "1e300"})
        EXPECT_EQ(entry_with("capacity_hint", none).capacity, 1) << none;
    EXPECT_EQ(entry_with("pod_group", "4294967296").location, UpstreamLocation{});
    EXPECT_EQ(entry_with("boot_ms", "1125899906842624").started_at, std::nullopt);
    EXPECT_EQ(entry_with("pod_group", "0").location.pod_group, PodGroup{0});
    EXPECT_EQ(entry_with("pod_group", "3.0").location.pod_group, PodGroup{3});
    EXPECT_EQ(entry_with("pod_group", "4294967295").location.pod_group, PodGroup{4294967295});
    EXPECT_EQ(entry_with("boot_ms", "0").started_at, listed_long_ago);
    EXPECT_EQ(entry_with("capacity_hint", "2.5").capacity, 2.5);
}

TEST(EndpointList, ReadsAReadyTargetWithoutAnEndpointAsDraining)
{
    for (const std::string endpoint : {"", R"("endpoint":"",)", R"("endpoint":7,)"}) {
        const auto list =
            decode_with_config(R"({"rev":8,"targets":[{"uid":"a",)" + endpoint + R"("state":"ready"}]})");
        ASSERT_TRUE(list && list->update.entries.size() == 1) << endpoint;
        EXPECT_EQ(list->update.entries[0].phase, EndpointPhase::draining) << endpoint;
    }
}

TEST(EndpointList, IsNoneWithATargetThatIsNoObjectOrHasNoUid)
{
    for (const std::string target : {"7", "null", R"("a")", "[]", "{}", R"({"uid":""})"}) {
        EXPECT_FALSE(
            decode_with_config(R"({"rev":8,"targets":[{"uid":"a","state":"ready"},)" + target + "]}"))
            << target;
        EXPECT_FALSE(decode_with_config(R"({"rev":8,"targets":[)" + target + "]}")) << target;
    }
}

TEST(EndpointList, MayStandBeforeItsVersionAndBesideUnknownKeys)
{
    const auto list = decode_with_config(
        R"({"x":[{"uid":"b"}],"targets":[{"uid":"a","state":"ready","more":{"k":[{}]}}],"y":{"uid":"c"},"rev":8,"all":true})");
    ASSERT_TRUE(list && list->update.entries.size() == 1);
    EXPECT_EQ(list->version, 8u);
    EXPECT_TRUE(list->update.is_full);
    EXPECT_EQ(list->update.entries[0].uid, "a");
}

// Guards against a list that loses its targets to an array that follows them.
TEST(EndpointList, MayStandBeforeOtherArrays)
{
    const auto list = decode_with_config(
        R"({"rev":8,"all":true,"targets":[{"uid":"a","state":"ready"}],"x":[{"uid":"b"},1]})");
    ASSERT_TRUE(list && list->update.entries.size() == 1);
    EXPECT_EQ(list->update.entries[0].uid, "a");
}

// As with any key that comes twice, the last one counts.
TEST(EndpointList, MayHaveItsTargetsTwice)
{
    const auto list = decode_with_config(R"({"targets":[{"uid":"b"},{"uid":""}],"targets":[{"uid":"a"}]})");
    ASSERT_TRUE(list && list->update.entries.size() == 1);
    EXPECT_EQ(list->update.entries[0].uid, "a");
}

TEST(EndpointList, IsNoneWithoutTargetsOrJson)
{
    EXPECT_FALSE(decode_with_config(R"({"rev":8})"));
    EXPECT_FALSE(decode_with_config("rev 8"));
}

}  // namespace
}  // namespace firtide::net
