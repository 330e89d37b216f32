#include "message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace firtide::net
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
        if (same_name(trimmed(item), token)) return true;
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

bool printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c == '\t' || (c >= 0x20 && c != 0x7f); });
}

}  // namespace

bool same_name(std::string_view a, std::string_view b)
{
    const auto low = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return low(x) == low(y); });
}

bool goes_on(std::string_view header)
{
    static constexpr std::array<std::string_view, 13> own = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",   "Trailer",    "Upgrade",
        "Expect",     "Host",       "Content-Length",   "Req-Deadline-Ms",   "Date", "Retry-After"};
    return std::none_of(own.begin(), own.end(), [&](auto name) { return same_name(name, header); });
}

Report decode_report(const Setup& setup, std::string_view text)
{
    Report report;
    while (!text.empty()) {
        const auto item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        const auto eq = item.find('=');
        if (eq == std::string_view::npos) continue;
        const auto at = place(setup.report_names, trimmed(item.substr(0, eq)));
        const auto value = number<double>(trimmed(item.substr(eq + 1)));
        if (at && value && std::isfinite(*value) && setup.report[*at])
            report.*setup.report[*at] = std::max(0.0, *value);
    }
    return report;
}

std::string origin_form(std::string_view target)
{
    constexpr std::string_view scheme = "http://";
    if (!same_name(target.substr(0, scheme.size()), scheme)) return std::string(target);
    const auto path = target.find('/', scheme.size());
    return path == std::string_view::npos ? "/" : std::string(target.substr(path));
}

