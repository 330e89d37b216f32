#include "voter.h"

extern "C" {  // its header says nothing of C++
#include <raft.h>
}

#include <cstring>
#include <deque>

#include "src/fleet/transport/pack.h"

namespace firtide::fleet
{
namespace
{

constexpr unsigned snapshot_after = 512, snapshot_trailing = 64;  // entries

// The messages between voters, as raft.h has them.
struct VoteAsked {
    Term term = 0;
    DiskId candidate = 0;
    LogIndex last = 0;
    Term last_term = 0;
    bool disrupt = false, pre = false;
    MSGPACK_DEFINE(term, candidate, last, last_term, disrupt, pre)
};
struct VoteSaid {
    Term term = 0;
    bool granted = false;
    int pre = 0;
    MSGPACK_DEFINE(term, granted, pre)
};
struct EntrySent {
    Term term = 0;
    uint16_t kind = 0;
    std::string bytes;
    MSGPACK_DEFINE(term, kind, bytes)
};
struct Append {
    Term term = 0;
    LogIndex before = 0;
    Term before_term = 0;
    LogIndex committed = 0;
    std::vector<EntrySent> entries;
    MSGPACK_DEFINE(term, before, before_term, committed, entries)
};
struct Appended {
    Term term = 0;
    LogIndex rejected = 0, last = 0;
    MSGPACK_DEFINE(term, rejected, last)
};
struct SeatSent {
    DiskId disk = 0;
    std::string address;
    int role = 0;
    MSGPACK_DEFINE(disk, address, role)
};
struct Install {
    Term term = 0;
    LogIndex last = 0;
    Term last_term = 0;
    std::vector<SeatSent> voters;
    LogIndex voters_index = 0;
    std::string bytes;
    MSGPACK_DEFINE(term, last, last_term, voters, voters_index, bytes)
};
struct TakeOver {
    Term term = 0;
    LogIndex last = 0;
    Term last_term = 0;
    MSGPACK_DEFINE(term, last, last_term)
};
struct Envelope {
    uint16_t kind = 0;
    std::string body;
    MSGPACK_DEFINE(kind, body)
};

std::string address_of(const VoterConfig& seat) { return seat.member + "/" + std::to_string(seat.disk); }

std::string member_of(const std::string& address) { return address.substr(0, address.rfind('/')); }

void* raft_copy(std::string_view bytes)
{
    void* out = raft_malloc(bytes.size() + 1);
    if (!bytes.empty()) std::memcpy(out, bytes.data(), bytes.size());
    return out;
}

std::string text_of(const raft_buffer& b) { return {static_cast<const char*>(b.base), b.len}; }

std::vector<SeatSent> seats_of(const raft_configuration& c)
{
    std::vector<SeatSent> out;
    for (unsigned i = 0; i < c.n; ++i)
        out.push_back({c.servers[i].id, c.servers[i].address, c.servers[i].role});
    return out;
}

void fill(raft_configuration& c, const std::vector<SeatSent>& seats)
{
    raft_configuration_init(&c);
    for (const auto& s : seats) raft_configuration_add(&c, s.disk, s.address.c_str(), s.role);
}

// One piece of memory for all, as the library wants it of what it did not make itself.
template <class Entries>
raft_entry* raft_entries(const Entries& entries)
{
    if (entries.empty()) return nullptr;
    size_t bytes = 1;
    for (const auto& e : entries) bytes += e.bytes.size();
    auto* batch = static_cast<char*>(raft_malloc(bytes));
    auto* out = static_cast<raft_entry*>(raft_calloc(entries.size(), sizeof(raft_entry)));
    size_t at = 0, n = 0;
    for (const auto& e : entries) {
        if (!e.bytes.empty()) std::memcpy(batch + at, e.bytes.data(), e.bytes.size());
        out[n].term = e.term;
        out[n].type = e.kind;
        out[n].buf = {batch + at, e.bytes.size()};
        out[n].batch = batch;
        at += e.bytes.size(), ++n;
    }
    return out;
}

}  // namespace

struct Voter::State {
    Store& store;
    const VoterTimes times;
    std::ranlux24_base chance;
    StateMachine& machine;
    raft core{};
    raft_io io{};
    raft_fsm fsm{};
    raft_io_tick_cb tick = nullptr;
    raft_io_recv_cb recv = nullptr;
    Point now;
    std::vector<VoterEffect> effects;
    std::deque<std::function<void()>> done;  // told to the library once its call has returned
    bool started = false, closed = false;
    VoterState told;
    std::string trouble;

