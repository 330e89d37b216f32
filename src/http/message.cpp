#include "message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace firtide
{
namespace
{

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

template <class T>
std::optional<T> number(std::string_view text, int base = 10)
{
    T value{};
    const char* end = text.data() + text.size();
    std::from_chars_result got;
    if constexpr (std::is_floating_point_v<T>)
        got = std::from_chars(text.data(), end, value);
    else
        got = std::from_chars(text.data(), end, value, base);
    if (text.empty() || got.ec != std::errc() || got.ptr != end) return {};
    return value;
}

bool names_token(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        if (equals_ignore_case(trimmed(item), token)) return true;
    }
    return false;
}

std::optional<uint32_t> place(const std::vector<std::string>& names, std::string_view name)
{
    const auto at = std::find(names.begin(), names.end(), name);
    if (at == names.end()) return {};
    return static_cast<uint32_t>(at - names.begin());
}

bool plain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

constexpr double most_figure = 1e6;  // larger values in a load report are not plausible

bool printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

const char* reason_of(int status)
{
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 408: return "Request Timeout";
        case 409: return "Conflict";
        case 413: return "Content Too Large";
        case 431: return "Request Header Fields Too Large";
        case 500: return "Internal Server Error";
        case 501: return "Not Implemented";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        default: return "Answer";
    }
}

}  // namespace

Response plain_response(int status, std::string_view text)
{
    Response response;
    response.status = status;
    response.body = text;
    return response;
}

bool equals_ignore_case(std::string_view a, std::string_view b)
{
    const auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return low(x) == low(y); });
}

bool is_forwarded_header(std::string_view header)
{
    static constexpr std::array<std::string_view, 13> own = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",   "Trailer",    "Upgrade",
        "Expect",     "Host",       "Content-Length",   "Req-Deadline-Ms",   "Date", "Retry-After"};
    return std::none_of(own.begin(), own.end(), [&](auto name) { return equals_ignore_case(name, header); });
}

// All or nothing: no value is used from a report that is invalid elsewhere.
LoadReport decode_load_report(const ServiceConfig& setup, std::string_view text)
{
    LoadReport report;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const auto eq = item.find('=');
        if (eq == std::string_view::npos) return {};
        const auto at = place(setup.load_report_fields, trimmed(item.substr(0, eq)));
        const auto value = number<double>(trimmed(item.substr(eq + 1)));
        if (!value || !(*value >= 0 && *value <= most_figure)) return {};
        if (at && setup.load_report_members[*at]) report.*setup.load_report_members[*at] = *value;
    }
    return report;
}

std::string origin_form(std::string_view target)
{
    constexpr std::string_view scheme = "http://";
    if (!equals_ignore_case(target.substr(0, scheme.size()), scheme)) return std::string(target);
    const auto path = target.find('/', scheme.size());
    return path == std::string_view::npos ? "/" : std::string(target.substr(path));
}

std::optional<uint32_t> decode_operation(const ServiceConfig& setup, std::string_view target)
{
    target.remove_prefix(std::min<size_t>(1, target.size()));
    return place(setup.operation_names, target.substr(0, target.find_first_of("/?")));
}

