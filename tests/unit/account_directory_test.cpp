/// \file
/// Tests of the checks of client accounts and of the lookup by key.
#include "agatedale/account_directory.h"
#include "agatedale/configuration_faults.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(account_directory_test)

namespace {

client_account account(const std::string &Name, std::vector<std::string> Keys) {
  client_account Account;
  Account.Name = Name;
  Account.Keys = std::move(Keys);
  return Account;
}

/// Returns what is wrong with \p Accounts; empty if nothing is. Checks that the
/// keys of an account with a fault lead to no account and count as known.
std::string faultTextOf(const std::vector<client_account> &Accounts) {
  const auto Built = account_directory::create(Accounts);
  BOOST_REQUIRE(!errorOf(Built));
  const account_directory &Directory = *valueOf(Built);
  for (const client_account &Account : Accounts) {
    const bool HasFault = !Directory.findByName(Account.Name)->Fault.empty();
    for (const std::string &Key : Account.Keys) {
      const hashed_key Hashed = hashed_key::of(Key);
      BOOST_TEST((Directory.find(Hashed) == nullptr) ==
                 Directory.isWithheld(Hashed));
      BOOST_TEST((!HasFault || Directory.isWithheld(Hashed)));
    }
  }
  return Directory.faults().empty() ? "" : Directory.faults().front();
}

bool contains(std::string_view Text, std::string_view Part) {
  return Text.find(Part) != std::string_view::npos;
}

configuration_parts partsWith(std::vector<client_account> Accounts) {
  configuration_parts Parts;
  Parts.Zones = {{"a", "north", false}};
  Parts.Accounts = std::move(Accounts);
  return Parts;
}

} // namespace

// Guards against requests that run on behalf of another account.
BOOST_AUTO_TEST_CASE(EveryKeyLeadsToItsAccount) {
  const auto Built = account_directory::create(
      {account("acme", {"k1", "k2"}), account("bolt", {"k3"})});
  BOOST_REQUIRE(!errorOf(Built));
  const account_directory &Directory = *valueOf(Built);
  BOOST_REQUIRE(Directory.find("k2"));
  BOOST_TEST(Directory.find("k1")->Name == "acme");
  BOOST_TEST(Directory.find("k2")->Name == "acme");
  BOOST_TEST(Directory.find("k3")->Name == "bolt");
  BOOST_TEST(!Directory.find("k"));
  BOOST_TEST(!Directory.find(""));
  BOOST_TEST(!Directory.find("acme"));
  BOOST_TEST(Directory.findByName("bolt")->Keys.size() == 1);
}

// Guards against a lookup whose time tells how much of a key was right.
BOOST_AUTO_TEST_CASE(KeysWithDifferentHashesDifferWhateverTheirTexts) {
  const hashed_key Key = hashed_key::of("k1");
  BOOST_TEST((Key == hashed_key::of("k1")));
  BOOST_TEST((Key != hashed_key{Key.Hash + 1, "k1"}));
  BOOST_TEST((Key != hashed_key{Key.Hash, "k2"}));
  const auto Built = account_directory::create({account("acme", {"k1"})});
  BOOST_TEST(valueOf(Built)->find(Key));
  BOOST_TEST(!valueOf(Built)->find(hashed_key{Key.Hash + 1, "k1"}));
  BOOST_TEST(!valueOf(Built)->find(hashed_key{Key.Hash, "k2"}));
}

// Guards against a key whose account depends on the order of a table.
BOOST_AUTO_TEST_CASE(KeyHeldByTwoAccountsBelongsToNeither) {
  const std::string Text = faultTextOf(
      {account("acme", {"secret-1"}), account("bolt", {"x", "secret-1"})});
  BOOST_TEST(contains(Text, "acme"), Text);
  BOOST_TEST(contains(Text, "bolt"), Text);
  BOOST_TEST(!contains(Text, "secret"), Text);
  BOOST_TEST(faultTextOf({account("acme", {"k", "k"})}).empty());
  const auto Built = account_directory::create(
      {account("acme", {"k1", "both"}), account("bolt", {"both", "k2"}),
       account("cord", {"k3", "both"})});
  const account_directory &Directory = *valueOf(Built);
  for (const char *Key : {"k1", "k2", "k3"})
    BOOST_TEST(Directory.find(Key), Key);
  BOOST_TEST(!Directory.find("both"));
  BOOST_TEST(Directory.isWithheld(hashed_key::of("both")));
  BOOST_TEST(!Directory.isWithheld(hashed_key::of("none")));
}