    State(Store& s, VoterTimes t, uint64_t seed, StateMachine& m)
        : store(s), times(t), chance(static_cast<uint32_t>(seed ^ seed >> 32)), machine(m)
    {
    }

    static State& of(const raft_io* io) { return *static_cast<State*>(io->impl); }

    void init()
    {
        io.version = 1;
        io.impl = this;
        io.init = [](raft_io*, raft_id, const char*) { return 0; };
        io.close = [](raft_io* i, raft_io_close_cb cb) { of(i).done.emplace_back([i, cb] { cb(i); }); };
        io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snap, raft_index* start,
                     raft_entry** entries, size_t* n) {
            const PersistentState& kept = of(i).store.kept();
            *term = kept.term;
            *vote = kept.vote;
            *snap = kept.snapshot.index ? of(i).loaded() : nullptr;
            *start = kept.first;
            *n = kept.entries.size();
            *entries = raft_entries(kept.entries);
            return 0;
        };
        io.start = [](raft_io* i, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_recv) {
            of(i).tick = on_tick;
            of(i).recv = on_recv;
            return 0;
        };
        io.bootstrap = [](raft_io* i, const raft_configuration* conf) { return of(i).bootstrap(*conf); };
        io.recover = [](raft_io*, const raft_configuration*) -> int { return RAFT_INVALID; };
        io.set_term = [](raft_io* i, raft_term term) {
            of(i).store.term_is(term, 0);
            return of(i).store.sync() ? 0 : RAFT_IOERR;
        };
        io.set_vote = [](raft_io* i, raft_id vote) {
            of(i).store.term_is(of(i).store.kept().term, vote);
            return of(i).store.sync() ? 0 : RAFT_IOERR;
        };
        io.send = [](raft_io* i, raft_io_send* req, const raft_message* m, raft_io_send_cb cb) {
            of(i).send(*m);
            of(i).done.emplace_back([req, cb] {
                if (cb) cb(req, 0);
            });
            return 0;
        };
        io.append = [](raft_io* i, raft_io_append* req, const raft_entry* e, unsigned n,
                       raft_io_append_cb cb) {
            std::vector<LogEntry> entries;
            for (unsigned k = 0; k < n; ++k) entries.push_back({e[k].term, e[k].type, text_of(e[k].buf)});
            State& s = of(i);
            s.store.append(entries);
            s.done.emplace_back([&s, req, cb] { cb(req, s.store.sync() ? 0 : RAFT_IOERR); });
            return 0;
        };
        io.truncate = [](raft_io* i, raft_index from) {
            of(i).store.truncate(from);
            return of(i).store.failed() ? RAFT_IOERR : 0;
        };
        io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* req, const raft_snapshot* s,
                             raft_io_snapshot_put_cb cb) {
            Snapshot kept{s->index, s->term, pack(seats_of(s->configuration)), s->configuration_index, {}};
            for (unsigned k = 0; k < s->n_bufs; ++k) kept.bytes += text_of(s->bufs[k]);
            const bool well = of(i).store.snapshot_is(std::move(kept), trailing);
            of(i).done.emplace_back([req, cb, well] { cb(req, well ? 0 : RAFT_IOERR); });
            return 0;
        };
        io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
            State& s = of(i);
            s.done.emplace_back([&s, req, cb] { cb(req, s.loaded(), 0); });
            return 0;
        };
        io.time = [](raft_io* i) { return static_cast<raft_time>(of(i).now.us / 1000); };
        io.random = [](raft_io* i, int least, int most) {
            return std::uniform_int_distribution<int>(least, most)(of(i).chance);
        };
        fsm.version = 1;
        fsm.data = this;
        fsm.apply = [](raft_fsm* f, const raft_buffer* b, void** result) {
            auto& s = *static_cast<State*>(f->data);
            *result = nullptr;
            s.machine.apply(text_of(*b));
            s.effects.push_back(EntryCommitted{text_of(*b)});
            return 0;
        };
        fsm.snapshot = [](raft_fsm* f, raft_buffer** bufs, unsigned* n) {
            const auto bytes = static_cast<State*>(f->data)->machine.snapshot();
            *n = 1;
            *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
            (*bufs)[0] = {raft_copy(bytes), bytes.size()};
            return 0;
        };
        fsm.restore = [](raft_fsm* f, raft_buffer* b) {
            auto& s = *static_cast<State*>(f->data);
            s.machine.restore(text_of(*b));
            s.effects.push_back(SnapshotRestored{text_of(*b)});
            raft_free(b->base);
            return 0;
        };
        const StoreOwner& owner = store.owner();
        raft_init(&core, &io, &fsm, owner.disk, address_of({owner.disk, owner.member, true}).c_str());
        raft_set_election_timeout(&core, static_cast<unsigned>(times.election.us / 1000));
        raft_set_heartbeat_timeout(&core, static_cast<unsigned>(times.heartbeat.us / 1000));
        raft_set_pre_vote(&core, true);
        raft_set_snapshot_threshold(&core, snapshot_after);
        raft_set_snapshot_trailing(&core, snapshot_trailing);
    }

    raft_snapshot* loaded() const
    {
        const Snapshot& kept = store.kept().snapshot;
        auto* s = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
        s->index = kept.index;
        s->term = kept.term;
        fill(s->configuration, unpack<std::vector<SeatSent>>(kept.voters).value_or(std::vector<SeatSent>{}));
        s->configuration_index = kept.voters_index;
        s->n_bufs = 1;
        s->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        s->bufs[0] = {raft_copy(kept.bytes), kept.bytes.size()};
        return s;
    }

    int bootstrap(const raft_configuration& conf)
    {
        raft_buffer encoded{};
        if (const int error = raft_configuration_encode(&conf, &encoded)) return error;
        store.term_is(1, 0);
        store.append({{1, RAFT_CHANGE, text_of(encoded)}});
        raft_free(encoded.base);
        return store.sync() ? 0 : RAFT_IOERR;
    }

    void send(const raft_message& m)
    {
        Envelope e{m.type, {}};
        switch (m.type) {
            case RAFT_IO_REQUEST_VOTE: {
                const auto& r = m.request_vote;
                e.body = pack(VoteAsked{r.term, r.candidate_id, r.last_log_index, r.last_log_term,
                                        r.disrupt_leader, r.pre_vote});
                break;
            }
            case RAFT_IO_REQUEST_VOTE_RESULT: {
                const auto& r = m.request_vote_result;
                e.body = pack(VoteSaid{r.term, r.vote_granted, static_cast<int>(r.pre_vote)});
                break;
            }
            case RAFT_IO_APPEND_ENTRIES: {
                const auto& r = m.append_entries;
                Append a{r.term, r.prev_log_index, r.prev_log_term, r.leader_commit, {}};
                for (unsigned i = 0; i < r.n_entries; ++i)
                    a.entries.push_back({r.entries[i].term, r.entries[i].type, text_of(r.entries[i].buf)});
                e.body = pack(a);
                break;
            }
            case RAFT_IO_APPEND_ENTRIES_RESULT: {
                const auto& r = m.append_entries_result;
                e.body = pack(Appended{r.term, r.rejected, r.last_log_index});
                break;
            }
            case RAFT_IO_INSTALL_SNAPSHOT: {
                const auto& r = m.install_snapshot;
                e.body = pack(Install{r.term, r.last_index, r.last_term, seats_of(r.conf), r.conf_index,
                                      text_of(r.data)});
                break;
            }
            case RAFT_IO_TIMEOUT_NOW: {
                const auto& r = m.timeout_now;
                e.body = pack(TakeOver{r.term, r.last_log_index, r.last_log_term});
                break;
            }
            default: return;
        }
        effects.push_back(SendRaft{m.server_id, pack(e), 0});
    }

    // False: it is no message.
    bool receive(DiskId from, std::string_view bytes)
    {
        const auto e = unpack<Envelope>(bytes);
        if (!e || !recv) return false;
        std::string address = std::to_string(from);
        for (unsigned i = 0; i < core.configuration.n; ++i)
            if (core.configuration.servers[i].id == from) address = core.configuration.servers[i].address;
        raft_message m{};
        m.type = e->kind;
        m.server_id = from;
        m.server_address = address.c_str();
        switch (e->kind) {
            case RAFT_IO_REQUEST_VOTE: {
                const auto r = unpack<VoteAsked>(e->body);
                if (!r) return false;
                m.request_vote = {r->term, r->candidate, r->last, r->last_term, r->disrupt, r->pre};
                break;
            }
            case RAFT_IO_REQUEST_VOTE_RESULT: {
                const auto r = unpack<VoteSaid>(e->body);
                if (!r || r->pre < 0 || r->pre > 2) return false;
                m.request_vote_result = {r->term, r->granted, static_cast<raft_tribool>(r->pre)};
                break;
            }
            case RAFT_IO_APPEND_ENTRIES: {
                const auto r = unpack<Append>(e->body);
                if (!r) return false;
                m.append_entries = {r->term,
                                    r->before,
                                    r->before_term,
                                    r->committed,
                                    raft_entries(r->entries),
                                    static_cast<unsigned>(r->entries.size())};
                break;
            }
            case RAFT_IO_APPEND_ENTRIES_RESULT: {
                const auto r = unpack<Appended>(e->body);
                if (!r) return false;
                m.append_entries_result = {r->term, r->rejected, r->last};
                break;
            }
            case RAFT_IO_INSTALL_SNAPSHOT: {
                const auto r = unpack<Install>(e->body);
                if (!r) return false;
                m.install_snapshot.term = r->term;
                m.install_snapshot.last_index = r->last;
                m.install_snapshot.last_term = r->last_term;
                fill(m.install_snapshot.conf, r->voters);
                m.install_snapshot.conf_index = r->voters_index;
                m.install_snapshot.data = {raft_copy(r->bytes), r->bytes.size()};
                break;
            }
            case RAFT_IO_TIMEOUT_NOW: {
                const auto r = unpack<TakeOver>(e->body);
                if (!r) return false;
                m.timeout_now = {r->term, r->last, r->last_term};
                break;
            }
            default: return false;
        }
        recv(&io, &m);
        return true;
    }

    void settle()
    {
        while (!done.empty()) {
            const auto next = std::move(done.front());
            done.pop_front();
            next();
        }
    }

    VoterState standing()
    {
        VoterState s;
        s.term = core.current_term;
        s.trouble = store.failed() ? "its disk fails: " + store.error() : trouble;
        switch (raft_state(&core)) {
            case RAFT_FOLLOWER: s.role = RaftRole::follower; break;
            case RAFT_CANDIDATE: s.role = RaftRole::candidate; break;
            case RAFT_LEADER: s.role = RaftRole::leader; break;
            default:
                if (started && s.trouble.empty()) s.trouble = raft_errmsg(&core);
        }
        raft_id leader = 0;
        const char* address = nullptr;
        raft_leader(&core, &leader, &address);
        s.leader = leader;
        for (const auto& seat : seats_of(core.configuration))
            s.seats.push_back({seat.disk, member_of(seat.address), seat.role == RAFT_VOTER});
        return s;
    }
};

