/// \file
/// Shares of accounts in a limited amount.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace agatedale {

/// Who a share belongs to: an account, or a connection that has none.
struct share_holder {
  std::string Account;
  std::uint64_t Connection = 0; ///< Zero if it has an account.

  bool operator==(const share_holder &) const = default;
  bool operator<(const share_holder &Other) const {
    return std::tie(Account, Connection) <
           std::tie(Other.Account, Other.Connection);
  }
};

/// Divides a limit, such as bytes or connections, between those that use some
/// of it (max-min fairness): nobody gets more than it uses, and what small ones
/// leave is divided equally between the others. One may use more while there is
/// room. When there is none, those above their share give way.
///
///   account_shares Shares(LimitBytes);
///   Shares.add({"small"}, 1000);
///   if (Shares.exceedsShare({"small"}, 500)) refuse();
class account_shares {
public:
  explicit account_shares(std::size_t Limit) : Limit(Limit) {}

  void setLimit(std::size_t NewLimit) { Limit = NewLimit; }

  void add(const share_holder &Holder, std::size_t Amount) {
    if (Amount > 0)
      Used[Holder] += Amount;
  }

  void remove(const share_holder &Holder, std::size_t Amount) {
    const auto Found = Used.find(Holder);
    if (Found == Used.end())
      return;
    Found->second -= std::min(Found->second, Amount);
    if (Found->second == 0)
      Used.erase(Found);
  }

  std::size_t usedBy(const share_holder &Holder) const {
    const auto Found = Used.find(Holder);
    return Found == Used.end() ? 0 : Found->second;
  }

  /// Returns what everyone may use at most if \p Holder used \p More.
  std::size_t shareWith(const share_holder &Holder, std::size_t More) const {
    std::vector<std::size_t> Amounts{usedBy(Holder) + More};
    for (const auto &[Other, Amount] : Used) {
      if (Other != Holder)
        Amounts.push_back(Amount);
    }
    std::sort(Amounts.begin(), Amounts.end());
    std::size_t Left = Limit;
    for (std::size_t I = 0; I < Amounts.size(); ++I) {
      const std::size_t Share = Left / (Amounts.size() - I);
      if (Amounts[I] > Share)
        return Share;
      Left -= Amounts[I];
    }
    return Limit; // All fit.
  }

  /// Returns true if \p Holder would be above its share with \p More.
  bool exceedsShare(const share_holder &Holder, std::size_t More = 0) const {
    return usedBy(Holder) + More > shareWith(Holder, More);
  }

  /// Returns who has to give way when there is no room for \p More of
  /// \p Holder: \p Holder itself if it would be above its share, otherwise the
  /// one that is furthest above its own of those that \p MayGive accepts.
  /// Returns nothing if there is none.
  std::optional<share_holder>
  givesWay(const share_holder &Holder, std::size_t More,
           const std::function<bool(const share_holder &)> &MayGive) const {
    std::size_t Most = shareWith(Holder, More);
    if (usedBy(Holder) + More > Most)
      return Holder;
    std::optional<share_holder> Furthest;
    for (const auto &[Other, Amount] : Used) {
      if (Other == Holder || Amount <= Most || !MayGive(Other))
        continue;
      Most = Amount;
      Furthest = Other;
    }
    return Furthest;
  }

private:
  std::size_t Limit;
  std::map<share_holder, std::size_t> Used; ///< None is zero.
};

} // namespace agatedale
