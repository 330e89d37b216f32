#include "raft_environment.h"

#include <algorithm>

#include "raft_codec.h"

namespace firtide::fleet
{
namespace
{

constexpr int64_t microseconds_per_millisecond = 1000;
constexpr Term bootstrap_term = 1;

// libraft answers a pre-vote that it refuses with the term of the request. The candidate has to learn a
// higher term of this voter: with the newest log but a low term, it would be refused for ever, and nobody
// else would be elected.
raft_message with_own_term(const raft_message& message, Term own_term)
{
    raft_message out = message;
    if (out.type != RAFT_IO_REQUEST_VOTE_RESULT || out.request_vote_result.vote_granted) return out;
    out.request_vote_result.term = std::max<raft_term>(out.request_vote_result.term, own_term);
    return out;
}

}  // namespace

RaftEnvironment::RaftEnvironment(Store& store, std::vector<VoterEffect>& effects, uint64_t seed)
    : store_(store), effects_(effects), random_(static_cast<uint32_t>(seed ^ seed >> 32))
{
    io_.version = 1;
    io_.impl = this;
    io_.init = &RaftEnvironment::init;
    io_.close = &RaftEnvironment::close;
    io_.load = &RaftEnvironment::load;
    io_.start = &RaftEnvironment::start;
    io_.bootstrap = &RaftEnvironment::bootstrap;
    io_.recover = &RaftEnvironment::recover;
    io_.set_term = &RaftEnvironment::set_term;
    io_.set_vote = &RaftEnvironment::set_vote;
    io_.send = &RaftEnvironment::send;
    io_.append = &RaftEnvironment::append;
    io_.truncate = &RaftEnvironment::truncate;
    io_.snapshot_put = &RaftEnvironment::put_snapshot;
    io_.snapshot_get = &RaftEnvironment::get_snapshot;
    io_.time = &RaftEnvironment::time;
    io_.random = &RaftEnvironment::random;
}

void RaftEnvironment::tick()
{
    if (on_tick_) on_tick_(&io_);
}

void RaftEnvironment::receive(const raft_configuration& configuration, DiskId from, std::string_view bytes)
{
    raft_message message{};
    if (!on_receive_ || !decode_raft_message(bytes, message)) return;
    std::string address = std::to_string(from);
    for (unsigned i = 0; i < configuration.n; ++i)
        if (configuration.servers[i].id == from) address = configuration.servers[i].address;
    message.server_id = from;
    message.server_address = address.c_str();
    on_receive_(&io_, &message);
}

void RaftEnvironment::run_completions()
{
    while (!completions_.empty()) {
        const auto completion = std::move(completions_.front());
        completions_.pop_front();
        completion();
    }
}

int RaftEnvironment::init(raft_io* /*io*/, raft_id /*id*/, const char* /*address*/) { return 0; }

void RaftEnvironment::close(raft_io* io, raft_io_close_cb done)
{
    environment_of(io).completions_.emplace_back([io, done] { done(io); });
}

int RaftEnvironment::load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                          raft_index* first, raft_entry** entries, size_t* count)
{
    const PersistentState& state = environment_of(io).store_.state();
    *term = state.term;
    *vote = state.vote;
    *snapshot = state.snapshot.index ? environment_of(io).stored_snapshot() : nullptr;
    *first = state.first_index;
    *count = state.entries.size();
    *entries = raft_library::copy_entries({state.entries.begin(), state.entries.end()});
    return 0;
}

int RaftEnvironment::start(raft_io* io, unsigned /*milliseconds*/, raft_io_tick_cb on_tick,
                           raft_io_recv_cb on_receive)
{
    environment_of(io).on_tick_ = on_tick;
    environment_of(io).on_receive_ = on_receive;
    return 0;
}

