/// \file
/// Tests of the checks of client accounts and of the lookup by key.
#include "agatedale/account_directory.h"

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

std::string errorTextOf(std::vector<client_account> Accounts) {
  const auto Built = account_directory::create(std::move(Accounts));
  const error *Error = errorOf(Built);
  return Error ? Error->Message : "";
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
BOOST_AUTO_TEST_CASE(KeyHeldByTwoAccountsIsAnErrorThatNamesThemAndNotTheKey) {
  const std::string Text = errorTextOf(
      {account("acme", {"secret-1"}), account("bolt", {"x", "secret-1"})});
  BOOST_TEST(contains(Text, "acme"), Text);
  BOOST_TEST(contains(Text, "bolt"), Text);
  BOOST_TEST(!contains(Text, "secret"), Text);
  BOOST_TEST(errorTextOf({account("acme", {"k", "k"})}).empty());
}

// Guards against an account that any request without a key's text belongs to.
BOOST_AUTO_TEST_CASE(EmptyKeyIsAnErrorThatNamesItsPlace) {
  const std::string Text =
      errorTextOf({account("acme", {"secret-1", "", "secret-2"})});
  BOOST_TEST(contains(Text, "account 'acme'"), Text);
  BOOST_TEST(contains(Text, "key 2"), Text);
  BOOST_TEST(!contains(Text, "secret"), Text);
}

BOOST_AUTO_TEST_CASE(NegativeAndUnreadableLimitsAreErrors) {
  for (const double Limit : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                             std::numeric_limits<double>::infinity()}) {
    client_account Rate = account("acme", {"k"});
    Rate.RatePerSecond = Limit;
    BOOST_TEST(contains(errorTextOf({Rate}), "acme"));
    client_account Burst = account("acme", {"k"});
    Burst.Burst = Limit;
    BOOST_TEST(contains(errorTextOf({Burst}), "acme"));
  }
}

// Guards against names that add header lines to the requests for servers.
BOOST_AUTO_TEST_CASE(NameThatIsNoHeaderValueIsAnError) {
  for (const char *Name : {"", " a", "a ", "a\r\nX: 1", "a\x7f"})
    BOOST_TEST(!errorTextOf({account(Name, {"k"})}).empty(), Name);
  BOOST_TEST(errorTextOf({account("Acme & Sons, \xc3\x84", {"k"})}).empty());
}

BOOST_AUTO_TEST_CASE(UnknownRegionOfAnAccountIsRefused) {
  client_account Account = account("acme", {"secret-1"});
  Account.Homes = {"north"};
  BOOST_TEST(!errorOf(configuration::fromParts(partsWith({Account}))));
  Account.Homes = {"north", "moon"};
  const auto Refused = configuration::fromParts(partsWith({Account}));
  BOOST_REQUIRE(errorOf(Refused));
  const std::string &Text = errorOf(Refused)->Message;
  BOOST_TEST(contains(Text, "acme"), Text);
  BOOST_TEST(contains(Text, "moon"), Text);
  BOOST_TEST(!contains(Text, "secret"), Text);
}

BOOST_AUTO_TEST_CASE(CheckTellsWhetherAnAccountStillHoldsAKey) {
  const auto Built = account_directory::create(
      {account("acme", {"k1", "k2"}), account("bolt", {"k3"})});
  const account_directory &Directory = *valueOf(Built);
  BOOST_TEST(Directory.holds("acme", account_directory::checkOf("k2")));
  BOOST_TEST(!Directory.holds("acme", account_directory::checkOf("k3")));
  BOOST_TEST(!Directory.holds("gone", account_directory::checkOf("k1")));
  BOOST_TEST(!Directory.holds("acme", 0));
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
