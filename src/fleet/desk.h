// Whether and as whom this member votes: its disk, what other voters know of it, the founding of the log, and
// the voter itself. It runs where it may wait for the disk. Calls in, effects out.
#pragma once

#include <map>
#include <memory>
#include <optional>

#include "config.h"
#include "table.h"
#include "voter.h"

namespace firtide::fleet
{

struct SayWord {  // to all other voters
    Word word;
};
struct SayFounded {
    Founded founded;
};
struct TableIs {  // as committed
    Table table;
};
struct DeskStanding {
    Standing standing;
    Stage stage = Stage::empty;
    DiskId disk = 0;
    std::string trouble;

    bool operator==(const DeskStanding&) const = default;
};
using DeskEffect = std::variant<SendRaft, SayWord, SayFounded, TableIs, Proposed, DeskStanding>;

class Desk
{
  public:
    // Stages: an empty disk waits to be founded or let in; one that has been written checks with other voters
    // that they know no more of it than it does; then it votes.
    Desk(const FleetFile& file, Files& files, VoterTimes times, uint64_t seed);
    ~Desk();

    std::vector<DeskEffect> start(Point now);
    std::vector<DeskEffect> tick(Point now);  // every 20 ms or so
    std::vector<DeskEffect> word(Point now, Member from, const Word& word);
    std::vector<DeskEffect> founded(Point now, Member from, const Founded& founded);
    std::vector<DeskEffect> raft(Point now, const RaftSent& sent);
    std::vector<DeskEffect> propose(Point now, const Propose& propose);
    std::vector<DeskEffect> let_in(Point now, uint64_t name, const std::string& member);
    std::vector<DeskEffect> put_out(Point now, uint64_t name, const std::string& member);
    std::vector<DeskEffect> lead_no_more(Point now);

  private:
    struct Copy;
    struct Heard {
        Word word;
        Point at;
    };
    // Letting one in takes up to three changes: it is added, given its vote, and the disk that it had before
    // goes.
    struct Letting {
        Seat seat;
        int step = 0;
    };

    void open(Point now);
    void begin(Point now, const std::vector<Seat>& founders);
    void look(Point now);
    void say(Point now);
    void take(std::vector<VoterEffect> effects);
    std::vector<DeskEffect> out(Point now);
    bool all_empty(Point now) const;
    bool speaks_first() const;
    DiskId draw_disk();

    const FleetFile& file_;
    Files& files_;
    const VoterTimes times_;
    std::ranlux24_base chance_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<Copy> copy_;
    std::unique_ptr<Voter> voter_;
    Stage stage_ = Stage::empty;
    std::string trouble_;
    std::map<Member, Heard> heard_;
    std::map<DiskId, uint64_t> seen_;
    Point said_, opened_, failed_at_;
    uint64_t told_version_ = UINT64_MAX;
    Standing standing_;
    std::optional<DeskStanding> told_;
    std::map<uint64_t, Letting> letting_;
    std::vector<DeskEffect> effects_;
};

}  // namespace firtide::fleet
