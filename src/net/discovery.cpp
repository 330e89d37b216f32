#include "discovery.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "src/io/log.h"

namespace firtide::net
{
namespace
{

using nlohmann::json;

// A balancer counts as informed of a change 6 s after discovery had it and was reachable, and 4 s after
// SIGHUP; where lists are pushed, as soon as the agent has it. The longest time for which a reachable agent
// that answers at once gets no request:
// - where lists are pushed: 0.2 s (full_list_overdue_after or max_push_retry_delay), 2.2 s after a watch
//   that fell silent;
// - where lists are polled: 2.5 s for a request and 3 s until the decision module asks again, 5.5 s in all;
//   after a watch it asks within 0.75 s, after SIGHUP at once.
// A polled discovery service with many clients may queue a request for up to 2 s. Giving up just before
// that would lose the response and the work done for it.
// How long a watch waits for changes; short, to notice a silent agent soon.
constexpr Duration watch_wait = seconds(2);
constexpr Duration watch_timeout = seconds(2.5);      // until the last byte of the response
constexpr Duration full_list_timeout = seconds(1.5);  // the same for a full list, where lists are pushed
constexpr Duration resume_wait = seconds(0.5);        // of a watch for missed changes, which is answered soon
// Where lists are pushed: without a response by then, the full list is requested in parallel.
constexpr Duration watch_overdue_after = seconds(2.2), full_list_overdue_after = seconds(0.2);
constexpr Duration first_retry_delay = seconds(0.05);  // after a failed request; doubles with each
constexpr Duration max_push_retry_delay = seconds(0.2), max_poll_retry_delay = seconds(1);
constexpr size_t max_list_bytes = 8 << 20;

// Of the fields of an entry; values outside count as absent.
constexpr uint64_t max_start_ms = (uint64_t{1} << 50) - 1;  // Unix time in milliseconds
constexpr double default_capacity = 1, max_capacity = 1e9;

template <class T>
T value_or(const json& from, const char* key, T absent)
{
    const auto it = from.find(key);
    if (it == from.end()) return absent;
    if constexpr (std::is_arithmetic_v<T>)
        return it->is_number() ? it->get<T>() : absent;
    else
        return it->is_string() ? it->get<T>() : absent;
}

// A whole number from 0 to the limit; nullopt if there is none, or something else.
std::optional<uint64_t> whole_number(const json& in, const char* key, uint64_t limit)
{
    const auto it = in.find(key);
    if (it == in.end() || !it->is_number()) return {};
    if (it->is_number_unsigned()) {
        const auto value = it->get<uint64_t>();
        return value <= limit ? std::optional(value) : std::nullopt;
    }
    // An integer that is no unsigned one is negative.
    if (!it->is_number_float()) return {};
    const auto value = it->get<double>();
    if (!(value >= 0 && value <= static_cast<double>(limit)) || value != std::floor(value)) return {};
    return static_cast<uint64_t>(value);
}

EndpointPhase decode_phase(const std::string& state)
{
    if (state == "ready") return EndpointPhase::ready;
    if (state == "gone") return EndpointPhase::gone;
    return EndpointPhase::draining;  // keeps work away from one of an unknown state
}

UpstreamLocation decode_location(const json& in)
{
    UpstreamLocation location;
    if (const auto zone = value_or<std::string>(in, "az", ""); !zone.empty()) location.zone = zone_id(zone);
    if (const auto kind = value_or<std::string>(in, "model", ""); !kind.empty())
        location.machine_kind = machine_kind(kind);
    if (const auto number = whole_number(in, "pod_group", UINT32_MAX))
        location.pod_group = PodGroup{static_cast<uint32_t>(*number)};
    return location;
}

std::optional<TimePoint> decode_start(const json& in, TimePoint epoch)
{
    const auto start_ms = whole_number(in, "boot_ms", max_start_ms);
    if (!start_ms) return {};
    if (*start_ms == 0) return listed_long_ago;
    return epoch + Duration{static_cast<int64_t>(*start_ms) * 1000};
}

double decode_capacity(const json& in)
{
    const auto capacity = value_or<double>(in, "capacity_hint", default_capacity);
    return capacity > 0 && capacity <= max_capacity ? capacity : default_capacity;
}

std::optional<ListedEndpoint> decode_entry(const json& in, TimePoint epoch)
{
    if (!in.is_object()) return {};
    ListedEndpoint entry;
    entry.uid = value_or<std::string>(in, "uid", "");
    if (entry.uid.empty()) return {};
    entry.endpoint = value_or<std::string>(in, "endpoint", "");
    entry.phase = decode_phase(value_or<std::string>(in, "state", ""));
    // Work cannot go to it, but what it has may end there.
    if (entry.endpoint.empty() && entry.phase == EndpointPhase::ready) entry.phase = EndpointPhase::draining;
    entry.location = decode_location(in);
    entry.capacity = decode_capacity(in);
    entry.started_at = decode_start(in, epoch);
    return entry;
}

}  // namespace

std::optional<EndpointList> decode_list(const std::string& text, TimePoint epoch)
{
    EndpointList list;
    bool in_targets = false, all_valid = true;
    // Each target is decoded and dropped as it is parsed: the parsed form of a long list would take several
    // times the memory of the list.
    const auto take_target = [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth == 1 && event == json::parse_event_t::key) {
            in_targets = parsed == "targets";
            // Of keys that come twice, the last one counts.
            if (in_targets) list.update.entries.clear(), all_valid = true;
        }
        if (!in_targets || depth != 2 || event != json::parse_event_t::object_end) return true;
        auto entry = decode_entry(parsed, epoch);
        all_valid = all_valid && entry;
        if (entry) list.update.entries.push_back(std::move(*entry));
        return false;
    };
    const auto in = json::parse(text, take_target, false);
    if (!in.is_object()) return {};
    const auto targets = in.find("targets");
    // What is left of the targets are those that are no objects.
    if (targets == in.end() || !targets->is_array() || !targets->empty() || !all_valid) return {};
    list.version = value_or<uint64_t>(in, "rev", 0);
    const auto all = in.find("all");
    list.update.is_full = all != in.end() && all->is_boolean() && all->get<bool>();
    return list;
}

