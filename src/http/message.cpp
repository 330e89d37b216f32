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

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

template <class T>
std::optional<T> parse_number(std::string_view text, int base = 10)
{
    T value{};
    const char* end = text.data() + text.size();
    std::from_chars_result result;
    if constexpr (std::is_floating_point_v<T>)
        result = std::from_chars(text.data(), end, value);
    else
        result = std::from_chars(text.data(), end, value, base);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) return {};
    return value;
}

bool list_contains_token(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto item = list.substr(0, list.find(','));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
        if (equals_ignore_case(trim(item), token)) return true;
    }
    return false;
}

std::optional<uint32_t> index_of(const std::vector<std::string>& names, std::string_view name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) return {};
    return static_cast<uint32_t>(found - names.begin());
}

bool is_visible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

constexpr double max_report_value = 1e6;  // larger values in a load report are not plausible

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

const char* reason_phrase(int status)
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
    const auto to_lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return to_lower(x) == to_lower(y); });
}

bool is_forwarded_header(std::string_view header)
{
    static constexpr std::array<std::string_view, 13> not_forwarded = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",   "Trailer",    "Upgrade",
        "Expect",     "Host",       "Content-Length",   "Req-Deadline-Ms",   "Date", "Retry-After"};
    return std::none_of(not_forwarded.begin(), not_forwarded.end(),
                        [&](auto name) { return equals_ignore_case(name, header); });
}

