/// \file
/// The cases. Each returns the exit code of its script.
#pragma once

#include "gateway_fleet.h"
#include "record.h"

namespace agatedale::review {

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

/// Clients pipeline requests whose heads have many fields.
int runHeadMemory(const case_settings &Settings, record &Record);

/// The last client account is removed from the configuration.
int runLastAccount(const case_settings &Settings, record &Record);

/// A version takes a key away and binds a new account to a region without
/// machines.
int runUnknownRegion(const case_settings &Settings, record &Record);

/// Clients pipeline requests whose Connection header lists many names.
int runConnectionLists(const case_settings &Settings, record &Record);

/// The weights of a split are changed, one of them to zero.
int runSplitWeights(const case_settings &Settings, record &Record);

} // namespace agatedale::review