std::optional<RequestError> decode_request(const ServiceConfig& setup, Headers headers, Request& into)
{
    if (into.target.empty() || into.target.front() != '/' || !plain(into.target))
        return RequestError{400, "unreadable target"};
    const auto operation = decode_operation(setup, into.target);
    if (!operation) return RequestError{404, "no such operation"};
    into.operation = *operation;
    into.config_version = setup.config_version;
    into.time_left = setup.settings.operations[*operation].client_timeout;
    const auto nobody = static_cast<uint32_t>(setup.tenant_names.size());
    into.tenant = nobody;  // a request without a known tenant counts against no tenant's share
    for (auto& [name, value] : headers) {
        // The next parser might take a stray carriage return for the end of a line.
        if (!plain(name) || !printable(value)) return RequestError{400, "unreadable header"};
        if (equals_ignore_case(name, "Req-Id")) into.id = value;
        if (equals_ignore_case(name, "Req-Owner"))
            into.tenant = place(setup.tenant_names, value).value_or(nobody);
        if (equals_ignore_case(name, "Req-Deadline-Ms")) {
            const auto ms = number<int64_t>(value);
            if (!ms || *ms < 0) return RequestError{400, "unreadable Req-Deadline-Ms"};
            into.time_left = std::min(into.time_left, Duration{std::min<int64_t>(*ms, 1'000'000'000) * 1000});
        }
        if (is_forwarded_header(name)) into.forwarded_headers.emplace_back(std::move(name), std::move(value));
    }
    if (into.id.empty()) return RequestError{400, "Req-Id is missing"};
    return {};
}

namespace
{

// For a message with more body than is sent with its head.
template <class Message>
std::string framing_of(const Message& message)
{
    if (!message.content_length) return "\r\nTransfer-Encoding: chunked\r\n\r\n";
    return "\r\nContent-Length: " + std::to_string(*message.content_length) + "\r\n\r\n";
}

template <class Message>
std::string first_piece(const Message& message)
{
    return encode_body_chunk(message.body, !message.content_length, false);
}

}  // namespace

std::string encode_body_chunk(std::string bytes, bool chunked, bool last)
{
    if (!chunked) return bytes;
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    if (!bytes.empty()) bytes.insert(0, size).append("\r\n");
    return last ? bytes.append("0\r\n\r\n") : bytes;
}

std::string encode_request(const Request& request, std::string_view host, Duration wait)
{
    std::string out;
    out.reserve(256 + request.target.size() + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ").append(host);
    for (const auto& [name, value] : request.forwarded_headers)
        out.append("\r\n").append(name).append(": ").append(value);
    out.append("\r\nReq-Deadline-Ms: ").append(std::to_string(std::max<int64_t>(0, wait.us / 1000)));
    if (request.body_incomplete) return out.append(framing_of(request)).append(first_piece(request));
    if (!request.body.empty() || request.method != "GET")
        out.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
    return out.append("\r\n\r\n").append(request.body);
}

std::string encode_response(const Response& response, bool last_on_connection, bool old)
{
    std::string out;
    out.reserve(256 + response.body.size());
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    out.append(reason_of(response.status));
    for (const auto& [name, value] : response.forwarded_headers)
        out.append("\r\n").append(name).append(": ").append(value);
    if (last_on_connection) out.append("\r\nConnection: close");
    if (response.body_incomplete && old && !response.content_length)
        return out.append("\r\n\r\n").append(response.body);
    if (response.body_incomplete) return out.append(framing_of(response)).append(first_piece(response));
    out.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    return out.append("\r\n\r\n").append(response.body);
}

std::string encode_probe(std::string_view host, bool with_report)
{
    std::string out = with_report ? "GET /-/load" : "GET /-/healthy";
    return out.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
}

std::string encode_seconds(Duration span)
{
    const auto ms = std::max<int64_t>(0, span.us / 1000);
    const auto part = std::to_string(1000 + ms % 1000).substr(1);
    return std::to_string(ms / 1000) + "." + part;
}

MessageReader::State MessageReader::parse(std::string_view bytes)
{
    begun_ = begun_ || !bytes.empty();
    rest_.append(bytes);
    bool ok = true;
    while (part_ != Part::done && step(ok)) {
    }
    rest_.erase(0, at_);
    at_ = 0;
    used_ = bytes.size();
    if (!ok || come_ > max_message_bytes || head_bytes_ > max_head_bytes ||
        rest_.size() > max_head_bytes + max_buffered_body_bytes)
        return State::malformed;
    if (part_ != Part::done) return State::incomplete;
    used_ -= rest_.size();
    rest_.clear();
    return State::complete;
}

bool MessageReader::exceeds_buffer() const
{
    return is_head_complete() && (come_ > max_buffered_body_bytes ||
                                  (part_ != Part::done && length_.value_or(0) > max_buffered_body_bytes));
}

std::optional<std::string_view> MessageReader::line()
{
    const auto end = rest_.find('\n', at_);
    if (end == std::string::npos) {
        if (rest_.size() - at_ > max_head_bytes) head_bytes_ = max_head_bytes + 1;
        return {};
    }
    auto text = std::string_view(rest_).substr(at_, end - at_);
    head_bytes_ += part_ == Part::chunk_size || part_ == Part::chunk_end ? 0 : text.size() + 1;
    at_ = end + 1;
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    return text;
}

// Advances by one phase or line. Returns false if bytes are missing or, with `ok` false, the message is
// invalid.
bool MessageReader::step(bool& ok)
{
    if (head_bytes_ > max_head_bytes || come_ > max_message_bytes) return ok = false;
    if (part_ == Part::to_the_end) {
        come_ += rest_.size() - at_;
        body().append(rest_, at_);
        at_ = rest_.size();
        return false;
    }
    if (part_ == Part::body || part_ == Part::chunk) {
        const auto n = std::min(wanted_, rest_.size() - at_);
        body().append(rest_, at_, n);
        at_ += n;
        come_ += n;
        if ((wanted_ -= n) > 0) return false;
        part_ = part_ == Part::body ? Part::done : Part::chunk_end;
        return true;
    }
    const auto text = line();
    if (!text) return false;
    switch (part_) {
        case Part::first_line: return ok = first_line(*text);
        case Part::headers: {
            if (text->empty()) return ok = head_done();
            const auto colon = text->find(':');
            // Parsers disagree about a line that continues the previous header, so it is rejected.
            if (colon == std::string_view::npos || !plain(text->substr(0, colon)) || colon == 0)
                return ok = false;
            const auto name = text->substr(0, colon), value = trimmed(text->substr(colon + 1));
            return ok = printable(value) && framing(name, value) && header(name, value);
        }
        case Part::chunk_size: {
            const auto size = number<size_t>(trimmed(text->substr(0, text->find(';'))), 16);
            if (!size || *size > max_message_bytes) return ok = false;
            wanted_ = *size;
            part_ = wanted_ > 0 ? Part::chunk : Part::trailers;
            return true;
        }
        case Part::chunk_end: part_ = Part::chunk_size; return ok = text->empty();
        default:  // trailers
            if (text->empty()) part_ = Part::done;
            return true;
    }
}

bool MessageReader::framing(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Content-Length")) {
        const auto n = number<size_t>(value);
        if (!n || (length_ && *length_ != *n)) return false;
        length_ = n;
    } else if (equals_ignore_case(name, "Transfer-Encoding")) {
        if (chunked_ || !equals_ignore_case(value, "chunked")) return false;
        chunked_ = true;
    } else if (equals_ignore_case(name, "Connection")) {
        if (names_token(value, "close")) keeps_ = false;
    }
    // Parsers disagree about a message with both: what one takes for the body, the next takes for another
    // message.
    return !(length_ && chunked_);
}

void MessageReader::body_follows()
{
    wanted_ = length_.value_or(0);
    come_ = 0;
    body().reserve(std::min(wanted_, max_buffered_body_bytes));
    part_ = chunked_ ? Part::chunk_size : wanted_ > 0 ? Part::body : Part::done;
}

bool ResponseReader::first_line(std::string_view text)
{
    if (text.size() < 12 || text.substr(0, 7) != "HTTP/1." || text[8] != ' ') return false;
    const auto status = number<int>(text.substr(9, 3));
    if (!status || *status < 100 || *status > 599) return false;
    keeps_ = text[7] != '0';
    response_ = {};
    response_.status = *status;
    length_ = {};
    chunked_ = false;
    part_ = Part::headers;
    return true;
}

bool ResponseReader::header(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Srv-Declined"))
        response_.declined = value == "1";
    else if (equals_ignore_case(name, "Srv-Load"))
        response_.load_report = decode_load_report(*setup_, value);
    else if (is_forwarded_header(name))
        response_.forwarded_headers.emplace_back(name, value);
    return true;
}

bool ResponseReader::head_done()
{
    if (response_.status < 200) {  // an interim response: the final one follows, within the same size limit
        part_ = Part::first_line;
        begun_ = false;
        return response_.status != 101;
    }
    if (response_.status == 204 || response_.status == 304) {
        part_ = Part::done;
        return true;
    }
    if (length_.value_or(0) > max_message_bytes) return false;
    if (!length_ && !chunked_) {
        part_ = Part::to_the_end;
        return !keeps_;
    }
    body_follows();
    return true;
}

bool RequestReader::is_readiness_check() const { return request_.target == "/-/ready"; }

size_t RequestReader::body_bytes_to_buffer() const
{
    if (part_ == Part::first_line || part_ == Part::headers) return 0;
    return std::min(max_buffered_body_bytes, chunked_ ? max_buffered_body_bytes : length_.value_or(0)) -
           std::min(max_buffered_body_bytes, request_.body.size());
}

bool RequestReader::refuse(int status, const char* why)
{
    why_ = {status, why};
    return false;
}

bool RequestReader::first_line(std::string_view text)
{
    if (text.empty()) return true;  // an empty line after the previous request, as old clients send it
    const auto one = text.find(' '), two = text.rfind(' ');
    if (one == std::string_view::npos || one == two) return false;
    const auto version = text.substr(two + 1);
    if (version.size() != 8 || version.substr(0, 7) != "HTTP/1.") return false;
    keeps_ = version[7] != '0';
    old_ = !keeps_;
    request_.method = text.substr(0, one);
    if (request_.method != "GET" && request_.method != "POST") return refuse(501, "unknown method");
    request_.target = origin_form(text.substr(one + 1, two - one - 1));
    part_ = Part::headers;
    return true;
}

bool RequestReader::header(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Expect")) expects_ = equals_ignore_case(value, "100-continue");
    headers_.emplace_back(name, value);
    return true;
}

bool RequestReader::head_done()
{
    if (length_.value_or(0) > max_message_bytes) return refuse(413, "too much");
    if (!is_readiness_check())
        if (const auto bad = decode_request(*setup_, std::move(headers_), request_))
            return refuse(bad->status, bad->reason);
    body_follows();
    return true;
}

}  // namespace firtide
