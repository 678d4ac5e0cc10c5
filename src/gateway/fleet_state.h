/// \file
/// What a gateway knows: the store's tables, and the view decoded from them.
#pragma once

#include "agatedale/gateway_settings.h"
#include "agatedale/outage_grace_period.h"
#include "agatedale/store_follower.h"
#include "agatedale/store_mirror.h"
#include "agatedale/vm_directory.h"
#include "decoded_rows.h"
#include "fleet_view.h"
#include "store_worker.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace agatedale {

/// Follows the store, by reading it or by what peers pass on, and decodes the
/// rows. The configuration's version never goes back, whatever is read.
///
///   Knowledge.tick();
///   Knowledge.applyPeerUpdate(Update);   // from a peer
///   std::shared_ptr<const fleet_view> View = Knowledge.view();
class fleet_state {
public:
  struct handlers {
    std::function<void()> OnViewChanged;   ///< The view is another one.
    std::function<void()> OnVmsChanged;    ///< The list of entry VMs changed.
    std::function<void()> OnStoreAnswered; ///< The store answered.
  };

  fleet_state(const gateway_settings &Settings, vm_directory &Vms,
              store_worker &Worker, handlers Handlers)
      : Settings(Settings), Vms(Vms), Worker(Worker),
        Handlers(std::move(Handlers)), Follower({}) {}

  /// Reads the store when that is due.
  void tick();

  /// Takes in what a peer passed on.
  void applyPeerUpdate(const table_update &Update);

  /// Returns what the store held, for peers.
  const store_mirror &mirror() const { return Mirror; }

  /// Returns the view in force, or null before the first configuration.
  std::shared_ptr<const fleet_view> view() const { return View; }

  /// Returns true if this VM's own reads fail, or the one under way is late.
  bool readsFail() const;

  /// Returns the entry VMs in the store's list.
  std::vector<entry_vm> listedVms();

  /// Returns the version of the row of \p Vm, or 0.
  std::uint64_t vmRowVersion(const std::string &Vm) const;

private:
  void onRead(const store_read &Read, const result<table_update> &Update);
  void checkStoreAge();
  void apply(const table_update &Update);
  void rebuild();
  void decodeConfigurationRow();
  std::vector<backend_server> decodeServers();
  std::vector<availability_zone> zones() const;
  void retainExpiredServers(std::map<std::string, backend_server> &Servers);

  gateway_settings Settings;
  vm_directory &Vms;
  store_worker &Worker;
  handlers Handlers;
  store_mirror Mirror;
  store_follower Follower;
  bool Reading = false;
  std::shared_ptr<const fleet_view> View;
  std::optional<configuration_parts> ActiveParts;
  std::uint64_t ActiveVersion = 0;
  std::uint64_t LastRowVersion = 0;
  std::map<std::string, backend_server> LastServers;
  decoded_rows<backend_server> ServerRows;
  decoded_rows<entry_vm> VmRows;
  bool StoreUnreachable = false; ///< What is known grows old.
  outage_grace_period GracePeriod;
  bool GracePeriodWasActive = false;
  std::optional<time_point> ReadLateAt; ///< When the read under way is late.
  bool LastReadFailed = false;
};

} // namespace agatedale