Voter::Voter(Store& store, VoterTimes times, uint64_t seed, StateMachine& machine)
    : state_(std::make_unique<State>(store, times, seed, machine))
{
    state_->init();
}

Voter::~Voter()
{
    State& s = *state_;
    s.core.data = &s;
    raft_close(&s.core, [](raft* r) { static_cast<State*>(r->data)->closed = true; });
    while (!s.closed && !s.done.empty()) s.settle();
}

std::vector<VoterEffect> Voter::after(Point now, const std::function<void()>& call)
{
    State& s = *state_;
    s.now = now;
    call();
    s.settle();
    if (auto standing = s.standing(); standing != s.told) {
        s.told = standing;
        s.effects.push_back(std::move(standing));
    }
    // What was sent in this turn rests on what was written in it.
    if (!s.store.sync())
        std::erase_if(s.effects, [](const VoterEffect& e) { return std::get_if<SendRaft>(&e); });
    for (VoterEffect& e : s.effects)
        if (auto* sent = std::get_if<SendRaft>(&e)) sent->writes = s.store.written();
    return std::exchange(s.effects, {});
}

bool Voter::found(const std::vector<VoterConfig>& seats)
{
    raft_configuration conf;
    raft_configuration_init(&conf);
    for (const VoterConfig& seat : seats)
        raft_configuration_add(&conf, seat.disk, address_of(seat).c_str(), RAFT_VOTER);
    const int error = raft_bootstrap(&state_->core, &conf);
    raft_configuration_close(&conf);
    return error == 0;
}

