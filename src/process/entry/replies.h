#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_REPLIES_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_REPLIES_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow {

/// A refusal as the caller sees it.
struct refusal_reply {
  std::uint16_t status = 503;
  std::string code;
  std::string message;
  run_certainty certainty = run_certainty::kNotRun;
  duration retry_after = duration::zero();  // zero: none stated
  std::string request_id;                   // empty: none
  std::optional<std::string> grant;         // for the caller's next key
  std::optional<std::string> addresses;     // JSON array of entries to use instead
};

caller_reply RefusalReply(caller_id caller, const refusal_reply& reply);

/// How an agent's refusal is told to the caller.
refusal_reply ReplyOf(const refusal& content);

/// Whether another agent may run a request that was refused for this reason.
bool IsRetryable(refusal_reason reason);

/// "incarnation of the entry in hex-counter".
std::string FormatRequestId(const request_id& id);

/// Text of a JSON value. Bytes of callers that are not UTF-8 are replaced.
std::string Dump(const nlohmann::json& value);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_REPLIES_H_
