/// \file
/// agatedale-latency: what a hop through entry VMs adds to a call. It sends the
/// same request directly to a backend server and through each given entry VM in
/// turn, over kept connections, and prints quantiles of each and of the
/// differences pair by pair.
#include "agatedale/clock.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;

/// One way to reach a backend server, with the times that it took.
struct path {
  std::string Name;
  std::unique_ptr<Poco::Net::HTTPClientSession> Session;
  std::vector<double> Micros;
};

path openPath(const std::string &Spec) {
  const std::size_t Equals = Spec.find('=');
  const Poco::Net::SocketAddress Address(Spec.substr(Equals + 1));
  path Path{Spec.substr(0, Equals),
            std::make_unique<Poco::Net::HTTPClientSession>(
                Address.host().toString(), Address.port()),
            {}};
  Path.Session->setKeepAlive(true);
  return Path;
}

double callOnce(path &Path, const std::string &Account) {
  const auto Begin = clock_type::now();
  Poco::Net::HTTPRequest Request("GET", "/status", "HTTP/1.1");
  Request.setKeepAlive(true);
  Request.set("Client-Account", Account);
  Path.Session->sendRequest(Request);
  Poco::Net::HTTPResponse Response;
  std::string Text;
  Poco::StreamCopier::copyToString(Path.Session->receiveResponse(Response),
                                   Text);
  if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    throw Poco::Exception(fmt::format("{}: status {}", Path.Name,
                                      static_cast<int>(Response.getStatus())));
  return std::chrono::duration<double, std::micro>(clock_type::now() - Begin)
      .count();
}

double quantile(std::vector<double> Values, double Share) {
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

void print(const std::string &Name, const std::vector<double> &Micros) {
  fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} |\n", Name, quantile(Micros, 0.5),
             quantile(Micros, 0.99), quantile(Micros, 0.999));
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("agatedale-latency",
                           "Measures what a hop adds, in microseconds.");
  Options.add_options()("path", "name=ip:port; the first is the direct one",
                        cxxopts::value<std::vector<std::string>>())(
      "rounds", "calls over each path",
      cxxopts::value<int>()->default_value("5000"))(
      "account", "client account",
      cxxopts::value<std::string>()->default_value("families"))(
      "help", "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") || !Parsed.count("path")) {
      fmt::print("{}", Options.help());
      return Parsed.count("help") ? 0 : 2;
    }
    std::vector<path> Paths;
    for (const std::string &Spec :
         Parsed["path"].as<std::vector<std::string>>())
      Paths.push_back(openPath(Spec));
    const int Rounds = Parsed["rounds"].as<int>();
    const int WarmUp = Rounds / 10;
    for (int Round = 0; Round < Rounds + WarmUp; ++Round) {
      for (path &Path : Paths) {
        const double Micros =
            callOnce(Path, Parsed["account"].as<std::string>());
        if (Round >= WarmUp)
          Path.Micros.push_back(Micros);
      }
    }
    fmt::print("| path | p50 us | p99 us | p99.9 us |\n|---|---|---|---|\n");
    for (const path &Path : Paths)
      print(Path.Name, Path.Micros);
    for (std::size_t I = 1; I < Paths.size(); ++I) {
      std::vector<double> Added;
      for (std::size_t J = 0; J < Paths[I].Micros.size(); ++J)
        Added.push_back(Paths[I].Micros[J] - Paths[0].Micros[J]);
      print("added by " + Paths[I].Name, Added);
    }
    return 0;
  } catch (const cxxopts::exceptions::exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.what());
    return 2;
  } catch (const Poco::Exception &Failure) {
    fmt::print(stderr, "{}\n", Failure.displayText());
    return 1;
  }
}
