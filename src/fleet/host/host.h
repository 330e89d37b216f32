// Runs a member on an event loop: passes events to the fleet and executes its effects. Each effect of a duty
// passes one lease check here, with the clock read right before it.
//
// Must be used on the loop's thread.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "fleet_clock.h"
#include "member_directory.h"
#include "snapshot_writer.h"
#include "src/fleet/fleet.h"
#include "src/fleet/transport/duty_notifier.h"
#include "src/fleet/transport/peers.h"
#include "voter_agent_thread.h"

namespace firtide::fleet
{

class Host
{
  public:
    // Callbacks into the balancer. Each may be empty.
    struct Hooks {
        std::function<void(uint64_t caller, const std::string& text)> reply;
        std::function<void(bool on)> set_discovery_polling;
        std::function<void(const ApplyEndpointList&)> apply_endpoint_list;
        std::function<void(const StartProbes&, const std::string& duty, Epoch epoch)> start_probes;
        std::function<void(const ApplyProbeReports&)> apply_probe_reports;
        std::function<void()> start_drain, end_drain;
        std::function<void(ApplySubsetPeers&)> apply_subset_peers;
        std::function<void(ApplyOutlierReports&)> apply_outlier_reports;
        std::function<void(ApplySnapshot&)> apply_snapshot;
        std::function<void(const ApplyFleetState&)> apply_fleet_state;
        std::function<void(ApplyQuotas&)> apply_quotas;  // its time points are of fleet_now()
    };

    // Creates or opens the member's directory. Throws CannotStart if that is impossible, std::runtime_error
    // if it cannot listen on its address. `path`: of the fleet file, for error messages.
    Host(event_base* base, FleetConfig config, const std::string& path, Hooks hooks);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    void start();
    // Events that arrive while effects are executed are queued.
    void notify(FleetEvent event);
    // Whether an effect of a duty may be executed now. Must be called again for effects that are executed
    // later.
    [[nodiscard]] bool authorize(const std::string& duty, Epoch epoch, Duration duration = {}) const;

    [[nodiscard]] const FleetConfig& config() const { return config_; }
    [[nodiscard]] const Fleet& fleet() const { return fleet_; }
    [[nodiscard]] const TrafficCounts& traffic() const { return peers_.counts(); }

    // Checks the member's directory as a start would, and releases it.
    static void check(const FleetConfig& config, const std::string& path) { MemberDirectory(config, path); }

  private:
    void tick();
    void store_incarnation();
    void report_snapshot_errors();
    SnapshotLoaded load_snapshot();

    // Each executes one effect.
    void on(OutgoingMessage& send) { peers_.send(send.to, send.message); }
    void on(CallVoterAgent& call);
    void on(LeasedEffect& effect);
    void on(EndDrain& end);
    void on(SetDiscoveryPolling& polling);
    void on(ApplyEndpointList& list);
    void on(ApplyProbeReports& reports);
    void on(Reply& reply);
    void on(LogEvent& event);
    void on(ApplySubsetPeers& peers);
    void on(ApplyOutlierReports& reports);
    void on(ApplyQuotas& quotas);
    void on(ApplySnapshot& snapshot);
    void on(ApplyFleetState& state);
    void on(WriteSnapshot& write);
    void notify_subscriber(const LeasedEffect& effect, const NotifySubscriber& notification);

    event_base* base_;
    const FleetConfig config_;
    Hooks hooks_;
    MemberDirectory directory_;
    const InstanceId instance_;
    Fleet fleet_;
    Peers peers_;
    DutyNotifier duty_notifier_;
    std::unique_ptr<VoterAgentThread> voter_agent_;
    std::unique_ptr<SnapshotWriter> snapshot_writer_;
    std::error_code reported_snapshot_error_;
    EventPtr tick_timer_;
    std::deque<FleetEvent> events_;
    bool is_processing_ = false;
};

}  // namespace firtide::fleet
