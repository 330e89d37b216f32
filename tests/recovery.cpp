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

MemberSnapshot sample_snapshot()
{
    MemberSnapshot snapshot;
    snapshot.fleet = "edge", snapshot.member = "a", snapshot.incarnation = 7, snapshot.boot_id = "this",
    snapshot.written_at_boot_us = 5;
    snapshot.list_version = 3, snapshot.list_text = "a list", snapshot.accepted_rate = 100,
    snapshot.total_capacity = 4, snapshot.peer_count = 3;
    snapshot.reductions = {{11, 0.5F, 1'000'000}};
    snapshot.seen_epochs = {{"list", 9}, {"report", 4}};
    snapshot.open_request_ids = {"id-1"};
    return snapshot;
}

void print_snapshot_encoding()
{
    const auto encoded = encode_member_snapshot(sample_snapshot());
    const auto decoded = std::get<MemberSnapshot>(decode_member_snapshot(encoded));
    std::printf("-- the snapshot\ndecoded: list %llu, epoch %llu, open %s\n",
                static_cast<unsigned long long>(decoded.list_version),
                static_cast<unsigned long long>(decoded.seen_epochs[0].epoch),
                decoded.open_request_ids[0].c_str());
    size_t truncated_rejected = 0, flipped_rejected = 0;
    for (size_t n = 0; n < encoded.size(); ++n) {
        const auto truncated = decode_member_snapshot(std::string_view(encoded).substr(0, n));
        truncated_rejected += std::holds_alternative<SnapshotError>(truncated);
        for (int bit = 0; bit < 8; ++bit) {
            std::string damaged = encoded;
            damaged[n] = static_cast<char>(damaged[n] ^ (1 << bit));
            const auto decoded_damaged = decode_member_snapshot(damaged);
            flipped_rejected += std::holds_alternative<SnapshotError>(decoded_damaged);
        }
    }
    std::printf("truncated at every byte: %s rejected; every bit flipped: %s rejected\n",
                truncated_rejected == encoded.size() ? "all" : "NOT ALL",
                flipped_rejected == encoded.size() * 8 ? "all" : "NOT ALL");
    std::printf("trailing byte: %s\n",
                std::get<SnapshotError>(decode_member_snapshot(encoded + "x")).message.c_str());
    std::printf("of another fleet: %s; of another member: %s; its own: '%s'\n",
                check_snapshot_owner(decoded, "core", "a")->message.c_str(),
                check_snapshot_owner(decoded, "edge", "b")->message.c_str(),
                check_snapshot_owner(decoded, "edge", "a").value_or(SnapshotError{}).message.c_str());
}

FleetConfig recovery_config()
{
    FleetConfig f;
    f.name = "edge", f.id = "a";
    for (const char* id : {"a", "b", "c"}) f.members.push_back({id, key_of(id), "", "", true, 0});
    f.startup = StartupConfig{};
    f.endpoint_list = EndpointListConfig{};
    f.duties.push_back({"list", DutyKind::list, "", {}, 0});
    return f;
}

void print_restored(const char* what, SnapshotLoaded loaded)
{
    const FleetConfig f = recovery_config();
    Fleet fleet(f, 1, 1, 1);
    const TimePoint now{1'000'000};
    std::printf("%s:", what);
    const auto effects = fleet.reduce(now, std::move(loaded));
    for (const FleetEffect& e : effects)
        if (const auto* apply = std::get_if<ApplySnapshot>(&e))
            std::printf(" applied, %zu reductions;", apply->snapshot.reductions.size());
    (void)fleet.reduce(now, StartupEvent{});
    for (const FleetEffect& e : fleet.reduce(now, AdminRequest{1, "show-recovery", "", ""}))
        if (const auto* r = std::get_if<Reply>(&e))
            std::printf(" %s\n", r->text.substr(0, r->text.find('\n')).c_str());
}

void print_list_hints()
{
    const FleetConfig f = recovery_config();
    Fleet fleet(f, 1, 1, 1);
    TimePoint now{1'000'000};
    (void)fleet.reduce(now, SnapshotLoaded{sample_snapshot(), {}});
    (void)fleet.reduce(now, StartupEvent{});
    const auto apply_version = [&](uint64_t version) {
        bool applied = false;
        for (const FleetEffect& e : fleet.reduce(now, EndpointListFetched{"here", version, "list"}))
            applied = applied || std::get_if<ApplyEndpointList>(&e);
        return applied ? "applied" : "not applied";
    };
    std::printf("-- lists\nolder than the hint: %s\n", apply_version(2));
    std::printf("same version as the hint: %s\n", apply_version(3));
    Fleet later(f, 1, 1, 1);
    (void)later.reduce(now, SnapshotLoaded{sample_snapshot(), {}});
    (void)later.reduce(now, StartupEvent{});
    now = now + f.startup->stage_timeout * 4 + seconds(1);
    bool applied = false;
    for (const FleetEffect& e : later.reduce(now, EndpointListFetched{"here", 2, "list"}))
        applied = applied || std::get_if<ApplyEndpointList>(&e);
    std::printf("older than the hint, after the hint has expired: %s\n", applied ? "applied" : "NOT APPLIED");
}

