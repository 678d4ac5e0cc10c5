/// \file
/// JSON encoding of rows of the table service.
#include "agatedale/publishing.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace agatedale {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string print(const Object &Json) {
  std::ostringstream Text;
  Json.stringify(Text);
  return Text.str();
}

Array::Ptr toJson(const std::vector<vm_id> &Ids) {
  Array::Ptr List = new Array;
  for (const vm_id &Id : Ids) {
    Object::Ptr Json = new Object;
    Json->set("name", Id.Name);
    Json->set("incarnation", Id.Incarnation);
    List->add(Json);
  }
  return List;
}

std::vector<vm_id> idsFromJson(const Array::Ptr &List) {
  std::vector<vm_id> Ids;
  for (std::size_t I = 0; I < List->size(); ++I) {
    const Object::Ptr Json = List->getObject(static_cast<unsigned>(I));
    Ids.push_back({Json->getValue<std::string>("name"),
                   Json->getValue<std::uint64_t>("incarnation")});
  }
  return Ids;
}

/// Parses \p Text and builds a value from it. Converts exceptions to errors.
template <typename T, typename Builder>
result<T> parseWith(std::string_view Text, Builder Build) {
  try {
    Poco::JSON::Parser Parser;
    const Object::Ptr Json =
        Parser.parse(std::string(Text)).extract<Object::Ptr>();
    return Build(*Json);
  } catch (const Poco::Exception &Failure) {
    return error{error_kind::InvalidInput,
                 "malformed row of the table service: " +
                     Failure.displayText()};
  }
}

} // namespace

std::string toJson(const configuration_record &Record) {
  Array::Ptr Changes = new Array;
  for (const configuration_change &Change : Record.Changes) {
    Object::Ptr Json = new Object;
    Json->set("version", Change.Version);
    Json->set("change_id", Change.ChangeId);
    Json->set("operator", Change.Operator);
    Changes->add(Json);
  }
  Object Json;
  Json.set("version", Record.Version);
  Json.set("object", Record.Object);
  Json.set("changes", Changes);
  return print(Json);
}

result<configuration_record> recordFromJson(std::string_view Text) {
  return parseWith<configuration_record>(Text, [](const Object &Json) {
    configuration_record Record;
    Record.Version = Json.getValue<std::uint64_t>("version");
    Record.Object = Json.getValue<std::string>("object");
    const Array::Ptr Changes = Json.getArray("changes");
    for (std::size_t I = 0; Changes && I < Changes->size(); ++I) {
      const Object::Ptr Change = Changes->getObject(static_cast<unsigned>(I));
      Record.Changes.push_back({Change->getValue<std::uint64_t>("version"),
                                Change->getValue<std::string>("change_id"),
                                Change->getValue<std::string>("operator")});
    }
    if (Record.Changes.empty())
      throw Poco::DataFormatException("'changes' is empty");
    return Record;
  });
}

std::string toJson(const roster &Roster) {
  Object Json;
  Json.set("epoch", Roster.Epoch);
  Json.set("voters", toJson(Roster.Voters));
  Json.set("prior", toJson(Roster.Prior));
  return print(Json);
}

result<roster> rosterFromJson(std::string_view Text) {
  return parseWith<roster>(Text, [](const Object &Json) {
    return roster{Json.getValue<std::uint64_t>("epoch"),
                  idsFromJson(Json.getArray("voters")),
                  idsFromJson(Json.getArray("prior"))};
  });
}

std::string rosterRowName(std::string_view Region) {
  return fmt::format("roster-{}", Region);
}

const configuration_change *findChange(const configuration_record &Record,
                                       std::string_view ChangeId) {
  for (const configuration_change &Change : Record.Changes) {
    if (Change.ChangeId == ChangeId)
      return &Change;
  }
  return nullptr;
}

} // namespace agatedale