// All or nothing: no value is used from a report that is invalid elsewhere.
LoadReport decode_load_report(const ServiceConfig& config, std::string_view text)
{
    LoadReport report;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const auto equals_sign = item.find('=');
        if (equals_sign == std::string_view::npos) return {};
        const auto index = index_of(config.load_report_fields, trim(item.substr(0, equals_sign)));
        const auto value = parse_number<double>(trim(item.substr(equals_sign + 1)));
        if (!value || !(*value >= 0 && *value <= max_report_value)) return {};
        if (index && config.load_report_members[*index]) report.*config.load_report_members[*index] = *value;
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

std::optional<uint32_t> decode_operation(const ServiceConfig& config, std::string_view target)
{
    target.remove_prefix(std::min<size_t>(1, target.size()));
    return index_of(config.operation_names, target.substr(0, target.find_first_of("/?")));
}

std::optional<RequestError> decode_request(const ServiceConfig& config, const Headers& headers,
                                           Request& request)
{
    if (request.target.empty() || request.target.front() != '/' || !is_visible(request.target))
        return RequestError{400, "unreadable target"};
    const auto operation = decode_operation(config, request.target);
    if (!operation) return RequestError{404, "no such operation"};
    request.operation = *operation;
    request.config_version = config.config_version;
    request.time_left = config.settings.operations[*operation].client_timeout;
    const auto no_tenant = static_cast<uint32_t>(config.tenant_names.size());
    request.tenant = no_tenant;  // a request without a known tenant counts against no tenant's share
    request.forwarded_headers.reserve(headers.text().size());
    for (const auto& [name, value] : headers) {
        // The next parser might take a stray carriage return for the end of a line.
        if (!is_visible(name) || !is_field_value(value)) return RequestError{400, "unreadable header"};
        if (equals_ignore_case(name, "Req-Id")) request.id = value;
        if (equals_ignore_case(name, "Req-Owner"))
            request.tenant = index_of(config.tenant_names, value).value_or(no_tenant);
        if (equals_ignore_case(name, "Req-Deadline-Ms")) {
            const auto ms = parse_number<int64_t>(value);
            if (!ms || *ms < 0) return RequestError{400, "unreadable Req-Deadline-Ms"};
            request.time_left =
                std::min(request.time_left, Duration{std::min<int64_t>(*ms, 1'000'000'000) * 1000});
        }
        if (is_forwarded_header(name)) request.forwarded_headers.emplace_back(name, value);
    }
    if (request.id.empty()) return RequestError{400, "Req-Id is missing"};
    return {};
}

namespace
{

// For a message with more body than is sent with its head.
template <class Message>
std::string framing_header(const Message& message)
{
    if (!message.content_length) return "\r\nTransfer-Encoding: chunked\r\n\r\n";
    return "\r\nContent-Length: " + std::to_string(*message.content_length) + "\r\n\r\n";
}

template <class Message>
std::string first_body_chunk(const Message& message)
{
    return encode_body_chunk(message.body, !message.content_length, false);
}

}  // namespace

std::string encode_body_chunk(std::string bytes, bool chunked, bool is_last)
{
    if (!chunked) return bytes;
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    if (!bytes.empty()) bytes.insert(0, size).append("\r\n");
    return is_last ? bytes.append("0\r\n\r\n") : bytes;
}

std::string encode_request(const Request& request, std::string_view host, Duration time_left)
{
    std::string out;
    out.reserve(256 + request.target.size() + request.forwarded_headers.text().size() + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ").append(host);
    out.append(request.forwarded_headers.text());
    out.append("\r\nReq-Deadline-Ms: ").append(std::to_string(std::max<int64_t>(0, time_left.us / 1000)));
    if (request.body_incomplete) return out.append(framing_header(request)).append(first_body_chunk(request));
    if (!request.body.empty() || request.method != "GET")
        out.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
    return out.append("\r\n\r\n").append(request.body);
}

std::string encode_response(const Response& response, bool close_connection, bool http_1_0)
{
    std::string out;
    out.reserve(256 + response.forwarded_headers.text().size() + response.body.size());
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    out.append(reason_phrase(response.status));
    out.append(response.forwarded_headers.text());
    if (close_connection) out.append("\r\nConnection: close");
    if (response.body_incomplete && http_1_0 && !response.content_length)
        return out.append("\r\n\r\n").append(response.body);
    if (response.body_incomplete)
        return out.append(framing_header(response)).append(first_body_chunk(response));
    out.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
    return out.append("\r\n\r\n").append(response.body);
}

std::string encode_probe(std::string_view host, bool with_report)
{
    std::string out = with_report ? "GET /-/load" : "GET /-/healthy";
    return out.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
}

std::string encode_seconds(Duration duration)
{
    const auto total_ms = std::max<int64_t>(0, duration.us / 1000);
    const auto milliseconds = std::to_string(1000 + total_ms % 1000).substr(1);
    return std::to_string(total_ms / 1000) + "." + milliseconds;
}

MessageReader::State MessageReader::parse(std::string_view bytes)
{
    has_started_ = has_started_ || !bytes.empty();
    buffer_.append(bytes);
    bool ok = true;
    while (phase_ != Phase::done && parse_step(ok)) {
    }
    // An exact copy of the rest: a buffer that only shrinks would keep the memory of the largest piece.
    buffer_ = buffer_offset_ == buffer_.size() ? std::string() : buffer_.substr(buffer_offset_);
    buffer_.shrink_to_fit();
    buffer_offset_ = 0;
    consumed_bytes_ = bytes.size();
    if (!ok || body_bytes_received_ > max_message_bytes || head_bytes_ > max_head_bytes ||
        buffer_.size() > max_head_bytes + max_buffered_body_bytes)
        return State::malformed;
    if (phase_ != Phase::done) return State::incomplete;
    consumed_bytes_ -= buffer_.size();
    buffer_.clear();
    buffer_.shrink_to_fit();
    return State::complete;
}

bool MessageReader::exceeds_buffer() const
{
    return is_head_complete() &&
           (body_bytes_received_ > max_buffered_body_bytes ||
            (phase_ != Phase::done && content_length_.value_or(0) > max_buffered_body_bytes));
}

std::optional<std::string_view> MessageReader::next_line()
{
    const auto end = buffer_.find('\n', buffer_offset_);
    if (end == std::string::npos) {
        if (buffer_.size() - buffer_offset_ > max_head_bytes) head_bytes_ = max_head_bytes + 1;
        return {};
    }
    auto text = std::string_view(buffer_).substr(buffer_offset_, end - buffer_offset_);
    head_bytes_ += phase_ == Phase::chunk_size || phase_ == Phase::chunk_end ? 0 : text.size() + 1;
    buffer_offset_ = end + 1;
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    return text;
}

// Advances by one phase or line. Returns false if bytes are missing or, with `ok` false, the message is
// invalid.
bool MessageReader::parse_step(bool& ok)
{
    if (head_bytes_ > max_head_bytes || body_bytes_received_ > max_message_bytes) return ok = false;
    if (phase_ == Phase::body_until_close) {
        body_bytes_received_ += buffer_.size() - buffer_offset_;
        body().append(buffer_, buffer_offset_);
        buffer_offset_ = buffer_.size();
        return false;
    }
    if (phase_ == Phase::body || phase_ == Phase::chunk_data) {
        const auto byte_count = std::min(section_bytes_left_, buffer_.size() - buffer_offset_);
        body().append(buffer_, buffer_offset_, byte_count);
        buffer_offset_ += byte_count;
        body_bytes_received_ += byte_count;
        if ((section_bytes_left_ -= byte_count) > 0) return false;
        phase_ = phase_ == Phase::body ? Phase::done : Phase::chunk_end;
        return true;
    }
    const auto text = next_line();
    if (!text) return false;
    switch (phase_) {
        case Phase::start_line: return ok = on_start_line(*text);
        case Phase::headers: {
            if (text->empty()) return ok = on_head_complete();
            const auto colon = text->find(':');
            // Parsers disagree about a line that continues the previous header, so it is rejected.
            if (colon == std::string_view::npos || !is_visible(text->substr(0, colon)) || colon == 0)
                return ok = false;
            const auto name = text->substr(0, colon), value = trim(text->substr(colon + 1));
            return ok = is_field_value(value) && parse_framing_header(name, value) && on_header(name, value);
        }
        case Phase::chunk_size: {
            const auto size = parse_number<size_t>(trim(text->substr(0, text->find(';'))), 16);
            if (!size || *size > max_message_bytes) return ok = false;
            section_bytes_left_ = *size;
            phase_ = section_bytes_left_ > 0 ? Phase::chunk_data : Phase::trailers;
            return true;
        }
        case Phase::chunk_end: phase_ = Phase::chunk_size; return ok = text->empty();
        default:  // trailers
            if (text->empty()) phase_ = Phase::done;
            return true;
    }
}

bool MessageReader::parse_framing_header(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Content-Length")) {
        const auto length = parse_number<size_t>(value);
        if (!length || (content_length_ && *content_length_ != *length)) return false;
        content_length_ = length;
    } else if (equals_ignore_case(name, "Transfer-Encoding")) {
        if (chunked_ || !equals_ignore_case(value, "chunked")) return false;
        chunked_ = true;
    } else if (equals_ignore_case(name, "Connection")) {
        if (list_contains_token(value, "close")) keep_alive_ = false;
    }
    // Parsers disagree about a message with both: what one takes for the body, the next takes for another
    // message.
    return !(content_length_ && chunked_);
}

void MessageReader::begin_body()
{
    section_bytes_left_ = content_length_.value_or(0);
    body_bytes_received_ = 0;
    phase_ = chunked_ ? Phase::chunk_size : section_bytes_left_ > 0 ? Phase::body : Phase::done;
}

bool ResponseReader::on_start_line(std::string_view text)
{
    if (text.size() < 12 || text.substr(0, 7) != "HTTP/1." || text[8] != ' ') return false;
    const auto status = parse_number<int>(text.substr(9, 3));
    if (!status || *status < 100 || *status > 599) return false;
    keep_alive_ = text[7] != '0';
    response_ = {};
    response_.status = *status;
    content_length_ = {};
    chunked_ = false;
    phase_ = Phase::headers;
    return true;
}

bool ResponseReader::on_header(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Srv-Declined"))
        response_.declined = value == "1";
    else if (equals_ignore_case(name, "Srv-Load"))
        response_.load_report = decode_load_report(*config_, value);
    else if (is_forwarded_header(name))
        response_.forwarded_headers.emplace_back(name, value);
    return true;
}

bool ResponseReader::on_head_complete()
{
    if (response_.status < 200) {  // an interim response: the final one follows, within the same size limit
        phase_ = Phase::start_line;
        has_started_ = false;
        return response_.status != 101;
    }
    if (response_.status == 204 || response_.status == 304) {
        // These have no body. What is announced may come all the same, and would be read as the next
        // response.
        if (chunked_ || content_length_.value_or(0) > 0) keep_alive_ = false;
        phase_ = Phase::done;
        return true;
    }
    if (content_length_.value_or(0) > max_message_bytes) return false;
    if (!content_length_ && !chunked_) {
        phase_ = Phase::body_until_close;
        return !keep_alive_;
    }
    begin_body();
    return true;
}

bool RequestReader::is_readiness_check() const { return request_.target == "/-/ready"; }

size_t RequestReader::body_bytes_to_buffer() const
{
    if (phase_ == Phase::start_line || phase_ == Phase::headers) return 0;
    return std::min(max_buffered_body_bytes,
                    chunked_ ? max_buffered_body_bytes : content_length_.value_or(0)) -
           std::min(max_buffered_body_bytes, request_.body.size());
}

bool RequestReader::reject(int status, const char* reason)
{
    error_ = {status, reason};
    return false;
}

bool RequestReader::on_start_line(std::string_view text)
{
    if (text.empty()) return true;  // an empty line after the previous request, as old clients send it
    const auto first_space = text.find(' '), last_space = text.rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space) return false;
    const auto version = text.substr(last_space + 1);
    if (version.size() != 8 || version.substr(0, 7) != "HTTP/1.") return false;
    keep_alive_ = version[7] != '0';
    is_http_1_0_ = !keep_alive_;
    request_.method = text.substr(0, first_space);
    if (request_.method != "GET" && request_.method != "POST") return reject(501, "unknown method");
    request_.target = origin_form(text.substr(first_space + 1, last_space - first_space - 1));
    phase_ = Phase::headers;
    return true;
}

bool RequestReader::on_header(std::string_view name, std::string_view value)
{
    if (equals_ignore_case(name, "Expect")) expects_continue_ = equals_ignore_case(value, "100-continue");
    headers_.emplace_back(name, value);
    return true;
}

bool RequestReader::on_head_complete()
{
    if (content_length_.value_or(0) > max_message_bytes) return reject(413, "too much");
    if (!is_readiness_check())
        if (const auto request_error = decode_request(*config_, std::exchange(headers_, {}), request_))
            return reject(request_error->status, request_error->reason);
    begin_body();
    return true;
}

}  // namespace firtide
