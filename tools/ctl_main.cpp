/// \file
/// agatedalectl: the operators' command line.
#include "agatedale/configuration.h"
#include "agatedale/configuration_check.h"
#include "agatedale/platform_client.h"
#include "agatedale/publishing.h"
#include "fleet_client.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

namespace {

using namespace agatedale;
using Poco::JSON::Array;
using Poco::JSON::Object;
using std::chrono::milliseconds;

/// Exit codes, as docs/OPERATORS.md lists them.
enum exit_code {
  ExitOk = 0,
  ExitBadInput = 1,    ///< The configuration or an argument's value is wrong.
  ExitUsage = 2,       ///< The command line is wrong.
  ExitConflict = 3,    ///< Another operator's change came first.
  ExitUnavailable = 4, ///< The platform or an entry VM did not answer.
  ExitUnknown = 5,     ///< The change may or may not have taken effect.
  ExitPending = 6,     ///< Published, not yet in force everywhere.
  ExitDiffers = 7,     ///< diff found differences.
};

constexpr milliseconds StoreTimeout{2000};
constexpr milliseconds VmTimeout{500};
constexpr milliseconds PollStep{100};
constexpr int SettleTries = 30;

exit_code codeOf(const error &Error) {
  switch (Error.Kind) {
  case error_kind::InvalidInput:
  case error_kind::NotFound:
    return ExitBadInput;
  case error_kind::Conflict:
    return ExitConflict;
  case error_kind::Unavailable:
    return ExitUnavailable;
  case error_kind::Unknown:
    break;
  }
  return ExitUnknown;
}

/// One run of the command with its options.
class command {
public:
  command(const cxxopts::ParseResult &Options,
          std::vector<std::string> Arguments)
      : Options(Options), Arguments(std::move(Arguments)),
        AsJson(Options.count("json") > 0) {}

  int check();
  int diff();
  int publish();
  int zone();
  int status();
  int explain();
  int metrics();

private:
  /// A folder to publish and the version that it would replace.
  struct change {
    configuration Current;
    configuration Next;
    std::uint64_t Version = 0;
  };

  int fail(const error &Error) const;
  result<change> readChange(platform_client &Service) const;
  int tell(const Object &Json, const std::string &Text) const;
  int tellFindings(Object Json, const std::string &Summary,
                   const std::vector<finding> &Findings,
                   const std::vector<entry_change> *Changes) const;
  result<configuration> readAgainst(const std::string &Source) const;
  result<platform_client> platform() const;
  result<std::vector<listed_vm>> listVms() const;
  int publishConfiguration(platform_client &Service, const configuration &Next,
                           std::uint64_t Base);
  int awaitEverywhere(std::uint64_t Version);
  std::vector<std::string> missing(std::uint64_t Version,
                                   milliseconds &Lease) const;
  result<std::pair<configuration, std::uint64_t>>
  readCurrent(platform_client &Service) const;
  std::uint16_t adminPort() const {
    return Options["admin-port"].as<std::uint16_t>();
  }

