/// \file
/// agatedale-accounts: processor time of a request with a client's key compared
/// with one without, for docs/design/accounts.md. Measured are the decoding,
/// the decisions and the encoding of a request and its response, once alone and
/// once with one call of the system for each message that the gateway reads or
/// sends. The event loop, its timers and TCP are left out: the true ratio is
/// lower.
///
/// With the argument "with" or "without" the program handles its requests once,
/// so that their instructions can be counted, which a busy machine does not
/// change:
///
///   valgrind --tool=callgrind --toggle-collect='*handleAll*'
///       build/bin/agatedale-accounts with
#include "agatedale/account_gate.h"
#include "agatedale/configuration_proof.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "src/gateway/http_codec.h"

#include <fmt/format.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <thread>
#include <vector>

namespace {

using namespace agatedale;

/// As many as a fleet may have; a table of this size is not in the caches.
constexpr int Accounts = 20'000;
constexpr int Requests = 20'000;
constexpr int Runs = 15;

/// Prevents the work from being optimised away.
std::size_t Total = 0;

configuration makeConfiguration(bool WithAccounts) {
  configuration_parts Parts;
  Parts.Zones = {{"a", "r", false}};
  Parts.Services.emplace_back().Name = "desk";
  for (int I = 0; I < 12; ++I) {
    route &Route = Parts.Routes.emplace_back();
    Route.Name = fmt::format("r-{}", I);
    Route.Host = "shop.example";
    Route.PathPrefix = fmt::format("/p{}/", I);
    Route.Service = "desk";
    Route.Split = {{"desk", 1}};
  }
  if (WithAccounts)
    Parts.Accounts.emplace();
  for (int I = 0; WithAccounts && I < Accounts; ++I) {
    client_account &Account = Parts.Accounts->emplace_back();
    Account.Name = fmt::format("account-{}", I);
    Account.Keys = {fmt::format("key-{:032x}", I * 2654435761U)};
  }
  return moveValue(configuration::fromParts(std::move(Parts)));
}

std::vector<std::string> makeRequests(const configuration &Config) {
  std::vector<std::string> Texts;
  auto Account = Config.accounts().begin();
  for (int I = 0; I < Requests; ++I) {
    std::string Header;
    if (Account != Config.accounts().end()) {
      Header = fmt::format("{}: {}\r\n", platform::ClientKeyHeader,
                           Account->second.Keys.front());
      if (++Account == Config.accounts().end())
        Account = Config.accounts().begin();
    }
    Texts.push_back(fmt::format(
        "GET /p{}/things/{}?page=2 HTTP/1.1\r\nHost: shop.example\r\n{}"
        "User-Agent: client/1.0\r\nAccept: application/json\r\n"
        "{}: id-{}\r\n{}: 900\r\n\r\n",
        I % 12, I, Header, platform::RequestIdHeader, I,
        platform::DeadlineHeader));
  }
  return Texts;
}

double processorNanos() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return 1e9 * static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec);
}

const std::string Answer =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 100\r\n\r\n" +
    std::string(100, 'x');

/// Sockets to a caller and to a server, both played by another thread.
class remote_ends {
public:
  remote_ends() {
    socketpair(AF_UNIX, SOCK_SEQPACKET, 0, Caller.data());
    socketpair(AF_UNIX, SOCK_SEQPACKET, 0, Server.data());
  }
  ~remote_ends() {
    for (const int Socket : {Caller[0], Caller[1], Server[0], Server[1]})
      close(Socket);
  }
  remote_ends(const remote_ends &) = delete;
  remote_ends &operator=(const remote_ends &) = delete;

  static std::string receive(int Socket) {
    std::array<char, 4096> Bytes; // NOLINT: filled by recv
    const ssize_t Count = recv(Socket, Bytes.data(), Bytes.size(), 0);
    return {Bytes.data(),
            static_cast<std::size_t>(std::max<ssize_t>(Count, 0))};
  }
  static void send(int Socket, const std::string &Bytes) {
    static_cast<void>(::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL));
  }

  void play(const std::vector<std::string> &Texts) const {
    for (const std::string &Text : Texts) {
      send(Caller[1], Text);
      receive(Server[1]);
      send(Server[1], Answer);
      receive(Caller[1]);
    }
  }

  std::array<int, 2> Caller{};
  std::array<int, 2> Server{};
};

