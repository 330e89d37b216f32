// Conversion between libraft's messages and the bytes that voters exchange.
#pragma once

#include <optional>
#include <string>
#include <string_view>

struct raft_message;

namespace firtide::fleet
{

// Returns no value for a message type that is never sent.
std::optional<std::string> encode_raft_message(const raft_message& message);

// Fills in every field except the sender. libraft owns the memory that the message points to once it has
// received the message. Returns false, with nothing allocated, if the bytes are not a valid message.
[[nodiscard]] bool decode_raft_message(std::string_view bytes, raft_message& into);

// Whether the bytes are a message with which a leader replicates its log: append entries or install snapshot.
[[nodiscard]] bool is_replication_message(std::string_view bytes);

}  // namespace firtide::fleet
