/// \file
/// Claiming, settlement and eviction of idempotency keys.
#include "agatedale/key_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace agatedale {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t TimestampDigits = 12;

bool isDashPosition(std::size_t I) {
  return I == 8 || I == 13 || I == 18 || I == 23;
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

bool hasUuidShape(std::string_view Key) {
  if (Key.size() != UuidLength)
    return false;
  for (std::size_t I = 0; I < Key.size(); ++I) {
    const bool IsValid =
        isDashPosition(I) ? Key[I] == '-' : hexDigit(Key[I]) >= 0;
    if (!IsValid)
      return false;
  }
  return true;
}

} // namespace

result<wall_ms> timestampOfKey(std::string_view Key) {
  if (!hasUuidShape(Key))
    return error{error_kind::InvalidInput,
                 "an idempotency key must be a UUID of 36 characters"};
  if (Key[VersionPosition] != '7')
    return error{error_kind::InvalidInput,
                 "an idempotency key must be a UUID of version 7"};
  wall_ms Timestamp = 0;
  std::size_t Digits = 0;
  for (const char C : Key) {
    if (C == '-')
      continue;
    if (Digits++ == TimestampDigits)
      break;
    Timestamp = Timestamp * 16 + hexDigit(C);
  }
  return Timestamp;
}

key_decision key_table::decideExisting(const key_entry &Entry,
                                       const key_claim &Claim, wall_ms Now) {
  if (Entry.Fingerprint != Claim.Fingerprint)
    return refuse_key{refusal_reason::KeyReused, verdict::NotRun};
  switch (Entry.State) {
  case key_state::Running:
    if (Entry.Claim == Claim.Claim)
      return run_key{};
    if (Now < Entry.RunsUntil)
      return await_key{};
    break;
  case key_state::Answered:
    return replay_answer{Entry.Answer};
  case key_state::AnsweredNotStored:
  case key_state::Unknown:
    break;
  }
  return refuse_key{refusal_reason::KeyOutcomeUnknown, verdict::MayHaveRun};
}

key_decision key_table::decideNew(const key_claim &Claim, wall_ms KeyTimestamp,
                                  wall_ms Now) {
  if (KeyTimestamp > Now + Settings.MaxClockSkew.count())
    return refuse_key{refusal_reason::KeyMalformed, verdict::NotRun};
  if (KeyTimestamp < Now - Settings.Window.count())
    return refuse_key{refusal_reason::KeyOutOfWindow, verdict::MayHaveRun};
  if (KeyTimestamp <= Floor)
    return refuse_key{refusal_reason::KeyOutcomeUnknown, verdict::MayHaveRun};
  if (Entries.size() >= Settings.MaxEntries) {
    const auto Oldest = Entries.find(ByTimestamp.begin()->second);
    raiseFloor(Oldest->second.Timestamp);
    erase(Oldest);
    if (KeyTimestamp <= Floor)
      return refuse_key{refusal_reason::KeyOutOfWindow, verdict::MayHaveRun};
  }
  const key_name Name{Claim.Account, Claim.Key};
  ByTimestamp.insert({KeyTimestamp, Name});
  Entries.emplace(Name, key_entry{Claim.Account, Claim.Key, Claim.Fingerprint,
                                  KeyTimestamp, Claim.Claim,
                                  Now + Claim.Timeout.count(),
                                  key_state::Running, nullptr});
  return run_key{};
}

key_decision key_table::claim(const key_claim &Claim, wall_ms Now) {
  const result<wall_ms> Timestamp = timestampOfKey(Claim.Key);
  if (errorOf(Timestamp))
    return refuse_key{refusal_reason::KeyMalformed, verdict::NotRun};
  evictExpired(Now);
  const auto Known = Entries.find({Claim.Account, Claim.Key});
  if (Known != Entries.end())
    return decideExisting(Known->second, Claim, Now);
  return decideNew(Claim, valueOf(Timestamp), Now);
}

std::optional<key_entry> key_table::settle(const key_settlement &Settlement) {
  const auto Known = Entries.find({Settlement.Account, Settlement.Key});
  if (Known == Entries.end() || Known->second.Claim != Settlement.Claim)
    return std::nullopt;
  key_entry &Entry = Known->second;
  switch (Settlement.Verdict) {
  case verdict::NotRun:
    erase(Known);
    return std::nullopt;
  case verdict::Answered: {
    const bool CanStore = Settlement.Answer && Settlement.Answer->Body.size() <=
                                                   Settings.MaxAnswerBytes;
    Entry.State = CanStore ? key_state::Answered : key_state::AnsweredNotStored;
    Entry.Answer = CanStore ? Settlement.Answer : nullptr;
    break;
  }
  case verdict::MayHaveRun:
    Entry.State = key_state::Unknown;
    break;
  }
  return Entry;
}

void key_table::takeOver(wall_ms Now) {
  raiseFloor(Now + Settings.MaxClockSkew.count());
}

void key_table::raiseFloor(wall_ms NewFloor) {
  Floor = std::max(Floor, NewFloor);
}

void key_table::importEntries(std::span<const key_entry> Copies,
                              bool OwnerLost) {
  for (const key_entry &Copy : Copies) {
    key_entry Entry = Copy;
    if (OwnerLost && Entry.State == key_state::Running)
      Entry.State = key_state::Unknown;
    const key_name Name{Entry.Account, Entry.Key};
    const auto Known = Entries.find(Name);
    if (Known != Entries.end())
      erase(Known);
    ByTimestamp.insert({Entry.Timestamp, Name});
    Entries.emplace(Name, std::move(Entry));
  }
}

std::optional<key_entry> key_table::find(const std::string &Account,
                                         const std::string &Key) const {
  const auto Known = Entries.find({Account, Key});
  if (Known == Entries.end())
    return std::nullopt;
  return Known->second;
}

std::vector<key_entry> key_table::entries() const {
  std::vector<key_entry> All;
  All.reserve(Entries.size());
  for (const auto &[Name, Entry] : Entries)
    All.push_back(Entry);
  return All;
}

void key_table::evictExpired(wall_ms Now) {
  const wall_ms Oldest = Now - Settings.Window.count();
  while (!ByTimestamp.empty() && ByTimestamp.begin()->first < Oldest)
    erase(Entries.find(ByTimestamp.begin()->second));
}

void key_table::erase(std::map<key_name, key_entry>::iterator EntryIter) {
  ByTimestamp.erase({EntryIter->second.Timestamp, EntryIter->first});
  Entries.erase(EntryIter);
}

} // namespace agatedale
