// Recovery after a power loss: what a snapshot stores, what of it is used after which kind of restart, and
// the order of the startup stages. No sockets.
#include "src/fleet/fleet.h"
#include "src/fleet/startup/startup_sequencer.h"
#include "src/net/reducer.h"
#include "trace.h"

using namespace firtide;
using namespace firtide::fleet;

namespace
{

MemberSnapshot some()
{
    MemberSnapshot m;
    m.fleet = "edge", m.member = "a", m.incarnation = 7, m.boot_id = "this", m.written_at_boot_us = 5;
    m.list_version = 3, m.list_text = "a list", m.accepted_rate = 100, m.total_capacity = 4, m.peer_count = 3;
    m.reductions = {{11, 0.5F, 1'000'000}};
    m.seen_epochs = {{"list", 9}, {"report", 4}};
    m.open_request_ids = {"id-1"};
    return m;
}

void files()
{
    const auto whole = encode_member_snapshot(some());
    const auto back = std::get<MemberSnapshot>(decode_member_snapshot(whole));
    std::printf("-- the snapshot\nback: list %llu, epoch %llu, open %s\n",
                static_cast<unsigned long long>(back.list_version),
                static_cast<unsigned long long>(back.seen_epochs[0].epoch), back.open_request_ids[0].c_str());
    size_t cut = 0, flipped = 0;
    for (size_t n = 0; n < whole.size(); ++n) {
        const auto shorter = decode_member_snapshot(std::string_view(whole).substr(0, n));
        cut += std::holds_alternative<SnapshotError>(shorter);
        for (int bit = 0; bit < 8; ++bit) {
            std::string other = whole;
            other[n] = static_cast<char>(other[n] ^ (1 << bit));
            const auto got = decode_member_snapshot(other);
            flipped += std::holds_alternative<SnapshotError>(got);
        }
    }
    std::printf("cut at every byte: %s refused; every bit flipped: %s refused\n",
                cut == whole.size() ? "all" : "NOT ALL", flipped == whole.size() * 8 ? "all" : "NOT ALL");
    std::printf("more behind it: %s\n",
                std::get<SnapshotError>(decode_member_snapshot(whole + "x")).message.c_str());
    std::printf("another fleet's: %s; another member's: %s; its own: '%s'\n",
                check_snapshot_owner(back, "core", "a")->message.c_str(),
                check_snapshot_owner(back, "edge", "b")->message.c_str(),
                check_snapshot_owner(back, "edge", "a").value_or(SnapshotError{}).message.c_str());
}

FleetConfig file()
{
    FleetConfig f;
    f.name = "edge", f.id = "a";
    for (const char* id : {"a", "b", "c"}) f.members.push_back({id, key_of(id), "", "", true, 0});
    f.recovery = StartupConfig{};
    f.list = EndpointListConfig{};
    f.duties.push_back({"list", DutyKind::list, "", {}, 0});
    return f;
}

void believed(const char* what, SnapshotLoaded recalled)
{
    const FleetConfig f = file();
    Fleet fleet(f, 1, 1, 1);
    const TimePoint now{1'000'000};
    std::printf("%s:", what);
    const auto effects = fleet.reduce(now, std::move(recalled));
    for (const FleetEffect& e : effects)
        if (const auto* use = std::get_if<ApplySnapshot>(&e))
            std::printf(" used, %zu reductions;", use->snapshot.reductions.size());
    (void)fleet.reduce(now, StartupEvent{});
    for (const FleetEffect& e : fleet.reduce(now, AdminRequest{1, "show-recovery", "", ""}))
        if (const auto* r = std::get_if<Reply>(&e))
            std::printf(" %s\n", r->text.substr(0, r->text.find('\n')).c_str());
}

void lists()
{
    const FleetConfig f = file();
    Fleet fleet(f, 1, 1, 1);
    TimePoint now{1'000'000};
    (void)fleet.reduce(now, SnapshotLoaded{some(), {}});
    (void)fleet.reduce(now, StartupEvent{});
    const auto takes = [&](uint64_t version) {
        bool taken = false;
        for (const FleetEffect& e : fleet.reduce(now, EndpointListFetched{"here", version, "list"}))
            taken = taken || std::get_if<ApplyEndpointList>(&e);
        return taken ? "taken" : "not taken";
    };
    std::printf("-- lists\nolder than what is remembered: %s\n", takes(2));
    std::printf("as new: %s\n", takes(3));
    Fleet later(f, 1, 1, 1);
    (void)later.reduce(now, SnapshotLoaded{some(), {}});
    (void)later.reduce(now, StartupEvent{});
    now = now + f.recovery->wait * 4 + seconds(1);
    bool taken = false;
    for (const FleetEffect& e : later.reduce(now, EndpointListFetched{"here", 2, "list"}))
        taken = taken || std::get_if<ApplyEndpointList>(&e);
    std::printf("an older one that is all there is, after a while: %s\n", taken ? "taken" : "NOT TAKEN");
}

void stages()
{
    std::printf("-- stages, alone in the world\n");
    StartupSequencer r{StartupConfig{}};
    TimePoint now{1'000'000};
    r.start(now);
    FleetState alone{9, 1, false, 2, 0};
    r.set_fleet_state(alone);
    StartupStage last = StartupStage::disk;
    for (int i = 0; i < 1000; ++i, now = now + seconds(0.1)) {
        r.tick(now, 10, 10, false);
        if (r.stage() == last) continue;
        last = r.stage();
        std::printf("%s at %.1f s, %s\n", to_string(last), i * 0.1, r.is_ready() ? "ready" : "not ready");
    }
    std::printf("-- all there, upstreams cold\n");
    StartupSequencer s{StartupConfig{}};
    now = TimePoint{1'000'000};
    s.start(now);
    s.set_baseline({100, 10, 9});
    s.set_fleet_state({9, 9, true, 2, 2});
    for (const double warm : {1.0, 5.0, 9.6}) {
        size_t admitted_share = 0, least = 0;
        // 500 requests arrive per second, of two kinds.
        for (int i = 0; i < 1000; ++i, now = now + seconds(0.01)) {
            if (i % 10 == 0) s.tick(now, warm, 10, true);
            for (int n = 0; n < 5; ++n) (n % 2 ? least : admitted_share) += s.try_admit(now, n % 2);
        }
        std::printf("warm %.0f %%: %s, admits %.0f a second, of the least valuable %s\n", warm * 10,
                    to_string(s.stage()), static_cast<double>(admitted_share + least) / 10,
                    least * 4 < admitted_share ? "few" : "as many");
    }
    StartupSequencer t{StartupConfig{}};
    now = TimePoint{1'000'000};
    t.start(now);
    t.set_baseline({100, 10, 9});
    t.set_fleet_state({9, 3, true, 2, 2});
    size_t admitted_share = 0;
    for (int i = 0; i < 1000; ++i, now = now + seconds(0.01)) {
        if (i % 10 == 0) t.tick(now, 4, 10, true);
        for (int n = 0; n < 10; ++n) admitted_share += t.try_admit(now, 0);
    }
    std::printf("six of nine did not come back: each admits %.0f a second at 40 %%\n",
                static_cast<double>(admitted_share) / 10);
}

void what_may_have_run()
{
    std::printf("-- what was in flight\n");
    ServiceConfig setup;
    setup.settings = firtide::TracingHost::make_settings(
        firtide::TracingHost::make_operation(Idempotency::non_idempotent));
    setup.settings.operations.push_back(firtide::TracingHost::make_operation(Idempotency::idempotent));
    setup.operation_names = {"order", "read"};
    net::Reducer reducer(setup, 1, "here:1");
    reducer.join_fleet({});
    reducer.enable_staged_startup({});
    TimePoint now{1'000'000};
    net::RequestId caller = 0;
    const auto tell = [&](net::Event event) {
        now = now + seconds(0.01);
        return reducer.reduce(now, std::move(event));
    };
    const auto ask = [&](uint32_t operation, const char* id) {
        std::string got = "waits";
        for (const auto& e :
             tell(net::RequestReceived{++caller, {"POST", "/x", id, operation, 0, seconds(2), {}, ""}})) {
            if (const auto* a = std::get_if<net::SendResponse>(&e))
                got = "answered " + std::to_string(a->response.status);
            if (std::get_if<net::ConnectUpstream>(&e)) got = "forwarded";
        }
        return got;
    };
    tell(net::ServiceStarted{});
    tell(net::SnapshotRestored{some()});
    std::printf("a hint of a list: %s\n",
                (tell(net::EndpointListRestored{{{"u", "1.1.1.1:1", EndpointPhase::ready, 0, 0, 1, {}}}}),
                 reducer.ready() ? "READY" : "not ready yet"));
    std::printf("an id that may have run: %s; of what may be repeated: %s; another id: %s\n",
                ask(0, "id-1").c_str(), ask(1, "id-1").c_str(), ask(0, "id-2").c_str());
    tell(net::EndpointListUpdated{true, {}});
    std::printf("an empty list leaves %zu\n", reducer.statistics().hosts_listed);
    tell(net::EndpointListUpdated{true, {{"u", "1.1.1.1:1", EndpointPhase::ready, 0, 0, 1, {}}}});
    for (int i = 0; i < 12; ++i)
        for (const auto& e : tell(net::Tick{}))
            if (const auto* o = std::get_if<LocalObservations>(&e); o && i > 8)
                std::printf("a loss in the middle: %.0f a second among %u are remembered\n", o->accepted_rate,
                            o->peer_count),
                    i = 12;
    std::printf("a list that was told: %s\n", reducer.ready() ? "ready" : "NOT READY");
}

}  // namespace

int main()
{
    files();
    std::printf("-- what is believed\n");
    believed("nothing there", {});
    believed("damaged", {SnapshotError{"it is damaged"}, {}});
    auto other = some();
    other.member = "b";
    believed("another member's", {other, seconds(0.1)});
    believed("the machine has gone on", {some(), seconds(0.1)});
    believed("for longer than its reductions", {some(), seconds(5)});
    believed("the machine was started anew", {some(), {}});
    lists();
    stages();
    what_may_have_run();
}
