/// \file
/// The rollouts as a VM takes part in them.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/metrics.h"
#include "agatedale/rollout_board.h"
#include "agatedale/rollout_decider.h"
#include "agatedale/vm_directory.h"
#include "event_loop.h"
#include "fleet_snapshot.h"
#include "group_host.h"
#include "peer_transport.h"
#include "store_worker.h"

#include "gateway.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// Applies the stages of rollouts to the requests of this VM, reports what its
/// groups have counted to the decider, and decides the rollouts that this VM is
/// the decider of.
///
/// The decider of a service is the owner of the subject "rollout/SERVICE" in
/// one zone. The zones that have VMs are ordered by a hash with the service,
/// which is the same on every VM. The owner in the first zone decides; one in a
/// later zone does so only after it has heard of no confirmed stage for
/// TakeoverTime per zone before it.
///
///   Rollouts.setSnapshot(Snapshot);
///   Rollouts.tick();
///   Request.Versions = Rollouts.choose(Service, HomeRegions);
class rollout_host {
public:
  rollout_host(event_loop &Loop, const gateway_settings &Settings,
               vm_directory &Vms, store_worker &Worker, group_host &Host,
               metrics &Metrics, std::function<void()> OnStageChanged);

  /// Sets the transport for reports, which is created after the host.
  void setPeers(peer_transport &Transport) { Peers = &Transport; }

  /// Applies the orders and servers of a newer snapshot.
  void setSnapshot(std::shared_ptr<const fleet_snapshot> NewSnapshot);

  /// Applies the present stages, decides and reports.
  void tick();

  /// Chooses the version for a request of \p Service that may be served in the
  /// regions \p Homes; an empty list allows all.
  version_choice choose(const std::string &Service,
                        std::span<const std::string> Homes);

  /// Returns true if \p Server has a version that \p Choice allows.
  bool permits(const backend_server &Server, version_choice Choice) const;

  /// Adds the stages of the orders to a heartbeat, and learns those of one that
  /// a peer has sent.
  void addStages(agatedale::gateway::Heartbeat &Out) const;
  void learnStages(const agatedale::gateway::Heartbeat &In);

  /// Records a peer's report and returns the reply.
  agatedale::gateway::Heartbeat
  onReport(const agatedale::gateway::Heartbeat &Message);

private:
  /// Whether usable servers of the versions exist.
  struct version_presence {
    bool HasOld = false;
    bool HasNew = false;
  };

  struct service_rollout {
    rollout_order Order;
    time_point OrderedAt; ///< When this VM learned of the order.
    std::map<std::string, version_presence, std::less<>> ByRegion;
    std::unique_ptr<rollout_decider> Decider; ///< If this VM decides.
    std::optional<time_point> CompletedAt;    ///< When this VM learned it.
    std::uint64_t Era = 0;                    ///< Of the store at last check.
    bool IsOutcomeStored = false;
    time_point ReportedAt{};
    bool IsReporting = false;
    std::vector<std::string> Zones; ///< With VMs, in the order for deciders.
    time_point ZonesAt{};
  };

  version_presence presenceIn(const service_rollout &Rollout,
                              std::span<const std::string> Regions) const;
  bool isInForce(const service_rollout &Rollout, time_point Now) const;
  std::vector<std::string> zonesInOrder(const std::string &Service) const;
  duration silence(const service_rollout &Rollout, time_point Now) const;
  bool isDecider(const service_rollout &Rollout, time_point Now) const;
  std::optional<entry_vm> deciderOf(const service_rollout &Rollout,
                                    time_point Now) const;
  void applyShares(service_rollout &Rollout, time_point Now);
  void decide(service_rollout &Rollout, time_point Now);
  void access(const service_rollout &Rollout, const rollout_access &Access);
  void publish(service_rollout &Rollout);
  void learn(const rollout_stage &Stage, std::string_view Source);
  void report(service_rollout &Rollout, time_point Now);
  rollout_report makeReport(const service_rollout &Rollout) const;
  service_rollout *findRollout(const std::string &Service, std::uint64_t Order);

  event_loop &Loop;
  gateway_settings Settings;
  vm_directory &Vms;
  store_worker &Worker;
  group_host &Host;
  metrics &Metrics;
  std::function<void()> OnStageChanged;
  peer_transport *Peers = nullptr;
  std::shared_ptr<const fleet_snapshot> Snapshot;
  rollout_board Board;
  std::map<std::string, service_rollout> Rollouts; ///< By service.
  std::mt19937_64 Random;
};

} // namespace agatedale
