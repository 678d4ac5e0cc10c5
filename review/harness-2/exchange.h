/// \file
/// One connection of a client.
#pragma once

#include "record.h"

#include <cstddef>
#include <string>
#include <vector>

namespace agatedale::review {

/// One answer as its client saw it.
struct seen_answer {
  int Status = 0;
  std::string Text; ///< Head and body.
  clock::time_point At{};
};

/// Sends \p Bytes on a new connection to \p Address ("ip:port") and reads until
/// \p Count answers are whole, the connection ends or \p Limit is over.
std::vector<seen_answer> exchange(const std::string &Address,
                                  const std::string &Bytes, std::size_t Count,
                                  milliseconds Limit);

/// Returns the head of a request without a body. \p Fields are whole lines.
std::string requestHead(const std::string &Method, const std::string &Path,
                        const std::string &Id, int DeadlineMs,
                        const std::string &Fields = "");

/// Returns the status of one GET, or 0.
int statusOf(const std::string &Address, const std::string &Path);

} // namespace agatedale::review
