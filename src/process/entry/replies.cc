#include "process/entry/replies.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace berylbarrow {

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string FormatRequestId(const request_id& id) {
  std::ostringstream text;
  text << std::hex << id.sender << '-' << std::dec << id.sequence;
  return text.str();
}

caller_reply RefusalReply(caller_id caller, const refusal_reply& reply) {
  const char* outcome = reply.certainty == run_certainty::kNotRun ? "not-run" : "unknown";
  nlohmann::json body{{"error", {{"code", reply.code}, {"message", reply.message}}},
                      {"outcome", outcome}};
  if (reply.grant) {
    body["grant"] = *reply.grant;
  }
  if (reply.addresses) {
    body["addresses"] = nlohmann::json::parse(*reply.addresses);
  }
  caller_reply result{.caller = caller, .status = reply.status, .body = Dump(body)};
  result.headers.push_back({"Berylbarrow-Outcome", outcome});
  if (!reply.request_id.empty()) {
    result.headers.push_back({"Berylbarrow-Request-Id", reply.request_id});
  }
  if (reply.retry_after > duration::zero()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retry_after).count();
    result.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return result;
}

refusal_reply ReplyOf(const refusal& content) {
  refusal_reply reply{.certainty = content.certainty};
  const auto set = [&reply](std::uint16_t status, const char* code, const char* message) {
    reply.status = status;
    reply.code = code;
    reply.message = message;
  };
  switch (content.reason) {
    case refusal_reason::kOverload:
      set(503, "overload", "the upstream and its queue are full");
      break;
    case refusal_reason::kDraining:
      set(503, "draining", "the upstream is taken out of service");
      break;
    case refusal_reason::kLeaving:
      set(503, "leaving", "the upstream is shutting down");
      break;
    case refusal_reason::kStaleView:
      set(503, "stale-view", "the agent has no current configuration");
      break;
    case refusal_reason::kUnknownService:
      set(503, "wrong-upstream", "the upstream does not offer the service");
      break;
    case refusal_reason::kGrantExpired:
      set(428, "grant-expired", "the grant of the key is no longer valid");
      break;
    case refusal_reason::kGrantMissing:
      set(428, "grant-key-needed", "the operation needs an idempotency key made from a grant");
      break;
    case refusal_reason::kKeyRefused:
      set(503, "key-refused", "the key was refused before; use a new one");
      break;
    case refusal_reason::kDeadline:
      set(504, "deadline", "the deadline passed before the request was run");
      break;
    case refusal_reason::kSuspect:
      set(422, "crashes-upstreams", "the request has crashed upstreams");
      break;
    case refusal_reason::kUpstreamGone:
      set(503, "upstream-gone", "the upstream cannot be reached");
      break;
    case refusal_reason::kAccountShare:
      set(429, "account-share", "the client account is over its share");
      break;
    case refusal_reason::kMalformed:
      set(400, "malformed", "the agent could not read the request");
      break;
  }
  const bool helps_to_wait = reply.status == 503 || reply.status == 429;
  const duration least = helps_to_wait ? std::chrono::seconds(1) : duration::zero();
  reply.retry_after = std::max(content.retry_after, least);
  return reply;
}

bool IsRetryable(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kDeadline:
    case refusal_reason::kSuspect:
    case refusal_reason::kAccountShare:
    case refusal_reason::kMalformed:
      return false;
    default:
      return true;
  }
}

}  // namespace berylbarrow
