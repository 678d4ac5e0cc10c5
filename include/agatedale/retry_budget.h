/// \file
/// Limits retries to a share of the requests.
#pragma once

#include <algorithm>

namespace agatedale {

/// A token bucket for retries. Each request deposits a fraction of a token and
/// each retry or hedge withdraws one, so that retries cannot amplify an
/// overload.
///
///   retry_budget Budget = retry_budget::create(10.0);
///   Budget.deposit();
///   if (Budget.tryWithdraw()) retry();
class retry_budget {
public:
  /// \p Percent is the number of retries allowed per hundred requests.
  static retry_budget create(double Percent) { return retry_budget(Percent); }

  /// Sets the number of retries that can accumulate unused.
  void setBurst(double NewMaxTokens) {
    MaxTokens = NewMaxTokens;
    Tokens = std::min(Tokens, MaxTokens);
  }

  /// Discards the accumulated retries but for \p Share of what can accumulate.
  void limitUnused(double Share) {
    Tokens = std::min(Tokens, Share * MaxTokens);
  }

  /// Adds the share of one new request.
  void deposit() { Tokens = std::min(Tokens + Share, MaxTokens); }

  /// Takes one retry out of the budget. Returns false if it is exhausted. \p
  /// ReservedShare of what can accumulate is left to more urgent requests.
  bool tryWithdraw(double ReservedShare = 0) {
    const double Reserved = ReservedShare * std::max(MaxTokens - 1, 0.0);
    if (Tokens < 1 + Reserved)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double DefaultMaxTokens = 10;

  explicit retry_budget(double Percent) : Share(Percent / 100) {}

  double Share;
  double MaxTokens = DefaultMaxTokens;
  double Tokens = DefaultMaxTokens;
};

} // namespace agatedale
