/// \file
/// The way of a request from its arrival to its answer.
#pragma once

#include "agatedale/group_selector.h"
#include "agatedale/link_token_bucket.h"
#include "agatedale/metrics.h"
#include "agatedale/retry_budget.h"
#include "agatedale/settings.h"
#include "control.h"
#include "owned_subjects.h"
#include "peer_link.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace agatedale {

/// A request with the route that it takes and the key that it carries.
struct routed_request {
  node_request Request;
  const route *Route = nullptr;
  std::string Service;
  std::string Key; ///< Empty when there is none.
  std::vector<std::string> Homes;
};

/// Takes requests from callers and peers to an owner and back: home regions,
/// idempotency keys, the choice of a server group, and what may be sent again.
///
///   node_answer Answer = Path.serve(Routed, Writer);
class request_path {
public:
  request_path(const settings &Settings, control &Control,
               owned_subjects &Owned, peer_links &Links, metrics &Metrics,
               event_log &Events);

  /// Takes over a newer view of the fleet.
  void setView(std::shared_ptr<const routing_view> NewView);
  std::shared_ptr<const routing_view> view() const;

  /// Finds route, account and homes of a request that a caller sent. A refusal
  /// is returned as an error's place-holder in \p Refusal.
  std::optional<routed_request> route(node_request Request,
                                      const routing_view &View,
                                      refusal_reason &Refusal) const;

  /// Serves a request of a caller, here or in a home region.
  node_answer serve(routed_request &Routed, const answer_writer &Writer);

  /// Serves a request that a peer handed over: for a group of this node, or,
  /// when \p Group is empty, from another region.
  node_answer servePeer(node_request Request, const std::string &Group,
                        const answer_writer &Writer);

  /// Claims or settles a key on behalf of a peer.
  claim_outcome claimHere(const std::string &Partition, const key_claim &Claim,
                          time_point Deadline);
  void settleHere(const std::string &Partition,
                  const key_settlement &Settlement);

  /// Requests of callers and peers that are being served.
  int inProgress() const { return InProgress.load(); }

  /// Bytes sent to other regions, by class of traffic.
  std::array<link_token_bucket::traffic_counters, 3> linkCounts() const;

private:
  node_answer serveAtHome(routed_request &Routed, const answer_writer &Writer);
  node_answer sendHome(routed_request &Routed, const routing_view &View,
                       const answer_writer &Writer);
  node_answer serveKeyed(routed_request &Routed, const answer_writer &Writer);
  node_answer dispatch(const node_request &Request, const std::string &Service,
                       const answer_writer &Writer);
  std::vector<group_id> usableGroups(const routing_view &Seen,
                                     const std::string &Service) const;
  group_id chooseGroup(const std::vector<group_id> &Groups,
                       const std::optional<group_id> &Except);
  void noteAnswer(const group_id &Group, const node_answer &Answer);
  node_answer dispatchOnce(const node_request &Request, const group_id &Group,
                           const routing_view &View,
                           const answer_writer &Writer);
  bool mayTryAgain(const node_answer &Answer, const node_request &Request,
                   bool BodyUsed);
  claim_outcome claim(const std::string &Partition, const key_claim &Claim,
                      time_point Deadline);
  void settle(const std::string &Partition, const key_settlement &Settlement);
  std::optional<entry_vm> ownerOf(const std::string &Subject) const;
  bool takeLink(traffic_class Class, std::int64_t Bytes);
  body_reader throttled(body_reader Reader, time_point Deadline);
  claim_id drawClaim();

  settings Settings;
  control &Control;
  owned_subjects &Owned;
  peer_links &Links;
  metrics &Metrics;
  event_log &Events;
  mutable std::mutex ViewLock;
  std::shared_ptr<const routing_view> View;
  mutable std::mutex SelectorLock;
  group_selector Selector;
  std::mutex BudgetLock;
  retry_budget Budget;
  mutable std::mutex LinkLock;
  link_token_bucket Link;
  std::mutex RandomLock;
  std::mt19937_64 Random;
  std::atomic<int> InProgress{0};
};

} // namespace agatedale
