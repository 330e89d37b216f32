// Responses that are sent before their request has completely arrived, on sockets: what still comes of the
// request is never read as further requests, and a request that was really sent behind it is answered or its
// connection is ended.
#include <gtest/gtest.h>

#include <mutex>
#include <set>
#include <vector>

#include "trace.h"

namespace firtide
{
namespace
{

constexpr size_t buffered_body_bytes = 64 * 1024;

// An upstream that records the ids of the requests it runs. It answers requests below /once/early when their
// head has come.
class RecordingUpstream
{
  public:
    RecordingUpstream() : server_([this](TestConnection& connection) { serve(connection); }) {}

    std::string list(int version) const
    {
        return R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[{"uid":"a","endpoint":")" +
               server_.endpoint() + R"(","state":"ready"}]})";
    }
    bool has_run(const std::string& id)
    {
        const std::lock_guard lock(mutex_);
        return ids_.count(id) > 0;
    }

  private:
    void serve(TestConnection& connection)
    {
        for (std::string head; connection.is_open() && !(head = connection.receive_head()).empty();) {
            const auto id = head.find("Req-Id: ");
            {
                const std::lock_guard lock(mutex_);
                if (id != std::string::npos) ids_.insert(head.substr(id + 8, head.find('\r', id) - id - 8));
            }
            const auto length = head.find("Content-Length: ");
            const bool early = head.find("/early") != std::string::npos;
            if (!early && length != std::string::npos)
                connection.discard(std::stoul(head.substr(length + 16)));
            if (!early && head.find("chunked") != std::string::npos) connection.receive_chunked_body();
            if (head.find("/held") != std::string::npos) sleep_ms(600);
            connection.send(http_message(status_line_ok, std::string(early_body_bytes(head), 'x')));
            if (early) return (void)connection.receive_all();
        }
    }
    // An early response may itself be one that is streamed.
    static size_t early_body_bytes(const std::string& head)
    {
        return head.find("/early-streamed") != std::string::npos ? 2 * buffered_body_bytes : 4;
    }

    std::mutex mutex_;
    std::set<std::string> ids_;
    TestServer server_;
};

std::string hidden_request(const std::string& id)
{
    return http_message("POST /once/x HTTP/1.1", "pick", "Host: a\r\nReq-Id: " + id + "\r\n");
}

// A body of many line ends, of which at least a buffer full comes before the text of the first request.
std::string body_with_requests(const std::string& id)
{
    return std::string(buffered_body_bytes, '\n') + std::string(8000, '\n') + hidden_request(id + "-1") +
           std::string(8000, '\n') + hidden_request(id + "-2");
}

std::string chunked(const std::string& body, size_t chunk_bytes)
{
    std::string out;
    for (size_t at = 0; at < body.size(); at += chunk_bytes) {
        const auto chunk = body.substr(at, chunk_bytes);
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        out += size + chunk + "\r\n";
    }
    return out + "0\r\nX-Trailer: y\r\n\r\n";
}

struct EarlyResponse {
    const char* name;
    const char* first_line;
    const char* headers;  // beside those that tell the length
    const char* status;   // expected
    bool chunks = false;
};

const char* const readiness_line = "GET /-/ready HTTP/1.1";

const std::vector<EarlyResponse> responses_of_the_balancer = {
    {"readiness", readiness_line, "", "200"},
    {"readiness-by-post", "POST /-/ready HTTP/1.1", "", "200"},
    {"readiness-chunked", readiness_line, "", "200", true},
    {"readiness-post-chunked", "POST /-/ready HTTP/1.1", "", "200", true},
    {"readiness-with-host", "GET http://a/-/ready HTTP/1.1", "", "200"},
    {"readiness-1.0", "GET /-/ready HTTP/1.0", "", "200"},
    {"readiness-to-close", readiness_line, "Connection: close\r\n", "200"},
    {"no-id", "POST /once/x HTTP/1.1", "", "400"},
    {"no-id-chunked", "POST /once/x HTTP/1.1", "", "400", true},
    {"bad-deadline", "POST /once/x HTTP/1.1", "Req-Id: i1\r\nReq-Deadline-Ms: soon\r\n", "400"},
    {"unknown-operation", "POST /other HTTP/1.1", "Req-Id: i2\r\n", "404"},
    {"unknown-check", "GET /-/nope HTTP/1.1", "Req-Id: i3\r\n", "404"},
    {"unknown-method", "PUT /once/x HTTP/1.1", "Req-Id: i4\r\n", "501"},
};

