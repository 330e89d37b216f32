// The reducer's handling of messages that are relayed in chunks: how many bytes of each are in transit, and
// when reading is paused.
#include <algorithm>

#include "reducer.h"
#include "src/base/replace.h"

namespace firtide::net
{
namespace
{

// Bytes of one message in transit before reading is paused; fewer where memory is short.
constexpr size_t min_window_bytes = 8 * 1024, max_window_bytes = 64 * 1024;

// A transfer may be ended for others once its client has not moved for this long.
constexpr Duration stuck_after = seconds(0.25);

}  // namespace

// More of a request that is forwarded while it is being received. Before its last byte nothing has run; its
// time starts there.
void Reducer::on(RequestChunkReceived& event)
{
    const auto found = invocation_of_.find(event.caller);
    if (found == invocation_of_.end() || invocations_[found->second].finished) return;
    Invocation& invocation = invocations_[found->second];
    if (!invocation.request.body_incomplete) return;
    replace_and_free(invocation.request.body);
    invocation.body_discarded = true;
    invocation.memory.resize(sizeof(Invocation) + invocation.request.memory_bytes());
    if (!invocation.streaming_attempt) return;
    invocation.unwritten_bytes += event.bytes.size();
    invocation.chunk_received_at = now_;
    invocation.request.body_incomplete = !event.is_last;
    streamed_requests_ -= event.is_last;
    effects_.push_back(WriteUpstream{
        *invocation.streaming_attempt,
        encode_body_chunk(std::move(event.bytes), !invocation.request.content_length, event.is_last),
        invocation.request.body_incomplete});
    if (invocation.request.body_incomplete) {
        if (invocation.unwritten_bytes > relay_window_bytes())
            effects_.push_back(SetRequestReading{invocation.caller, false});
        return;
    }
    invocation.request.time_left = std::max(Duration{}, invocation.request.time_left - event.read_delay);
    limit_time_left_at_shutdown(invocation.request);
    balancer_.on_request_complete(now_, found->second, invocation.request.time_left);
}

size_t Reducer::relay_window_bytes() const
{
    return memory_.has_room_for_large(max_window_bytes) ? max_window_bytes : min_window_bytes;
}

// A client's time counts from its last byte. While its upstream does not take what has come, the bytes that
// wait unread may be the last: once its whole time has passed since they came, the request is taken for
// complete and overdue.
void Reducer::on(RequestStalled event)
{
    const auto found = invocation_of_.find(event.caller);
    if (found == invocation_of_.end() || invocations_[found->second].finished) return;
    Invocation& invocation = invocations_[found->second];
    if (!invocation.request.body_incomplete || event.silent_for < invocation.request.time_left) return;
    if (std::exchange(invocation.overdue, true)) return;
    ++requests_stalled_;
    balancer_.on_request_complete(now_, found->second, Duration{});
}

// Reads from the caller only while its bytes have somewhere to go.
void Reducer::resume_request_reading(const Invocation& invocation)
{
    if (invocation.request.body_incomplete) effects_.push_back(SetRequestReading{invocation.caller, true});
}

void Reducer::on(ResponseDrained event)
{
    const auto found = relay_of_.find(event.caller);
    if (found == relay_of_.end()) return;
    const AttemptId id = found->second;
    Relay& relay = relays_[id];
    relay.unsent_bytes = 0;
    relay.taken_at = now_;
    if (relay.fully_received) return end_relay(id, &OutcomeCounts::success);
    if (std::exchange(relay.reading_paused, false)) effects_.push_back(SetResponseReading{id, true});
}

// Where too many large messages are being passed on, or memory is short, one whose client does not move makes
// room for another.
bool Reducer::has_room_for_transfer()
{
    const auto has_room = [this] {
        return transfers() < max_transfers_ / process_count_ && memory_.has_room_for_large();
    };
    return has_room() || end_stuck_relay() || end_stuck_request() ||
           (transfers() < max_transfers_ / process_count_ && memory_.has_room());
}

bool Reducer::end_stuck_relay()
{
    const auto longest = std::min_element(relays_.begin(), relays_.end(), [](const auto& a, const auto& b) {
        return (a.second.unsent_bytes > 0 ? a.second.taken_at : TimePoint{INT64_MAX}) <
               (b.second.unsent_bytes > 0 ? b.second.taken_at : TimePoint{INT64_MAX});
    });
    if (longest == relays_.end() || longest->second.unsent_bytes == 0 ||
        now_ - longest->second.taken_at < stuck_after)
        return false;
    const AttemptId id = longest->first;
    memory_.record_rejection(MemoryPurpose::responses);
    effects_.push_back(AbortResponse{longest->second.caller});
    effects_.push_back(CloseUpstream{id});
    end_relay(id, &OutcomeCounts::failure);
    return true;
}

// Only one that waits for its client: another would be blamed for its upstream.
bool Reducer::end_stuck_request()
{
    Invocation* longest = nullptr;
    for (Invocation& invocation : invocations_)
        if (!invocation.finished && invocation.request.body_incomplete && invocation.unwritten_bytes == 0 &&
            (!longest || invocation.chunk_received_at < longest->chunk_received_at))
            longest = &invocation;
    if (!longest || now_ - longest->chunk_received_at < stuck_after) return false;
    memory_.record_rejection(MemoryPurpose::request_bodies);
    const InvocationId invocation_id = invocation_of_.at(longest->caller);
    respond(invocation_id, plain_response(408, "the request took too long\n"));
    balancer_.on_client_disconnected(now_, invocation_id);
    return true;
}

// From here on, only this attempt can provide the response.
bool Reducer::start_relay(AttemptId id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || !found->second.invocation_id) return true;
    Invocation& invocation = invocations_[*found->second.invocation_id];
    if (invocation.finished) return true;
    if (!has_room_for_transfer()) return false;
    invocation.has_relay = true;
    relay_of_[invocation.caller] = id;
    relays_[id] = {invocation.caller, invocation.request.id, invocation.outcomes, 0, false, false, now_};
    return true;
}

void Reducer::on(ResponseChunkReceived& event)
{
    const auto found = relays_.find(event.attempt);
    if (found == relays_.end()) return;
    Relay& relay = found->second;
    relay.unsent_bytes += event.bytes.size();
    relay.fully_received = event.is_last;
    effects_.push_back(SendResponseChunk{relay.caller, std::move(event.bytes), event.is_last});
    if (event.is_last || relay.reading_paused || relay.unsent_bytes <= relay_window_bytes()) return;
    relay.reading_paused = true;
    effects_.push_back(SetResponseReading{event.attempt, false});
}

// Ends a relay and counts its outcome; null: its caller has disconnected, which counts as none.
void Reducer::end_relay(AttemptId id, uint64_t OutcomeCounts::*outcome)
{
    const Relay relay = std::move(relays_[id]);
    if (outcome) ++(relay.outcomes->*outcome);
    request_ids_.close(relay.request_id);
    relay_of_.erase(relay.caller);
    relays_.erase(id);
}

void Reducer::on(ProcessCountChanged event)
{
    process_count_ = std::max<size_t>(1, event.process_count);
    memory_.set_process_count(process_count_);
}

}  // namespace firtide::net
