// Between the consensus library's messages and the bytes that voters exchange.
#pragma once

#include <optional>
#include <string>
#include <string_view>

struct raft_message;

namespace firtide::fleet
{

// Nothing where the message is of a kind that is not sent.
std::optional<std::string> encode_raft_message(const raft_message& message);

// Fills all but the sender. What the message points to belongs to the library once it has received it.
// Returns false where the bytes are no message; nothing has been allocated then.
[[nodiscard]] bool decode_raft_message(std::string_view bytes, raft_message& into);

// Whether the bytes are a message of a leader that brings its log.
[[nodiscard]] bool is_replication_message(std::string_view bytes);

}  // namespace firtide::fleet
