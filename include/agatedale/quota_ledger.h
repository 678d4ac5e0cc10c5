/// \file
/// The buckets of client accounts that a VM owns.
#pragma once

#include "agatedale/quota_bucket.h"
#include "agatedale/quota_view.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace agatedale {

/// The limits of the client accounts that have one, by account.
using quota_limits = std::map<std::string, quota_limit, std::less<>>;

/// Keeps the buckets of the accounts that this VM owns, each with this VM's
/// share of the fleet's limit. A bucket whose ownership has just begun is
/// nearly empty, because the owner before may have spent what was in it, until
/// that one hands over what is left.
///
///   quota_ledger Ledger = quota_ledger::create(ExtraBurst);
///   Ledger.setLimits(Limits, View, Now);
///   auto Grant = Ledger.take("web", View.shareOf("web"), Draw, Now);
class quota_ledger {
public:
  /// Longest time that a refusal states.
  static constexpr duration MaxRefusal = std::chrono::seconds(5);
  /// Shortest time for which a VM remembers a refusal.
  static constexpr duration MinRefusal = std::chrono::milliseconds(100);

  /// A hand-over counts for an ownership that began at most this much earlier
  /// or later. Heartbeats tell within 0.3 s that a VM leaves; a longer time
  /// covers delays on busy machines. An owner of longer standing does not
  /// succeed the sender, and its own tokens have accrued meanwhile.
  static constexpr duration HandOverTime = std::chrono::seconds(2);

  struct grant {
    bool IsGranted = false;
    duration RoomIn{};  ///< Until the bucket has a token.
    duration RetryIn{}; ///< When the refused caller's turn comes.
  };

  /// \p ExtraBurst is added to the capacity of the buckets, over all owners, so
  /// that small accounts do not notice that their burst is divided.
  static quota_ledger create(double ExtraBurst) {
    return quota_ledger(ExtraBurst);
  }

  /// Sets the accounts' limits. The bucket of an account that had no limit
  /// until now begins with the burst, if this VM owns it.
  void setLimits(const quota_limits &NewLimits, const quota_view &View,
                 time_point Now);

  bool hasLimits() const { return !Limits.empty(); }
  const quota_limit *limitOf(std::string_view Account) const;

  /// Takes a token. \p Draw is uniform in [0, 1).
  grant take(const std::string &Account, const quota_share &Share, double Draw,
             time_point Now);

  /// Returns a token of a request that was not run.
  void giveBack(const std::string &Account, const quota_share &Share,
                double Tokens, double Draw, time_point Now);

  /// Returns how many tokens to borrow from other owners now, or nothing. The
  /// time between attempts that bring nothing doubles.
  std::optional<double> borrowDue(const std::string &Account,
                                  const quota_share &Share, double Draw,
                                  time_point Now);
  /// Adds tokens that another owner has lent.
  void onBorrowed(const std::string &Account, double Tokens, time_point Now);
  /// Records that an attempt has ended, with all tokens that it brought.
  void onLoanEnded(const std::string &Account, double Tokens, time_point Now);

  /// Takes tokens for another owner: at most half of what is there.
  double lend(const std::string &Account, const quota_share &Share,
              double Wanted, double Draw, time_point Now);

  /// Takes all tokens of the buckets that this VM owns and has used, to be
  /// handed to their next owners, by account.
  std::map<std::string, double> takeAll(const quota_view &View, time_point Now);

  /// Records the tokens that the owner before has left. They replace those with
  /// which the bucket begins, once for each ownership.
  void receive(const std::string &Account, double Tokens, time_point Now);

private:
  struct entry {
    quota_bucket Bucket;
    time_point OwnedSince{};
    double Initial = 0;    ///< Tokens that the bucket began with.
    time_point NextTurn{}; ///< Told to the caller that was refused last.
    time_point NextBorrowAt{};
    duration BorrowGap{};
    bool HasHandOver = false;
  };

  struct hand_over {
    double Tokens = 0;
    time_point At{};
  };

  explicit quota_ledger(double ExtraBurst) : ExtraBurst(ExtraBurst) {}

  quota_limit partOf(const quota_limit &Limit, double Fraction) const;
  static double lowLevel(const entry &Entry, double FleetRate);
  void applyHandOver(const std::string &Account, entry &Entry, time_point Now);
  entry *find(const std::string &Account, const quota_share &Share, double Draw,
              time_point Now);

  double ExtraBurst;
  bool HasConfiguration = false; ///< setLimits() was called before.
  quota_limits Limits;
  std::map<std::string, entry, std::less<>> Entries;
  /// Received before this VM knew that it is the owner, or not looked at yet.
  std::map<std::string, hand_over, std::less<>> HandOvers;
};

} // namespace agatedale