const std::vector<EarlyResponse> responses_of_an_upstream = {
    {"upstream", "POST /once/early HTTP/1.1", "Req-Id: u1\r\n", "200"},
    {"upstream-chunked", "POST /once/early HTTP/1.1", "Req-Id: u2\r\n", "200", true},
    {"upstream-1.0", "POST /once/early HTTP/1.0", "Req-Id: u3\r\n", "200"},
    // A large response is not relayed before its request has been sent.
    {"upstream-streamed", "POST /once/early-streamed HTTP/1.1", "Req-Id: u4\r\n", "502"},
    {"upstream-safe", "GET /safe/early HTTP/1.1", "Req-Id: u5\r\n", "200"},
};

std::string encode(const EarlyResponse& row)
{
    const auto body = body_with_requests(row.name);
    const auto head = row.first_line + std::string("\r\nHost: a\r\n") + row.headers;
    if (row.chunks) return head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, 5000);
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string status_of(const std::string& response) { return response.substr(0, 12); }

class EarlyResponses : public testing::Test
{
  protected:
    EarlyResponses()
        : discovery_([this](TestConnection& connection) {
              if (is_silent_) return (void)connection.receive_all();
              serve_unchanging_list(connection, upstream_.list(2));
          })
    {
        program_path = FIRTIDE_PROGRAM;
    }

    // Sends the first `bytes` of each row on a connection of its own, and the rest when its response has
    // come.
    void expect_nothing_hidden_runs(BalancerProcess& firtide, const std::vector<EarlyResponse>& rows,
                                    size_t bytes)
    {
        std::vector<TestConnection> callers;
        for (const auto& row : rows) {
            callers.emplace_back(firtide.port);
            callers.back().send(encode(row).substr(0, bytes));
        }
        for (size_t i = 0; i < rows.size(); ++i) {
            SCOPED_TRACE(rows[i].name);
            EXPECT_EQ(status_of(callers[i].receive_message()), std::string("HTTP/1.1 ") + rows[i].status);
            const auto all = encode(rows[i]);
            if (all.size() > bytes) callers[i].send(all.substr(bytes));
            EXPECT_TRUE(callers[i].receives_eof()) << "more than one response, or no end";
        }
        sleep_ms(50);
        for (const auto& row : rows)
            for (const char* number : {"-1", "-2"})
                EXPECT_FALSE(upstream_.has_run(row.name + std::string(number))) << row.name << number;
    }

    static constexpr size_t all_bytes = std::string::npos;
    // The head and more than is buffered of the body, but none of the hidden requests.
    static constexpr size_t buffer_full = buffered_body_bytes + 4000;

    RecordingUpstream upstream_;
    std::atomic<bool> is_silent_{false};
    TestServer discovery_;
};

// Guards against the rest of a body being read as requests that nobody sent.
TEST_F(EarlyResponses, HideNoRequestsInABodyThatComesAtOnce)
{
    BalancerProcess firtide(discovery_.endpoint());
    expect_nothing_hidden_runs(firtide, responses_of_the_balancer, all_bytes);
}

// The same where the caller sends the rest of its body once it has the response.
TEST_F(EarlyResponses, HideNoRequestsInABodyThatIsContinued)
{
    BalancerProcess firtide(discovery_.endpoint());
    auto rows = responses_of_the_balancer;
    rows.insert(rows.end(), responses_of_an_upstream.begin(), responses_of_an_upstream.end());
    expect_nothing_hidden_runs(firtide, rows, buffer_full);
}

