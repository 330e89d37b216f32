// How a member takes part in distributing the list of upstreams: it applies deltas and passes them on,
// repairs its replica from its neighbours and theirs from its own, and says what its balancer has to use. No
// I/O, no clock.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "list_replica.h"
#include "members.h"

namespace firtide::fleet
{

// For the balancer: in discovery's form, the whole list or what has changed since the last one.
struct UseList {
    uint64_t version = 0;  // in force from now on, also where nothing has changed
    std::string text;
    bool all = true;
};

class ListDistribution
{
  public:
    explicit ListDistribution(const DeltasRule& rule) : rule_(rule), replica_(rule) {}

    // What to do about a message that was heard.
    struct Heard {
        bool pass_on = false;    // to the successors
        bool confirmed = false;  // the list in use is as new as the sender's
    };

    // Discovery's answer at the holder: the deltas to push to the successors. `uids`: all that can differ
    // from the last answer that was published; nothing: any.
    std::vector<ListDelta> publish(Epoch epoch, const ListVersion& version, const ListLines& lines,
                                   const std::optional<std::vector<std::string>>& uids);
    // Discovery's answer at a member that asks on its own: used here alone, until the fleet's list is as new.
    void use_own(const ListVersion& version, const ListLines& lines);

    // An answer of discovery was refused: what the next one names as changed counts from that one.
    void skip() { followed_.reset(); }

    Heard hear(Point now, Member from, const ListDelta& delta);
    void hear(Point now, Member from, const WantListDeltas& want, Span age);
    Heard hear(Point now, Member from, const ListSnapshotChunk& chunk);
    // What another member's ping tells of its replica.
    void hear_revision(Point now, Member from, const ListRevision& revision, uint64_t digest);
    // The holder's word that its list is unchanged. True: this member uses that list.
    bool hear_unchanged(Point now, Member from, const ListRevision& revision);
    void tick(Point now);

    // Whether a new holder should be repaired before it publishes: what it lacks would be published as
    // removed.
    bool must_wait_to_publish(Point now, Epoch epoch, Point gained) const;
    bool behind() const { return wants_whole_ || !newer_.empty(); }

    const ListReplica& replica() const { return replica_; }
    ListReplica& replica() { return replica_; }
    bool uses_own() const { return own_.has_value(); }
    const ListVersion& version() const { return own_ ? own_->version : replica_.version(); }
    // The whole list that the balancer uses, in discovery's form.
    std::string whole_text() const;

    std::vector<Send> take_sends() { return std::exchange(sends_, {}); }
    std::optional<UseList> take_use();

  private:
    // The differences of a list that this member has asked for itself from the fleet's.
    struct OwnList {
        ListVersion version;
        std::map<std::string, std::optional<std::string>> differences;  // by uid; nothing: it is not there
    };
    struct Asked {
        Member member = 0;
        Point at;
        bool answered = false;
    };
    // A snapshot that is being received.
    struct Assembly {
        Member from = 0;
        ListSnapshot snapshot;
        uint32_t next = 0, count = 0;
        size_t bytes = 0;
        uint32_t attempts = 0;  // in a row that were not answered
    };
    // A snapshot that is being sent: it stays as it is while the replica goes on.
    struct Offer {
        std::vector<ListSnapshotChunk> chunks;
        Point asked;
    };

    void ask(Point now, Member member);
    void ask_if_due(Point now, Member member);
    std::optional<Member> next_source() const;
    void forget_reached();
    void touch(const ListChanges& changes);
    void drop_own();
    void drop_own_if_reached(bool by_holder);
    void keep_own_of(const ListChanges& changes);
    void answer_with_snapshot(Point now, Member to, const WantListDeltas& want, Span age);
    bool finish(Point now);  // true: the snapshot is in its place
    ListLines own_lines() const;
    const std::string* line_of(const std::string& uid) const;

    const DeltasRule rule_;
    ListReplica replica_;
    std::optional<OwnList> own_;
    std::optional<ListRevision> followed_;  // as of the last answer of discovery that was published
    ListRevision passed_on_;                // the newest
    std::map<Member, ListRevision> newer_;  // who is known to have a newer revision
    bool wants_whole_ = false;              // the replica is not what its revision should be
    std::optional<Point> verified_;
    std::optional<Asked> asked_;
    std::optional<Assembly> assembly_;
    std::optional<Offer> offer_;
    std::vector<Send> sends_;

    // Of what the balancer was told.
    bool told_ = false, untold_ = false;
    std::set<std::string> touched_;
};

}  // namespace firtide::fleet
