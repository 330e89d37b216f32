// The replicated table: who holds each duty, and at which epoch. Commands change it in the order of the log,
// alike at every voter; it knows no clock.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/fleet/transport/messages.h"

namespace firtide::fleet
{

struct LeaseCommand {
    enum What : uint8_t {
        grant,    // where nobody holds it: a new epoch, over `epoch`
        release,  // by who holds it at this epoch
        confirm,  // nothing: that it is committed says that its proposer led when it was proposed
    };
    uint8_t what = confirm;
    std::string duty;
    Epoch epoch = 0;
    MemberKey holder = 0;
    InstanceId instance = 0;
    std::string why;
    bool placed = false;  // by an operator: it stays where it is
    MSGPACK_DEFINE(what, duty, epoch, holder, instance, why, placed)
};

// What the leader wants of the log.
struct Proposal {
    uint64_t name = 0;
    std::vector<LeaseCommand> commands;
};

class LeaseTable
{
  public:
    struct Entry {
        MemberKey holder = 0;  // zero: none
        InstanceId instance = 0;
        Epoch epoch = 0;
        std::string why;  // the last change
        bool placed = false;

        bool operator==(const Entry&) const = default;
    };

    // What changed.
    std::vector<std::string> apply(const std::vector<LeaseCommand>& commands);

    const std::map<std::string, Entry>& entries() const { return entries_; }
    Entry of(const std::string& duty) const;
    uint64_t version() const { return version_; }  // grows with every change

    // As the leader told it.
    void take(const std::vector<LeaseRecord>& rows, uint64_t version);
    std::string encode() const;
    bool decode(std::string_view bytes);

    bool operator==(const LeaseTable&) const = default;

  private:
    std::map<std::string, Entry> entries_;
    uint64_t version_ = 0;
};

}  // namespace firtide::fleet
