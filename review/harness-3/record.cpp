/// \file
/// Lines of a record.
#include "record.h"

namespace agatedale::review {

double record::seconds() const {
  return std::chrono::duration<double>(steady_clock::now() - Began).count();
}

void record::write(const std::string &Line) {
  const std::lock_guard Guard(Lock);
  Out << fmt::format("{:8.3f} s  {}\n", seconds(), Line) << std::flush;
}

} // namespace agatedale::review
