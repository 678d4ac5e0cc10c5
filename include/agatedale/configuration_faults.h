/// \file
/// Parts of a configuration whose requests are refused.
#pragma once

#include "agatedale/configuration.h"
#include "agatedale/verdict.h"

#include <span>
#include <string>
#include <vector>

namespace agatedale {

/// Returns what is wrong with single parts of \p Config. Requests of such a
/// part are refused as not run, and all others are served. Refusing the whole
/// version instead would leave in force what it withdraws. The texts name the
/// part and contain no key of an account.
///
///   for (const std::string &Fault : findFaults(Config))
///     log(Fault);
std::vector<std::string> findFaults(const configuration &Config);

/// Returns why no server of \p Service in the regions \p Homes may serve a
/// request; None if one may. Empty \p Homes allow every region.
refusal_reason reasonNotToPlace(const configuration &Config,
                                const std::string &Service,
                                std::span<const std::string> Homes);

} // namespace agatedale