// Guards against an account that takes over the key of one with a fault.
BOOST_AUTO_TEST_CASE(KeyOfAnAccountWithAFaultBelongsToNoOtherOne) {
  client_account Odd = account("bolt", {"both", "k2"});
  Odd.Burst = -1;
  for (const char *Other : {"acme", "cord"}) {
    const auto Built =
        account_directory::create({Odd, account(Other, {"both", "k1"})});
    const account_directory &Directory = *valueOf(Built);
    BOOST_TEST(!Directory.find("both"), Other);
    BOOST_TEST(Directory.isWithheld(hashed_key::of("both")), Other);
    BOOST_TEST(Directory.find("k1"), Other);
  }
}

// Guards against a key that is refused as unknown though it may be one that
// cannot be read.
BOOST_AUTO_TEST_CASE(WithUnreadableKeysNoKeyIsUnknown) {
  client_account Odd;
  Odd.Name = "bolt";
  Odd.Fault = "unreadable";
  Odd.KeysAreKnown = false;
  const auto Built = account_directory::create({account("acme", {"k1"}), Odd});
  const account_directory &Directory = *valueOf(Built);
  BOOST_TEST(Directory.isReadable());
  BOOST_TEST(Directory.find("k1"));
  BOOST_TEST(!Directory.find("any"));
  BOOST_TEST(Directory.isWithheld(hashed_key::of("any")));
  const auto Unreadable = account_directory::unreadable("why");
  BOOST_TEST(!Unreadable->isReadable());
  BOOST_TEST(Unreadable->requiresAccount());
  BOOST_TEST(Unreadable->isWithheld(hashed_key::of("any")));
  BOOST_TEST(Unreadable->faults().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AccountThatIsListedTwiceIsAnError) {
  BOOST_TEST(errorOf(account_directory::create(
      {account("acme", {"k1"}), account("acme", {"k2"})})));
}

// Guards against an account that any request without a key's text belongs to.
BOOST_AUTO_TEST_CASE(EmptyKeyIsAFaultThatNamesItsPlace) {
  const std::string Text =
      faultTextOf({account("acme", {"secret-1", "", "secret-2"})});
  BOOST_TEST(contains(Text, "account 'acme'"), Text);
  BOOST_TEST(contains(Text, "key 2"), Text);
  BOOST_TEST(!contains(Text, "secret"), Text);
}

BOOST_AUTO_TEST_CASE(NegativeAndUnreadableLimitsAreFaults) {
  for (const double Limit : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity()}) {
    client_account Rate = account("acme", {"k"});
    Rate.RatePerSecond = Limit;
    BOOST_TEST(contains(faultTextOf({Rate}), "acme"));
    client_account Burst = account("acme", {"k"});
    Burst.Burst = Limit;
    BOOST_TEST(contains(faultTextOf({Burst}), "acme"));
  }
}

// Guards against names that add header lines to the requests for servers.
BOOST_AUTO_TEST_CASE(NameThatIsNoHeaderValueIsAFault) {
  for (const char *Name : {"", " a", "a ", "a\r\nX: 1", "a\x7f"})
    BOOST_TEST(!faultTextOf({account(Name, {"k"})}).empty(), Name);
  BOOST_TEST(faultTextOf({account("Acme & Sons, \xc3\x84", {"k"})}).empty());
}

// Guards against a version that is out of force because of one region.
BOOST_AUTO_TEST_CASE(UnknownRegionOfAnAccountIsAFaultOfItsOwn) {
  client_account Account = account("acme", {"secret-1"});
  Account.Homes = {"north"};
  const auto Known = configuration::fromParts(partsWith({Account}));
  BOOST_TEST(findFaults(valueOf(Known)).empty());
  Account.Homes = {"north", "moon"};
  const auto Built = configuration::fromParts(partsWith({Account}));
  BOOST_REQUIRE(!errorOf(Built));
  BOOST_TEST(valueOf(Built).directory().find("secret-1"));
  BOOST_TEST(!valueOf(Built).isRegionKnown("moon"));
  const std::vector<std::string> Faults = findFaults(valueOf(Built));
  BOOST_REQUIRE(Faults.size() == 1U);
  BOOST_TEST(contains(Faults.front(), "acme"), Faults.front());
  BOOST_TEST(contains(Faults.front(), "moon"), Faults.front());
  BOOST_TEST(!contains(Faults.front(), "secret"), Faults.front());
}

