#include "voter.h"

#include "raft_environment.h"

namespace firtide::fleet
{
namespace
{

constexpr unsigned snapshot_threshold = 512;  // entries after which the log is compacted
constexpr unsigned snapshot_trailing = 64;    // entries kept before a snapshot for followers that lag behind
constexpr int64_t microseconds_per_millisecond = 1000;

std::string address_of(const VoterConfig& voter) { return voter.member + "/" + std::to_string(voter.disk); }

std::string member_of(const std::string& address) { return address.substr(0, address.rfind('/')); }

unsigned milliseconds_of(Duration span)
{
    return static_cast<unsigned>(span.us / microseconds_per_millisecond);
}

RaftRole role_of(unsigned state)
{
    switch (state) {
        case RAFT_FOLLOWER: return RaftRole::follower;
        case RAFT_CANDIDATE: return RaftRole::candidate;
        case RAFT_LEADER: return RaftRole::leader;
        default: return RaftRole::none;
    }
}

// A request to libraft; it lives until libraft calls complete().
template <class Request>
struct PendingRequest {
    Request request{};
    uint64_t id = 0;
    std::vector<VoterEffect>* effects = nullptr;

    PendingRequest(uint64_t request_id, std::vector<VoterEffect>& into) : id(request_id), effects(&into)
    {
        request.data = this;
    }

    static void complete(Request* request, int status)
    {
        const std::unique_ptr<PendingRequest> self(static_cast<PendingRequest*>(request->data));
        self->effects->push_back(ProposalResult{self->id, status == 0, status ? raft_strerror(status) : ""});
    }
};

using PendingApply = PendingRequest<struct raft_apply>;
using PendingChange = PendingRequest<raft_change>;

}  // namespace

struct Voter::Core {
    Store& store;
    StateMachine& machine;
    std::vector<VoterEffect> effects;
    RaftEnvironment environment;
    raft_fsm fsm{};
    raft library{};
    bool started = false, closed = false;
    std::optional<VoterFault> start_fault;
    VoterState reported;

    Core(Store& to_store, VoterTiming timing, uint64_t seed, StateMachine& applied_to)
        : store(to_store), machine(applied_to), environment(to_store, effects, seed)
    {
        fsm.version = 1;
        fsm.data = this;
        fsm.apply = &Core::apply;
        fsm.snapshot = &Core::snapshot;
        fsm.restore = &Core::restore;
        const StoreOwner& owner = store.owner();
        const std::string address = address_of({owner.disk, owner.member, true});
        raft_init(&library, environment.io(), &fsm, owner.disk, address.c_str());
        raft_set_election_timeout(&library, milliseconds_of(timing.election_timeout));
        raft_set_heartbeat_timeout(&library, milliseconds_of(timing.heartbeat_interval));
        raft_set_pre_vote(&library, true);
        raft_set_snapshot_threshold(&library, snapshot_threshold);
        raft_set_snapshot_trailing(&library, snapshot_trailing);
    }

    ~Core()
    {
        library.data = this;
        raft_close(&library, [](raft* closing) { static_cast<Core*>(closing->data)->closed = true; });
        while (!closed && environment.has_completions()) environment.run_completions();
    }

    Core(const Core&) = delete;
    Core& operator=(const Core&) = delete;

    // ---- raft_fsm callbacks ----

    static int apply(raft_fsm* fsm, const raft_buffer* entry, void** result)
    {
        auto& self = *static_cast<Core*>(fsm->data);
        *result = nullptr;
        const std::string bytes = raft_library::to_string(*entry);
        self.machine.apply(bytes);
        self.effects.emplace_back(EntryCommitted{bytes});
        return 0;
    }

    static int snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count)
    {
        *count = 1;
        *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
        (*buffers)[0] = raft_library::copy_buffer(static_cast<Core*>(fsm->data)->machine.snapshot());
        return 0;
    }

    static int restore(raft_fsm* fsm, raft_buffer* buffer)
    {
        auto& self = *static_cast<Core*>(fsm->data);
        const std::string bytes = raft_library::to_string(*buffer);
        self.machine.restore(bytes);
        self.effects.emplace_back(StateRestored{bytes});
        raft_free(buffer->base);
        return 0;
    }

    // ---- state ----

    std::optional<VoterFault> fault()
    {
        if (store.failed()) return VoterFault{"its disk fails: " + store.error()->text()};
        if (start_fault) return start_fault;
        if (started && role_of(raft_state(&library)) == RaftRole::none)
            return VoterFault{raft_errmsg(&library)};
        return {};
    }

    VoterState state()
    {
        VoterState state;
        state.term = library.current_term;
        state.role = role_of(raft_state(&library));
        state.fault = fault();
        raft_id leader = 0;
        const char* address = nullptr;
        raft_leader(&library, &leader, &address);
        state.leader = leader;
        for (const RaftServer& server : raft_library::servers_of(library.configuration))
            state.voters.push_back({server.disk, member_of(server.address), server.role == RAFT_VOTER});
        return state;
    }