/// Returns the request for the server.
std::string prepare(const configuration &Config, account_gate &Gate,
                    const configuration_proof &Proof, const std::string &Text) {
  const time_point Now = std::chrono::steady_clock::now();
  std::string Buffer = Text;
  request_decoder Decoder(message_limits{});
  if (Decoder.feed(Buffer) != decode_state::Complete)
    return {};
  http_request_message Message = Decoder.takeMessage();
  const route *Route =
      Config.findRouteForHost(Message.Headers.get("Host"), Message.Target);
  if (Config.directory().requiresAccount()) {
    const account_admission Found = Gate.admit(
        Config.directory(), platform::readClientKey(Message), {Now, Now, Now});
    platform::setAccountHeaders(Message, Found.Account->Name);
    Total += Proof.mayAdmit(Now, Now) ? Found.KeyCheck : 0;
    // On leaving the queue and on sending.
    for (int Check = 0; Check < 2; ++Check) {
      const refusal_reason Reason =
          Proof.reasonNotToRun({Found.Account->Name, Found.KeyCheck, 1, Now},
                               {Config.directory(), 1, Now}, Now);
      Total += static_cast<std::size_t>(Reason);
    }
    Total += commonHomes(*Route, Found.Account)->size();
  } else {
    Total += Route->Homes.size();
  }
  Total += platform::readMetadata(Message).Id.size();
  platform::setServerHeaders(Message, "i-1", std::chrono::milliseconds(800));
  return encodeRequest(Message, "10.0.0.1:80");
}

/// Returns the response for the caller.
std::string relay(const std::string &Text) {
  std::string Buffer = Text;
  response_decoder Decoder(message_limits{}, false);
  if (Decoder.feed(Buffer) != decode_state::Complete)
    return {};
  return encodeResponse(Decoder.takeMessage(), false, false);
}

/// Handles all requests without calls of the system. Not inlined, so that
/// callgrind can count its instructions.
[[gnu::noinline]] void handleAll(const configuration &Config,
                                 account_gate &Gate,
                                 const configuration_proof &Proof,
                                 const std::vector<std::string> &Texts) {
  for (const std::string &Text : Texts)
    Total += prepare(Config, Gate, Proof, Text).size() + relay(Answer).size();
}

/// Returns the processor time of a request, of all runs the median.
double nanosPerRequest(bool WithAccounts, bool WithCalls) {
  const configuration Config = makeConfiguration(WithAccounts);
  const std::vector<std::string> Texts = makeRequests(Config);
  const auto Proof = configuration_proof::create(std::chrono::seconds(5));
  account_gate Gate;
  std::array<double, Runs> Times{};
  for (double &Time : Times) {
    const remote_ends Ends;
    std::jthread Remote;
    if (WithCalls)
      Remote = std::jthread([&] { Ends.play(Texts); });
    const double Before = processorNanos();
    for (const std::string &Text : Texts) {
      const std::string Request =
          prepare(Config, Gate, Proof,
                  WithCalls ? remote_ends::receive(Ends.Caller[0]) : Text);
      if (WithCalls)
        remote_ends::send(Ends.Server[0], Request);
      const std::string Response =
          relay(WithCalls ? remote_ends::receive(Ends.Server[0]) : Answer);
      if (WithCalls)
        remote_ends::send(Ends.Caller[0], Response);
      Total += Request.size() + Response.size();
    }
    Time = (processorNanos() - Before) / Requests;
  }
  std::nth_element(Times.begin(), Times.begin() + Runs / 2, Times.end());
  return Times.at(Runs / 2);
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc > 1) {
    const configuration Config =
        makeConfiguration(std::string_view(Argv[1]) == "with");
    const std::vector<std::string> Texts = makeRequests(Config);
    account_gate Gate;
    handleAll(Config, Gate,
              configuration_proof::create(std::chrono::seconds(5)), Texts);
    fmt::print("{} requests handled ({})\n", Texts.size(), Total % 10);
    return 0;
  }
  double Ratio = 0;
  for (const bool WithCalls : {false, true}) {
    const double Without = nanosPerRequest(false, WithCalls);
    const double With = nanosPerRequest(true, WithCalls);
    Ratio = With / Without;
    fmt::print("{} calls: without a key {:.0f} ns, with a key among {} "
               "accounts {:.0f} ns, ratio {:.3f} ({})\n",
               WithCalls ? "with" : "without", Without, Accounts, With, Ratio,
               Total % 10);
  }
  const auto Begin = std::chrono::steady_clock::now();
  const configuration Config = makeConfiguration(true);
  const auto Built = std::chrono::steady_clock::now();
  fmt::print("configuration of {} accounts built in {:.1f} ms\n",
             Config.accounts().size(),
             std::chrono::duration<double, std::milli>(Built - Begin).count());
  return Ratio > 1.1 ? 1 : 0;
}
