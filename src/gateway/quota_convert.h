/// \file
/// Conversion between quota messages and the project's types.
#pragma once

#include "agatedale/quota_agent.h"

#include "gateway.pb.h"

#include <cstdint>

namespace agatedale {

/// Loans cross the wire in thousandths of tokens, rounded down, so that
/// rounding creates no tokens.
std::uint32_t toMilliTokens(double Tokens);
double fromMilliTokens(std::uint32_t Milli);

/// Writes the answer to an ask of which \p Granted tokens were granted.
/// \p Refusal is the answer to the first one that was not.
agatedale::gateway::QuotaAnswer toMessage(const std::string &Account,
                                          std::uint32_t Granted,
                                          const quota_answer &Refusal);

/// Returns the answer to one of the tokens asked for.
quota_answer fromMessage(const agatedale::gateway::QuotaAnswer &Message,
                         bool IsGranted);

} // namespace agatedale
