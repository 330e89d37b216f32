// What goes over the wire between callers, this program and upstreams: decoded once into small values here,
// and encoded once. Nothing else reads or writes HTTP text.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/decode_settings.h"

namespace firtide::net
{

inline constexpr size_t most_body = 64 * 1024;
inline constexpr size_t most_head = 16 * 1024;

using Headers = std::vector<std::pair<std::string, std::string>>;

// An invocation as a caller asked for it.
struct Request {
    std::string method, target, id;
    uint32_t operation = 0, tenant = 0;
    Span time_left;
    Headers passed_on;
    std::string body;
};

struct Response {
    int status = 0;
    bool declined = false;  // the upstream says that it has not begun
    Report report;
    Headers passed_on;
    std::string body;
};

// Why a request was not taken, as the status it is answered with.
struct Unacceptable {
    int status = 400;
    const char* why = "";
};

// How far an attempt came, and what ended it. What this proves is decided in the reducer, once.
enum class Progress { not_connected, partly_written, written, answering };
enum class Cause { refused, no_answer_in_time, broken, malformed, no_descriptor };
struct Broken {
    Progress progress = Progress::not_connected;
    Cause cause = Cause::broken;
};

std::string origin_form(std::string_view target);  // without scheme and host, where a target has them
std::optional<Unacceptable> decode_request(const Setup& setup, Headers headers, Request& into);
std::string encode_request(const Request& request, std::string_view host, Span wait);
Report decode_report(const Setup& setup, std::string_view text);
std::string encode_probe(std::string_view host, bool with_report);

std::string encode_seconds(Span span);
bool same_name(std::string_view a, std::string_view b);  // of headers: letter case is nothing
bool goes_on(std::string_view header);                   // is not of one connection alone

// Takes an answer in as it comes. Guards against answers cut short: only a whole one is ever handed out.
class ResponseReader
{
  public:
    enum class State { more, whole, malformed };

    explicit ResponseReader(const Setup& setup) : setup_(&setup) {}

    State take(std::string_view bytes);
    State end();  // the connection has ended
    bool begun() const { return begun_; }
    bool keeps_connection() const { return keeps_; }
    Response& response() { return response_; }

  private:
    enum class Part { status, headers, body, until_end, chunk_size, chunk, chunk_end, trailers, done };

    std::optional<std::string_view> line();
    bool step(bool& ok);
    bool status_line(std::string_view text);
    bool header(std::string_view text);
    bool head_done();

    const Setup* setup_;
    Response response_;
    Part part_ = Part::status;
    std::string rest_;
    size_t at_ = 0, wanted_ = 0, head_bytes_ = 0;
    std::optional<size_t> length_;
    bool chunked_ = false, keeps_ = true, begun_ = false;
};

}  // namespace firtide::net
