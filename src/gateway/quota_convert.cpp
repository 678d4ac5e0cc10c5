/// \file
/// Field-by-field conversion of quota messages.
#include "quota_convert.h"

#include <algorithm>

namespace agatedale {

namespace {

constexpr double MilliPerToken = 1000;
constexpr double MaxTokens = 1e6;

std::uint32_t toWireMillis(duration Length) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(toMillis(Length), 0));
}

/// A refusal is remembered for no longer than an owner of this build states.
duration fromWireMillis(std::uint32_t Millis) {
  return std::min<duration>(std::chrono::milliseconds(Millis),
                            quota_ledger::MaxRefusal);
}

} // namespace

std::uint32_t toMilliTokens(double Tokens) {
  return static_cast<std::uint32_t>(MilliPerToken *
                                    std::clamp(Tokens, 0.0, MaxTokens));
}

double fromMilliTokens(std::uint32_t Milli) {
  return std::min(static_cast<double>(Milli) / MilliPerToken, MaxTokens);
}

gateway::QuotaAnswer toMessage(const std::string &Account,
                               std::uint32_t Granted,
                               const quota_answer &Refusal) {
  gateway::QuotaAnswer Message;
  Message.set_account(Account);
  Message.set_is_owner(Refusal.IsOwner);
  Message.set_granted(Granted);
  Message.set_refuse_ms(toWireMillis(Refusal.RefuseFor));
  Message.set_retry_after_ms(toWireMillis(Refusal.RetryAfter));
  return Message;
}

quota_answer fromMessage(const gateway::QuotaAnswer &Message, bool IsGranted) {
  quota_answer Answer;
  Answer.IsOwner = Message.is_owner();
  Answer.IsGranted = IsGranted;
  Answer.RefuseFor = fromWireMillis(Message.refuse_ms());
  Answer.RetryAfter = fromWireMillis(Message.retry_after_ms());
  return Answer;
}

} // namespace agatedale