BOOST_AUTO_TEST_CASE(CheckTellsWhetherAnAccountStillHoldsAKey) {
  const auto Built = account_directory::create(
      {account("acme", {"k1", "k2"}), account("bolt", {"k3"})});
  const account_directory &Directory = *valueOf(Built);
  const auto StateOf = [&](const char *Name, std::uint32_t Check) {
    return Directory.stateOf(Name, Check);
  };
  using state = account_directory::key_state;
  BOOST_TEST(
      (StateOf("acme", account_directory::checkOf("k2")) == state::Held));
  BOOST_TEST(
      (StateOf("acme", account_directory::checkOf("k3")) == state::NotHeld));
  BOOST_TEST(
      (StateOf("gone", account_directory::checkOf("k1")) == state::NotHeld));
  BOOST_TEST((StateOf("acme", 0) == state::NotHeld));
}

BOOST_AUTO_TEST_CASE(CheckTellsWhetherAKeyIsWithheld) {
  client_account Odd = account("odd", {"k3"});
  Odd.Fault = "unreadable";
  client_account Unread = account("unread", {});
  Unread.Fault = "unreadable";
  Unread.KeysAreKnown = false;
  const auto Built =
      account_directory::create({account("acme", {"both", "k1"}),
                                 account("bolt", {"both"}), Odd, Unread});
  const auto IsWithheld = [&](const char *Name, const char *Key) {
    return valueOf(Built)->stateOf(Name, account_directory::checkOf(Key)) ==
           account_directory::key_state::Withheld;
  };
  BOOST_TEST(!IsWithheld("acme", "k1"));
  BOOST_TEST(IsWithheld("acme", "both"));
  BOOST_TEST(IsWithheld("bolt", "both"));
  BOOST_TEST(IsWithheld("odd", "k3"));
  BOOST_TEST(!IsWithheld("odd", "gone"));
  BOOST_TEST(IsWithheld("unread", "any"));
  BOOST_TEST(!IsWithheld("gone", "any"));
}

// Guards against an empty table that admits requests without a valid key.
BOOST_AUTO_TEST_CASE(EmptyDirectoryRequiresAnAccountAndHoldsNoKey) {
  const auto Built = account_directory::create({});
  BOOST_REQUIRE(!errorOf(Built));
  BOOST_TEST(valueOf(Built)->requiresAccount());
  BOOST_TEST(!valueOf(Built)->find("k"));
  BOOST_TEST(!account_directory::none()->requiresAccount());
}

BOOST_AUTO_TEST_CASE(ConfigurationRequiresAnAccountIfItHasTheTable) {
  const auto IsRequired = [](configuration_parts Parts) {
    return valueOf(configuration::fromParts(std::move(Parts)))
        .directory()
        .requiresAccount();
  };
  BOOST_TEST(IsRequired(partsWith({account("acme", {"k"})})));
  BOOST_TEST(IsRequired(partsWith({})));
  configuration_parts Parts = partsWith({});
  Parts.Accounts.reset();
  BOOST_TEST(!IsRequired(Parts));
}

// Guards against work per account at each change of the servers: the event loop
// of a VM with 0.1 cores would stand still for it.
BOOST_AUTO_TEST_CASE(DirectoryIsSharedAndNotBuiltAgain) {
  const auto Built = account_directory::create({account("acme", {"k"})});
  configuration_parts Parts = partsWith({});
  Parts.Directory = valueOf(Built);
  const auto First = configuration::fromParts(Parts);
  const auto Second = configuration::fromParts(Parts);
  BOOST_REQUIRE((!errorOf(First) && !errorOf(Second)));
  BOOST_TEST(&valueOf(First).directory() == valueOf(Built).get());
  BOOST_TEST(&valueOf(Second).directory() == valueOf(Built).get());
  BOOST_TEST(valueOf(Second).accounts().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
