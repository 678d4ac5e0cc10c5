/// \file
/// Requests and answers as they travel through a node.
#pragma once

#include "agatedale/clock.h"
#include "agatedale/server_group.h"
#include "agatedale/verdict.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace agatedale {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Reads the next bytes of a body: their number, 0 at the end, -1 when the body
/// broke off.
using body_reader = std::function<std::ptrdiff_t(std::span<char>)>;

/// A request inside the node. A small body is held whole, so that the request
/// can be sent again; a large one is read once, in pieces.
struct node_request {
  std::string Id;
  std::string Method;
  std::string Path;
  header_list Headers;
  std::string Account;
  int Weight = 1;
  std::string Class;
  time_point Deadline;
  bool Idempotent = false;
  std::int64_t ContentLength = 0; ///< Bytes of the body; always known.
  std::string Body;               ///< The whole body unless Reader is set.
  body_reader Reader;             ///< Set for a streamed body.
};

/// An answer inside the node, or a refusal.
struct node_answer {
  verdict Verdict = verdict::NotRun;
  refusal_reason Reason = refusal_reason::None;
  int Status = 0;
  header_list Headers;
  std::int64_t ContentLength = 0;
  std::string Body;               ///< The whole body unless it was streamed.
  bool Streamed = false;          ///< It went through the answer_writer.
  bool Broken = false;            ///< A streamed answer ended early.
  std::optional<group_load> Load; ///< Of the group that answered.
  std::string OwnerHint;          ///< The entry VM that owns the group now.
};

/// Where an answer that is too large to hold goes. Both functions return false
/// when the other side is gone.
struct answer_writer {
  std::function<bool(const node_answer &)> Begin;
  std::function<bool(std::span<const char>)> Write;
};

/// Returns a refusal.
inline node_answer refusalOf(refusal_reason Reason, verdict Verdict) {
  node_answer Answer;
  Answer.Verdict = Verdict;
  Answer.Reason = Reason;
  Answer.Status = httpStatusOf(Reason);
  return Answer;
}

/// Bytes moved at once through a streamed body.
inline constexpr std::size_t StreamChunkBytes = 64 * 1024;

} // namespace agatedale