std::optional<Unacceptable> decode_request(const Setup& setup, Headers headers, Request& into)
{
    if (into.target.empty() || into.target.front() != '/' || !plain(into.target))
        return Unacceptable{400, "unreadable target"};
    const auto path = std::string_view(into.target).substr(1);
    const auto operation = place(setup.operations, path.substr(0, path.find_first_of("/?")));
    if (!operation) return Unacceptable{404, "no such operation"};
    into.operation = *operation;
    into.time_left = setup.client_timeouts[*operation];
    const auto nobody = static_cast<uint32_t>(setup.tenants.size());
    into.tenant = nobody;  // what no tenant is named for counts against nobody's share
    std::optional<std::string> length;
    for (auto& [name, value] : headers) {
        // Guards against a stray carriage return, which the next reader might take for the end of a line.
        if (!plain(name) || !printable(value)) return Unacceptable{400, "unreadable header"};
        // Guards against a second length, which the next reader might go by.
        if (same_name(name, "Content-Length") && std::exchange(length, value).value_or(value) != value)
            return Unacceptable{400, "two lengths"};
        if (same_name(name, "Req-Id")) into.id = value;
        if (same_name(name, "Req-Owner")) into.tenant = place(setup.tenants, value).value_or(nobody);
        if (same_name(name, "Req-Deadline-Ms")) {
            const auto ms = number<int64_t>(value);
            if (!ms || *ms < 0) return Unacceptable{400, "unreadable Req-Deadline-Ms"};
            into.time_left = std::min(into.time_left, Span{std::min<int64_t>(*ms, 1'000'000'000) * 1000});
        }
        if (goes_on(name)) into.passed_on.emplace_back(std::move(name), std::move(value));
    }
    if (into.id.empty()) return Unacceptable{400, "Req-Id is missing"};
    return {};
}

std::string encode_request(const Request& request, std::string_view host, Span wait)
{
    std::string out;
    out.reserve(256 + request.target.size() + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\nHost: ").append(host);
    for (const auto& [name, value] : request.passed_on)
        out.append("\r\n").append(name).append(": ").append(value);
    out.append("\r\nReq-Deadline-Ms: ").append(std::to_string(std::max<int64_t>(0, wait.us / 1000)));
    if (!request.body.empty() || request.method != "GET")
        out.append("\r\nContent-Length: ").append(std::to_string(request.body.size()));
    return out.append("\r\n\r\n").append(request.body);
}

std::string encode_probe(std::string_view host, bool with_report)
{
    std::string out = with_report ? "GET /-/load" : "GET /-/healthy";
    return out.append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n\r\n");
}

std::string encode_seconds(Span span)
{
    const auto ms = std::max<int64_t>(0, span.us / 1000);
    const auto part = std::to_string(1000 + ms % 1000).substr(1);
    return std::to_string(ms / 1000) + "." + part;
}

ResponseReader::State ResponseReader::take(std::string_view bytes)
{
    begun_ = begun_ || !bytes.empty();
    rest_.append(bytes);
    bool ok = true;
    while (part_ != Part::done && step(ok)) {
    }
    rest_.erase(0, at_);
    at_ = 0;
    if (!ok || response_.body.size() > most_body || head_bytes_ > most_head ||
        rest_.size() > most_head + most_body)
        return State::malformed;
    if (part_ != Part::done) return State::more;
    if (!rest_.empty()) keeps_ = false;
    return State::whole;
}

ResponseReader::State ResponseReader::end()
{
    keeps_ = false;
    return part_ == Part::until_end ? State::whole : State::more;
}

std::optional<std::string_view> ResponseReader::line()
{
    const auto end = rest_.find('\n', at_);
    if (end == std::string::npos) {
        if (rest_.size() - at_ > most_head) head_bytes_ = most_head + 1;
        return {};
    }
    auto text = std::string_view(rest_).substr(at_, end - at_);
    head_bytes_ += part_ == Part::chunk_size || part_ == Part::chunk_end ? 0 : text.size() + 1;
    at_ = end + 1;
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    return text;
}

// One part further; false where there is not enough yet or something is wrong.
bool ResponseReader::step(bool& ok)
{
    if (head_bytes_ > most_head || response_.body.size() > most_body) return ok = false;
    if (part_ == Part::body || part_ == Part::chunk || part_ == Part::until_end) {
        const auto n = part_ == Part::until_end ? rest_.size() - at_ : std::min(wanted_, rest_.size() - at_);
        response_.body.append(rest_, at_, n);
        at_ += n;
        if (part_ == Part::until_end) return false;
        if ((wanted_ -= n) > 0) return false;
        part_ = part_ == Part::body ? Part::done : Part::chunk_end;
        return true;
    }
    const auto text = line();
    if (!text) return false;
    switch (part_) {
        case Part::status: return ok = status_line(*text);
        case Part::headers: return ok = text->empty() ? head_done() : header(*text);
        case Part::chunk_size: {
            const auto size = number<size_t>(trimmed(text->substr(0, text->find(';'))), 16);
            if (!size || *size > most_body) return ok = false;
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

bool ResponseReader::status_line(std::string_view text)
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

bool ResponseReader::header(std::string_view text)
{
    if (text.front() == ' ' || text.front() == '\t') return true;  // more of the last one, in the old way
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    const auto name = text.substr(0, colon);
    const auto value = trimmed(text.substr(colon + 1));
    if (!plain(name)) return false;
    if (same_name(name, "Content-Length")) {
        const auto n = number<size_t>(value);
        if (!n || *n > most_body || (length_ && *length_ != *n)) return false;
        length_ = n;
    } else if (same_name(name, "Transfer-Encoding")) {
        if (!same_name(value, "chunked")) return false;
        chunked_ = true;
    } else if (same_name(name, "Connection")) {
        if (names_token(value, "close")) keeps_ = false;
    } else if (same_name(name, "Srv-Declined")) {
        response_.declined = value == "1";
    } else if (same_name(name, "Srv-Load")) {
        response_.report = decode_report(*setup_, value);
    } else if (goes_on(name)) {
        response_.passed_on.emplace_back(name, value);
    }
    return true;
}

bool ResponseReader::head_done()
{
    if (response_.status < 200) {  // an interim answer: the real one follows
        part_ = Part::status;
        return response_.status != 101;
    }
    if (response_.status == 204 || response_.status == 304) {
        part_ = Part::done;
    } else if (chunked_) {
        part_ = Part::chunk_size;
    } else if (length_) {
        wanted_ = *length_;
        part_ = wanted_ > 0 ? Part::body : Part::done;
    } else {
        // Without a length the end of the connection ends the answer: only where that was announced can it be
        // told from a break.
        if (keeps_) return false;
        part_ = Part::until_end;
    }
    return true;
}

}  // namespace firtide::net
