/// \file
/// Tests of configuration and settings.
#include "agatedale/configuration.h"
#include "agatedale/settings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <random>

using namespace agatedale;

BOOST_AUTO_TEST_SUITE(configuration_test)

namespace {

const std::string MinimalDocument = R"([regions.r]
[regions.s]
[zones.a]
region = "r"
[services.orders]
[accounts.web]
)";

std::string errorTextOf(const std::string &Document) {
  const auto Read = configuration::fromDocument(Document, "test.toml");
  const error *Error = errorOf(Read);
  return Error ? Error->Message : "no error";
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// A temporary folder that its destructor removes.
class scratch_folder {
public:
  scratch_folder()
      : Path(std::filesystem::temp_directory_path() /
             ("agatedale-test-" + std::to_string(std::random_device{}()))) {
    std::filesystem::create_directories(Path);
  }
  ~scratch_folder() { std::filesystem::remove_all(Path); }

  std::filesystem::path write(const std::string &Name,
                              const std::string &Text) const {
    std::ofstream(Path / Name) << Text;
    return Path / Name;
  }

  std::filesystem::path Path;
};

} // namespace

BOOST_AUTO_TEST_CASE(SampleConfigurationsAreValid) {
  for (const char *Name : {"maraval", "kesarvani"}) {
    const auto Read =
        configuration::fromFolder(std::filesystem::path(SAMPLES_DIR) / Name);
    const error *Error = errorOf(Read);
    BOOST_TEST(!Error, Name << ": " << (Error ? Error->Message : ""));
  }
}

BOOST_AUTO_TEST_CASE(UnknownKeyNamesFileLineAndTheNearestKey) {
  const std::string Text =
      errorTextOf(MinimalDocument + "[routes.x]\npath_prefix = \"/\"\n"
                                    "service = \"orders\"\ntimeout_sm = 5\n");
  BOOST_TEST(contains(Text, "test.toml:10:"), Text);
  BOOST_TEST(contains(Text, "routes.x.timeout_sm"), Text);
  BOOST_TEST(contains(Text, "did you mean 'timeout_ms'"), Text);
}

BOOST_AUTO_TEST_CASE(UnknownTableNamesTheNearestOne) {
  const std::string Text = errorTextOf("[servises.x]\n");
  BOOST_TEST(contains(Text, "did you mean 'services'"), Text);
}

BOOST_AUTO_TEST_CASE(WrongTypeNamesTheExpectedType) {
  const std::string Text = errorTextOf("[services.x]\nslots = \"two\"\n");
  BOOST_TEST(contains(Text, "test.toml:2:"), Text);
  BOOST_TEST(contains(Text, "a whole number from 1"), Text);
}

BOOST_AUTO_TEST_CASE(ServerOfAnUnknownServiceIsRejected) {
  const std::string Text = errorTextOf(
      MinimalDocument + "[servers.x]\nservice = \"oders\"\nzone = \"a\"\n"
                        "address = \"127.0.0.1:1\"\n");
  BOOST_TEST(contains(Text, "unknown service 'oders'"), Text);
}

BOOST_AUTO_TEST_CASE(ServerWithAPortOutOfRangeIsRejected) {
  for (const char *Address : {"127.0.0.1:65536", "127.0.0.1:99999",
                              "127.0.0.1:0", "127.0.0.1:", "127.0.0.1", ":80"})
    BOOST_TEST(contains(errorTextOf(MinimalDocument +
                                    "[servers.s1]\nservice = \"orders\"\n"
                                    "zone = \"a\"\naddress = \"" +
                                    Address + "\"\n"),
                        "address"),
               Address);
}

BOOST_AUTO_TEST_CASE(SyntaxErrorNamesLineAndColumn) {
  BOOST_TEST(contains(errorTextOf("[regions.r\n"), "test.toml:1:"));
}

BOOST_AUTO_TEST_CASE(LaterFilesOverrideSingleKeys) {
  const scratch_folder Folder;
  Folder.write("10.toml", MinimalDocument + "[services.mail]\nslots = 3\n");
  Folder.write("20.toml", "[services.mail]\nwarm_up_answers = 9\nslots = 4\n");
  const auto Read = configuration::fromFolder(Folder.Path);
  BOOST_REQUIRE(!errorOf(Read));
  BOOST_TEST(valueOf(Read).services().at("mail").Slots == 4);
  BOOST_TEST(valueOf(Read).services().at("mail").WarmUpAnswers == 9);
}

BOOST_AUTO_TEST_CASE(ErrorInAMergedFolderNamesTheFile) {
  const scratch_folder Folder;
  Folder.write("10.toml", MinimalDocument);
  Folder.write("20.toml", "[services.orders]\nslots = 0\n");
  const auto Read = configuration::fromFolder(Folder.Path);
  BOOST_REQUIRE(errorOf(Read));
  BOOST_TEST(contains(errorOf(Read)->Message, "20.toml:2:"),
             errorOf(Read)->Message);
}

