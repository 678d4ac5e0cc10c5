/// \file
/// A client of the gateways.
#pragma once

#include "record.h"

#include <string>

namespace agatedale::review {

/// What a client got back.
struct reply {
  int Status = 0; ///< Zero if the connection failed or ended, or it took long.
  std::string Body;
};

/// Opens a connection to \p Address, sends \p Request as it is, and reads the
/// first answer.
reply exchange(const std::string &Address, const std::string &Request,
               milliseconds Patience);

/// Returns the head of a request that is ready to be sent, without the empty
/// line at its end.
std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, milliseconds Deadline);

} // namespace agatedale::review
