// The environment that libraft runs in: implements the library's raft_io on a voter's disk, network, clock
// and random number generator. libraft calls back into this object; the completions that it expects later are
// queued and invoked by run_completions().
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "raft_library.h"
#include "src/base/random.h"
#include "voter.h"

namespace firtide::fleet
{

class RaftEnvironment
{
  public:
    // Messages to other voters are appended to `effects`, without their `writes`, which the voter fills in.
    // `store` and `effects` must outlive the environment.
    RaftEnvironment(Store& store, std::vector<VoterEffect>& effects, uint64_t seed);
    RaftEnvironment(const RaftEnvironment&) = delete;
    RaftEnvironment& operator=(const RaftEnvironment&) = delete;

    raft_io* io() { return &io_; }
    void set_now(TimePoint now) { now_ = now; }

    // Lets libraft check its timeouts.
    void tick();
    // Delivers a message to libraft. `configuration` is used to look up the sender's address. Invalid
    // messages are ignored.
    void receive(const raft_configuration& configuration, DiskId from, std::string_view bytes);
    void run_completions();
    [[nodiscard]] bool has_completions() const { return !completions_.empty(); }

  private:
    static RaftEnvironment& environment_of(const raft_io* io)
    {
        return *static_cast<RaftEnvironment*>(io->impl);
    }
    static int to_status(bool success) { return success ? 0 : RAFT_IOERR; }

    // ---- raft_io callbacks ----
    static int init(raft_io* io, raft_id id, const char* address);
    static void close(raft_io* io, raft_io_close_cb done);
    static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* first,
                    raft_entry** entries, size_t* count);
    static int start(raft_io* io, unsigned milliseconds, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive);
    static int bootstrap(raft_io* io, const raft_configuration* configuration);
    static int recover(raft_io* io, const raft_configuration* configuration);
    static int set_term(raft_io* io, raft_term term);
    static int set_vote(raft_io* io, raft_id vote);
    static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done);
    static int append(raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                      raft_io_append_cb done);
    static int truncate(raft_io* io, raft_index from);
    static int put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                            const raft_snapshot* snapshot, raft_io_snapshot_put_cb done);
    static int get_snapshot(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done);
    static raft_time time(raft_io* io);
    static int random(raft_io* io, int min, int max);

    raft_snapshot* stored_snapshot() const;

    Store& store_;
    std::vector<VoterEffect>& effects_;
    RandomEngine random_;
    raft_io io_{};
    raft_io_tick_cb on_tick_ = nullptr;
    raft_io_recv_cb on_receive_ = nullptr;
    TimePoint now_;
    std::deque<std::function<void()>> completions_;
};

}  // namespace firtide::fleet
