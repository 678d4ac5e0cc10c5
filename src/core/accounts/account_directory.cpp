/// \file
/// Checks of client accounts and the table of their keys.
#include "agatedale/account_directory.h"
#include "agatedale/entry_vm.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace agatedale {

namespace {

/// Returns true if \p Name can be written to a header and read back unchanged.
bool isHeaderValue(std::string_view Name) {
  const auto IsControl = [](unsigned char C) { return C < ' ' || C == 0x7f; };
  return !Name.empty() && Name.front() != ' ' && Name.back() != ' ' &&
         std::none_of(Name.begin(), Name.end(), IsControl);
}

bool isLimit(double Value) { return std::isfinite(Value) && Value >= 0; }

/// Returns what is wrong with \p Account by itself; empty if nothing is.
std::string faultOf(const client_account &Account) {
  if (!isHeaderValue(Account.Name))
    return "its name is empty or has control characters";
  if (!isLimit(Account.RatePerSecond) || !isLimit(Account.Burst))
    return "a limit is negative or no number";
  const auto Empty = std::find(Account.Keys.begin(), Account.Keys.end(), "");
  if (Empty != Account.Keys.end())
    return fmt::format("key {} is empty", Empty - Account.Keys.begin() + 1);
  return {};
}

/// Returns the position of \p Key among the keys of \p Account, from 1.
std::ptrdiff_t positionOf(const std::string &Key,
                          const client_account &Account) {
  return std::find(Account.Keys.begin(), Account.Keys.end(), Key) -
         Account.Keys.begin() + 1;
}

} // namespace

hashed_key hashed_key::of(std::string_view Text) {
  return {stableHash(Text), Text};
}

result<std::shared_ptr<const account_directory>>
account_directory::create(std::vector<client_account> Accounts) {
  const std::shared_ptr<account_directory> Directory(
      new account_directory(true));
  std::size_t KeyCount = 0;
  for (client_account &Account : Accounts) {
    KeyCount += Account.Keys.size();
    const std::string Name = Account.Name;
    if (!Directory->ByName.emplace(Name, std::move(Account)).second)
      return error{error_kind::InvalidInput,
                   fmt::format("account '{}' is listed twice", Name)};
  }
  Directory->ByKey.reserve(KeyCount);
  for (auto &[Name, Account] : Directory->ByName) {
    if (Account.Fault.empty())
      Account.Fault = faultOf(Account);
    if (!Account.Fault.empty())
      Directory->Faults.push_back(
          fmt::format("account '{}': {}", Name, Account.Fault));
    Directory->KeysAreKnown &= Account.KeysAreKnown;
    Directory->addKeys(Account);
    for (const std::string &Region : Account.Homes)
      Directory->Regions.emplace(Region, Name);
  }
  return std::shared_ptr<const account_directory>(Directory);
}

/// Adds the keys of \p Account. One that another account holds, too, belongs to
/// neither of them.
void account_directory::addKeys(const client_account &Account) {
  const bool IsUsable = Account.Fault.empty();
  for (const std::string &Key : Account.Keys) {
    const auto [Known, IsNew] =
        ByKey.emplace(hashed_key::of(Key), IsUsable ? &Account : nullptr);
    const client_account *Other = Known->second;
    if (IsNew || Other == &Account || (!Other && !IsUsable))
      continue;
    Known->second = nullptr;
    Faults.push_back(
        Other ? fmt::format("accounts '{}' (key {}) and '{}' (key {}) hold the "
                            "same key",
                            Other->Name, positionOf(Key, *Other), Account.Name,
                            positionOf(Key, Account))
              : fmt::format("account '{}': another one holds key {}, too",
                            Account.Name, positionOf(Key, Account)));
  }
}

std::shared_ptr<const account_directory>
account_directory::unreadable(std::string Why) {
  const std::shared_ptr<account_directory> Directory(
      new account_directory(true));
  Directory->IsReadable = false;
  Directory->KeysAreKnown = false;
  Directory->Faults.push_back(std::move(Why));
  return Directory;
}

std::shared_ptr<const account_directory> account_directory::none() {
  static const std::shared_ptr<const account_directory> None(
      new account_directory(false));
  return None;
}

account_directory::key_state
account_directory::stateOf(const std::string &Name, std::uint32_t Check) const {
  const client_account *Account = findByName(Name);
  if (!Account)
    return IsReadable ? key_state::NotHeld : key_state::Withheld;
  const auto Key = std::find_if(
      Account->Keys.begin(), Account->Keys.end(),
      [Check](const std::string &Text) { return checkOf(Text) == Check; });
  if (Key == Account->Keys.end())
    return Account->KeysAreKnown ? key_state::NotHeld : key_state::Withheld;
  return find(*Key) ? key_state::Held : key_state::Withheld;
}

const client_account *
account_directory::findByName(const std::string &Name) const {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Found->second;
}

} // namespace agatedale
