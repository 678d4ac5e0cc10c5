/// \file
/// Keeps retries to a share of the requests.
#pragma once

#include <algorithm>

namespace agatedale {

/// A budget of retries: each request earns a share of one, each retry or hedge
/// spends one. Retries can thus never multiply an overload.
///
///   retry_budget Budget = retry_budget::create(10.0);
///   Budget.deposit();
///   if (Budget.tryWithdraw()) retry();
class retry_budget {
public:
  /// \p Percent is the number of retries that a hundred requests earn.
  static retry_budget create(double Percent) { return retry_budget(Percent); }

  /// Records a request that came in for the first time.
  void deposit() { Tokens = std::min(Tokens + Share, MaxTokens); }

  /// Takes one retry out of the budget; false when it is spent.
  bool tryWithdraw() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// Retries that a quiet time can save up.
  static constexpr double MaxTokens = 10;

  explicit retry_budget(double Percent) : Share(Percent / 100) {}

  double Share;
  double Tokens = MaxTokens;
};

} // namespace agatedale
