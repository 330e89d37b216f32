#include "discovery.h"

#include <event2/buffer.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

using nlohmann::json;

// What discovery has to tell counts as told 6 s after it had it and could be reached, 4 s after SIGHUP; where
// lists are pushed, at the moment at which the agent has it. The longest that an agent which can be reached,
// and answers at once then, goes unasked:
// - where lists are pushed: 0.2 s (overdue_whole or longest_pause), after a watch that fell silent 2.2 s;
// - where they are asked for: 2.5 s of a call and 3 s until the module asks again, 5.5 s in all; after
//   a watch it asks within 0.75 s, after SIGHUP at once. A discovery that many ask keeps a call for up to
//   2 s until its turn: to give it up just before costs the answer, and the work that was done for it.
constexpr Duration watch_for = seconds(2);  // one call; short, so that a silent agent is soon noticed
constexpr Duration watch_within =
    seconds(2.5);  // until the last byte of its answer; then the call is given up
constexpr Duration whole_within =
    seconds(1.5);  // the same of a call for the whole list, where lists are pushed
constexpr Duration resume_for = seconds(0.5);  // of a call for what was missed: a watch that is answered soon
// Not answered by then: the whole list is asked for beside it, where lists are pushed.
constexpr Duration overdue_watch = seconds(2.2), overdue_whole = seconds(0.2);
constexpr Duration first_pause = seconds(0.05);  // after a call that failed; twice as long with each
constexpr Duration longest_pause = seconds(0.2), longest_asked = seconds(1);
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

std::optional<ListedEndpoint> decode_entry(const ServiceConfig& setup, const json& in, TimePoint epoch)
{
    ListedEndpoint e;
    if (!in.is_object()) return {};
    e.uid = value_or<std::string>(in, "uid", "");
    e.endpoint = value_or<std::string>(in, "endpoint", "");
    const auto state = value_or<std::string>(in, "state", "");
    if (e.uid.empty()) return {};
    // A state that nobody knows yet keeps work away, as draining does.
    e.phase = state == "ready"  ? EndpointPhase::ready
              : state == "gone" ? EndpointPhase::gone
                                : EndpointPhase::draining;
    const auto zone = value_or<std::string>(in, "az", "");
    while (e.zone < setup.zone_names.size() && setup.zone_names[e.zone] != zone)
        ++e.zone;  // unknown: past all others
    e.cell = value_or<uint32_t>(in, "pod_group", 0);
    e.capacity = value_or<double>(in, "capacity_hint", 1);
    if (const auto ms = value_or<int64_t>(in, "boot_ms", 0); ms > 0 && ms < int64_t{1} << 50)
        e.started_at = epoch + Duration{ms * 1000};
    return e;
}

}  // namespace

std::optional<EndpointList> decode_list(const ServiceConfig& setup, const std::string& text, TimePoint epoch)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) return {};
    const auto targets = in.find("targets");
    if (targets == in.end() || !targets->is_array()) return {};
    EndpointList list;
    list.version = value_or<uint64_t>(in, "rev", 0);
    const auto all = in.find("all");
    list.update.is_full = all != in.end() && all->is_boolean() && all->get<bool>();
    for (const auto& target : *targets) {
        auto entry = decode_entry(setup, target, epoch);
        if (!entry) return {};
        list.update.entries.push_back(std::move(*entry));
    }
    return list;
}

void apply_list_update(std::map<std::string, std::string>& lines, const std::string& text)
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

std::string encode_full_list(uint64_t version, const std::map<std::string, std::string>& lines)
{
    std::string out = R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[)";
    for (const auto& [uid, line] : lines) out.append(out.back() == '[' ? "" : ",").append(line);
    return out.append("]}");
}

void check_known_list(const Config& config)
{
    if (!config.known.empty() && !decode_list(config.service_config, config.known, TimePoint{}))
        throw ConfigException("known: is no list of upstreams, or one of its targets has no uid");
}

Discovery::Discovery(event_base* base, const Config& config, TimePoint epoch, std::function<void(Event)> tell)
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

// The agent has what there is, and a call costs nothing.
bool Discovery::is_pushed() const { return !config_.service_config.settings.must_watch_endpoint_list; }

void Discovery::start_polling()
{
    if (asking_) return;
    asking_ = true;
    resting_ = false;
    call_in(Duration{});
}

void Discovery::resume_from(uint64_t version)
{
    version_ = version;
    resuming_ = remembered_ = true;
}

void Discovery::stop_polling()
{
    asking_ = false;
    resting_ = true;
    drop_all();
    call_in(Duration{});  // which frees them
}

// The versions of two agents say nothing of each other. Dropping the calls that are out there: a late answer
// is never heard. The new agent is asked at once, also where the module was to say when to ask the last one.
void Discovery::change_address(Address to)
{
    spdlog::info("discovery moves to {}:{}", to.host, to.port);
    address_ = std::move(to);
    drop_all();
    newest_ = 0;
    pause_ = first_pause;
    if (resting_) return;
    asking_ = true;
    call_in(Duration{});
}

void Discovery::drop_all()
{
    version_.reset();
    resuming_ = remembered_ = false;
    for (Call& c : calls_) c.dropped = true, c.overdue.reset(), c.until.reset();
    dropped_.splice(dropped_.end(), calls_);
}

void Discovery::call_in(Duration pause)
{
    const auto wait = to_timeval(pause);
    event_add(again_.get(), &wait);
}

template <auto then>
EventPtr Discovery::timer(Call& call, Duration wait)
{
    EventPtr made(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* due = static_cast<Call*>(arg);
            (due->owner->*then)(*due);
        },
        &call));
    const auto after = to_timeval(wait);
    event_add(made.get(), &after);
    return made;
}

