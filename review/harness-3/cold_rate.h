/// \file
/// How many requests a cold server gets in one second.
#pragma once

#include "server.h"

#include <map>
#include <span>
#include <string>

namespace agatedale::review {

using send_times = std::map<std::string, steady_clock::time_point>;

/// Returns the most requests that were sent, and reached the server while it
/// was cold, inside one second. Requests that are not in \p SentAt are left
/// out.
int mostInSecondWhileCold(std::span<const arrival> Arrivals,
                          const send_times &SentAt);

} // namespace agatedale::review
