#include "process/entry/requests.h"

namespace berylbarrow {
namespace {

constexpr duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

void entry_requests::StartKeyed(entry_request& request) {
  if (!request.owner) {
    Refuse(request, {.status = 428,
                     .code = "grant-key-needed",
                     .message = "the operation needs an idempotency key made from a grant"});
    return;
  }
  // A later attempt may ask for a stored outcome, so the agent of the key decides about it.
  if (IsRefusedSuspect(request) && IsNotRun(request)) {
    Refuse(request, ReplyOf(refusal{.reason = refusal_reason::kSuspect}));
    return;
  }
  request.wait_until = context_.Now() + context_.options.connect_wait;
  UpdateDue(request);
  Forward(request);
}

void entry_requests::Forward(entry_request& request) {
  const std::string& key = request.input.idempotency_key;
  const agent_run& owner = *request.owner;
  if (refused_keys_.Contains(key)) {
    Refuse(request, {.code = "key-refused",
                     .message = "the key was refused before; use a new one",
                     .retry_after = kRetryAfter});
    return;
  }
  const service_options* service = context_.index.Service(request.service);
  const upstream_options* upstream =
      service == nullptr ? nullptr : UpstreamOf(*service, owner.name);
  if (upstream == nullptr) {
    CannotForward(request, "the agent of the key is not an upstream of the service");
    return;
  }
  if (context_.IsViewCurrent()) {
    // A later attempt may ask for the outcome of one that has run, so it goes to an agent that is
    // out of service as well; that agent refuses new work itself.
    if (request.input.attempt == 1 && !context_.fleet.UpstreamInService(*upstream)) {
      CannotForward(request, "the agent of the key is out of service");
      return;
    }
    if (peers_.IsConnectedTo(owner)) {
      forwarded_keys_.Add(key);
      Dispatch(request, owner);
      return;
    }
    const agent_link* link = peers_.Find(owner.name);
    if (link != nullptr && link->connection && link->incarnation != owner.incarnation) {
      CannotForward(request, "the agent of the key has been restarted");
      return;
    }
    peers_.Demand(*upstream);
    peers_.Attach(owner.name, request.input.caller);
  }
  if (context_.Now() >= *request.wait_until) {
    CannotForward(request, "the agent of the key cannot be reached");
  }
}

void entry_requests::CannotForward(entry_request& request, const std::string& message) {
  Refuse(request, {.code = "agent-unavailable", .message = message, .retry_after = kRetryAfter});
}

}  // namespace berylbarrow