BOOST_AUTO_TEST_CASE(DocumentRoundTripsThroughTheReader) {
  const auto Read =
      configuration::fromFolder(std::filesystem::path(SAMPLES_DIR) / "maraval");
  const std::string Document = valueOf(Read).toDocument();
  const auto Again = configuration::fromDocument(Document, "again");
  BOOST_REQUIRE(!errorOf(Again));
  BOOST_TEST(valueOf(Again).toDocument() == Document);
  BOOST_TEST(valueOf(Again).servers().size() == 32);
}

BOOST_AUTO_TEST_CASE(DrainedZoneStaysDrainedInTheNextVersion) {
  const auto First = configuration::fromDocument(MinimalDocument, "first");
  const auto Out = valueOf(First).withZoneDrained("a", true);
  BOOST_TEST(!valueOf(Out).isZoneActive("a"));
  const auto Next = valueOf(First).withDrainedZonesOf(valueOf(Out));
  BOOST_TEST(!valueOf(Next).isZoneActive("a"));
}

BOOST_AUTO_TEST_CASE(LargeServiceIsSplitIntoParts) {
  std::string Document = MinimalDocument;
  for (int I = 0; I < 70; ++I)
    Document += "[servers.s" + std::to_string(I) +
                "]\nservice = \"orders\"\nzone = \"a\"\naddress = "
                "\"127.0.0.1:9\"\n";
  const auto Read = configuration::fromDocument(Document, "large");
  BOOST_REQUIRE(valueOf(Read).groups().size() == 3);
  for (const server_group_spec &Spec : valueOf(Read).groups())
    BOOST_TEST(Spec.Servers.size() <= MaxGroupServers);
}

BOOST_AUTO_TEST_CASE(RequestIsRoutedByTheLongestPrefix) {
  const auto Read = configuration::fromDocument(
      MinimalDocument +
          "[routes.all]\npath_prefix = \"/\"\nservice = \"orders\"\n"
          "[routes.deep]\npath_prefix = \"/a/b\"\nservice = \"orders\"\n",
      "routes");
  BOOST_TEST(valueOf(Read).findRoute("GET", "/a/b/c")->Name == "deep");
  BOOST_TEST(valueOf(Read).findRoute("GET", "/a/bc")->Name == "all");
}

BOOST_AUTO_TEST_CASE(HomeRegionsAreCommonToRouteAndAccount) {
  route Route;
  Route.Homes = {"r"};
  client_account Account;
  Account.Homes = {"s"};
  const std::vector<std::string> Known{"r", "s"};
  BOOST_TEST(homeRegions(Route, Account, Known).empty());
  Account.Homes = {};
  BOOST_TEST(homeRegions(Route, Account, Known).size() == 1);
}

BOOST_AUTO_TEST_CASE(DiffShowsRemovedAndAddedLines) {
  const auto Changes = diffDocuments("a\nb\nc\n", "a\nx\nc\n");
  BOOST_REQUIRE(Changes.size() == 2);
  BOOST_TEST(Changes[0] == "- b");
  BOOST_TEST(Changes[1] == "+ x");
}

BOOST_AUTO_TEST_CASE(DamagedDocumentsNeverCrashTheReader) {
  const auto Read =
      configuration::fromFolder(std::filesystem::path(SAMPLES_DIR) / "maraval");
  const std::string Good = valueOf(Read).toDocument();
  std::mt19937_64 Random(11);
  for (int I = 0; I < 400; ++I) {
    std::string Damaged = Good;
    for (int J = 0; J < 3; ++J)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random() % 256);
    Damaged.resize(Random() % Damaged.size());
    const auto Result = configuration::fromDocument(Damaged, "damaged");
    if (const error *Error = errorOf(Result))
      BOOST_TEST(!Error->Message.empty());
  }
}

BOOST_AUTO_TEST_CASE(MissingSettingIsNamed) {
  const scratch_folder Folder;
  const auto File =
      Folder.write("entry.toml", "vm = \"x\"\nip = \"1.2.3.4\"\n");
  const auto Read = settings::fromFile(File);
  BOOST_REQUIRE(errorOf(Read));
  BOOST_TEST(contains(errorOf(Read)->Message, "key 'zone'"),
             errorOf(Read)->Message);
}

BOOST_AUTO_TEST_CASE(LeaseShorterThanThreeHeartbeatsIsRejected) {
  const scratch_folder Folder;
  const auto File = Folder.write(
      "entry.toml", "vm = \"x\"\nip = \"1.2.3.4\"\nzone = \"a\"\nregion = "
                    "\"r\"\nplatform_address = \"1.2.3.4:1\"\n[timing]\n"
                    "lease_ms = 100\n");
  const auto Read = settings::fromFile(File);
  BOOST_REQUIRE(errorOf(Read));
  BOOST_TEST(contains(errorOf(Read)->Message, "timing.lease_ms"),
             errorOf(Read)->Message);
}

BOOST_AUTO_TEST_CASE(KeyHomeRegionDoesNotDependOnTheOrderOfRegions) {
  const std::vector<std::string> Homes{"north", "south"};
  const std::vector<std::string> Reversed{"south", "north"};
  BOOST_TEST(keyHomeRegion(Homes) == "north");
  BOOST_TEST(keyHomeRegion(Reversed) == "north");
}

BOOST_AUTO_TEST_SUITE_END()
