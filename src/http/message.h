// HTTP messages between callers, this program and upstreams: decoded here into small values, and encoded
// here. Other components do not parse HTTP text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "headers.h"
#include "src/balance/decode_settings.h"

namespace firtide
{

inline constexpr size_t max_buffered_body_bytes = 64 * 1024;    // larger bodies are relayed in chunks
inline constexpr size_t max_buffered_unsized_bytes = 8 * 1024;  // the same for a response of unknown length
inline constexpr size_t max_message_bytes = size_t{40} << 20;   // of the body in total
inline constexpr size_t max_head_bytes = 16 * 1024;

// A request as its caller sent it.
struct Request {
    std::string method, target, id;
    uint32_t operation = 0, tenant = 0;
    Duration time_left;
    Headers forwarded_headers;
    std::string body;
    uint32_t config_version = 0;                // of the settings that it was decoded with
    bool body_incomplete = false;               // more of the body is still to come
    std::optional<size_t> content_length = {};  // of the whole body, if known and more is to come

    size_t memory_bytes() const
    {
        return target.capacity() + id.capacity() + forwarded_headers.text().capacity() + body.capacity();
    }
};

struct Response {
    int status = 0;
    bool declined = false;  // the upstream says that it has not begun to execute the request
    LoadReport load_report;
    Headers forwarded_headers;
    std::string body;
    bool body_incomplete = false;               // more of the body follows in chunks
    std::optional<size_t> content_length = {};  // of the whole body, if known and more follows
};

// A response of the balancer itself, with a line of text as its body.
Response plain_response(int status, std::string_view text);

// Why a request was rejected, with the status of the response.
struct RequestError {
    int status = 400;
    const char* reason = "";
};

// How far an attempt got, and what ended it. What this proves is decided by net::result_of() only.
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

std::string origin_form(std::string_view target);  // without scheme and host, if the target has them
std::optional<uint32_t> decode_operation(const ServiceConfig& config, std::string_view target);
std::optional<RequestError> decode_request(const ServiceConfig& config, const Headers& headers,
                                           Request& request);
std::string encode_request(const Request& request, std::string_view host, Duration time_left);
// HTTP/1.0 callers read a body without a length to the end of the connection.
std::string encode_response(const Response& response, bool close_connection, bool http_1_0 = false);
// Encodes body bytes that follow the head and first bytes of a message.
std::string encode_body_chunk(std::string bytes, bool chunked, bool is_last);
LoadReport decode_load_report(const ServiceConfig& config, std::string_view text);
std::string encode_probe(std::string_view host, bool with_report);

std::string encode_seconds(Duration duration);
bool equals_ignore_case(std::string_view a, std::string_view b);  // ASCII letters only
// False for hop-by-hop headers and for those that are rewritten or dropped here.
bool is_forwarded_header(std::string_view header);

// Parses a message as its bytes arrive, and nothing past its end: a head, then a body of a stated length, in
// chunks or to the end of the connection.
class MessageReader
{
  public:
    enum class State { incomplete, complete, malformed };

    MessageReader() = default;
    MessageReader(MessageReader&&) = default;
    MessageReader& operator=(MessageReader&&) = default;
    virtual ~MessageReader() = default;

    // consumed_bytes() says how many of the bytes belong to this message.
    State parse(std::string_view bytes);
    size_t consumed_bytes() const { return consumed_bytes_; }
    bool has_started() const { return has_started_; }
    bool keep_alive() const { return keep_alive_; }
    bool is_head_complete() const { return phase_ != Phase::start_line && phase_ != Phase::headers; }
    // The body is too large to buffer: take_body() may remove what has arrived so far.
    bool exceeds_buffer() const;
    std::string take_body() { return std::exchange(body(), {}); }
    std::optional<size_t> content_length() const { return content_length_; }
    size_t body_bytes_received() const { return body_bytes_received_; }
    size_t max_remaining_body_bytes() const
    {
        return is_complete() ? 0 : content_length_.value_or(max_message_bytes) - body_bytes_received_;
    }
    bool is_complete() const { return phase_ == Phase::done; }
    // Bytes that are kept of the head, and of a part that cannot be parsed yet.
    virtual size_t head_memory_bytes() const { return buffer_.capacity(); }
    // Whether a regular end of the connection completes the message.
    bool ends_at_close() const { return phase_ == Phase::body_until_close; }

  protected:
    enum class Phase {
        start_line,
        headers,
        body,
        chunk_size,
        chunk_data,
        chunk_end,
        trailers,
        body_until_close,
        done
    };

    virtual bool on_start_line(std::string_view text) = 0;
    virtual bool on_header(std::string_view name, std::string_view value) = 0;
    virtual bool on_head_complete() = 0;
    virtual std::string& body() = 0;

    // Reads the headers that determine where the body ends. Returns false if they cannot be relied on.
    bool parse_framing_header(std::string_view name, std::string_view value);
    void begin_body();

    Phase phase_ = Phase::start_line;
    std::optional<size_t> content_length_;
    bool chunked_ = false, keep_alive_ = true, has_started_ = false;
    size_t body_bytes_received_ = 0;

  private:
    std::optional<std::string_view> next_line();
    bool parse_step(bool& ok);

    std::string buffer_;
    size_t buffer_offset_ = 0, section_bytes_left_ = 0, head_bytes_ = 0, consumed_bytes_ = 0;
};

// A response of an upstream. Truncated responses are not accepted: up to the buffered size only a complete
// one is handed out, and one that ends with the connection only if closing it was announced.
class ResponseReader : public MessageReader
{
  public:
    explicit ResponseReader(const ServiceConfig& config) : config_(&config) {}

    Response& response() { return response_; }
    size_t memory_bytes() const { return head_memory_bytes() + response_.body.capacity(); }
    size_t head_memory_bytes() const override
    {
        return MessageReader::head_memory_bytes() + response_.forwarded_headers.text().capacity();
    }

  private:
    bool on_start_line(std::string_view text) override;
    bool on_header(std::string_view name, std::string_view value) override;
    bool on_head_complete() override;
    std::string& body() override { return response_.body; }

    const ServiceConfig* config_;
    Response response_;
};

// A request of a caller. It is checked once its head is complete: the body of a rejected request is never
// read.
class RequestReader : public MessageReader
{
  public:
    explicit RequestReader(const ServiceConfig& config) : config_(&config) {}

    Request& request() { return request_; }
    const RequestError& error() const { return error_; }
    bool is_readiness_check() const;
    size_t body_bytes_to_buffer() const;  // an upper bound, once the head is complete
    bool expects_continue() const { return body_bytes_to_buffer() > 0 && expects_continue_; }
    bool is_http_1_0() const { return is_http_1_0_; }
    void mark_continue_sent() { expects_continue_ = false; }
    size_t body_memory_bytes() const { return request_.body.capacity(); }
    size_t head_memory_bytes() const override
    {
        return MessageReader::head_memory_bytes() + headers_.text().capacity() + request_.memory_bytes() -
               request_.body.capacity();
    }

  private:
    bool on_start_line(std::string_view text) override;
    bool on_header(std::string_view name, std::string_view value) override;
    bool on_head_complete() override;
    std::string& body() override { return request_.body; }
    bool reject(int status, const char* reason);

    const ServiceConfig* config_;
    Request request_;
    Headers headers_;
    RequestError error_{400, "unreadable request"};
    bool expects_continue_ = false, is_http_1_0_ = false;
};

}  // namespace firtide
