// The reducer's handling of messages that are relayed in chunks: how many bytes of each are in transit, and
// when reading is paused.
#include <algorithm>

#include "reducer.h"

namespace firtide::net
{
namespace
{

// Bytes of one message in transit before reading is paused; fewer when there are many such messages.
constexpr size_t min_window_bytes = 16 * 1024, max_window_bytes = 64 * 1024;

}  // namespace

// More of a request that is forwarded while it is being received. Before its last byte nothing has run; its
// time starts there.
void Reducer::on(RequestChunkReceived& event)
{
    const auto found = invocation_of_.find(event.caller);
    if (found == invocation_of_.end() || invocations_[found->second].finished) return;
    Invocation& invocation = invocations_[found->second];
    if (!invocation.request.body_incomplete) return;
    invocation.request.body = {}, invocation.body_discarded = true;
    if (!invocation.streaming_attempt) return;
    invocation.unwritten_bytes += event.bytes.size();
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

// With many large messages at once, reading is paused sooner, so that they do not use up the memory.
size_t Reducer::relay_window_bytes() const
{
    return std::clamp(relay_memory_share_bytes_ / (relays_.size() + streamed_requests_ + 1), min_window_bytes,
                      max_window_bytes);
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
    if (relay.fully_received) return end_relay(id, &OutcomeCounts::success);
    if (std::exchange(relay.reading_paused, false)) effects_.push_back(SetResponseReading{id, true});
}

// From here on, only this attempt can provide the response.
void Reducer::start_relay(AttemptId id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || !found->second.invocation_id) return;
    Invocation& invocation = invocations_[*found->second.invocation_id];
    if (invocation.finished) return;
    invocation.has_relay = true;
    relay_of_[invocation.caller] = id;
    relays_[id] = {invocation.caller, invocation.request.id, invocation.outcomes, 0, false, false};
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
    open_request_ids_.erase(relay.request_id);
    relay_of_.erase(relay.caller);
    relays_.erase(id);
}

void Reducer::on(ProcessCountChanged event)
{
    relay_memory_share_bytes_ = relay_memory_bytes_ / std::max<size_t>(1, event.process_count);
}

}  // namespace firtide::net