void print_startup_stages()
{
    std::printf("-- stages, no other member up\n");
    StartupSequencer alone{StartupConfig{}};
    TimePoint now{1'000'000};
    alone.start(now);
    FleetState only_self{9, 1, false, 2, 0};
    alone.set_fleet_state(only_self);
    StartupStage last = StartupStage::disk;
    for (int i = 0; i < 1000; ++i, now = now + seconds(0.1)) {
        alone.tick(now, 10, 10, false);
        if (alone.stage() == last) continue;
        last = alone.stage();
        std::printf("%s at %.1f s, %s\n", to_string(last), i * 0.1, alone.is_ready() ? "ready" : "not ready");
    }
    std::printf("-- all members up, upstreams cold\n");
    StartupSequencer all_up{StartupConfig{}};
    now = TimePoint{1'000'000};
    all_up.start(now);
    all_up.set_baseline({100, 10, 9});
    all_up.set_fleet_state({9, 9, true, 2, 2});
    for (const double warm : {1.0, 5.0, 9.6}) {
        size_t most_valuable = 0, least_valuable = 0;
        // 500 requests arrive per second, of two kinds.
        for (int i = 0; i < 1000; ++i, now = now + seconds(0.01)) {
            if (i % 10 == 0) all_up.tick(now, warm, 10, true);
            for (int n = 0; n < 5; ++n)
                (n % 2 ? least_valuable : most_valuable) += all_up.try_admit(now, n % 2);
        }
        std::printf("warm %.0f %%: %s, admits %.0f per second, of the least valuable operations %s\n",
                    warm * 10, to_string(all_up.stage()),
                    static_cast<double>(most_valuable + least_valuable) / 10,
                    least_valuable * 4 < most_valuable ? "few" : "as many");
    }
    StartupSequencer third_up{StartupConfig{}};
    now = TimePoint{1'000'000};
    third_up.start(now);
    third_up.set_baseline({100, 10, 9});
    third_up.set_fleet_state({9, 3, true, 2, 2});
    size_t admitted = 0;
    for (int i = 0; i < 1000; ++i, now = now + seconds(0.01)) {
        if (i % 10 == 0) third_up.tick(now, 4, 10, true);
        for (int n = 0; n < 10; ++n) admitted += third_up.try_admit(now, 0);
    }
    std::printf(
        "six of nine balancers are down: each other admits %.0f per second at 40 %% of the capacity\n",
        static_cast<double>(admitted) / 10);
}

void print_requests_in_flight()
{
    std::printf("-- requests in flight before the restart\n");
    ServiceConfig config;
    config.settings = firtide::TracingHost::make_settings(
        firtide::TracingHost::make_operation(Idempotency::non_idempotent));
    config.settings.operations.push_back(firtide::TracingHost::make_operation(Idempotency::idempotent));
    config.operation_names = {"order", "read"};
    net::Reducer reducer(config, 1, "here:1");
    reducer.join_fleet({});
    reducer.enable_staged_startup({});
    TimePoint now{1'000'000};
    net::RequestId caller = 0;
    const auto reduce = [&](net::Event event) {
        now = now + seconds(0.01);
        return reducer.reduce(now, std::move(event));
    };
    const auto request = [&](uint32_t operation, const char* id) {
        std::string outcome = "waits";
        for (const auto& e :
             reduce(net::RequestReceived{++caller, {"POST", "/x", id, operation, 0, seconds(2), {}, ""}})) {
            if (const auto* response = std::get_if<net::SendResponse>(&e))
                outcome = "answered " + std::to_string(response->response.status);
            if (std::get_if<net::ConnectUpstream>(&e)) outcome = "forwarded";
        }
        return outcome;
    };
    reduce(net::ServiceStarted{});
    reduce(net::SnapshotRestored{sample_snapshot()});
    std::printf("with a hint of the list only: %s\n",
                (reduce(net::EndpointListRestored{{{"u", "1.1.1.1:1", EndpointPhase::ready, {}, 1, {}}}}),
                 reducer.ready() ? "READY" : "not ready yet"));
    std::printf("id that may have run, not idempotent: %s; idempotent: %s; another id: %s\n",
                request(0, "id-1").c_str(), request(1, "id-1").c_str(), request(0, "id-2").c_str());
    reduce(net::EndpointListUpdated{true, {}});
    std::printf("upstreams after an empty list: %zu\n", reducer.statistics().hosts_listed);
    reduce(net::EndpointListUpdated{true, {{"u", "1.1.1.1:1", EndpointPhase::ready, {}, 1, {}}}});
    for (int i = 0; i < 12; ++i)
        for (const auto& e : reduce(net::Tick{}))
            if (const auto* o = std::get_if<LocalObservations>(&e); o && i > 8)
                std::printf("baseline for a restart during startup: %.0f per second among %u\n",
                            o->accepted_rate, o->peer_count),
                    i = 12;
    std::printf("with a list from discovery: %s\n", reducer.ready() ? "ready" : "NOT READY");
}

}  // namespace

int main()
{
    print_snapshot_encoding();
    std::printf("-- what is restored\n");
    print_restored("no file", {});
    print_restored("damaged", {SnapshotError{"it is damaged"}, {}});
    auto other = sample_snapshot();
    other.member = "b";
    print_restored("of another member", {other, seconds(0.1)});
    print_restored("same boot", {sample_snapshot(), seconds(0.1)});
    print_restored("same boot, reductions expired", {sample_snapshot(), seconds(5)});
    print_restored("after a reboot", {sample_snapshot(), {}});
    print_list_hints();
    print_startup_stages();
    print_requests_in_flight();
}
