// The replicated lease table: which member holds each duty, and at which epoch.
//
// A duty is a singleton task (see FleetConfig::duties) that one member performs at a time under a lease.
// Commands of the replicated log change the table in the order of the log, alike at every voter. The table
// knows no clock; when a lease ends is decided by LeaseClient and LeaseManager.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/ids.h"
#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

// An entry of the replicated log. Its encoding is stored on disk and must not change.
struct LeaseCommand {
    enum Kind : uint8_t {
        grant,    // where nobody holds the duty: at an epoch above `epoch` and above the last one
        release,  // of a lease that is held at exactly this epoch
        confirm,  // changes nothing; that it is committed proves that its proposer led when it was proposed
    };
    uint8_t kind = confirm;
    std::string duty;
    Epoch epoch = 0;
    MemberKey holder = 0;
    InstanceId instance = 0;
    std::string reason;
    bool pinned = false;  // by an operator: rebalancing leaves it where it is
    MSGPACK_DEFINE(kind, duty, epoch, holder, instance, reason, pinned)
};

// What the leader asks to be appended to the log, as one entry.
struct Proposal {
    uint64_t id = 0;  // returned with the ProposalResult
    std::vector<LeaseCommand> commands;
};

class LeaseTable
{
  public:
    struct Entry {
        MemberKey holder = 0;  // zero: nobody
        InstanceId instance = 0;
        Epoch epoch = 0;
        std::string reason;  // reason of the last change
        bool pinned = false;

        bool operator==(const Entry&) const = default;
    };

    // Applies committed commands. One that does not fit the present state changes nothing.
    void apply(const std::vector<LeaseCommand>& commands);

    [[nodiscard]] const std::map<std::string, Entry>& entries() const { return entries_; }
    // The entry of a duty; an empty one where it was never granted.
    [[nodiscard]] Entry entry(const std::string& duty) const;
    // Grows with every change.
    [[nodiscard]] uint64_t version() const { return version_; }

    // Replaces the whole table by what the leader has sent.
    void assign(const std::vector<LeaseRecord>& leases, uint64_t version);

    // The stored form, as it stands in snapshots of the log. decode() returns false, and leaves the table as
    // it was, where the bytes are no table.
    [[nodiscard]] std::string encode() const;
    [[nodiscard]] bool decode(std::string_view bytes);

    bool operator==(const LeaseTable&) const = default;

  private:
    static bool apply(const LeaseCommand& command, Entry& entry);

    std::map<std::string, Entry> entries_;
    uint64_t version_ = 0;
};

}  // namespace firtide::fleet
