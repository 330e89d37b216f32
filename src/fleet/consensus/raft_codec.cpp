#include "raft_codec.h"

#include "raft_library.h"

namespace firtide::fleet
{
namespace
{

using namespace raft_wire;

// ---- libraft to wire format ----

VoteRequest to_wire(const raft_request_vote& message)
{
    return {message.term,          message.candidate_id,   message.last_log_index,
            message.last_log_term, message.disrupt_leader, message.pre_vote};
}

VoteResponse to_wire(const raft_request_vote_result& message)
{
    return {message.term, message.vote_granted, static_cast<int>(message.pre_vote)};
}

AppendRequest to_wire(const raft_append_entries& message)
{
    AppendRequest request{
        message.term, message.prev_log_index, message.prev_log_term, message.leader_commit, {}};
    for (unsigned i = 0; i < message.n_entries; ++i) {
        const raft_entry& entry = message.entries[i];
        request.entries.push_back({entry.term, entry.type, raft_library::to_string(entry.buf)});
    }
    return request;
}

AppendResponse to_wire(const raft_append_entries_result& message)
{
    return {message.term, message.rejected, message.last_log_index};
}

InstallSnapshot to_wire(const raft_install_snapshot& message)
{
    return {message.term,       message.last_index,
            message.last_term,  raft_library::servers_of(message.conf),
            message.conf_index, raft_library::to_string(message.data)};
}

TimeoutNow to_wire(const raft_timeout_now& message)
{
    return {message.term, message.last_log_index, message.last_log_term};
}

// ---- wire format to libraft ----

bool from_wire(const VoteRequest& wire, raft_message& into)
{
    into.request_vote = {wire.term,      wire.candidate,      wire.last_index,
                         wire.last_term, wire.disrupt_leader, wire.pre_vote};
    return true;
}

bool from_wire(const VoteResponse& wire, raft_message& into)
{
    constexpr int last_tribool = 2;
    if (wire.pre_vote < 0 || wire.pre_vote > last_tribool) return false;
    into.request_vote_result = {wire.term, wire.granted, static_cast<raft_tribool>(wire.pre_vote)};
    return true;
}

bool from_wire(const AppendRequest& wire, raft_message& into)
{
    std::vector<LogEntry> entries;
    for (const Entry& entry : wire.entries) entries.push_back({entry.term, entry.kind, entry.bytes});
    into.append_entries = {wire.term,
                           wire.previous_index,
                           wire.previous_term,
                           wire.committed,
                           raft_library::copy_entries(entries),
                           static_cast<unsigned>(entries.size())};
    return true;
}

bool from_wire(const AppendResponse& wire, raft_message& into)
{
    into.append_entries_result = {wire.term, wire.rejected, wire.last_index};
    return true;
}

bool from_wire(const InstallSnapshot& wire, raft_message& into)
{
    into.install_snapshot.term = wire.term;
    into.install_snapshot.last_index = wire.last_index;
    into.install_snapshot.last_term = wire.last_term;
    raft_library::fill_configuration(into.install_snapshot.conf, wire.servers);
    into.install_snapshot.conf_index = wire.servers_index;
    into.install_snapshot.data = raft_library::copy_buffer(wire.data);
    return true;
}

bool from_wire(const TimeoutNow& wire, raft_message& into)
{
    into.timeout_now = {wire.term, wire.last_index, wire.last_term};
    return true;
}

template <class Wire>
bool decode_body(std::string_view body, raft_message& into)
{
    const auto wire = unpack<Wire>(body);
    return wire && from_wire(*wire, into);
}

}  // namespace

std::optional<std::string> encode_raft_message(const raft_message& message)
{
    const auto enveloped = [&](const auto& wire) { return pack(Envelope{message.type, pack(wire)}); };
    switch (message.type) {
        case RAFT_IO_REQUEST_VOTE: return enveloped(to_wire(message.request_vote));
        case RAFT_IO_REQUEST_VOTE_RESULT: return enveloped(to_wire(message.request_vote_result));
        case RAFT_IO_APPEND_ENTRIES: return enveloped(to_wire(message.append_entries));
        case RAFT_IO_APPEND_ENTRIES_RESULT: return enveloped(to_wire(message.append_entries_result));
        case RAFT_IO_INSTALL_SNAPSHOT: return enveloped(to_wire(message.install_snapshot));
        case RAFT_IO_TIMEOUT_NOW: return enveloped(to_wire(message.timeout_now));
        default: return {};
    }
}

bool decode_raft_message(std::string_view bytes, raft_message& into)
{
    const auto envelope = unpack<Envelope>(bytes);
    if (!envelope) return false;
    into.type = envelope->kind;
    switch (envelope->kind) {
        case RAFT_IO_REQUEST_VOTE: return decode_body<VoteRequest>(envelope->body, into);
        case RAFT_IO_REQUEST_VOTE_RESULT: return decode_body<VoteResponse>(envelope->body, into);
        case RAFT_IO_APPEND_ENTRIES: return decode_body<AppendRequest>(envelope->body, into);
        case RAFT_IO_APPEND_ENTRIES_RESULT: return decode_body<AppendResponse>(envelope->body, into);
        case RAFT_IO_INSTALL_SNAPSHOT: return decode_body<InstallSnapshot>(envelope->body, into);
        case RAFT_IO_TIMEOUT_NOW: return decode_body<TimeoutNow>(envelope->body, into);
        default: return false;
    }
}

bool is_replication_message(std::string_view bytes)
{
    const auto envelope = unpack<Envelope>(bytes);
    return envelope &&
           (envelope->kind == RAFT_IO_APPEND_ENTRIES || envelope->kind == RAFT_IO_INSTALL_SNAPSHOT);
}

}  // namespace firtide::fleet
