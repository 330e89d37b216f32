// Bodies that come or are taken slowly, on sockets: a sound response reaches its client for as long as the
// client waits, and a request that its upstream takes slowly is answered in time.
#include <gtest/gtest.h>

#include "trace.h"

namespace firtide
{
namespace
{

using std::chrono::steady_clock;

constexpr double client_timeout_seconds = 2.5;
// Up to half a second after its time a response only earns nothing; later, its request is lost.
constexpr double lost_after_seconds = client_timeout_seconds + 0.5;
constexpr size_t buffered_bytes = 30'000, relayed_bytes = 200'000;

double seconds_since(steady_clock::time_point start)
{
    return std::chrono::duration<double>(steady_clock::now() - start).count();
}

std::string header_value(const std::string& head, const std::string& name)
{
    const auto at = head.find(name + ": ");
    if (at == std::string::npos) return {};
    const auto begin = at + name.size() + 2;
    return head.substr(begin, head.find('\r', begin) - begin);
}

enum class Framing { length, chunked, until_close };

// How an upstream sends its response: in so many pieces, with a pause before each but the first.
struct ResponsePlan {
    const char* name;
    Framing framing;
    size_t bytes;
    size_t pieces;
    int pause_ms;
};

std::string test_name(const testing::TestParamInfo<ResponsePlan>& plan) { return plan.param.name; }

const ResponsePlan plans[] = {
    {"BufferedWithLengthAndOnePause", Framing::length, buffered_bytes, 2, 1200},
    {"BufferedChunkedAndOnePause", Framing::chunked, buffered_bytes, 2, 1200},
    {"BufferedWithoutLengthAndOnePause", Framing::until_close, 6'000, 2, 1200},
    {"BufferedWithLengthAndManyPauses", Framing::length, buffered_bytes, 4, 600},
    {"RelayedWithLengthAndOnePause", Framing::length, relayed_bytes, 2, 1200},
    {"RelayedChunkedAndOnePause", Framing::chunked, relayed_bytes, 2, 1200},
    {"RelayedWithoutLengthAndOnePause", Framing::until_close, relayed_bytes, 2, 1200},
    {"RelayedWithLengthAndManyPauses", Framing::length, relayed_bytes, 4, 600},
};

class SlowUpstream
{
  public:
    SlowUpstream() : server_([this](TestConnection& connection) { serve(connection); }) {}
    std::string endpoint() const { return server_.endpoint(); }
    int requests() const { return requests_; }
    void set_plan(const ResponsePlan& plan) { plan_ = plan; }
    // Responses before this one never end.
    void set_first_sound_response(int number) { first_sound_response_ = number; }
    // Of each request's body, before the rest is read.
    void set_read_pause(int milliseconds) { read_pause_ms_ = milliseconds; }

  private:
    void serve(TestConnection& connection)
    {
        for (std::string head; connection.is_open() && !(head = connection.receive_head()).empty();) {
            ++requests_;
            sleep_ms(read_pause_ms_);
            if (const auto length = header_value(head, "Content-Length"); !length.empty())
                if (connection.discard(std::stoul(length)) < std::stoul(length)) return;
            if (head.find("chunked") != std::string::npos) connection.receive_chunked_body();
            if (requests_ < first_sound_response_) {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\nspoilt");
                return (void)connection.receives_eof(5000);
            }
            send_response(connection);
            if (plan_.framing == Framing::until_close) return;
        }
    }
    void send_response(const TestConnection& connection) const
    {
        std::string next = "HTTP/1.1 200 OK\r\n";
        if (plan_.framing == Framing::length)
            next += "Content-Length: " + std::to_string(plan_.bytes) + "\r\n\r\n";
        if (plan_.framing == Framing::chunked) next += "Transfer-Encoding: chunked\r\n\r\n";
        if (plan_.framing == Framing::until_close) next += "Connection: close\r\n\r\n";
        for (size_t piece = 0; piece < plan_.pieces; ++piece) {
            if (piece > 0) sleep_ms(plan_.pause_ms);
            next += encode_piece(plan_.bytes / plan_.pieces);
            connection.send(std::exchange(next, {}));
        }
        if (plan_.framing == Framing::chunked) connection.send("0\r\n\r\n");
    }
    std::string encode_piece(size_t bytes) const
    {
        const std::string text(bytes, 'r');
        if (plan_.framing != Framing::chunked) return text;
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", bytes);
        return size + text + "\r\n";
    }

    ResponsePlan plan_{"", Framing::length, 4, 1, 0};
    std::atomic<int> requests_{0};
    int first_sound_response_ = 0, read_pause_ms_ = 0;
    TestServer server_;
};

class SlowBodies : public testing::Test
{
  protected:
    SlowBodies()
        : discovery_([this](TestConnection& connection) { serve_unchanging_list(connection, list()); })
    {
        program_path = FIRTIDE_PROGRAM;
    }
    std::string list() const
    {
        std::string out = R"({"rev":2,"all":true,"targets":[)";
        for (const char* uid : {"a", "b"})
            out += std::string(uid == std::string("a") ? "" : ",") + R"({"uid":")" + uid +
                   R"(","endpoint":")" + upstream_.endpoint() + R"(","state":"ready"})";
        return out + "]}";
    }
    // At the usual limits and at the least that the pages name.
    std::unique_ptr<BalancerProcess> start(const std::string& limits = "1024")
    {
        return std::make_unique<BalancerProcess>(discovery_.endpoint(), limits, "", std::function<void()>(),
                                                 0, "", client_timeout_us);
    }
    struct Reply {
        std::string status;
        size_t body_bytes = 0;
        double seconds = 0;  // from the last byte of the request to the end of the response
    };
    Reply call(uint16_t port, const std::string& request)
    {
        TestConnection caller(port);
        caller.send(request);
        const auto sent_at = steady_clock::now();
        std::string head;
        while (head.empty() && seconds_since(sent_at) < 8) head = caller.receive_head();
        Reply reply{first_line(head), 0, 0};
        if (head.find("chunked") != std::string::npos)
            reply.body_bytes = caller.receive_chunked_body();
        else if (const auto length = header_value(head, "Content-Length"); !length.empty())
            reply.body_bytes = caller.discard(std::stoul(length));
        else
            reply.body_bytes = caller.receive_all().size();
        reply.seconds = seconds_since(sent_at);
        return reply;
    }
    std::string request(const std::string& first, size_t body_bytes = 0)
    {
        const auto id = "Host: a\r\nReq-Id: slow-" + std::to_string(++last_id_) + "\r\n";
        if (first.rfind("GET", 0) == 0) return first + " HTTP/1.1\r\n" + id + "\r\n";
        return http_message(first + " HTTP/1.1", std::string(body_bytes, 'q'), id);
    }
    static std::string chunked_request(const std::string& id, size_t body_bytes)
    {
        std::string out =
            "POST /once/x HTTP/1.1\r\nHost: a\r\nReq-Id: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (size_t at = 0; at < body_bytes; at += 1000) out += "3e8\r\n" + std::string(1000, 'q') + "\r\n";
        return out + "0\r\n\r\n";
    }
    void expect_answer_in_time(int read_pause_ms, const std::string& bytes)
    {
        upstream_.set_read_pause(read_pause_ms);
        const auto firtide = start();
        const Reply reply = call(firtide->port, bytes);
        EXPECT_NE(reply.status, "(nothing)");
        EXPECT_LE(reply.seconds, lost_after_seconds) << reply.status;
    }