void apply_list_update(std::map<std::string, std::string>& entries, const std::string& text)
{
    const auto in = json::parse(text, nullptr, false);
    if (!in.is_object()) return;
    if (in.value("all", false)) entries.clear();
    for (const auto& target : in.value("targets", json::array())) {
        const auto uid = value_or<std::string>(target, "uid", "");
        if (value_or<std::string>(target, "state", "") == "gone")
            entries.erase(uid);
        else
            entries[uid] = target.dump();
    }
}

std::string encode_full_list(uint64_t version, const std::map<std::string, std::string>& entries)
{
    std::string out = R"({"rev":)" + std::to_string(version) + R"(,"all":true,"targets":[)";
    for (const auto& [uid, entry] : entries) out.append(out.back() == '[' ? "" : ",").append(entry);
    return out.append("]}");
}

void check_known_list(const Config& config)
{
    if (!config.known_list.empty() && !decode_list(config.known_list, TimePoint{}))
        throw ConfigException("known: is no list of upstreams, or one of its targets has no uid");
}

Discovery::Discovery(event_base* base, const Config& config, TimePoint epoch,
                     std::function<void(Event)> post_event)
    : base_(base),
      config_(config),
      address_(config.discovery),
      epoch_(epoch),
      post_event_(std::move(post_event)),
      retry_delay_(first_retry_delay)
{
    next_request_timer_.reset(evtimer_new(
        base, [](evutil_socket_t, short, void* self) { static_cast<Discovery*>(self)->send_request(); },
        this));
}

// Where lists are pushed, the agent already holds the current list and a request costs nothing.
bool Discovery::lists_are_pushed() const { return !config_.service_config.settings.must_watch_endpoint_list; }

void Discovery::start_polling()
{
    if (polling_) return;
    polling_ = true;
    paused_ = false;
    schedule_request(Duration{});
}

void Discovery::resume_from(uint64_t version)
{
    version_ = version;
    resuming_ = version_restored_ = true;
}

void Discovery::stop_polling()
{
    polling_ = false;
    paused_ = true;
    abandon_requests();
    schedule_request(Duration{});  // also frees the abandoned requests
}

