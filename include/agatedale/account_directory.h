/// \file
/// The client accounts of a configuration, by key and by name.
#pragma once

#include "agatedale/configuration.h"
#include "agatedale/result.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace agatedale {

/// A client's key with its hash, which is computed once for each request.
struct hashed_key {
  static hashed_key of(std::string_view Text);

  /// Compares the hash before the text, so that the time of a lookup does not
  /// tell how much of a key was right.
  bool operator==(const hashed_key &) const = default;

  /// See account_directory::checkOf().
  std::uint32_t check() const {
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(Hash), 1);
  }

  std::uint64_t Hash = 0;
  std::string_view Text;
};

/// The checked client accounts of one configuration row. It is immutable and
/// shared by all configurations that are built from the row, so that a change
/// of the servers costs nothing per account.
///
///   auto Built = account_directory::create(std::move(Accounts));
///   const client_account *Account = valueOf(Built)->find("key of a client");
class account_directory {
public:
  /// Builds the directory; an account that is listed twice is an error. An
  /// account that has a fault, an empty key, a negative limit, or a name that
  /// is no header value is withheld, and so is a key that two accounts hold.
  /// Without accounts, only requests of public routes are served.
  static result<std::shared_ptr<const account_directory>>
  create(std::vector<client_account> Accounts);

  /// Returns the directory of a table that cannot be read because of \p Why:
  /// any key may be in it.
  static std::shared_ptr<const account_directory> unreadable(std::string Why);

  /// Returns the directory of a configuration without a table of accounts: no
  /// request needs an account.
  static std::shared_ptr<const account_directory> none();

  account_directory(const account_directory &) = delete;
  account_directory &operator=(const account_directory &) = delete;

  /// Returns true if requests of routes that are not public need an account.
  /// An empty table of accounts needs one, too: no key is valid then.
  bool requiresAccount() const { return IsRequired; }

  /// Returns false if the table cannot be read.
  bool isReadable() const { return IsReadable; }

  /// Returns the account that holds \p Key, or null if there is none or the key
  /// is withheld. Costs one hash table lookup.
  const client_account *find(const hashed_key &Key) const {
    const auto Found = ByKey.find(Key);
    return Found == ByKey.end() ? nullptr : Found->second;
  }
  const client_account *find(std::string_view Key) const {
    return find(hashed_key::of(Key));
  }

  /// Returns true if \p Key is held, or may be, and cannot be used. Such a key
  /// is neither served nor refused as unknown.
  bool isWithheld(const hashed_key &Key) const {
    const auto Found = ByKey.find(Key);
    return Found == ByKey.end() ? !KeysAreKnown : !Found->second;
  }

  /// Returns the account \p Name, or null.
  const client_account *findByName(const std::string &Name) const;

  /// Returns what VMs tell each other of a key, to find out whether a newer
  /// configuration still holds it: 32 bits of a hash, which leave the rest of
  /// the key unknown. Never zero.
  static std::uint32_t checkOf(std::string_view Key) {
    return hashed_key::of(Key).check();
  }

  enum class key_state { Held, NotHeld, Withheld };

  /// Returns the state of the key with \p Check of the account \p Name.
  key_state stateOf(const std::string &Name, std::uint32_t Check) const;

  /// Returns why accounts and keys are withheld. The texts name the accounts
  /// and contain no key.
  const std::vector<std::string> &faults() const { return Faults; }

  const std::map<std::string, client_account> &accounts() const {
    return ByName;
  }

  /// Returns each home region of an account, with the name of one that has it.
  const std::map<std::string, std::string> &regions() const { return Regions; }

private:
  /// The standard library compares the texts of up to 20 strings one by one
  /// instead of their hashes; not so with a hash of another type.
  struct hash_of_key {
    std::size_t operator()(const hashed_key &Key) const noexcept {
      return Key.Hash;
    }
  };

  explicit account_directory(bool IsRequired) : IsRequired(IsRequired) {}

  void addKeys(const client_account &Account);

  bool IsRequired;
  bool IsReadable = true;
  bool KeysAreKnown = true;
  std::vector<std::string> Faults;
  std::map<std::string, client_account> ByName;
  /// Refers to the keys and accounts in ByName; null for a withheld key.
  std::unordered_map<hashed_key, const client_account *, hash_of_key> ByKey;
  std::map<std::string, std::string> Regions;
};

} // namespace agatedale