    static constexpr int client_timeout_us = static_cast<int>(client_timeout_seconds * 1e6);
    int last_id_ = 0;
    SlowUpstream upstream_;
    TestServer discovery_;
};

class SlowResponses : public SlowBodies, public testing::WithParamInterface<ResponsePlan>
{
  protected:
    void expect_complete(const std::string& first, size_t request_bytes, const std::string& limits = "1024")
    {
        upstream_.set_plan(GetParam());
        const auto firtide = start(limits);
        const Reply reply = call(firtide->port, request(first, request_bytes));
        EXPECT_EQ(reply.status, status_line_ok);
        EXPECT_EQ(reply.body_bytes, GetParam().bytes);
        EXPECT_LE(reply.seconds, client_timeout_seconds);
        EXPECT_EQ(upstream_.requests(), 1);
    }
};

INSTANTIATE_TEST_SUITE_P(Plans, SlowResponses, testing::ValuesIn(plans), test_name);

TEST_P(SlowResponses, ToANonIdempotentRequestAreNotCutOff) { expect_complete("POST /once/x", 10); }
TEST_P(SlowResponses, ToALargeNonIdempotentRequestAreNotCutOff) { expect_complete("POST /once/x", 100'000); }
TEST_P(SlowResponses, ToAnIdempotentRequestAreNotCutOff) { expect_complete("GET /safe/x", 0); }
TEST_P(SlowResponses, AreNotCutOffWithLittleMemory)
{
    expect_complete("POST /once/x", 100'000, R"(512,"memory_mb":16)");
}

// An idempotent request is sent again while its client can still have a response in time.
TEST_F(SlowBodies, OfSpoiltResponsesAreGivenUpForAnotherAttempt)
{
    upstream_.set_first_sound_response(2);
    const auto firtide = start();
    const Reply reply = call(firtide->port, request("GET /safe/x"));
    EXPECT_EQ(reply.status, status_line_ok);
    EXPECT_LE(reply.seconds, client_timeout_seconds);
    EXPECT_EQ(upstream_.requests(), 2);
}

TEST_F(SlowBodies, OfSpoiltResponsesToANonIdempotentRequestEndInTime)
{
    upstream_.set_first_sound_response(2);
    const auto firtide = start();
    const Reply reply = call(firtide->port, request("POST /once/x", 10));
    EXPECT_EQ(reply.status, "HTTP/1.1 502 Bad Gateway");
    EXPECT_LE(reply.seconds, lost_after_seconds);
    EXPECT_EQ(upstream_.requests(), 1);
}

TEST_F(SlowBodies, OfRequestsThatAreReadLateGetAnAnswerInTime)
{
    expect_answer_in_time(2300, request("POST /once/x", relayed_bytes));
}
TEST_F(SlowBodies, OfRequestsThatAreNotReadGetAnAnswerInTime)
{
    expect_answer_in_time(7000, request("POST /once/x", relayed_bytes));
}
TEST_F(SlowBodies, OfVeryLargeRequestsThatAreNotReadGetAnAnswerInTime)
{
    expect_answer_in_time(7000, request("POST /once/x", 4'000'000));
}
TEST_F(SlowBodies, OfChunkedRequestsThatAreNotReadGetAnAnswerInTime)
{
    expect_answer_in_time(7000, chunked_request("c-1", relayed_bytes));
}
TEST_F(SlowBodies, OfRequestsThatFitIntoABufferAndAreNotReadGetAnAnswerInTime)
{
    expect_answer_in_time(7000, request("POST /once/x", 60'000));
}

}  // namespace
}  // namespace firtide