// The same for an id that is open, and for a request that is timed out while its body comes.
TEST_F(EarlyResponses, HideNoRequestsBehindAnOpenIdOrATimeout)
{
    BalancerProcess firtide(discovery_.endpoint());
    TestConnection holder(firtide.port);
    holder.send("GET /safe/held HTTP/1.1\r\nReq-Id: open\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return upstream_.has_run("open"); }));
    expect_nothing_hidden_runs(firtide, {{"open-id", "POST /once/x HTTP/1.1", "Req-Id: open\r\n", "409"}},
                               buffer_full);
    EXPECT_EQ(first_line(holder.receive_message()), status_line_ok);
    // A request may take 2.5 s to come, and its response is waited for for 2 s.
    const EarlyResponse slow{"slow", "POST /once/x HTTP/1.1", "Req-Id: i6\r\n", "408"};
    TestConnection caller(firtide.port);
    caller.send(encode(slow).substr(0, 100));
    sleep_ms(1500);
    EXPECT_EQ(status_of(caller.receive_message()), "HTTP/1.1 408");
    caller.send(encode(slow).substr(100));
    EXPECT_TRUE(caller.receives_eof());
    EXPECT_FALSE(upstream_.has_run("slow-1"));
}

// The same before the first list has come.
TEST_F(EarlyResponses, HideNoRequestsWhileNoUpstreamIsKnown)
{
    is_silent_ = true;
    BalancerProcess firtide(discovery_.endpoint());
    expect_nothing_hidden_runs(firtide,
                               {{"not-ready", readiness_line, "", "503"},
                                {"not-ready-chunked", readiness_line, "", "503", true},
                                {"throttled", "POST /once/x HTTP/1.1", "Req-Id: i7\r\n", "503"}},
                               buffer_full);
}

// The same where there is no memory left for the body.
TEST_F(EarlyResponses, HideNoRequestsInABodyWithoutMemory)
{
    BalancerProcess firtide(discovery_.endpoint(), "512,\"memory_mb\":16");
    const auto large = http_message("POST /once/x HTTP/1.1", std::string(65536, 'x'), "Req-Id: i8\r\n");
    std::vector<TestConnection> holders;
    for (int i = 0; i < 160; ++i) {
        holders.emplace_back(firtide.port);
        holders.back().send(large.substr(0, 60000));
    }
    expect_nothing_hidden_runs(firtide, {{"no-memory", "POST /once/x HTTP/1.1", "Req-Id: i9\r\n", "503"}},
                               buffer_full);
}

// A request that was really sent behind another is answered, or its connection is ended.
TEST_F(EarlyResponses, LeaveNoPipelinedRequestWithoutAnEnd)
{
    BalancerProcess firtide(discovery_.endpoint());
    const std::string plain = "GET /safe/x HTTP/1.1\r\nReq-Id: ";
    int number = 0;
    const auto behind = [&](const std::string& first) {
        TestConnection caller(firtide.port);
        const auto id = "behind-" + std::to_string(++number);
        caller.send(first + plain + id + "\r\n\r\n");
        EXPECT_FALSE(caller.receive_message().empty());
        const auto second = caller.receive_message();
        if (second.empty()) {
            EXPECT_TRUE(caller.at_eof());
        }
        return std::pair(!second.empty(), upstream_.has_run(id));
    };
    const auto answered = std::pair(true, true), ended = std::pair(false, false);
    const auto readiness = [](size_t bytes) {
        return http_message(readiness_line, std::string(bytes, '\n'));
    };
    EXPECT_EQ(behind(readiness(0)), answered);
    EXPECT_EQ(behind(readiness(1000)), answered);
    EXPECT_EQ(behind(readiness(buffered_body_bytes - 1)), answered);
    EXPECT_EQ(behind(readiness(buffered_body_bytes)), answered);
    EXPECT_EQ(behind("GET /-/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked("abc", 2)),
              answered);
    EXPECT_EQ(behind("GET /-/ready HTTP/1.0\r\n\r\n"), ended);
    EXPECT_EQ(behind("POST /once/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), ended);  // no id
    // Whether the last byte is read together with those before it depends on the kernel.
    const auto one_more = behind(readiness(buffered_body_bytes + 1));
    EXPECT_TRUE(one_more == answered || one_more == ended);
}

}  // namespace
}  // namespace firtide
