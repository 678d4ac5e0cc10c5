/// \file
/// Validation of TOML values and suggestions for misspelled keys.
#include "toml_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <sstream>

namespace agatedale {

namespace {

/// Edit distance from which a known key is no longer suggested.
constexpr std::size_t MaxSuggestionDistance = 4;

std::size_t editDistance(std::string_view Left, std::string_view Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Above = Row[J];
      const std::size_t Substitute =
          Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Row[J] = std::min({Above + 1, Row[J - 1] + 1, Substitute});
      Diagonal = Above;
    }
  }
  return Row[Right.size()];
}

} // namespace

std::string placeOf(const toml::node &Node) {
  const toml::source_region &Source = Node.source();
  return fmt::format("{}:{}", Source.path ? *Source.path : "document",
                     Source.begin.line);
}

error errorAt(const toml::node &Node, std::string_view Path,
              std::string_view Reason) {
  return {error_kind::InvalidInput,
          fmt::format("{}: key '{}': {}", placeOf(Node), Path, Reason)};
}

std::string_view nearestWord(std::string_view Word,
                             const std::set<std::string, std::less<>> &Words) {
  std::string_view Nearest;
  std::size_t LeastDistance = MaxSuggestionDistance;
  for (const std::string &Candidate : Words) {
    const std::size_t Distance = editDistance(Word, Candidate);
    if (Distance >= LeastDistance)
      continue;
    LeastDistance = Distance;
    Nearest = Candidate;
  }
  return Nearest;
}

const toml::node *toml_reader::readNode(std::string_view Key) {
  KnownKeys.emplace(Key);
  return Table.get(Key);
}

void toml_reader::addError(std::string_view Key, std::string_view Reason) {
  const toml::node *Node = Table.get(Key);
  const std::string Full =
      Path.empty() ? std::string(Key) : fmt::format("{}.{}", Path, Key);
  Errors.push_back(errorAt(Node ? *Node : Table, Full, Reason));
}

std::string toml_reader::stringValue(std::string_view Key,
                                     std::string Default) {
  const toml::node *Node = readNode(Key);
  if (!Node)
    return Default;
  if (auto Value = Node->value_exact<std::string>())
    return *Value;
  addError(Key, "expected a string");
  return Default;
}

std::string toml_reader::requiredString(std::string_view Key) {
  std::string Value = stringValue(Key, "");
  if (Value.empty() && Errors.empty())
    addError(Key, "required, but missing or empty");
  return Value;
}

std::string toml_reader::choice(std::string_view Key, std::string Default,
                                const std::vector<std::string> &Allowed) {
  std::string Value = stringValue(Key, std::move(Default));
  if (std::find(Allowed.begin(), Allowed.end(), Value) == Allowed.end())
    addError(Key, fmt::format("invalid value '{}'; expected one of: {}", Value,
                              fmt::join(Allowed, ", ")));
  return Value;
}

std::int64_t toml_reader::integer(std::string_view Key, std::int64_t Default,
                                  std::int64_t Min, std::int64_t Max) {
  const toml::node *Node = readNode(Key);
  if (!Node)
    return Default;
  const auto Value = Node->value_exact<std::int64_t>();
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  addError(Key, fmt::format("expected a whole number from {} to {}", Min, Max));
  return Default;
}

double toml_reader::number(std::string_view Key, double Default, double Min,
                           double Max) {
  const toml::node *Node = readNode(Key);
  if (!Node)
    return Default;
  const auto Value = Node->value<double>();
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  addError(Key, fmt::format("expected a number from {} to {}", Min, Max));
  return Default;
}

bool toml_reader::boolean(std::string_view Key, bool Default) {
  const toml::node *Node = readNode(Key);
  if (!Node)
    return Default;
  if (auto Value = Node->value_exact<bool>())
    return *Value;
  addError(Key, "expected true or false");
  return Default;
}

std::vector<std::string> toml_reader::stringList(std::string_view Key) {
  std::vector<std::string> Values;
  const toml::node *Node = readNode(Key);
  if (!Node)
    return Values;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    addError(Key, "expected an array of strings, such as [\"a\", \"b\"]");
    return Values;
  }
  for (const toml::node &Element : *Array) {
    if (auto Value = Element.value_exact<std::string>())
      Values.push_back(*Value);
    else
      addError(Key, "expected an array of strings only");
  }
  return Values;
}

const toml::table *toml_reader::table(std::string_view Key) {
  const toml::node *Node = readNode(Key);
  if (!Node)
    return nullptr;
  if (const toml::table *Value = Node->as_table())
    return Value;
  addError(Key, "expected a table");
  return nullptr;
}

const error *toml_reader::finish() {
  for (const auto &[Key, Node] : Table) {
    if (KnownKeys.contains(Key.str()))
      continue;
    const std::string_view Nearest = nearestWord(Key.str(), KnownKeys);
    addError(Key.str(),
             Nearest.empty()
                 ? fmt::format("unknown key; known keys: {}",
                               fmt::join(KnownKeys, ", "))
                 : fmt::format("unknown key; did you mean '{}'?", Nearest));
  }
  return Errors.empty() ? nullptr : &Errors.front();
}

result<toml::table> parseToml(std::string_view Text, std::string_view Source) {
  try {
    return toml::parse(Text, Source);
  } catch (const toml::parse_error &Failure) {
    const toml::source_position &Where = Failure.source().begin;
    return error{error_kind::InvalidInput,
                 fmt::format("{}:{}:{}: {}", Source, Where.line, Where.column,
                             Failure.description())};
  } catch (const std::logic_error &Failure) {
    return error{error_kind::InvalidInput,
                 fmt::format("{}: unreadable: {}", Source, Failure.what())};
  }
}

result<toml::table> parseTomlFile(const std::filesystem::path &File) {
  std::ifstream Input(File, std::ios::binary);
  if (!Input)
    return error{
        error_kind::NotFound,
        fmt::format("{}: cannot be opened for reading", File.string())};
  std::ostringstream Text;
  Text << Input.rdbuf();
  return parseToml(Text.str(), File.string());
}

} // namespace agatedale
