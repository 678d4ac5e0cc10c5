/// \file
/// Replacement of headers.
#include "agatedale/http_message.h"

namespace agatedale {

// Not inline: it would keep the compiler from inlining what requests without a
// key use.
void header_list::replace(std::string_view Old, std::string_view Name,
                          std::string_view Value) {
  // Few headers have a name of either length, and most callers write a name in
  // its usual case, which is compared faster.
  const auto HasLength = [Old, Name](const header &Header) {
    return Header.first.size() == Old.size() ||
           Header.first.size() == Name.size();
  };
  const auto IsMeant = [Old, Name](const header &Header) {
    const std::string &Text = Header.first;
    return Text == Old || Text == Name || equalNames(Text, Old) ||
           equalNames(Text, Name);
  };
  const auto End = All.end();
  auto Found = All.begin();
  while (Found != End && !(HasLength(*Found) && IsMeant(*Found)))
    ++Found;
  if (!Value.empty()) {
    if (Found == End)
      return add(Name, Value);
    Found->first.assign(Name);
    Found->second.assign(Value);
    ++Found;
  }
  // Usually there is nothing to remove, so nothing is moved up to here.
  while (Found != End && !(HasLength(*Found) && IsMeant(*Found)))
    ++Found;
  if (Found != End)
    All.erase(std::remove_if(Found, End, IsMeant), End);
}

} // namespace agatedale