// The versions of two agents are not comparable. Requests in flight are abandoned, so that a late response
// is ignored. The new agent is asked at once, even where the decision module says when to ask.
void Discovery::change_address(Address to)
{
    spdlog::info("discovery moves to {}:{}", to.host, to.port);
    address_ = std::move(to);
    abandon_requests();
    newest_version_ = 0;
    retry_delay_ = first_retry_delay;
    if (paused_) return;
    polling_ = true;
    schedule_request(Duration{});
}

void Discovery::abandon_requests()
{
    version_.reset();
    resuming_ = version_restored_ = false;
    for (ListRequest& c : requests_) c.abandoned = true, c.overdue_timer.reset(), c.timeout_timer.reset();
    abandoned_requests_.splice(abandoned_requests_.end(), requests_);
}

void Discovery::schedule_request(Duration delay)
{
    const auto wait = to_timeval(delay);
    event_add(next_request_timer_.get(), &wait);
}

template <auto then>
EventPtr Discovery::make_timer(ListRequest& request, Duration wait)
{
    EventPtr timer(evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
            auto* list_request = static_cast<ListRequest*>(arg);
            (list_request->owner->*then)(*list_request);
        },
        &request));
    const auto after = to_timeval(wait);
    event_add(timer.get(), &after);
    return timer;
}

// Runs only from a timer: no evhttp callback is on the stack, so that abandoned requests can be freed.
void Discovery::send_request()
{
    abandoned_requests_.clear();
    if (!polling_) return;
    auto it =
        std::find_if(requests_.begin(), requests_.end(), [](const ListRequest& c) { return !c.in_flight; });
    if (it == requests_.end()) {
        it = requests_.emplace(requests_.end());
        it->owner = this;
        it->connection.reset(
            evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        if (!it->connection) return on_failure(*it, "no connection");
        evhttp_connection_set_max_body_size(it->connection.get(), max_list_bytes);
    }
    auto* request = evhttp_request_new(
        [](evhttp_request* response, void* arg) {
            auto* list_request = static_cast<ListRequest*>(arg);
            if (list_request->abandoned) return;
            try {
                list_request->owner->on_response(*list_request, response);
            } catch (const std::exception& e) {
                list_request->owner->on_failure(*list_request, e.what());
            }
        },
        &*it);
    if (!request) return on_failure(*it, "no memory");
    const auto host = address_.host + ":" + std::to_string(address_.port);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host.c_str());
    std::string target = "/api/targets";
    const bool watches = version_ && !resuming_;
    const Duration wait = watches ? watch_wait : resume_wait;
    if (version_)
        target += "?after=" + std::to_string(*version_) + "&wait_ms=" + std::to_string(wait.us / 1000);
    it->in_flight = true;
    it->sent_at = monotonic_now();
    it->known_version = version_;
    spdlog::debug("list request sent: {}", target);
    // Limits the whole request: evhttp's own timeout applies to each read and would not end a response that
    // trickles.
    it->timeout_timer = make_timer<&Discovery::on_timeout>(
        *it, watches || !lists_are_pushed() ? watch_timeout : full_list_timeout);
    if (lists_are_pushed())
        it->overdue_timer =
            make_timer<&Discovery::on_overdue>(*it, watches ? watch_overdue_after : full_list_overdue_after);
    if (evhttp_make_request(it->connection.get(), request, EVHTTP_REQ_GET, target.c_str()) != 0 &&
        !it->abandoned)
        return on_failure(*it, "the request could not be sent");
    // Read before all other input: after a stall of this process, no work may be sent to an upstream that a
    // list waiting to be read rules out. Each new connection loses the priority.
    bufferevent_priority_set(evhttp_connection_get_bufferevent(it->connection.get()), 0);
}

// The agent may have been silent when the request was sent, and be back by now.
void Discovery::on_overdue(const ListRequest& request)
{
    if (&request != &requests_.back()) return;  // a newer request is in flight
    version_.reset();
    send_request();
}

void Discovery::on_timeout(ListRequest& request) { on_failure(request, "no answer in time"); }

