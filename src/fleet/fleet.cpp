#include "fleet.h"

#include <algorithm>

namespace firtide::fleet
{

Fleet::Fleet(const FleetConfig& config, InstanceId instance, Incarnation incarnation, uint64_t seed)
    : context_(config, instance, incarnation, seed),
      random_(static_cast<uint32_t>(seed ^ seed >> 32)),
      lease_manager_(config, seed + 3),
      broadcasts_(context_),
      duties_(context_, broadcasts_),
      endpoints_(context_, broadcasts_),
      choices_(context_, instance),
      snapshots_(context_, endpoints_, choices_),
      admin_(context_, lease_manager_)
{
    lease_manager_.set_table(committed_table_);
}

std::vector<FleetEffect> Fleet::reduce(TimePoint now, FleetEvent event)
{
    context_.now = now;
    std::visit([this](auto& each) { on(each); }, event);
    collect_effects();
    return std::exchange(context_.effects, {});
}

// ---- output of the components ----

void Fleet::collect_effects()
{
    for (bool has_more = true; has_more;) {
        std::vector<OutgoingMessage> sends = context_.membership.take_sends();
        for (OutgoingMessage& send : context_.lease_client.take_sends()) sends.push_back(std::move(send));
        for (OutgoingMessage& send : lease_manager_.take_sends()) sends.push_back(std::move(send));
        has_more = deliver(std::move(sends));
        for (Proposal& proposal : lease_manager_.take_proposals())
            context_.emit(CallVoterAgent{std::move(proposal)});
        for (const LeaseChange& change : context_.lease_client.take_changes()) {
            on_lease_changed(change);
            has_more = true;
        }
        for (const HealthChange& change : context_.membership.take_health_changes())
            context_.emit(LogEvent{LogEvent::Kind::member_health,
                                   context_.config.members[change.member].id,
                                   "",
                                   change.incarnation,
                                   to_string(change.health),
                                   {}});
    }
}

// Returns true if any message was for this member itself.
bool Fleet::deliver(std::vector<OutgoingMessage> sends)
{
    bool any_for_self = false;
    for (OutgoingMessage& send : sends) {
        if (send.to != context_.self) {
            context_.emit(std::move(send));
            continue;
        }
        any_for_self = true;
        MessageReceived received{context_.self, std::move(send.message)};
        on(received);
    }
    return any_for_self;
}

void Fleet::on_lease_changed(const LeaseChange& change)
{
    const bool gained = change.kind == LeaseChange::Kind::gained;
    const auto kind = gained ? LogEvent::Kind::lease_gained : LogEvent::Kind::lease_lost;
    context_.emit(LogEvent{kind, change.duty, change.reason, change.epoch, "", change.lease_end});
    duties_.on_lease_changed(change);
    const auto duty = context_.config.duty_of(change.duty);
    if (!duty) return;
    const DutyKind duty_kind = context_.config.duties[*duty].kind;
    if (duty_kind == DutyKind::list) endpoints_.on_lease_changed(change.kind);
    if (duty_kind == DutyKind::quota_allocation && gained) choices_.on_allocator_lease_gained(change.epoch);
}

// ---- events ----

void Fleet::on(const StartupEvent&)
{
    context_.started = context_.now;
    context_.membership.start(context_.now);
    context_.lease_client.start(context_.now);
    snapshots_.start();
    endpoints_.start(uniform_random(random_));
}

void Fleet::on(const Tick&)
{
    PingPayload payload;
    payload.leader = leader_key();
    payload.term = voter_term();
    endpoints_.fill_ping_payload(payload);
    context_.membership.set_payload(payload);
    context_.membership.tick(context_.now);
    context_.lease_client.tick(context_.now);
    lease_manager_.tick(context_.now);
    endpoints_.tick();
    choices_.tick();
    snapshots_.tick();
    duties_.tick();
    report_duplicate_identity();
    admin_.tick();
}

void Fleet::report_duplicate_identity()
{
    if (!context_.membership.has_duplicate_identity() || std::exchange(reported_duplicate_, true)) return;
    context_.log(LogEvent::Kind::fault, context_.config.id, "another process has been seen under this id");
}

void Fleet::on(const ShutdownRequested&)
{
    context_.shutting_down = true;
    context_.lease_client.depart(context_.now);
    context_.membership.depart();
}

void Fleet::on(const AdminRequest& request)
{
    if (request.name == show_fleet) return context_.reply(request.caller, status(request.traffic));
    if (request.name == show_recovery) return context_.reply(request.caller, snapshots_.status());
    if (request.name == request_drain_permit) return duties_.request_drain_permit(request.caller);
    if (request.name == return_drain_permit) return duties_.return_drain_permit();
    admin_.on_request(request, leader_key());
}

void Fleet::on(const AdminDisconnected& disconnected)
{
    admin_.on_disconnected(disconnected.caller);
    duties_.on_admin_disconnected(disconnected.caller);
}

// ---- messages ----

void Fleet::on(MessageReceived& received)
{
    const MemberIndex from = received.from;
    if (from != context_.self) context_.membership.on_message(context_.now, from);
    std::visit([&](auto& message) { handle(from, message); }, received.message);
}

// Handled by the transport.
void Fleet::handle(MemberIndex /*from*/, const Hello&) {}

void Fleet::handle(MemberIndex from, const Ping& ping)
{
    context_.membership.on_ping(context_.now, from, ping);
    context_.lease_client.on_leader_hint(ping.leader, ping.term);
    endpoints_.on_ping(from, ping);
}

void Fleet::handle(MemberIndex from, const IndirectProbeRequest& request)
{
    context_.membership.on_indirect_probe(context_.now, from, request);
}

void Fleet::handle(MemberIndex /*from*/, const IndirectProbeAck& ack)
{
    context_.membership.on_indirect_ack(context_.now, ack);
}

void Fleet::handle(MemberIndex from, const MembershipUpdates& updates)
{
    context_.membership.on_updates(context_.now, from, updates);
}

void Fleet::handle(MemberIndex from, RaftMessage& message)
{
    voter_of_disk_[message.from] = from;
    context_.emit(CallVoterAgent{std::move(message)});
}

void Fleet::handle(MemberIndex from, DiskReport& report)
{
    voter_of_disk_[report.disk] = from;
    context_.emit(CallVoterAgent{DiskReportReceived{from, std::move(report)}});
}

void Fleet::handle(MemberIndex from, BootstrapConfig& config)
{
    context_.emit(CallVoterAgent{BootstrapReceived{from, std::move(config)}});
}

void Fleet::handle(MemberIndex from, const LeaseRenewRequest& request)
{
    if (lease_manager_.is_leader()) return lease_manager_.on_renew_request(context_.now, from, request);
    const LeaderRedirect redirect{leader_key(), voter_term()};
    if (from != context_.self) return context_.send(from, redirect);
    if (redirect.leader != context_.own().key)
        context_.lease_client.on_redirect(context_.now, context_.self, redirect);
}

void Fleet::handle(MemberIndex from, const LeaseRenewResponse& response)
{
    context_.lease_client.on_renew_response(context_.now, from, response);
}

void Fleet::handle(MemberIndex from, const LeaderRedirect& redirect)
{
    context_.lease_client.on_redirect(context_.now, from, redirect);
}

void Fleet::handle(MemberIndex from, const LeaseRevoke& revoke)
{
    context_.lease_client.on_revoke(context_.now, from, revoke);
}

void Fleet::handle(MemberIndex from, const LeaseRelease& release)
{
    lease_manager_.on_release(context_.now, from, release);
}

void Fleet::handle(MemberIndex from, const AdminCommand& command) { admin_.on_command(from, command); }

void Fleet::handle(MemberIndex /*from*/, const AdminCommandResult& result) { admin_.on_result(result); }

void Fleet::handle(MemberIndex from, Broadcast& broadcast)
{
    if (!broadcasts_.accept(from, broadcast)) return;
    const DutyKind kind = context_.config.duties[*context_.config.duty_of(broadcast.duty)].kind;
    if (kind == DutyKind::list) return endpoints_.on_broadcast(from, broadcast);
    if (kind != DutyKind::probe) return;
    const Duration age{std::max<int64_t>(0, broadcast.age_us)};
    context_.emit(ApplyProbeReports{broadcast.duty, std::move(broadcast.content), age});
}

void Fleet::handle(MemberIndex from, const BroadcastRequest& request)
{
    endpoints_.on_broadcast_request(from, request);
}

void Fleet::handle(MemberIndex /*from*/, const OutlierDigest& digest) { choices_.on_outlier_digest(digest); }

void Fleet::handle(MemberIndex from, const QuotaRequest& request)
{
    choices_.on_quota_request(from, request);
}

void Fleet::handle(MemberIndex /*from*/, const QuotaResponse& response)
{
    choices_.on_quota_response(response);
}

void Fleet::handle(MemberIndex from, const EndpointDelta& delta) { endpoints_.on_delta(from, delta); }

void Fleet::handle(MemberIndex from, const EndpointDeltaRequest& request)
{
    endpoints_.on_delta_request(from, request);
}

void Fleet::handle(MemberIndex from, const EndpointSnapshotChunk& chunk)
{
    endpoints_.on_snapshot_chunk(from, chunk);
}

// ---- the voter agent ----

void Fleet::on(VoterAgentReported& reported)
{
    std::visit([this](auto& effect) { handle(effect); }, reported.effect);
}

// A voter that is being added can reach only the voters that it has received messages from.
void Fleet::handle(SendRaftMessage& send)
{
    const auto receiver = voter_of_disk_.find(send.to);
    if (!voter_status_ || receiver == voter_of_disk_.end()) return;
    context_.send(receiver->second,
                  RaftMessage{voter_status_->disk, send.to, send.writes, std::move(send.bytes)});
}

void Fleet::send_to_voters(const Message& message)
{
    for (MemberIndex member = 0; member < context_.config.members.size(); ++member)
        if (member != context_.self && context_.config.members[member].is_voter)
            context_.send(member, message);
}

void Fleet::handle(const BroadcastDiskReport& broadcast) { send_to_voters(broadcast.report); }

void Fleet::handle(const BroadcastBootstrapConfig& broadcast) { send_to_voters(broadcast.config); }

void Fleet::handle(LeaseTableUpdated& updated) { committed_table_ = std::move(updated.table); }

void Fleet::handle(const ProposalResult& result)
{
    if (!admin_.on_proposal_result(result))
        lease_manager_.on_proposal_result(committed_table_, result.id, result.committed);
}

void Fleet::handle(VoterStatus& status)
{
    const auto last_fault = voter_status_ ? voter_status_->fault : std::nullopt;
    const bool was_leader = lease_manager_.is_leader();
    const Term last_term = voter_term();
    if (status.fault != last_fault)
        context_.log(LogEvent::Kind::voter_fault, to_string(status.stage),
                     status.fault ? status.fault->text : "");
    voter_status_ = std::move(status);
    update_leadership(was_leader, last_term);
    context_.lease_client.on_leader_hint(leader_key(), voter_term());
}

void Fleet::handle(const DiskChecked& checked)
{
    std::string text = std::string("the file is ") + to_string(checked.file) + ", " +
                       std::to_string(checked.writes) + " writes";
    for (const DiskWitness& witness : checked.witnesses)
        text += "; " + context_.config.members[witness.member].id + " has seen " +
                std::to_string(witness.seen_writes) + ", reported " + std::to_string(witness.age.us / 1000) +
                " ms ago";
    context_.log(LogEvent::Kind::disk_checked, checked.accepted ? "accepted" : "rejected", std::move(text));
}

void Fleet::update_leadership(bool was_leader, Term last_term)
{
    const Term term = voter_term();
    if (voter_status_->raft.role != RaftRole::leader) {
        lease_manager_.on_stepped_down();
    } else if (!was_leader || term != last_term) {
        lease_manager_.on_stepped_down();
        lease_manager_.on_elected(context_.now, term);
    }
    if (was_leader == lease_manager_.is_leader()) return;
    const auto kind = was_leader ? LogEvent::Kind::stepped_down : LogEvent::Kind::elected;
    context_.emit(LogEvent{kind, context_.config.id, "", term, "", {}});
}

// Returns zero if this member's voter knows no leader.
MemberKey Fleet::leader_key() const
{
    if (!voter_status_ || voter_status_->stage != VoterStage::voting || !voter_status_->raft.leader) return 0;
    for (const VoterConfig& voter : voter_status_->raft.voters)
        if (voter.disk == voter_status_->raft.leader) return key_of(voter.member);
    return 0;
}

// ---- show-fleet ----

std::string Fleet::status(const std::optional<TrafficCounts>& traffic) const
{
    std::string text = own_status();
    if (traffic) text += to_string(*traffic);
    for (MemberIndex member = 0; member < context_.config.members.size(); ++member)
        text += member_status(member);
    for (const Duty& duty : context_.config.duties) text += duty_status(duty);
    return text + endpoints_.status() + choices_.status() + "EOT\n";
}

std::string Fleet::own_status() const
{
    const LeaseClient& leases = context_.lease_client;
    const bool has_majority = leases.is_lease_valid(context_.now);
    MemberKey leader = leader_key();
    if (!leader && has_majority && leases.leader()) leader = context_.config.members[*leases.leader()].key;
    const auto leader_member = leader ? context_.config.member_of(leader) : std::nullopt;
    const Term term = std::max(leases.term(), voter_term());
    std::string text = "me " + context_.config.id + " incarnation " + std::to_string(incarnation()) +
                       " term " + std::to_string(term) + " leader " +
                       (leader_member ? context_.config.members[*leader_member].id : "none") + " majority " +
                       (has_majority ? "yes" : "no");
    if (voter_status_) text += std::string(" voter ") + to_string(voter_status_->stage);
    if (voter_status_ && voter_status_->fault) text += " trouble: " + voter_status_->fault->text;
    return text + "\n";
}

std::string Fleet::member_status(MemberIndex member) const
{
    const MemberState& state = context_.membership.state_of(member);
    const MemberConfig& config = context_.config.members[member];
    // A member that was never heard of is shown as gone, whatever its state says.
    const bool was_heard_of = state.incarnation || member == context_.self;
    const Health health = was_heard_of ? state.health : Health::gone;
    return "member " + config.id + " " + to_string(health) + " zone " +
           (config.zone.empty() ? "-" : config.zone) + " incarnation " + std::to_string(state.incarnation) +
           (config.is_voter ? " votes" : "") + "\n";
}

std::string Fleet::duty_status(const Duty& duty) const
{
    const auto entry = context_.lease_client.table().entry(duty.name);
    const auto own_epoch = context_.held_epoch(duty.name);
    const auto holder = entry.holder ? context_.config.member_of(entry.holder) : std::nullopt;
    const std::string name = own_epoch ? context_.config.id
                             : holder  ? context_.config.members[*holder].id
                                       : "none";
    const int64_t left_ms = own_epoch ? context_.lease_client.time_left(context_.now).us / 1000 : 0;
    return "duty " + duty.name + " holder " + name + " epoch " +
           std::to_string(own_epoch.value_or(entry.epoch)) + " left_ms " + std::to_string(left_ms) +
           (own_epoch ? " mine" : "") + "\n";
}

}  // namespace firtide::fleet
