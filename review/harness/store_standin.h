/// \file
/// The platform's store, as the cases use it.
#pragma once

#include <memory>
#include <string>

namespace agatedale::platform {
class store_standin;
} // namespace agatedale::platform

namespace agatedale::review {

/// Runs the project's stand-in for the store.
class store {
public:
  explicit store(const std::string &Address);
  ~store();
  store(const store &) = delete;
  store &operator=(const store &) = delete;

  /// Writes a row as the operator and the backend servers do.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

private:
  std::unique_ptr<platform::store_standin> Standin;
};

} // namespace agatedale::review