void Discovery::on_response(ListRequest& request, evhttp_request* response)
{
    const int status = response ? evhttp_request_get_response_code(response) : 0;
    if (status != 200) return on_failure(request, status == 0 ? "no answer" : "a response without a list");
    auto* body = evhttp_request_get_input_buffer(response);
    const size_t size = evbuffer_get_length(body);
    const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(body, -1));
    const std::string text(bytes ? bytes : "", size);
    auto list = decode_list(text, epoch_);
    if (!list) {
        version_.reset();
        return on_failure(request, "the answer is no list");
    }
    // Refuses an older list, of an agent that has fallen behind: it would bring back upstreams that drain
    // or have gone. Asks anew if the list known from before this start was numbered by another discovery.
    const bool renumbered =
        std::exchange(version_restored_, false) && !list->update.is_full && list->version < *version_;
    if (renumbered) {
        version_.reset();
        return on_failure(request, "its list versions start anew");
    }
    if (list->version < newest_version_) {
        version_.reset();
        return on_failure(request, "a list older than the last one");
    }
    newest_version_ = list->version;
    spdlog::debug("{}: {} list {} of {} entries", describe(request),
                  list->update.is_full ? "full" : "changed", list->version, list->update.entries.size());
    request.in_flight = false;
    request.overdue_timer.reset(), request.timeout_timer.reset();
    requests_.remove_if([&](const ListRequest& c) { return &c != &request; });
    if (!healthy_) spdlog::info("discovery answers again");
    healthy_ = true;
    retry_delay_ = first_retry_delay;
    const bool first = !version_;
    version_ = list->version;
    resuming_ = false;
    for (const ListedEndpoint& e : list->update.entries)
        spdlog::debug("list {}: {} {} {}", list->version, e.uid, e.endpoint, static_cast<int>(e.phase));
    if (first) spdlog::info("list {} of {} upstreams", list->version, list->update.entries.size());
    // Schedules the next request before anything else, so that the watch has no gap.
    schedule_request(Duration{});
    if (!has_list_callback()) return post_event_(std::move(list->update));
    report_list(*list, text);
}

std::string Discovery::describe(const ListRequest& request)
{
    return fmt::format("list request from version {}, after {} ms",
                       request.known_version ? std::to_string(*request.known_version) : "none",
                       (monotonic_now() - request.sent_at).us / 1000);
}

void Discovery::report_list(const EndpointList& list, const std::string& text)
{
    // A receiver of the last report may still hold the entries.
    if (entries_.use_count() > 1) entries_ = std::make_shared<Entries>(*entries_);
    apply_list_update(*entries_, text);
    if (!entries_callback_) return list_callback_(list.version, encode_full_list(list.version, *entries_));
    std::optional<std::vector<std::string>> uids;
    if (!list.update.is_full) {
        uids.emplace();
        for (const ListedEndpoint& e : list.update.entries) uids->push_back(e.uid);
    }
    entries_callback_(list.version, entries_, std::move(uids));
}

void Discovery::on_failure(ListRequest& request, const char* why)
{
    spdlog::debug("{}: {}", describe(request), why);
    request.abandoned = true;
    request.overdue_timer.reset(), request.timeout_timer.reset();
    const auto it = std::find_if(requests_.begin(), requests_.end(),
                                 [&](const ListRequest& c) { return &c == &request; });
    abandoned_requests_.splice(abandoned_requests_.end(), requests_, it);
    if (healthy_) spdlog::warn("discovery: {}; the last list stays in use", why);
    healthy_ = false;
    // A polled discovery service with many clients works for each entry of a response and refuses requests
    // under overload: after a refusal only the changes are requested. An agent answers at no cost, so it is
    // asked for the full list.
    if (lists_are_pushed())
        version_.reset();
    else
        resuming_ = version_.has_value();
    if (!requests_.empty()) return;  // another request is in flight
    if (!lists_are_pushed() && !has_list_callback())
        polling_ = false;  // the decision module says when to ask again
    post_event_(EndpointListFetchFailed{});
    if (!polling_) return;
    schedule_request(retry_delay_);
    retry_delay_ =
        std::min(lists_are_pushed() ? max_push_retry_delay : max_poll_retry_delay, retry_delay_ * 2);
}

}  // namespace firtide::net
