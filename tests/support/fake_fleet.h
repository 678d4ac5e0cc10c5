/// \file
/// A few entry VMs around the lease core, joined by a fake network.
#pragma once

#include "agatedale/lease.h"
#include "agatedale/roster.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace agatedale {

/// Voters and holders of one region with messages that are delayed, lost or
/// cut, processes that pause, restart or end, and a store that can be down.
/// Time is stepped by the test; it keeps the real rule of the product: a node
/// sends only while its own clock says that it owns the subject.
class fake_fleet {
public:
  static constexpr duration Lease = std::chrono::milliseconds(1500);
  static constexpr duration Step = std::chrono::milliseconds(10);

  fake_fleet(int Count, std::uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < Count; ++I)
      start("vm" + std::to_string(I));
    Stored.Epoch = 1;
    for (const auto &[Name, Node] : Nodes)
      Stored.Voters.push_back(Node.Id);
    for (auto &[Name, Node] : Nodes)
      learn(Node, Stored);
  }

  struct node {
    vm_id Id;
    lease_voter Voter;
    lease_holder Holder;
    termination_tracker Terminations;
    roster_adoption Adoption;
    roster Roster;
    time_point PausedUntil{};
    time_point SentAt{};
    bool Wants = false;
    bool OwnsInOwnEyes = false;
  };

  void start(const std::string &Name) {
    const vm_id Id{Name, ++Incarnations};
    Nodes.insert_or_assign(
        Name, node{Id,
                   lease_voter::create(Lease),
                   lease_holder::create(Id, lease_settings{}, Incarnations),
                   termination_tracker::create(Lease),
                   {},
                   {},
                   {},
                   {},
                   false,
                   false});
    Listed.insert(Name);
  }

  void kill(const std::string &Name) { Nodes.erase(Name); }
  void unlist(const std::string &Name) { Listed.erase(Name); }
  void pause(const std::string &Name, duration Length) {
    Nodes.at(Name).PausedUntil = Now + Length;
  }
  void want(const std::string &Name, bool Wants) {
    Nodes.at(Name).Wants = Wants;
  }

  /// Messages from \p From to \p To are lost while \p Cut holds.
  void cut(const std::string &From, const std::string &To, bool Cut) {
    if (Cut)
      Cuts.insert({From, To});
    else
      Cuts.erase({From, To});
  }

  void setStoreDown(bool Down) { StoreDown = Down; }
  void setLossPercent(unsigned Percent) { LossPercent = Percent; }

  /// Lets \p Length pass.
  void run(duration Length) {
    for (const time_point End = Now + Length; Now < End; Now += Step) {
      deliver();
      for (auto &[Name, Node] : Nodes) {
        if (Now >= Node.PausedUntil)
          act(Node);
      }
      stepStore();
      observe();
    }
  }

  /// Returns the nodes that may send for the subject now, by their own clocks.
  std::set<std::string> owners() const {
    std::set<std::string> Owners;
    for (const auto &[Name, Node] : Nodes) {
      const bool Owns =
          Now < Node.Holder.ownedUntil(Subject, Node.Terminations, Now);
      if (Owns)
        Owners.insert(Name);
    }
    return Owners;
  }

  std::size_t mostOwners() const { return MostOwners; }
  const roster &stored() const { return Stored; }
  std::map<std::string, node> &nodes() { return Nodes; }
  time_point now() const { return Now; }

private:
  struct message {
    time_point At;
    std::function<void()> Deliver;
  };

  void learn(node &Node, const roster &Roster) {
    if (Roster.Epoch <= Node.Roster.Epoch)
      return;
    Node.Roster = Roster;
    Node.Holder.setRoster(Roster, Node.Terminations, Now);
    Node.Voter.setEpoch(Roster.Epoch);
  }

  void send(const std::string &From, const std::string &To,
            std::function<void()> Deliver) {
    const bool Lost = Cuts.contains({From, To}) || Random() % 100 < LossPercent;
    if (Lost)
      return;
    const auto Delay = std::chrono::milliseconds(Random() % 40);
    Messages.push_back({Now + Delay, std::move(Deliver)});
  }

  void deliver() {
    std::vector<message> Due;
    std::erase_if(Messages, [&](message &Message) {
      const bool IsDue = Message.At <= Now;
      if (IsDue)
        Due.push_back(std::move(Message));
      return IsDue;
    });
    for (const message &Message : Due)
      Message.Deliver();
  }

  void act(node &Node) {
    const std::set<lease_subject> Wanted =
        Node.Wants ? std::set<lease_subject>{Subject}
                   : std::set<lease_subject>{};
    Node.Holder.setDesiredSubjects(Wanted, Now);
    Node.Terminations.onVmList(
        std::vector<std::string>(Listed.begin(), Listed.end()), Now);
    Node.Adoption.recordEpoch(Node.Id, Node.Voter.epoch(), Now);
    for (addressed_lease_request &Out :
         Node.Holder.poll(Node.Terminations, Now))
      ask(Node, Out);
  }

  void ask(node &Node, const addressed_lease_request &Out) {
    const std::string Asker = Node.Id.Name;
    const vm_id AskerId = Node.Id;
    const roster Roster = Node.Roster;
    const time_point AskedAt = Now;
    send(Asker, Out.Voter.Name, [this, Asker, AskerId, Out, Roster, AskedAt] {
      const auto Voter = Nodes.find(Out.Voter.Name);
      const bool Gone = Voter == Nodes.end() || Voter->second.Id != Out.Voter;
      if (Gone || Now < Voter->second.PausedUntil)
        return;
      learn(Voter->second, Roster);
      const lease_reply Reply =
          Voter->second.Voter.handleRequest(Out.Request, Now);
      const roster Known = Voter->second.Roster;
      send(Out.Voter.Name, Asker, [=, this] {
        const auto Back = Nodes.find(Asker);
        const bool Lost = Back == Nodes.end() || Back->second.Id != AskerId;
        if (Lost)
          return;
        // A paused process reads its answers when it wakes.
        learn(Back->second, Known);
        Back->second.Holder.onReply(Out.Voter, Reply, AskedAt);
        Back->second.Adoption.recordEpoch(Out.Voter, Reply.Epoch, Now);
      });
    });
  }

  void stepStore() {
    if (StoreDown || Random() % 20)
      return;
    for (auto &[Name, Node] : Nodes) {
      if (Now < Node.PausedUntil)
        continue;
      learn(Node, Stored);
      std::vector<entry_vm> Live;
      for (const auto &[Other, Known] : Nodes)
        Live.push_back({Known.Id, "", "a", "r", true, false});
      const auto Next = nextRoster(Node.Roster, Live, Node.Adoption,
                                   Node.Terminations, Lease, Now);
      const bool Wins = Next && Next->Epoch == Stored.Epoch + 1;
      if (Wins)
        Stored = *Next;
    }
  }

  void observe() {
    const std::set<std::string> Owners = owners();
    MostOwners = std::max(MostOwners, Owners.size());
  }

  static inline const lease_subject Subject = "orders/a/0";

  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  std::uint64_t Incarnations = 0;
  std::map<std::string, node> Nodes;
  std::set<std::string> Listed;
  std::set<std::pair<std::string, std::string>> Cuts;
  std::vector<message> Messages;
  roster Stored;
  bool StoreDown = false;
  unsigned LossPercent = 0;
  std::size_t MostOwners = 0;
};

} // namespace agatedale
