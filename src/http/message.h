// What goes over the wire between callers, this program and upstreams: decoded once into small values here,
// and encoded once. Nothing else reads or writes HTTP text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/balance/decode_settings.h"

namespace firtide
{

inline constexpr size_t max_buffered_body_bytes = 64 * 1024;  // taken in whole; beyond, passed on in pieces
inline constexpr size_t max_buffered_unsized_bytes =
    8 * 1024;  // the same of an answer whose length is not told
inline constexpr size_t max_message_bytes = size_t{40} << 20;  // in all
inline constexpr size_t max_head_bytes = 16 * 1024;

using Headers = std::vector<std::pair<std::string, std::string>>;

// An invocation as a caller asked for it.
struct Request {
    std::string method, target, id;
    uint32_t operation = 0, tenant = 0;
    Duration time_left;
    Headers forwarded_headers;
    std::string body;
    uint32_t config_version = 0;                // of the settings that it was decoded with
    bool body_incomplete = false;               // of the body is still to come
    std::optional<size_t> content_length = {};  // of it in all, where it is known and more is to come
};

struct Response {
    int status = 0;
    bool declined = false;  // the upstream says that it has not begun
    LoadReport load_report;
    Headers forwarded_headers;
    std::string body;
    bool body_incomplete = false;               // of the body follows in pieces
    std::optional<size_t> content_length = {};  // of it in all, where it is known and more follows
};

// An answer of the balancer itself, with a line of text as its body.
Response plain_response(int status, std::string_view text);

// Why a request was not taken, as the status it is answered with.
struct RequestError {
    int status = 400;
    const char* reason = "";
};

// How far an attempt came, and what ended it. What this proves is decided in the reducer, once.
enum class AttemptProgress { not_connected, partly_written, written, receiving_response };
enum class FailureCause {
    connect_failed,
    timed_out,
    connection_lost,
    invalid_response,
    no_descriptor,
    write_cancelled
};
struct ConnectionError {
    AttemptProgress progress = AttemptProgress::not_connected;
    FailureCause cause = FailureCause::connection_lost;
};

std::string origin_form(std::string_view target);  // without scheme and host, where a target has them
std::optional<uint32_t> decode_operation(const ServiceConfig& setup, std::string_view target);
std::optional<RequestError> decode_request(const ServiceConfig& setup, Headers headers, Request& into);
std::string encode_request(const Request& request, std::string_view host, Duration wait);
// Old callers, of HTTP/1.0, read to the end of the connection what has no length.
std::string encode_response(const Response& response, bool last_on_connection, bool old = false);
// What follows a message's head and first bytes, where there was more.
std::string encode_body_chunk(std::string bytes, bool chunked, bool last);
LoadReport decode_load_report(const ServiceConfig& setup, std::string_view text);
std::string encode_probe(std::string_view host, bool with_report);

std::string encode_seconds(Duration span);
bool equals_ignore_case(std::string_view a, std::string_view b);  // of headers: letter case is nothing
bool is_forwarded_header(std::string_view header);                // is not of one connection alone

// Takes a message in as it comes, and nothing past its end: head, then a body of a stated length, in chunks
// or to the end of the connection.
class MessageReader
{
  public:
    enum class State { incomplete, complete, malformed };

    virtual ~MessageReader() = default;

    // How many of the bytes belong to this message is in used().
    State parse(std::string_view bytes);
    size_t consumed_bytes() const { return used_; }
    bool has_started() const { return begun_; }
    bool keep_alive() const { return keeps_; }
    bool is_head_complete() const { return part_ != Part::first_line && part_ != Part::headers; }
    // Too much to be taken in whole: what has come may be taken away in pieces.
    bool exceeds_buffer() const;
    std::string take_body() { return std::exchange(body(), {}); }
    std::optional<size_t> content_length() const { return length_; }
    size_t body_bytes_received() const { return come_; }  // of the body
    size_t max_remaining_body_bytes() const
    {
        return is_complete() ? 0 : length_.value_or(max_message_bytes) - come_;
    }  // at most
    bool is_complete() const { return part_ == Part::done; }
    // The connection has ended without a fault: whether that is the message's end.
    bool ends_at_close() const { return part_ == Part::to_the_end; }

  protected:
    enum class Part { first_line, headers, body, chunk_size, chunk, chunk_end, trailers, to_the_end, done };

    virtual bool first_line(std::string_view text) = 0;
    virtual bool header(std::string_view name, std::string_view value) = 0;
    virtual bool head_done() = 0;
    virtual std::string& body() = 0;

    // Reads what tells the body's end. False where it cannot be relied on.
    bool framing(std::string_view name, std::string_view value);
    void body_follows();

    Part part_ = Part::first_line;
    std::optional<size_t> length_;
    bool chunked_ = false, keeps_ = true, begun_ = false;
    size_t come_ = 0;

  private:
    std::optional<std::string_view> line();
    bool step(bool& ok);

    std::string rest_;
    size_t at_ = 0, wanted_ = 0, head_bytes_ = 0, used_ = 0;
};

// An answer of an upstream. Guards against answers cut short: up to the size that is taken in whole, only a
// whole one is ever handed out, and one that is told by the end of the connection only if that was announced.
class ResponseReader : public MessageReader
{
  public:
    explicit ResponseReader(const ServiceConfig& setup) : setup_(&setup) {}

    Response& response() { return response_; }

  private:
    bool first_line(std::string_view text) override;
    bool header(std::string_view name, std::string_view value) override;
    bool head_done() override;
    std::string& body() override { return response_.body; }

    const ServiceConfig* setup_;
    Response response_;
};

// A request of a caller. What is wrong with it is known once its head is there: a body that belongs to such
// a one is never read.
class RequestReader : public MessageReader
{
  public:
    explicit RequestReader(const ServiceConfig& setup) : setup_(&setup) {}

    Request& request() { return request_; }
    const RequestError& error() const { return why_; }
    bool is_readiness_check() const;
    size_t body_bytes_to_buffer() const;  // bytes of its body at most, once the head is there
    bool expects_continue() const { return body_bytes_to_buffer() > 0 && expects_; }
    bool is_http_1_0() const { return old_; }  // HTTP/1.0
    void mark_continue_sent() { expects_ = false; }

  private:
    bool first_line(std::string_view text) override;
    bool header(std::string_view name, std::string_view value) override;
    bool head_done() override;
    std::string& body() override { return request_.body; }
    bool refuse(int status, const char* why);

    const ServiceConfig* setup_;
    Request request_;
    Headers headers_;
    RequestError why_{400, "unreadable request"};
    bool expects_ = false, old_ = false;
};

}  // namespace firtide