int RaftEnvironment::bootstrap(raft_io* io, const raft_configuration* configuration)
{
    raft_buffer encoded{};
    if (const int error = raft_configuration_encode(configuration, &encoded)) return error;
    Store& store = environment_of(io).store_;
    store.set_term(bootstrap_term, 0);
    store.append({{bootstrap_term, RAFT_CHANGE, raft_library::to_string(encoded)}});
    raft_free(encoded.base);
    return to_status(store.sync());
}

int RaftEnvironment::recover(raft_io* /*io*/, const raft_configuration* /*configuration*/)
{
    return RAFT_INVALID;
}

int RaftEnvironment::set_term(raft_io* io, raft_term term)
{
    Store& store = environment_of(io).store_;
    store.set_term(term, 0);
    return to_status(store.sync());
}

int RaftEnvironment::set_vote(raft_io* io, raft_id vote)
{
    Store& store = environment_of(io).store_;
    store.set_term(store.state().term, vote);
    return to_status(store.sync());
}

int RaftEnvironment::send(raft_io* io, raft_io_send* request, const raft_message* message,
                          raft_io_send_cb done)
{
    const Term own_term = environment_of(io).store_.state().term;
    if (auto bytes = encode_raft_message(with_own_term(*message, own_term)))
        environment_of(io).effects_.emplace_back(SendRaftMessage{message->server_id, std::move(*bytes), 0});
    environment_of(io).completions_.emplace_back([request, done] {
        if (done) done(request, 0);
    });
    return 0;
}

int RaftEnvironment::append(raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                            raft_io_append_cb done)
{
    std::vector<LogEntry> added;
    for (unsigned i = 0; i < count; ++i)
        added.push_back({entries[i].term, entries[i].type, raft_library::to_string(entries[i].buf)});
    Store& store = environment_of(io).store_;
    store.append(added);
    environment_of(io).completions_.emplace_back(
        [&store, request, done] { done(request, to_status(store.sync())); });
    return 0;
}

int RaftEnvironment::truncate(raft_io* io, raft_index from)
{
    environment_of(io).store_.truncate(from);
    return to_status(!environment_of(io).store_.failed());
}

int RaftEnvironment::put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                                  const raft_snapshot* snapshot, raft_io_snapshot_put_cb done)
{
    LogSnapshot stored;
    stored.index = snapshot->index;
    stored.term = snapshot->term;
    stored.configuration = pack(raft_library::servers_of(snapshot->configuration));
    stored.configuration_index = snapshot->configuration_index;
    for (unsigned i = 0; i < snapshot->n_bufs; ++i) stored.data += raft_library::to_string(snapshot->bufs[i]);
    const bool installed = environment_of(io).store_.install_snapshot(std::move(stored), trailing);
    environment_of(io).completions_.emplace_back(
        [request, done, installed] { done(request, to_status(installed)); });
    return 0;
}

int RaftEnvironment::get_snapshot(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done)
{
    RaftEnvironment& self = environment_of(io);
    self.completions_.emplace_back([&self, request, done] { done(request, self.stored_snapshot(), 0); });
    return 0;
}

raft_time RaftEnvironment::time(raft_io* io)
{
    return static_cast<raft_time>(environment_of(io).now_.us / microseconds_per_millisecond);
}

int RaftEnvironment::random(raft_io* io, int min, int max)
{
    return std::uniform_int_distribution<int>(min, max)(environment_of(io).random_);
}

// The snapshot is allocated with libraft's allocator; libraft releases it.
raft_snapshot* RaftEnvironment::stored_snapshot() const
{
    const LogSnapshot& stored = store_.state().snapshot;
    auto* snapshot = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    snapshot->index = stored.index;
    snapshot->term = stored.term;
    raft_library::fill_configuration(
        snapshot->configuration,
        unpack<std::vector<RaftServer>>(stored.configuration).value_or(std::vector<RaftServer>{}));
    snapshot->configuration_index = stored.configuration_index;
    snapshot->n_bufs = 1;
    snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    snapshot->bufs[0] = raft_library::copy_buffer(stored.data);
    return snapshot;
}

}  // namespace firtide::fleet