  const cxxopts::ParseResult &Options;
  std::vector<std::string> Arguments;
  bool AsJson;
};

int command::fail(const error &Error) const {
  if (AsJson) {
    Object Json;
    Json.set("error", Error.Message);
    Json.set("exit_code", static_cast<int>(codeOf(Error)));
    std::ostringstream Text;
    Json.stringify(Text);
    fmt::print("{}\n", Text.str());
  }
  fmt::print(stderr, "agatedalectl: {}\n", Error.Message);
  return codeOf(Error);
}

int command::tell(const Object &Json, const std::string &Text) const {
  if (!AsJson) {
    fmt::print("{}\n", Text);
    return ExitOk;
  }
  std::ostringstream Output;
  Json.stringify(Output);
  fmt::print("{}\n", Output.str());
  return ExitOk;
}

result<platform_client> command::platform() const {
  return platform_client::create(Options["platform"].as<std::string>(),
                                 StoreTimeout);
}

result<std::vector<listed_vm>> command::listVms() const {
  result<platform_client> Service = platform();
  if (const error *Error = errorOf(Service))
    return *Error;
  return valueOf(Service).listVms();
}

/// Reads the configuration in force; version 0 with an empty one when nothing
/// is published yet.
result<std::pair<configuration, std::uint64_t>>
command::readCurrent(platform_client &Service) const {
  const result<published_configuration> Published =
      readPublishedConfiguration(Service);
  if (const error *Error = errorOf(Published)) {
    if (Error->Kind == error_kind::NotFound)
      return std::pair{configuration(), std::uint64_t{0}};
    return *Error;
  }
  const published_configuration &Current = valueOf(Published);
  result<configuration> Parsed = configuration::fromDocument(
      Current.Document, fmt::format("version {}", Current.Version));
  if (const error *Error = errorOf(Parsed))
    return *Error;
  return std::pair{moveValue(std::move(Parsed)), Current.Version};
}

/// Prints the findings and, if \p Changes is given, the difference.
int command::tellFindings(Object Json, const std::string &Summary,
                          const std::vector<finding> &Findings,
                          const std::vector<entry_change> *Changes) const {
  std::string Text;
  Array::Ptr List = new Array;
  for (const finding &Finding : Findings) {
    Text += fmt::format(
        "{}{}{}: {}: {}\n", Finding.Place, Finding.Place.empty() ? "" : ": ",
        toText(Finding.Severity), toText(Finding.Kind), Finding.Text);
    Object::Ptr One = new Object;
    One->set("severity", std::string(toText(Finding.Severity)));
    One->set("kind", std::string(toText(Finding.Kind)));
    One->set("place", Finding.Place);
    One->set("text", Finding.Text);
    List->add(One);
  }
  Json.set("good", Findings.empty());
  Json.set("findings", List);
  if (Changes) {
    Array::Ptr All = new Array;
    for (const entry_change &Change : *Changes) {
      Text += fmt::format("{} {}\n", toText(Change.Kind), Change.Entry);
      Object::Ptr Old = new Object;
      Object::Ptr New = new Object;
      for (const field_change &Field : Change.Fields) {
        if (Change.Kind == entry_change_kind::Changed)
          Text += fmt::format("    {}: '{}' -> '{}'\n", Field.Name,
                              Field.Before, Field.After);
        if (Change.Kind != entry_change_kind::Added)
          Old->set(Field.Name, Field.Before);
        if (Change.Kind != entry_change_kind::Removed)
          New->set(Field.Name, Field.After);
      }
      Object::Ptr One = new Object;
      One->set("change", std::string(toText(Change.Kind)));
      One->set("entry", Change.Entry);
      One->set("old", Old);
      One->set("new", New);
      All->add(One);
    }
    Json.set("changes", All);
    if (Changes->empty())
      Text += "no difference\n";
  }
  Text += Summary;
  if (Text.ends_with('\n'))
    Text.pop_back();
  tell(Json, Text);
  return Findings.empty() ? ExitOk : ExitBadInput;
}

/// Reads the configuration that --against names.
result<configuration> command::readAgainst(const std::string &Source) const {
  if (Source != "in-force") {
    std::ifstream Input(Source, std::ios::binary);
    std::ostringstream Text;
    if (!(Text << Input.rdbuf()))
      return error{error_kind::NotFound,
                   fmt::format("{}: cannot be read", Source)};
    return configuration::fromDocument(Text.str(), Source);
  }
  auto Service = platform();
  if (const error *Error = errorOf(Service))
    return *Error;
  auto Current = readCurrent(valueOf(Service));
  if (const error *Error = errorOf(Current))
    return *Error;
  return std::move(valueOf(Current).first);
}

int command::check() {
  if (Arguments.size() != 1) {
    fmt::print(stderr, "agatedalectl: check takes one FOLDER\n");
    return ExitUsage;
  }
  auto Loaded = configuration::fromFolder(Arguments[0]);
  if (const error *Error = errorOf(Loaded))
    return tellFindings(Object(), "", {findingOf(*Error)}, nullptr);
  Object Json;
  std::vector<entry_change> Changes;
  const bool Compares = Options.count("against") > 0;
  if (Compares) {
    const std::string Source = Options["against"].as<std::string>();
    const auto Against = readAgainst(Source);
    if (const error *Error = errorOf(Against)) {
      fail(*Error);
      return ExitBadInput;
    }
    // Publishing keeps zones out that are out.
    auto Next = valueOf(Loaded).withDrainedZonesOf(valueOf(Against));
    if (const error *Error = errorOf(Next))
      return tellFindings(Object(), "", {findingOf(*Error)}, nullptr);
    Loaded = std::move(Next);
    Changes = configurationDifference(valueOf(Against), valueOf(Loaded));
    Json.set("against", Source);
  }
  const configuration &Config = valueOf(Loaded);
  const std::vector<finding> Findings = checkConfiguration(Config);
  Json.set("services", Config.services().size());
  Json.set("servers", Config.servers().size());
  Json.set("groups", Config.groups().size());
  return tellFindings(
      Json,
      Findings.empty()
          ? fmt::format("good: {} services, {} backend servers in {} "
                        "server groups, {} routes, {} client accounts",
                        Config.services().size(), Config.servers().size(),
                        Config.groups().size(), Config.routes().size(),
                        Config.accounts().size())
          : fmt::format("{} finding{}", Findings.size(),
                        Findings.size() == 1 ? "" : "s"),
      Findings, Compares ? &Changes : nullptr);
}

/// Reads the folder that the command names, and what publishing it would
/// replace. Zones that are out stay out.
result<command::change> command::readChange(platform_client &Service) const {
  if (Arguments.size() != 1)
    return error{error_kind::InvalidInput, "expected one FOLDER"};
  const auto Loaded = configuration::fromFolder(Arguments[0]);
  if (const error *Error = errorOf(Loaded))
    return *Error;
  auto Current = readCurrent(Service);
  if (const error *Error = errorOf(Current))
    return *Error;
  auto Next = valueOf(Loaded).withDrainedZonesOf(valueOf(Current).first);
  if (const error *Error = errorOf(Next))
    return *Error;
  return change{std::move(valueOf(Current).first), moveValue(std::move(Next)),
                valueOf(Current).second};
}

int command::diff() {
  auto Service = platform();
  if (const error *Error = errorOf(Service))
    return fail(*Error);
  const auto Change = readChange(valueOf(Service));
  if (const error *Error = errorOf(Change))
    return fail(*Error);
  const auto &[Current, Next, Version] = valueOf(Change);
  const std::vector<std::string> Lines =
      diffDocuments(Current.toDocument(), Next.toDocument());
  Array::Ptr All = new Array;
  for (const std::string &Line : Lines)
    All->add(Line);
  Object Json;
  Json.set("against_version", Version);
  Json.set("changes", All);
  tell(Json, Lines.empty() ? fmt::format("no difference to version {}", Version)
                           : fmt::format("{}", fmt::join(Lines, "\n")));
  return Lines.empty() ? ExitOk : ExitDiffers;
}

int command::publish() {
  auto Service = platform();
  if (const error *Error = errorOf(Service))
    return fail(*Error);
  const auto Change = readChange(valueOf(Service));
  if (const error *Error = errorOf(Change))
    return fail(*Error);
  const std::uint64_t Base = Options.count("base")
                                 ? Options["base"].as<std::uint64_t>()
                                 : valueOf(Change).Version;
  return publishConfiguration(valueOf(Service), valueOf(Change).Next, Base);
}

int command::zone() {
  const bool Good =
      Arguments.size() == 2 && (Arguments[0] == "out" || Arguments[0] == "in");
  if (!Good)
    return fail(
        {error_kind::InvalidInput, "zone takes 'out ZONE' or 'in ZONE'"});
  auto Service = platform();
  if (const error *Error = errorOf(Service))
    return fail(*Error);
  const auto Current = readCurrent(valueOf(Service));
  if (const error *Error = errorOf(Current))
    return fail(*Error);
  const auto Next = valueOf(Current).first.withZoneDrained(
      Arguments[1], Arguments[0] == "out");
  if (const error *Error = errorOf(Next))
    return fail(*Error);
  return publishConfiguration(valueOf(Service), valueOf(Next),
                              valueOf(Current).second);
}

int command::publishConfiguration(platform_client &Service,
                                  const configuration &Next,
                                  std::uint64_t Base) {
  std::string ChangeId = Options["change-id"].as<std::string>();
  if (ChangeId.empty())
    ChangeId =
        Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  const auto Published =
      publishDocument(Service, Next.toDocument(), ChangeId,
                      Options["operator"].as<std::string>(), Base, SettleTries);
  if (const error *Error = errorOf(Published))
    return fail(*Error);
  return awaitEverywhere(valueOf(Published));
}

/// Returns the entry VMs where \p Version is not known to be in force, and
/// learns the configuration lease from those that answer.
std::vector<std::string> command::missing(std::uint64_t Version,
                                          milliseconds &Lease) const {
  std::vector<std::string> Names;
  const auto Vms = listVms();
  if (errorOf(Vms))
    return {"(the list of VMs is not to be had)"};
  for (const listed_vm &Vm : valueOf(Vms)) {
    const auto Status = askVm(Vm, adminPort(), "/status", VmTimeout);
    if (errorOf(Status)) {
      Names.push_back(Vm.Name);
      continue;
    }
    const Object &Json = *valueOf(Status);
    Lease = milliseconds(Json.getValue<std::int64_t>("configuration_lease_ms"));
    if (Json.getValue<std::uint64_t>("configuration") < Version)
      Names.push_back(Vm.Name);
  }
  return Names;
}

int command::awaitEverywhere(std::uint64_t Version) {
  const auto Begin = std::chrono::steady_clock::now();
  const auto End =
      Begin + std::chrono::seconds(Options["wait-s"].as<unsigned>());
  milliseconds Lease{60'000};
  std::vector<std::string> Missing;
  std::vector<std::string> AloneSince;
  auto Alone = Begin;
  do {
    Missing = missing(Version, Lease);
    if (Missing != AloneSince) {
      AloneSince = Missing;
      Alone = std::chrono::steady_clock::now();
    }
    // One entry VM that is cut off hears neither store nor peer, so its right
    // to serve has lapsed after the lease. Two could keep each other going.
    const bool Lapsed = Missing.size() == 1 && Missing[0][0] != '(' &&
                        std::chrono::steady_clock::now() - Alone >
                            Lease + std::chrono::seconds(1);
    if (Missing.empty() || Lapsed) {
      Object Json;
      Json.set("state", "accepted");
      Json.set("version", Version);
      Json.set("lapsed", Lapsed ? Missing[0] : "");
      return tell(Json, fmt::format("accepted: version {} is in force "
                                    "everywhere{}",
                                    Version,
                                    Lapsed ? fmt::format(" ({} serves no more)",
                                                         Missing[0])
                                           : ""));
    }
    std::this_thread::sleep_for(PollStep);
  } while (std::chrono::steady_clock::now() < End);
  Object Json;
  Array::Ptr Names = new Array;
  for (const std::string &Name : Missing)
    Names->add(Name);
  Json.set("state", "pending");
  Json.set("version", Version);
  Json.set("missing", Names);
  tell(Json, fmt::format("pending: version {} is published, and not yet known "
                         "to be in force on: {}",
                         Version, fmt::join(Missing, ", ")));
  return ExitPending;
}

int command::status() {
  const auto Vms = listVms();
  if (const error *Error = errorOf(Vms))
    return fail(*Error);
  Array::Ptr All = new Array;
  std::string Text;
  int Silent = 0;
  for (const listed_vm &Vm : valueOf(Vms)) {
    const auto Status = askVm(Vm, adminPort(), "/status", VmTimeout);
    if (const error *Error = errorOf(Status)) {
      ++Silent;
      Text += fmt::format("{:<16} {:<14} does not answer: {}\n", Vm.Name,
                          Vm.Zone, Error->Message);
      Object::Ptr Json = new Object;
      Json->set("vm", Vm.Name);
      Json->set("error", Error->Message);
      All->add(Json);
      continue;
    }
    const Object::Ptr &Json = valueOf(Status);
    All->add(Json);
    Text += fmt::format(
        "{:<16} {:<14} {:<9} version {} roster {} groups {} key partitions "
        "{} link bytes {} control bytes {}\n",
        Vm.Name, Vm.Zone,
        Json->getValue<bool>("ready")     ? "ready"
        : Json->getValue<bool>("leaving") ? "leaving"
                                          : "not-ready",
        Json->getValue<std::uint64_t>("configuration"),
        Json->getValue<std::uint64_t>("roster_epoch"),
        Json->getArray("groups")->size(),
        Json->getArray("key_partitions")->size(),
        Json->getObject("link_bytes")->getValue<std::int64_t>("answers") +
            Json->getObject("link_bytes")->getValue<std::int64_t>("bulk"),
        Json->getValue<std::uint64_t>("control_bytes"));
    const Array::Ptr Groups = Json->getArray("groups");
    for (std::size_t I = 0; I < Groups->size(); ++I) {
      const Object::Ptr Group = Groups->getObject(static_cast<unsigned>(I));
      Text += fmt::format(
          "    owns {:<28} queued {} in flight {} of {} sent "
          "{} refused {}\n",
          Group->getValue<std::string>("group"), Group->getValue<int>("queued"),
          Group->getValue<int>("in_flight"), Group->getValue<int>("limit"),
          Group->getValue<std::uint64_t>("sent"),
          Group->getValue<std::uint64_t>("refused"));
    }
  }
  Object Json;
  Json.set("vms", All);
  tell(Json, Text);
  return Silent > 0 ? ExitUnavailable : ExitOk;
}

int command::explain() {
  if (Arguments.size() > 1)
    return fail({error_kind::InvalidInput,
                 "explain takes a service, a request id, or nothing"});
  const auto Vms = listVms();
  if (const error *Error = errorOf(Vms))
    return fail(*Error);
  std::string Encoded;
  Poco::URI::encode(Arguments.empty() ? "" : Arguments[0], "&=?#%+", Encoded);
  std::multimap<std::int64_t, Object::Ptr> Events;
  for (const listed_vm &Vm : valueOf(Vms)) {
    const auto Told =
        askVm(Vm, adminPort(), "/explain?subject=" + Encoded, VmTimeout);
    if (errorOf(Told))
      continue;
    const Array::Ptr List = valueOf(Told)->getArray("events");
    for (std::size_t I = 0; I < List->size(); ++I) {
      const Object::Ptr Event = List->getObject(static_cast<unsigned>(I));
      Events.emplace(Event->getValue<std::int64_t>("at_ms"), Event);
    }
  }
  Array::Ptr All = new Array;
  std::string Text;
  for (const auto &[At, Event] : Events) {
    All->add(Event);
    Text += fmt::format("{} {:<16} {:<22} {:<14} {} {}\n", At,
                        Event->getValue<std::string>("vm"),
                        Event->getValue<std::string>("event"),
                        Event->getValue<std::string>("subject"),
                        Event->getValue<std::string>("request_id"),
                        Event->getValue<std::string>("detail"));
  }
  Object Json;
  Json.set("events", All);
  return tell(Json, Text.empty() ? "nothing is known about it" : Text);
}

int command::metrics() {
  if (Arguments.size() != 1)
    return fail({error_kind::InvalidInput, "metrics takes one VM"});
  const auto Vms = listVms();
  if (const error *Error = errorOf(Vms))
    return fail(*Error);
  for (const listed_vm &Vm : valueOf(Vms)) {
    if (Vm.Name != Arguments[0])
      continue;
    const auto Text = httpGet(Vm.Ip, adminPort(), "/metrics", VmTimeout);
    if (const error *Error = errorOf(Text))
      return fail(*Error);
    Object Json;
    Json.set("metrics", valueOf(Text));
    return tell(Json, valueOf(Text));
  }
  return fail(
      {error_kind::NotFound,
       fmt::format("'{}' is not on the platform's list of VMs", Arguments[0])});
}

/// A subcommand with what its help says.
struct subcommand {
  std::string Usage;
  std::string Help;
  std::function<int(command &)> Run;
};

const std::map<std::string, subcommand> &subcommands() {
  static const std::map<std::string, subcommand> Known{
      {"check",
       {"check FOLDER",
        "Checks a configuration folder without publishing it. With --against\n"
        "FILE|in-force it also shows the difference to that version. Exit\n"
        "codes: 0 nothing found, 1 findings or errors, 2 wrong usage.",
        &command::check}},
      {"diff",
       {"diff FOLDER", "Shows what publishing the folder would change.",
        &command::diff}},
      {"publish",
       {"publish FOLDER",
        "Publishes the folder as the next version and waits until it is in\n"
        "force everywhere. Zones that are out stay out.",
        &command::publish}},
      {"zone",
       {"zone out|in ZONE",
        "Takes an availability zone out, or brings it back.", &command::zone}},
      {"status",
       {"status", "Shows every entry VM and what it owns.", &command::status}},
      {"explain",
       {"explain [SERVICE|REQUEST-ID]",
        "Shows the decisions that the fleet remembers, with their reasons.",
        &command::explain}},
      {"metrics",
       {"metrics VM", "Prints one VM's metrics.", &command::metrics}},
  };
  return Known;
}

cxxopts::Options makeOptions() {
  cxxopts::Options Options("agatedalectl", "Operates a fleet of agatedale.");
  Options.add_options()(
      "platform", "ip:port of the platform's service",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
      "admin-port", "admin port of the entry VMs",
      cxxopts::value<std::uint16_t>()->default_value("8081"))(
      "operator", "your name, told to operators whose change came later",
      cxxopts::value<std::string>()->default_value(
          std::getenv("USER") ? std::getenv("USER") : "operator"))(
      "change-id",
      "identifier of the change; give the same one to run a "
      "publish again whose outcome is unknown",
      cxxopts::value<std::string>()->default_value(""))(
      "against", "check: a document, or in-force for the published version",
      cxxopts::value<std::string>())("base",
                                     "publish only if this version is in force",
                                     cxxopts::value<std::uint64_t>())(
      "wait-s", "how long to wait until it is in force everywhere",
      cxxopts::value<unsigned>()->default_value("15"))("json", "print JSON")(
      "version", "print the version")(
      "help", "print help; after a command, that command's")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  Options.parse_positional("words");
  Options.positional_help("COMMAND [ARGUMENTS]");
  return Options;
}

void printHelp(const cxxopts::Options &Options, const std::string &Name) {
  const auto Found = subcommands().find(Name);
  if (Found != subcommands().end()) {
    fmt::print("agatedalectl {} [OPTIONS]\n\n{}\n\n", Found->second.Usage,
               Found->second.Help);
  } else {
    fmt::print("Commands:\n");
    for (const auto &[Word, Command] : subcommands())
      fmt::print("  {:<30} {}\n", Command.Usage, Command.Help);
    fmt::print("\n");
  }
  fmt::print("{}\nExit codes: 0 done, 1 bad input, 2 wrong usage, 3 another "
             "change came first,\n4 not reachable, 5 outcome unknown, 6 "
             "pending, 7 diff found differences\n",
             Options.help());
}

int run(const cxxopts::Options &Options, const cxxopts::ParseResult &Parsed) {
  std::vector<std::string> Words;
  if (Parsed.count("words"))
    Words = Parsed["words"].as<std::vector<std::string>>();
  if (Parsed.count("version")) {
    fmt::print("agatedalectl {}\n", AGATEDALE_VERSION);
    return ExitOk;
  }
  if (Parsed.count("help") || Words.empty()) {
    printHelp(Options, Words.empty() ? "" : Words[0]);
    return Parsed.count("help") ? ExitOk : ExitUsage;
  }
  const auto Found = subcommands().find(Words[0]);
  if (Found == subcommands().end()) {
    fmt::print(stderr, "agatedalectl: '{}' is no command; try --help\n",
               Words[0]);
    return ExitUsage;
  }
  command Command(Parsed, {Words.begin() + 1, Words.end()});
  return Found->second.Run(Command);
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options = makeOptions();
  try {
    return run(Options, Options.parse(Argc, Argv));
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "agatedalectl: {}\n", Failure.what());
    return ExitUsage;
  }
}
