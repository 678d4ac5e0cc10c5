/// \file
/// Lines with a time stamp.
#include "record.h"

namespace agatedale::review {

long record::millisAt(clock::time_point At) const {
  return std::chrono::duration_cast<milliseconds>(At - Start).count();
}

void record::write(std::string_view Line) {
  const std::lock_guard Guard(Lock);
  Out << millisAt(clock::now()) << " ms  " << Line << std::endl;
}

} // namespace agatedale::review
