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
void Reducer::on(RequestChunkReceived& piece)
{
    const auto at = invocation_of_.find(piece.caller);
    if (at == invocation_of_.end() || invocations_[at->second].over) return;
    Invocation& i = invocations_[at->second];
    if (!i.request.body_incomplete) return;
    i.request.body = {}, i.spent = true;
    if (!i.goes_to) return;
    i.on_way += piece.bytes.size();
    i.request.body_incomplete = !piece.is_last;
    sending_ -= piece.is_last;
    effects_.push_back(WriteUpstream{
        *i.goes_to, encode_body_chunk(std::move(piece.bytes), !i.request.content_length, piece.is_last),
        i.request.body_incomplete});
    if (i.request.body_incomplete) {
        if (i.on_way > most_on_way()) effects_.push_back(SetRequestReading{i.caller, false});
        return;
    }
    i.request.time_left = std::max(Duration{}, i.request.time_left - piece.read_delay);
    bound_by_stop(i.request);
    balancer_.on_request_complete(now_, at->second, i.request.time_left);
}

// With many large messages at once, reading is paused sooner, so that they do not use up the memory.
size_t Reducer::most_on_way() const
{
    return std::clamp(room_ / (relays_.size() + sending_ + 1), min_window_bytes, max_window_bytes);
}

// Reads from the caller only while its bytes have somewhere to go.
void Reducer::hear(const Invocation& i)
{
    if (i.request.body_incomplete) effects_.push_back(SetRequestReading{i.caller, true});
}

void Reducer::on(ResponseDrained taken)
{
    const auto at = relay_of_.find(taken.caller);
    if (at == relay_of_.end()) return;
    const AttemptId id = at->second;
    Relay& r = relays_[id];
    r.on_way = 0;
    if (r.all_came) return relayed(id, &OutcomeCounts::success);
    if (std::exchange(r.held, false)) effects_.push_back(SetResponseReading{id, true});
}

// From here on, only this attempt can provide the response.
void Reducer::bind(AttemptId id)
{
    const auto at = attempts_.find(id);
    if (at == attempts_.end() || !at->second.inv) return;
    Invocation& i = invocations_[*at->second.inv];
    if (i.over) return;
    i.bound = true;
    relay_of_[i.caller] = id;
    relays_[id] = {i.caller, i.request.id, i.outcomes, 0, false, false};
}

void Reducer::on(ResponseChunkReceived& came)
{
    const auto at = relays_.find(came.attempt);
    if (at == relays_.end()) return;
    Relay& r = at->second;
    r.on_way += came.bytes.size();
    r.all_came = came.is_last;
    effects_.push_back(SendResponseChunk{r.caller, std::move(came.bytes), came.is_last});
    if (came.is_last || r.held || r.on_way <= most_on_way()) return;
    r.held = true;
    effects_.push_back(SetResponseReading{came.attempt, false});
}

// Ends a relay and counts its outcome; null: its caller has disconnected, which counts as none.
void Reducer::relayed(AttemptId id, uint64_t OutcomeCounts::*as)
{
    const Relay r = std::move(relays_[id]);
    if (as) ++(r.outcomes->*as);
    open_ids_.erase(r.id);
    relay_of_.erase(r.caller);
    relays_.erase(id);
}

void Reducer::on(ProcessCountChanged shared)
{
    room_ = all_room_ / std::max<size_t>(1, shared.process_count);
}

}  // namespace firtide::net
