/// \file
/// review-2 CASE GATEWAY FOLDER RECORD: runs one case of the second review.
#include "cases.h"

#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <map>
#include <string>
#include <string_view>

using namespace agatedale::review;

int main(int Argc, char **Argv) {
  using run = int (*)(const case_settings &, record &);
  const std::map<std::string, run> Cases{
      {"head-memory", runHeadMemory},
      {"last-account", runLastAccount},
      {"unknown-region", runUnknownRegion},
      {"connection-lists", runConnectionLists},
      {"split-weights", runSplitWeights},
  };
  if (Argc != 5 || !Cases.contains(Argv[1])) {
    fmt::print(stderr, "usage: review-2 CASE GATEWAY FOLDER RECORD\n");
    return CannotRun;
  }
  const char *Trouble = std::getenv("TROUBLE");
  const case_settings Settings{Argv[2], Argv[3],
                               !Trouble || std::string_view(Trouble) != "0"};
  record Record(Argv[4]);
  try {
    const int Result = Cases.at(Argv[1])(Settings, Record);
    Record.line(fmt::format("exit code {}", Result));
    return Result;
  } catch (const std::exception &Failure) {
    Record.line(fmt::format("cannot run: {}", Failure.what()));
    return CannotRun;
  }
}
