/// \file
/// The learned concurrency limits of a VM, and their exchange between VMs.
#pragma once

#include "agatedale/concurrency_limit.h"

#include <compare>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace agatedale {

/// The servers that share a learned limit. Another number of slots or another
/// version of the software begins without evidence.
struct concurrency_key {
  std::string Service;
  int Slots = 0;
  std::string Version; ///< Of the servers' software; empty if not known.

  // NOLINTNEXTLINE(modernize-use-nullptr,readability-identifier-naming)
  auto operator<=>(const concurrency_key &) const = default;
};

/// What the attempts of one VM have shown, as it is passed between VMs.
struct shared_evidence {
  concurrency_key Key;
  std::uint64_t Origin = 0;   ///< Identifies the process that measured it.
  std::uint64_t Sequence = 0; ///< Grows with every change at the origin.
  time_point AsOf{};
  std::vector<float> Numbers; ///< See occupancy_evidence::pack().
};

/// The learned limits of all services that this VM dispatches for or has heard
/// of. VMs pass on what they and others have measured, apart by origin, so that
/// nothing counts twice on whatever way it arrives. Evidence is passed on only
/// when it has changed notably.
///
///   concurrency_limits Limits = concurrency_limits::create(Origin);
///   std::shared_ptr<concurrency_limit> Limit = Limits.of({"orders", 4, "7"});
///   for (const shared_evidence &Evidence : Limits.toShare(Peer, false, Now))
///     send(Evidence);
///   Limits.learn(ReceivedEvidence, Now);
class concurrency_limits {
public:
  /// \p Origin identifies this process.
  static concurrency_limits create(std::uint64_t Origin) {
    return concurrency_limits(Origin);
  }

  /// Returns the limit of the servers described by \p Key.
  std::shared_ptr<concurrency_limit> of(const concurrency_key &Key);

  /// Applies evidence from another VM. Returns false if it is not new or not
  /// valid.
  bool learn(const shared_evidence &Evidence, time_point Now);

  /// Returns the evidence to send to \p Peer, whose process is \p Incarnation,
  /// and takes it as sent. Peers of other regions get evidence less often.
  std::vector<shared_evidence> toShare(const std::string &Peer,
                                       std::uint64_t Incarnation,
                                       bool IsOtherRegion, time_point Now);

  /// Drops evidence that no VM has renewed and limits that nobody uses.
  void removeOld(time_point Now);

  /// A limit below or equal to the slots, for metrics.
  struct learned {
    concurrency_key Key;
    int Limit = 0;
    double Samples = 0; ///< Of this VM.
  };
  std::vector<learned> all() const;

private:
  struct record {
    shared_evidence Evidence;
    time_point ChangedAt{}; ///< In this VM.
  };

  struct entry {
    std::shared_ptr<concurrency_limit> Limit;
    std::map<std::uint64_t, record> Foreign; ///< By origin.
    record Own;
    double OwnSamples = 0; ///< When it was last published.
    int OwnLimit = 0;      ///< When it was last published.
    time_point UsedAt{};
  };

  struct peer_state {
    std::uint64_t Incarnation = 0;
    time_point SentAt{};
  };

  explicit concurrency_limits(std::uint64_t Origin) : Origin(Origin) {}

  entry &entryOf(const concurrency_key &Key);
  void publishOwn(const concurrency_key &Key, entry &Entry, time_point Now);
  static void mergeForeign(entry &Entry);

  std::uint64_t Origin;
  std::map<concurrency_key, entry> Entries;
  std::map<std::string, peer_state> Peers;
};

} // namespace agatedale