// Only ever from a timer: nothing of evhttp's is on the stack, so that what was dropped can be freed.
void Discovery::call()
{
    dropped_.clear();
    if (!asking_) return;
    auto at = std::find_if(calls_.begin(), calls_.end(), [](const Call& c) { return !c.out; });
    if (at == calls_.end()) {
        at = calls_.emplace(calls_.end());
        at->owner = this;
        at->connection.reset(
            evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        if (!at->connection) return failed(*at, "no connection");
        evhttp_connection_set_max_body_size(at->connection.get(), most_list);
    }
    auto* request = evhttp_request_new(
        [](evhttp_request* got, void* arg) {
            auto* due = static_cast<Call*>(arg);
            if (due->dropped) return;
            try {
                due->owner->came(*due, got);
            } catch (const std::exception& e) {
                due->owner->failed(*due, e.what());
            }
        },
        &*at);
    if (!request) return failed(*at, "no memory");
    const auto host = address_.host + ":" + std::to_string(address_.port);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
    std::string target = "/api/targets";
    const bool watches = version_ && !resuming_;
    const Duration wait = watches ? watch_for : resume_for;
    if (version_)
        target += "?after=" + std::to_string(*version_) + "&wait_ms=" + std::to_string(wait.us / 1000);
    at->out = true;
    // On the whole call. Guards against an answer whose bytes trickle and never end: evhttp's own limit is on
    // each of them.
    at->until = timer<&Discovery::late>(*at, watches || !is_pushed() ? watch_within : whole_within);
    if (is_pushed()) at->overdue = timer<&Discovery::overdue>(*at, watches ? overdue_watch : overdue_whole);
    if (evhttp_make_request(at->connection.get(), request, EVHTTP_REQ_GET, target.c_str()) != 0 &&
        !at->dropped)
        return failed(*at, "the call could not be made");
    // Before all else that has come; each new connection loses it. Guards against work that is sent, after a
    // stall, where the list that waits to be read says that nothing may go there.
    bufferevent_priority_set(evhttp_connection_get_bufferevent(at->connection.get()), 0);
}

// Guards against an agent that was silent as it was called, and has come back since.
void Discovery::overdue(const Call& call)
{
    if (&call != &calls_.back()) return;  // there is another beside it
    version_.reset();
    this->call();
}

void Discovery::late(Call& call) { failed(call, "no answer in time"); }

void Discovery::came(Call& call, evhttp_request* request)
{
    const int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status != 200) return failed(call, status == 0 ? "no answer" : "an answer without a list");
    auto* body = evhttp_request_get_input_buffer(request);
    const size_t size = evbuffer_get_length(body);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
    const std::string text(bytes ? bytes : "", size);
    auto list = decode_list(config_.service_config, text, epoch_);
    if (!list) {
        version_.reset();
        return failed(call, "the answer is no list");
    }
    // Guards against an agent that has fallen behind: an older list would bring back what drains or has gone.
    // Guards against a remembered list that another discovery had numbered.
    const bool renumbered =
        std::exchange(remembered_, false) && !list->update.is_full && list->version < *version_;
    if (renumbered) {
        version_.reset();
        return failed(call, "it numbers its lists anew");
    }
    if (list->version < newest_) {
        version_.reset();
        return failed(call, "a list older than the last one");
    }
    newest_ = list->version;
    call.out = false;
    call.overdue.reset(), call.until.reset();
    calls_.remove_if([&](const Call& c) { return &c != &call; });
    if (!well_) spdlog::info("discovery answers again");
    well_ = true;
    pause_ = first_pause;
    const bool first = !version_;
    version_ = list->version;
    resuming_ = false;
    for (const ListedEndpoint& e : list->update.entries)
        spdlog::debug("list {}: {} {} {}", list->version, e.uid, e.endpoint, static_cast<int>(e.phase));
    if (first) spdlog::info("list {} of {} upstreams", list->version, list->update.entries.size());
    // The next call goes out before anything else, so that the watch has no gap.
    call_in(Duration{});
    if (!told_elsewhere()) return tell_(std::move(list->update));
    tell_fleet(*list, text);
}

void Discovery::tell_fleet(const EndpointList& list, const std::string& text)
{
    // Whoever was told of the last lines may hold them still.
    if (lines_.use_count() > 1) lines_ = std::make_shared<Entries>(*lines_);
    apply_list_update(*lines_, text);
    if (!tell_lines_) return whole_(list.version, encode_full_list(list.version, *lines_));
    std::optional<std::vector<std::string>> uids;
    if (!list.update.is_full) {
        uids.emplace();
        for (const ListedEndpoint& e : list.update.entries) uids->push_back(e.uid);
    }
    tell_lines_(list.version, lines_, std::move(uids));
}

void Discovery::failed(Call& call, const char* why)
{
    call.dropped = true;
    call.overdue.reset(), call.until.reset();
    const auto at = std::find_if(calls_.begin(), calls_.end(), [&](const Call& c) { return &c == &call; });
    dropped_.splice(dropped_.end(), calls_, at);
    if (well_) spdlog::warn("discovery: {}; the last list stays in use", why);
    well_ = false;
    // A discovery that many ask has work for each line of an answer, and turns away what is too much: whoever
    // it turns away asks for what changed since. Where an agent answers at no cost, for the whole list.
    if (is_pushed())
        version_.reset();
    else
        resuming_ = version_.has_value();
    if (!calls_.empty()) return;                             // another is out beside it
    if (!is_pushed() && !told_elsewhere()) asking_ = false;  // the module says when to ask again
    tell_(EndpointListFetchFailed{});
    if (!asking_) return;
    call_in(pause_);
    pause_ = std::min(is_pushed() ? longest_pause : longest_asked, pause_ * 2);
}

}  // namespace firtide::net