    bool in_configuration(DiskId disk) const
    {
        for (unsigned i = 0; i < library.configuration.n; ++i)
            if (library.configuration.servers[i].id == disk) return true;
        return false;
    }

    // libraft owns an accepted request until it completes; a rejected one is reported as failed.
    void release_or_fail(std::unique_ptr<PendingChange> request, int error)
    {
        if (error)
            effects.emplace_back(ProposalResult{request->id, false, raft_errmsg(&library)});
        else
            (void)request.release();
    }
};

Voter::Voter(Store& store, VoterTiming timing, uint64_t seed, StateMachine& machine)
    : core_(std::make_unique<Core>(store, timing, seed, machine))
{
}

Voter::~Voter() = default;

std::vector<VoterEffect> Voter::run(TimePoint now, const std::function<void()>& call)
{
    Core& core = *core_;
    core.environment.set_now(now);
    call();
    core.environment.run_completions();
    if (auto state = core.state(); state != core.reported) {
        core.reported = state;
        core.effects.emplace_back(std::move(state));
    }
    // Messages may depend on anything that has been written, so they are only sent once that is synced.
    if (!core.store.sync())
        std::erase_if(core.effects,
                      [](const VoterEffect& effect) { return std::get_if<SendRaftMessage>(&effect); });
    for (VoterEffect& effect : core.effects)
        if (auto* sent = std::get_if<SendRaftMessage>(&effect)) sent->writes = core.store.synced_writes();
    return std::exchange(core.effects, {});
}

bool Voter::bootstrap(const std::vector<VoterConfig>& voters)
{
    raft_configuration configuration;
    raft_configuration_init(&configuration);
    for (const VoterConfig& voter : voters)
        raft_configuration_add(&configuration, voter.disk, address_of(voter).c_str(), RAFT_VOTER);
    const int error = raft_bootstrap(&core_->library, &configuration);
    raft_configuration_close(&configuration);
    return error == 0;
}

std::vector<VoterEffect> Voter::start(TimePoint now)
{
    return run(now, [this] {
        if (raft_start(&core_->library) != 0) core_->start_fault = VoterFault{raft_errmsg(&core_->library)};
        core_->started = true;
    });
}

std::vector<VoterEffect> Voter::tick(TimePoint now)
{
    return run(now, [this] { core_->environment.tick(); });
}

std::vector<VoterEffect> Voter::receive(TimePoint now, DiskId from, std::string_view bytes)
{
    return run(now, [&] { core_->environment.receive(core_->library.configuration, from, bytes); });
}

std::vector<VoterEffect> Voter::propose(TimePoint now, uint64_t id, const std::string& bytes)
{
    return run(now, [&] {
        auto request = std::make_unique<PendingApply>(id, core_->effects);
        const raft_buffer buffer = raft_library::copy_buffer(bytes);
        const auto complete = [](struct raft_apply* applied, int status, void*) {
            PendingApply::complete(applied, status);
        };
        if (const int error = raft_apply(&core_->library, &request->request, &buffer, 1, complete)) {
            raft_free(buffer.base);
            core_->effects.emplace_back(ProposalResult{id, false, raft_strerror(error)});
            return;
        }
        (void)request.release();  // owned by libraft until it completes
    });
}

std::vector<VoterEffect> Voter::add_voter(TimePoint now, uint64_t id, const VoterConfig& voter)
{
    return run(now, [&] {
        auto request = std::make_unique<PendingChange>(id, core_->effects);
        raft* library = &core_->library;
        const int error =
            core_->in_configuration(voter.disk)
                ? raft_assign(library, &request->request, voter.disk, RAFT_VOTER, &PendingChange::complete)
                : raft_add(library, &request->request, voter.disk, address_of(voter).c_str(),
                           &PendingChange::complete);
        core_->release_or_fail(std::move(request), error);
    });
}

std::vector<VoterEffect> Voter::remove_voter(TimePoint now, uint64_t id, DiskId disk)
{
    return run(now, [&] {
        auto request = std::make_unique<PendingChange>(id, core_->effects);
        const int error = raft_remove(&core_->library, &request->request, disk, &PendingChange::complete);
        core_->release_or_fail(std::move(request), error);
    });
}

std::vector<VoterEffect> Voter::step_down(TimePoint now)
{
    return run(now, [&] {
        raft* library = &core_->library;
        if (raft_state(library) != RAFT_LEADER || library->transfer) return;
        constexpr raft_id any_voter = 0;
        auto request = std::make_unique<struct raft_transfer>();
        const auto complete = [](struct raft_transfer* transferred) {
            const std::unique_ptr<struct raft_transfer> completed(transferred);
        };
        if (raft_transfer(library, request.get(), any_voter, complete) == 0) (void)request.release();
    });
}

}  // namespace firtide::fleet
