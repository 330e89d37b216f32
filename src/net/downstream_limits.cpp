// Which connections of clients end early: those whose time is up, and, where descriptors or memory are short,
// those that can be done without.
#include <algorithm>

#include "downstream_connection.h"
#include "src/io/log.h"

namespace firtide::net
{
namespace
{

// How long a connection may stay in each phase: reading a request, from its first byte or, on a new
// connection, from connecting (with extra time for the received part of the body); waiting for more of a
// large request; between requests; waiting for a response; taking the next part of one; closing after the
// last.
constexpr std::array<Duration, 6> phase_limits = {seconds(2.5),  seconds(2.5), seconds(60),
                                                  seconds(3600), seconds(10),  seconds(1)};
constexpr double min_body_bytes_per_second = 24 * 1024;
constexpr Duration idle_before_eviction = seconds(2);  // before it may be evicted
// The same for a new connection or an incomplete request.
constexpr Duration silent_before_eviction = seconds(0.2);
constexpr Duration lingering_before_eviction = seconds(0.1);  // the same for a connection in lingering close
// The same for a response of which the client has taken nothing.
constexpr Duration untaken_before_eviction = seconds(0.25);
// Connections evicted at a time; twice as many each time in a row, up to the part of all connections.
constexpr size_t min_eviction_batch = 16, max_eviction_part = 4;
constexpr Duration warning_interval = seconds(1);  // of the same problem, in the log
constexpr Duration stall_threshold = seconds(0.2);
// The last part of the memory is kept for requests up to this size.
constexpr size_t small_request_bytes = 4 * 1024;
// A request that holds less is not worth evicting for its memory: more than a head, less than one read.
constexpr size_t min_evicted_bytes = 2 * 1024;
constexpr Duration memory_eviction_interval = seconds(0.005);

}  // namespace

// Ends connections whose time is up, and accepts connections again.
void DownstreamServer::check_connections()
{
    const TimePoint now = monotonic_now();
    // After a stall of this process, input that came meanwhile is read before any caller is timed out. Only
    // one check is skipped, because the process may be this slow all the time.
    skipped_check_ = now - std::exchange(last_check_, now) > stall_threshold && !skipped_check_;
    if (skipped_check_) return;
    end_overdue_connections(now);
    detect_closed_callers();
    report_stalled_requests();
    if (waits_until_ready_ && listener_ && ready_())
        waits_until_ready_ = false, evconnlistener_enable(listener_.get());
    if (!accepting_paused_ || !listener_) return (void)(eviction_batch_ = min_eviction_batch);
    resume_accepting(now);
}

void DownstreamServer::end_overdue_connections(TimePoint now)
{
    for (size_t phase = 0; phase < phase_count; ++phase)
        for (ConnectionIterator it = connections_[phase].begin(), next; it != connections_[phase].end();
             it = next) {
            next = std::next(it);
            if (now - it->phase_since <= phase_limits[phase]) break;
            const bool begun = phase == reading_request && it->reader.has_started();
            if (begun &&
                now - it->phase_since <=
                    phase_limits[phase] + seconds(static_cast<double>(it->reader.body_bytes_received()) /
                                                  min_body_bytes_per_second))
                continue;
            if (begun) {
                reject(it, 408, "the request took too long");
                continue;
            }
            spdlog::debug("connection {} timed out: {} for {} ms", it->id, name_of(it->phase),
                          (now - it->phase_since).us / 1000);
            if (phase == reading_request || phase == idle)
                close_lingering(it);
            else
                on_disconnect(it);
        }
}

void DownstreamServer::resume_accepting(TimePoint now)
{
    if (now - warned_at_ > warning_interval) {
        warned_at_ = now;
        spdlog::warn("no descriptor for more connections: {}; memory {} of {} kB", connection_states(),
                     memory_.used() / 1024, memory_.limit() / 1024);
    }
    // Others wait to be accepted: one place at a time would let them wait for too long.
    const size_t wanted = open_connections() + eviction_batch_;
    if (wanted > budget_.limit() || budget_.is_exhausted(open_connections()))
        evict(std::min(eviction_batch_, wanted - std::min(wanted, budget_.limit()) + 1));
    eviction_batch_ =
        std::max(min_eviction_batch, std::min(2 * eviction_batch_, budget_.limit() / max_eviction_part));
    if (budget_.is_exhausted(open_connections())) return;
    accepting_paused_ = false;
    evconnlistener_enable(listener_.get());
}

// Detects a caller that has sent more after its request and closed: the end of its stream is behind bytes
// that are not read before the response is sent.
void DownstreamServer::detect_closed_callers()
{
    for (ConnectionIterator it = connections_[awaiting_response].begin(), next;
         it != connections_[awaiting_response].end(); it = next) {
        next = std::next(it);
        if (it->unparsed_bytes() == 0) continue;
        if (has_poll_event(it->fd(), POLLRDHUP)) on_disconnect(it);
    }
}

// Of requests that are forwarded while they come, those whose upstream does not take them.
void DownstreamServer::report_stalled_requests()
{
    std::vector<RequestStalled> stalled;
    for (const Connection& connection : connections_[awaiting_response])
        if (!connection.reader.is_complete())
            stalled.push_back({connection.caller, time_since_last_byte(connection.fd())});
    for (const RequestStalled& request : stalled) post_event_(request);
}

void DownstreamServer::close_idle(Duration idle_for, Duration silent_for)
{
    const TimePoint now = monotonic_now();
    for (const auto phase : {idle, reading_request})
        for (ConnectionIterator it = connections_[phase].begin(), next; it != connections_[phase].end();
             it = next) {
            next = std::next(it);
            if (now - it->phase_since < (phase == idle ? idle_for : silent_for)) break;
            if (!has_request_bytes(it)) close_lingering(it);
        }
}

void DownstreamServer::reject_incomplete_requests()
{
    for (ConnectionIterator it = connections_[reading_request].begin(), next;
         it != connections_[reading_request].end(); it = next) {
        next = std::next(it);
        if (it->reader.has_started()) reject(it, 408, "the request took too long");
    }
}

// Calls `end` for connections in the phase that have been there for this long, the longest first, until it
// has returned true `count` times. Returns how often it has.
template <class End>
size_t DownstreamServer::evict_from(Phase phase, Duration at_least, size_t count, End&& end)
{
    const TimePoint now = monotonic_now();
    size_t evicted = 0;
    for (ConnectionIterator it = connections_[phase].begin(), next;
         it != connections_[phase].end() && evicted < count; it = next) {
        next = std::next(it);
        if (now - it->phase_since < at_least) break;
        evicted += end(it);
    }
    return evicted;
}

size_t DownstreamServer::evict(size_t count)
{
    // Connections that will end by themselves within a moment count as well.
    size_t evicted = evict_from(lingering, Duration{}, count, [&](ConnectionIterator it) {
        if (monotonic_now() - it->phase_since >= lingering_before_eviction) close_connection(it);
        return true;
    });
    // A connection that has never sent anything is closed at once: nothing was sent to it that a reset
    // could lose.
    evicted += evict_from(reading_request, silent_before_eviction, count - evicted, [&](auto it) {
        if (has_request_bytes(it)) return false;
        close_connection(it);
        return true;
    });
    evicted += evict_from(idle, idle_before_eviction, count - evicted, [&](auto it) {
        if (has_request_bytes(it)) return false;
        close_lingering(it);
        return true;
    });
    // Incomplete requests too: hundreds of them would keep all other callers out.
    evicted += evict_from(reading_request, silent_before_eviction, count - evicted, [&](auto it) {
        if (!it->reader.has_started() || has_poll_event(it->fd(), POLLIN)) return false;
        reject(it, 408, "the request took too long");
        return true;
    });
    evicted += evict_from(sending_response, untaken_before_eviction, count - evicted, [&](auto it) {
        spdlog::debug("connection {} ended: its response was not taken, and descriptors are short", it->id);
        on_disconnect(it);
        return true;
    });
    return evicted;
}

// Whether the request holds much, or will by the length that it announces.
bool DownstreamServer::is_large_request(ConnectionIterator it)
{
    return it->request_memory_bytes() > small_request_bytes ||
           it->reader.content_length().value_or(0) > small_request_bytes;
}

// Whether the request may take the memory that it holds by now and, if it is forwarded now, that of the copy
// on its way to an upstream. Where memory is short, others that hold much and make no progress end first.
bool DownstreamServer::has_memory_for(ConnectionIterator it)
{
    const size_t held = it->request_memory_bytes();
    const size_t copied = it->reader.is_complete() || fills_buffer(it) ? held : 0;
    const auto fits = [&] {
        return is_large_request(it) ? memory_.has_room_for_large(copied) : memory_.has_room(copied);
    };
    if (fits()) return true;
    evict_for_memory(it);
    return fits();
}

void DownstreamServer::evict_for_memory(ConnectionIterator except)
{
    const TimePoint now = monotonic_now();
    if (now - memory_evicted_at_ < memory_eviction_interval) return;
    memory_evicted_at_ = now;
    const auto enough = [&] { return memory_.has_room_for_large(memory_.limit() / 16); };
    evict_from(sending_response, untaken_before_eviction, SIZE_MAX, [&](auto it) {
        if (enough() || it->response_memory.bytes() < small_request_bytes) return false;
        memory_.record_rejection(MemoryPurpose::responses);
        spdlog::debug("connection {} ended: its response was not taken, and memory is short", it->id);
        on_disconnect(it);
        return true;
    });
    evict_from(reading_request, silent_before_eviction, SIZE_MAX, [&](auto it) {
        const bool frees_memory = it->request_memory_bytes() >= min_evicted_bytes;
        if (enough() || it == except || !is_large_request(it) || !frees_memory) return false;
        reject_for_memory(it);
        return true;
    });
    evict_from(lingering, lingering_before_eviction, SIZE_MAX, [&](auto it) {
        if (enough()) return false;
        close_connection(it);
        return true;
    });
}

void DownstreamServer::reject_for_memory(ConnectionIterator it)
{
    const auto purpose =
        it->reader.is_head_complete() ? MemoryPurpose::request_bodies : MemoryPurpose::request_heads;
    memory_.record_rejection(purpose);
    spdlog::debug("connection {}, request '{}': rejected, {} hold {} of {} kB, it holds {} bytes", it->id,
                  it->reader.request().id, net::name_of(purpose), memory_.used(purpose) / 1024,
                  memory_.limit() / 1024, it->request_memory_bytes());
    if (it->reader.is_head_complete() && !it->reader.is_readiness_check()) {
        const auto& request = it->reader.request();
        post_event_(RequestRejected{request.operation, request.config_version});
    }
    reject(it, 503, "no memory for the request");
}

const char* DownstreamServer::name_of(Phase phase)
{
    switch (phase) {
        case reading_request: return "reading a request";
        case streaming_request: return "streaming a request";
        case idle: return "idle";
        case awaiting_response: return "awaiting a response";
        case sending_response: return "sending a response";
        default: return "closing";
    }
}

std::string DownstreamServer::connection_states() const
{
    std::string text;
    for (size_t phase = 0; phase < phase_count; ++phase)
        text += (phase ? ", " : "") + std::to_string(connections_[phase].size()) + " " +
                name_of(static_cast<Phase>(phase));
    return text;
}

void DownstreamServer::add_metrics(ResourceStatistics& resources) const
{
    for (size_t phase = 0; phase < phase_count; ++phase) {
        std::string name = name_of(static_cast<Phase>(phase));
        std::replace(name.begin(), name.end(), ' ', '_');
        resources.add_gauge("connections." + name, connections_[phase].size());
    }
}

}  // namespace firtide::net
