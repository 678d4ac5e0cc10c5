/// \file
/// Calls of the project's stand-in.
#include "store_standin.h"

#include "platform/standins/store_standin.h"

namespace agatedale::review {

store::store(const std::string &Address)
    : Standin(moveValue(platform::store_standin::start(Address))) {}

store::~store() = default;

void store::put(const std::string &Table, const std::string &Key,
                const std::string &Value) {
  Standin->put(Table, Key, Value);
}

} // namespace agatedale::review