std::vector<VoterEffect> Voter::start(Point now)
{
    return after(now, [this] {
        if (raft_start(&state_->core) != 0) state_->trouble = raft_errmsg(&state_->core);
        state_->started = true;
    });
}

std::vector<VoterEffect> Voter::tick(Point now)
{
    return after(now, [this] {
        if (state_->tick) state_->tick(&state_->io);
    });
}

bool Voter::brings_log(std::string_view bytes)
{
    const auto e = unpack<Envelope>(bytes);
    return e && (e->kind == RAFT_IO_APPEND_ENTRIES || e->kind == RAFT_IO_INSTALL_SNAPSHOT);
}

std::vector<VoterEffect> Voter::receive(Point now, DiskId from, std::string_view bytes)
{
    return after(now, [&] { state_->receive(from, bytes); });
}

namespace
{

// Lives until the library has said what became of it.
template <class Request>
struct Asked {
    Request request{};
    uint64_t name = 0;
    std::vector<VoterEffect>* effects = nullptr;

    static void over(Request* r, int status)
    {
        const std::unique_ptr<Asked> self(static_cast<Asked*>(r->data));
        self->effects->push_back(
            ProposalResult{self->name, status == 0, status ? raft_strerror(status) : ""});
    }
};

}  // namespace

std::vector<VoterEffect> Voter::propose(Point now, uint64_t name, const std::string& bytes)
{
    return after(now, [&] {
        State& s = *state_;
        auto asked = std::make_unique<Asked<struct raft_apply>>();
        asked->name = name, asked->effects = &s.effects, asked->request.data = asked.get();
        const raft_buffer buffer{raft_copy(bytes), bytes.size()};
        const auto over = [](struct raft_apply* r, int status, void*) {
            Asked<struct raft_apply>::over(r, status);
        };
        if (const int error = raft_apply(&s.core, &asked->request, &buffer, 1, over)) {
            raft_free(buffer.base);
            s.effects.push_back(ProposalResult{name, false, raft_strerror(error)});
        } else {
            (void)asked.release();
        }
    });
}

