#include "discovery.h"

#include <event2/buffer.h>

#include <nlohmann/json.hpp>

#include "log.h"

namespace firtide::net
{
namespace
{

using nlohmann::json;

constexpr Span watch_for = seconds(2);  // one call; short, so that a silent agent is soon noticed
constexpr Span silence = seconds(0.5);  // more than that, and the call is given up
constexpr Span first_pause = seconds(0.05);
constexpr Span longest_pause = seconds(1);
constexpr size_t most_list = 8 << 20;

template <class T>
T value_or(const json& from, const char* key, T absent)
{
    const auto at = from.find(key);
    if (at == from.end()) return absent;
    if constexpr (std::is_arithmetic_v<T>)
        return at->is_number() ? at->get<T>() : absent;
    else
        return at->is_string() ? at->get<T>() : absent;
}

std::optional<Entry> decode_entry(const Setup& setup, const json& in, Point epoch)
{
    Entry e;
    if (!in.is_object()) return {};
    e.uid = value_or<std::string>(in, "uid", "");
    e.endpoint = value_or<std::string>(in, "endpoint", "");
    const auto state = value_or<std::string>(in, "state", "");
    if (e.uid.empty()) return {};
    // A state that nobody knows yet keeps work away, as draining does.
    e.presence = state == "ready" ? Presence::ready : state == "gone" ? Presence::gone : Presence::draining;
    const auto zone = value_or<std::string>(in, "az", "");
    while (e.zone < setup.zones.size() && setup.zones[e.zone] != zone) ++e.zone;  // unknown: past all others
    e.cell = value_or<uint32_t>(in, "pod_group", 0);
    e.size = value_or<double>(in, "capacity_hint", 1);
    if (const auto ms = value_or<int64_t>(in, "boot_ms", 0); ms > 0 && ms < int64_t{1} << 50)
        e.started = epoch + Span{ms * 1000};
    return e;
}

}  // namespace

std::optional<List> decode_list(const Setup& setup, const std::string& text, Point epoch)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) return {};
    const auto targets = in.find("targets");
    if (targets == in.end() || !targets->is_array()) return {};
    List list;
    list.version = value_or<uint64_t>(in, "rev", 0);
    const auto all = in.find("all");
    list.told.all = all != in.end() && all->is_boolean() && all->get<bool>();
    for (const auto& target : *targets) {
        auto entry = decode_entry(setup, target, epoch);
        if (!entry) return {};
        list.told.entries.push_back(std::move(*entry));
    }
    return list;
}

void take_in(std::map<std::string, std::string>& lines, const std::string& text)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) return;
    if (in.value("all", false)) lines.clear();
    for (const auto& target : in.value("targets", json::array())) {
        const auto uid = value_or<std::string>(target, "uid", "");
        if (value_or<std::string>(target, "state", "") == "gone")
            lines.erase(uid);
        else
            lines[uid] = target.dump();
    }
}

std::string whole_list(uint64_t version, const std::map<std::string, std::string>& lines)
{
    std::string out = R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[)";
    for (const auto& [uid, line] : lines) out.append(out.back() == '[' ? "" : ",").append(line);
    return out.append("]}");
}

void check_known(const Config& config)
{
    if (!config.known.empty() && !decode_list(config.setup, config.known, Point{}))
        throw BadConfig("known: is no list of upstreams, or one of its targets has no uid");
}

Discovery::Discovery(event_base* base, const Config& config, Point epoch, std::function<void(Event)> tell)
    : base_(base),
      config_(config),
      address_(config.discovery),
      epoch_(epoch),
      tell_(std::move(tell)),
      pause_(first_pause)
{
    again_.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* self) { static_cast<Discovery*>(self)->call(); }, this));
}

void Discovery::ask()
{
    if (asking_) return;
    asking_ = true;
    version_.reset();
    call();
}

void Discovery::rest()
{
    asking_ = false;
    connection_.reset();
    version_.reset();
    event_del(again_.get());
}

// The versions of two agents say nothing of each other. Freeing the connection drops a call that is still out
// there: its late answer is never heard.
void Discovery::move(Address to)
{
    spdlog::info("discovery moves to {}:{}", to.host, to.port);
    address_ = std::move(to);
    connection_.reset();
    version_.reset();
    newest_ = 0;
    pause_ = first_pause;
    if (!asking_) return;
    event_del(again_.get());
    call();
}

void Discovery::call()
{
    if (!connection_) {
        connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        if (!connection_) return failed("no connection");
        evhttp_connection_set_max_body_size(connection_.get(), most_list);
    }
    // The whole list is there at once. Guards against waiting as long as for a watch where nobody answers.
    const auto wait = to_timeval(version_ ? watch_for + silence : silence);
    evhttp_connection_set_timeout_tv(connection_.get(), &wait);
    auto* request = evhttp_request_new(
        [](evhttp_request* got, void* arg) {
            auto* self = static_cast<Discovery*>(arg);
            try {
                self->came(got);
            } catch (const std::exception& e) {
                self->failed(e.what());
            }
        },
        this);
    if (!request) return failed("no memory");
    const auto host = address_.host + ":" + std::to_string(address_.port);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
    std::string target = "/api/targets";
    if (version_)
        target += "?after=" + std::to_string(*version_) + "&wait_ms=" + std::to_string(watch_for.us / 1000);
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, target.c_str()) != 0) {
        connection_.reset();
        failed("the call could not be made");
    }
}

void Discovery::came(evhttp_request* request)
{
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status != 200) return failed(status == 0 ? "no answer" : "an answer without a list");
    auto* body = evhttp_request_get_input_buffer(request);
    const size_t size = evbuffer_get_length(body);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
    const std::string text(bytes ? bytes : "", size);
    auto list = decode_list(config_.setup, text, epoch_);
    if (!list) return failed("the answer is no list");
    // Guards against an agent that has fallen behind: an older list would bring back what drains or has gone.
    if (list->version < newest_) return failed("a list older than the last one");
    newest_ = list->version;
    if (!well_) spdlog::info("discovery answers again");
    well_ = true;
    pause_ = first_pause;
    const bool first = !version_;
    version_ = list->version;
    for (const Entry& e : list->told.entries)
        spdlog::debug("list {}: {} {} {}", list->version, e.uid, e.endpoint, static_cast<int>(e.presence));
    if (first) spdlog::info("list {} of {} upstreams", list->version, list->told.entries.size());
    // The next call goes out before anything else, so that the watch has no gap.
    const auto now = to_timeval(Span{});
    event_add(again_.get(), &now);
    if (!whole_) return tell_(std::move(list->told));
    take_in(lines_, text);
    whole_(list->version, whole_list(list->version, lines_));
}

void Discovery::failed(const char* why)
{
    if (well_) spdlog::warn("discovery: {}; the last list stays in use", why);
    well_ = false;
    version_.reset();  // a new watch begins with the whole list
    tell_(ListFailed{});
    if (config_.setup.settings.list_must_be_asked && !whole_) {
        asking_ = false;  // the module says when to ask again
        return;
    }
    const auto pause = to_timeval(pause_);
    event_add(again_.get(), &pause);
    pause_ = std::min(longest_pause, pause_ * 2);
}

}  // namespace firtide::net
