// The replicated lease table: which member holds each duty, and at which epoch.
//
// A duty is a singleton task (see FleetConfig::duties) that one member at a time performs under a lease.
// Every voter applies the commands of the replicated log in log order, so all copies of the table agree. The
// table is independent of time; LeaseClient and LeaseManager decide when a lease ends.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/ids.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// A command in the replicated log. Its encoding is stored on disk and must not change.
struct LeaseCommand {
    enum Kind : uint8_t {
        grant,    // only if the duty has no holder; the new epoch is above `epoch` and above the last one
        release,  // only if the lease is held at exactly this epoch
        // Changes no duty; its commit proves that the proposer was the leader when it proposed it. If `epoch`
        // is not zero and the log has no name yet, it becomes the log's name.
        confirm,
    };
    uint8_t kind = confirm;
    std::string duty;
    Epoch epoch = 0;
    MemberKey holder = 0;
    InstanceId instance = 0;
    std::string reason;
    bool pinned = false;  // placed by an operator: rebalancing does not move it
    MSGPACK_DEFINE(kind, duty, epoch, holder, instance, reason, pinned)
};

// The name of a log, by which members tell a log that was founded anew from the one before; zero: none. Logs
// of versions before there were names have none.
using LogName = uint32_t;
// The name is the upper half of each version of the log's table; the lower half counts changes.
inline constexpr unsigned change_count_bits = 32;
inline LogName log_of(uint64_t table_version)
{
    return static_cast<LogName>(table_version >> change_count_bits);
}

// Commands that the leader asks to append to the log, as one entry.
struct Proposal {
    uint64_t id = 0;  // returned with the ProposalResult
    std::vector<LeaseCommand> commands;
};

class LeaseTable
{
  public:
    struct Entry {
        MemberKey holder = 0;  // zero: none
        InstanceId instance = 0;
        Epoch epoch = 0;
        std::string reason;  // of the last change
        bool pinned = false;

        bool operator==(const Entry&) const = default;
    };

    // Applies committed commands. A command that does not fit the present state is ignored.
    void apply(const std::vector<LeaseCommand>& commands);

    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return entries_; }
    // The entry of a duty; an empty one if it was never granted.
    [[nodiscard]] Entry entry(const std::string& duty) const;
    // Increases with every change. Zero: the log has neither a name nor any change.
    [[nodiscard]] uint64_t version() const { return version_; }
    // Whether the log has ever granted a duty.
    [[nodiscard]] bool has_granted() const;

    // Replaces the whole table with the one received from the leader.
    void assign(const std::vector<LeaseRecord>& leases, uint64_t version);

    // The encoding used in snapshots of the log. decode() returns false and leaves the table unchanged if the
    // bytes are invalid.
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] bool decode(std::string_view bytes);

    bool operator==(const LeaseTable&) const = default;

  private:
    static bool apply(const LeaseCommand& command, Entry& entry);
    void name_log(LogName name);

    std::map<std::string, Entry> entries_;
    uint64_t version_ = 0;
};

}  // namespace firtide::fleet
