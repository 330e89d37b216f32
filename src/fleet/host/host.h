// A member on a real loop: hands the fleet its events and carries out its effects. All that it does for a
// duty passes one check here, with the clock read right before it.
//
// Used on the loop's thread.
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
    // What the balancer does for the fleet. Each may be empty.
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
        std::function<void(ApplyQuotas&)> apply_quotas;  // its points in time are of fleet_now()
    };

    // Creates or opens the member's directory; throws CannotStart where that, or the address, cannot be had.
    // `path`: of the fleet file, for errors.
    Host(event_base* base, FleetConfig config, const std::string& path, Hooks hooks);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    void start();
    // Events that come while effects are carried out wait for their turn.
    void notify(FleetEvent event);
    // Whether an effect of a duty may leave now: to be asked again for what leaves later than it was decided.
    [[nodiscard]] bool authorize(const std::string& duty, Epoch epoch, Duration duration = {}) const;

    [[nodiscard]] const FleetConfig& config() const { return config_; }
    [[nodiscard]] const Fleet& fleet() const { return fleet_; }
    [[nodiscard]] const TrafficCounts& traffic() const { return peers_.counts(); }

    // Checks the directory of a fleet file as a start would, and lets go of it.
    static void check(const FleetConfig& config, const std::string& path) { MemberDirectory(config, path); }

  private:
    void tick();
    void store_incarnation();
    void report_snapshot_errors();
    SnapshotLoaded load_snapshot();

    // Each carries out one effect.
    void on(Send& send) { peers_.send(send.to, send.message); }
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
    bool reducing_ = false;
};

}  // namespace firtide::fleet