std::vector<VoterEffect> Voter::add_voter(Point now, uint64_t name, const VoterConfig& seat)
{
    return after(now, [&] {
        State& s = *state_;
        bool there = false;
        for (unsigned i = 0; i < s.core.configuration.n; ++i)
            there |= s.core.configuration.servers[i].id == seat.disk;
        auto asked = std::make_unique<Asked<raft_change>>();
        asked->name = name, asked->effects = &s.effects, asked->request.data = asked.get();
        const auto over = [](raft_change* r, int status) { Asked<raft_change>::over(r, status); };
        const int error = there
                              ? raft_assign(&s.core, &asked->request, seat.disk, RAFT_VOTER, over)
                              : raft_add(&s.core, &asked->request, seat.disk, address_of(seat).c_str(), over);
        if (error) return s.effects.push_back(ProposalResult{name, false, raft_errmsg(&s.core)});
        (void)asked.release();
    });
}

std::vector<VoterEffect> Voter::remove_voter(Point now, uint64_t name, DiskId disk)
{
    return after(now, [&] {
        State& s = *state_;
        auto asked = std::make_unique<Asked<raft_change>>();
        asked->name = name, asked->effects = &s.effects, asked->request.data = asked.get();
        const auto over = [](raft_change* r, int status) { Asked<raft_change>::over(r, status); };
        if (raft_remove(&s.core, &asked->request, disk, over))
            return s.effects.push_back(ProposalResult{name, false, raft_errmsg(&s.core)});
        (void)asked.release();
    });
}

std::vector<VoterEffect> Voter::hand_over(Point now, DiskId to)
{
    return after(now, [&] {
        if (raft_state(&state_->core) != RAFT_LEADER || state_->core.transfer) return;
        auto request = std::make_unique<struct raft_transfer>();
        const auto over = [](struct raft_transfer* r) { delete r; };
        if (raft_transfer(&state_->core, request.get(), to, over) == 0) (void)request.release();
    });
}

}  // namespace firtide::fleet
