#include "process/entry/requests.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylbarrow {
namespace {

// Bounds the time a caller can hold a place.
constexpr duration kMaxDeadline = std::chrono::hours(1);
constexpr duration kRetryAfter = std::chrono::seconds(1);

std::uint64_t Fingerprint(const http_request& request) {
  const std::string text = request.method + request.target + request.body;
  return XXH64(text.data(), text.size(), 0);
}

request_outcome OutcomeOf(run_certainty certainty) {
  return certainty == run_certainty::kNotRun ? request_outcome::kNotRun : request_outcome::kUnknown;
}

/// Statuses that say what was wrong with the request, whether it has run or not.
bool IsAboutRequest(std::uint16_t status) {
  return status == 400 || status == 404 || status == 422 || status == 428;
}

}  // namespace

entry_requests::entry_requests(entry_context& context, entry_peers& peers, address_book& addresses,
                               routing_policy& policy, const key_routing& keys)
    : context_(context),
      peers_(peers),
      addresses_(addresses),
      policy_(policy),
      keys_(keys),
      accounts_({.max_requests = context.options.limits.max_requests}),
      refused_keys_(context.options.max_keys),
      forwarded_keys_(context.options.max_keys) {}

void entry_requests::Add(const caller_request& event) {
  if (table_.contains(event.caller)) {
    ++context_.counters.unexpected_messages;
    return;
  }
  const process_limits& limits = context_.options.limits;
  const bool is_full = table_.size() >= limits.max_requests ||
                       held_bytes_ + event.request.body.size() > limits.max_buffered_bytes;
  auto added = std::make_unique<entry_request>();
  entry_request& request = *added;
  request.input = event;
  request.sequence = ++sequence_;
  request.arrived = context_.Now();
  const duration given =
      event.deadline > duration::zero() ? std::min(event.deadline, kMaxDeadline) : kMaxDeadline;
  request.deadline = request.arrived + given;
  request.wait_until = request.arrived + context_.options.view_wait;
  held_bytes_ += event.request.body.size();
  table_.emplace(event.caller, std::move(added));
  waiting_.insert(event.caller);
  if (context_.is_finished) {
    Refuse(request, {.code = "leaving", .message = "this entry has shut down"});
    return;
  }
  if (is_full) {
    ++context_.counters.refused_requests;
    Refuse(request, {.code = "entry-full",
                     .message = "this entry has no place for a further request",
                     .retry_after = kRetryAfter});
    return;
  }
  if (context_.IsViewCurrent()) {
    Start(request);
    return;
  }
  UpdateDue(request);
}

void entry_requests::StartWaiting() {
  if (waiting_.empty() || !context_.IsViewCurrent()) {
    return;
  }
  const std::vector<caller_id> ready(waiting_.begin(), waiting_.end());
  for (const caller_id caller : ready) {
    if (entry_request* request = Find(caller)) {
      Start(*request);
    }
  }
}

void entry_requests::Start(entry_request& request) {
  const caller_request& input = request.input;
  waiting_.erase(input.caller);
  request.wait_until.reset();
  request.phase = request_phase::kWaitingForAgent;
  const service_options* service = context_.index.ServiceOf(input.service, input.model);
  if (service == nullptr) {
    const std::string named =
        input.service.empty() ? "model \"" + input.model : "service \"" + input.service;
    Refuse(request, {.status = 404,
                     .code = "unknown-service",
                     .message = named + "\" is not in the configuration"});
    return;
  }
  request.service = service->name;
  const operation_options* operation =
      OperationOf(*service, input.request.method, input.request.target);
  if (operation == nullptr) {
    Refuse(request, {.status = 404,
                     .code = "unknown-operation",
                     .message = input.request.method + " " + input.request.target +
                                " is not an operation of service \"" + service->name + "\""});
    return;
  }
  request.idempotent = operation->idempotent;
  request.is_resolved = true;
  request.fingerprint = Fingerprint(input.request);
  if (!request.idempotent) {
    request.owner = keys_.OwnerOf(input.idempotency_key, peers_.ConnectedRuns(*service));
  }
  const auto weight = context_.index.AccountWeight(input.account);
  if (!weight) {
    Refuse(request, {.status = 400,
                     .code = "unknown-account",
                     .message = "account \"" + input.account + "\" is not in the configuration"});
    return;
  }
  if (addresses_.IsRetired()) {
    Refuse(request, {.code = "domain-out",
                     .message = "the failure domain of this entry is out of service",
                     .retry_after = kRetryAfter,
                     .addresses = Dump(addresses_.Addresses(service->name, input.account))});
    return;
  }
  // A later attempt with a key asks for the outcome of an earlier one, so it is forwarded as well.
  if (!context_.services.Serves(service->name) && IsNotRun(request)) {
    Refuse(request, {.code = "service-elsewhere",
                     .message = "this entry does not serve service \"" + service->name + "\"",
                     .retry_after = kRetryAfter,
                     .addresses = Dump(addresses_.Addresses(service->name, input.account))});
    return;
  }
  if (!accounts_.TryAcquire(input.account, *weight)) {
    Refuse(request, {.status = 429,
                     .code = "account-share",
                     .message = "account \"" + input.account + "\" is over its share",
                     .retry_after = kRetryAfter});
    return;
  }
  request.has_place = true;
  if (input.deadline <= duration::zero()) {
    request.deadline = request.arrived + std::min(service->deadline, kMaxDeadline);
  }
  budgets_.try_emplace(service->name, context_.options.retries, context_.Now())
      .first->second.OnRequest();
  UpdateDue(request);
  if (context_.Now() >= request.deadline) {
    Expire(request);
  } else if (request.idempotent) {
    request.wait_until = request.arrived + context_.options.view_wait;
    Route(request);
  } else {
    StartKeyed(request);
  }
}

bool entry_requests::MayBeKeyed(const entry_request& request) const {
  return !request.input.idempotency_key.empty() &&
         (!request.is_resolved || request.owner.has_value());
}

bool entry_requests::IsNotRun(const entry_request& request) const {
  if (!request.attempts.empty()) {
    return std::all_of(
        request.attempts.begin(), request.attempts.end(),
        [](const request_attempt& attempt) { return attempt.state == attempt_state::kNotRun; });
  }
  // An earlier attempt with the same key may have reached its agent through this or another entry.
  return !MayBeKeyed(request) ||
         (request.input.attempt == 1 && !forwarded_keys_.Contains(request.input.idempotency_key));
}

void entry_requests::Refuse(entry_request& request, refusal_reply reply) {
  const bool is_not_run = IsNotRun(request);
  reply.certainty = is_not_run ? run_certainty::kNotRun : run_certainty::kUnknown;
  for (const request_attempt& attempt : request.attempts) {
    if (attempt.state == attempt_state::kActive) {
      CancelAttempt(attempt);
    }
  }
  if (request.HasBegun()) {
    context_.Emit(caller_end{.caller = request.input.caller, .complete = false});
    Finish(request, request_outcome::kIncomplete);
    return;
  }
  const bool keeps_status =
      IsAboutRequest(reply.status) || (reply.status == 504 && request.idempotent);
  if (!is_not_run && !keeps_status) {
    reply.status = 502;
    reply.retry_after = std::max(reply.retry_after, kRetryAfter);
  }
  if (is_not_run && MayBeKeyed(request) && request.attempts.empty()) {
    // A copy of this request may still be on its way; the caller was told that it will not run.
    refused_keys_.Add(request.input.idempotency_key);
    ++context_.counters.refused_keys;
  }
  const service_options* service = context_.index.Service(request.service);
  if (is_not_run && request.is_resolved && !request.idempotent && service != nullptr) {
    reply.grant = addresses_.Grant(*service);
  }
  const request_attempt* last = request.Current();
  reply.request_id = FormatRequestId(
      last != nullptr ? last->id
                      : request_id{context_.options.identity.incarnation, request.sequence});
  context_.Emit(RefusalReply(request.input.caller, reply));
  Finish(request, OutcomeOf(reply.certainty));
}

void entry_requests::Finish(entry_request& request, request_outcome outcome) {
  const caller_id caller = request.input.caller;
  ++context_.counters.requests[{request.service, outcome}];
  const request_attempt* last = request.Current();
  const upstream_options* upstream =
      last == nullptr ? nullptr : context_.index.Upstream(last->run.name);
  const metric_labels labels{.service = request.service,
                             .domain = upstream == nullptr ? "" : upstream->domain,
                             .outcome = std::string(OutcomeName(outcome))};
  context_.latencies.Observe("request_total", labels, context_.Now() - request.arrived);
  if (request.first_byte) {
    context_.latencies.Observe("request_first_byte", labels, *request.first_byte);
  }
  for (const request_attempt& attempt : request.attempts) {
    attempts_.erase(attempt.id.sequence);
    peers_.Detach(attempt.run.name, caller);
  }
  if (request.owner) {
    peers_.Detach(request.owner->name, caller);
  }
  if (request.has_place) {
    accounts_.Release(request.input.account);
  }
  timers_.erase({request.due, caller});
  waiting_.erase(caller);
  held_bytes_ -= request.input.request.body.size();
  table_.erase(caller);
}

void entry_requests::OnCallerClosed(caller_id caller) {
  entry_request* request = Find(caller);
  if (request == nullptr) {
    return;
  }
  for (const request_attempt& attempt : request->attempts) {
    if (attempt.state == attempt_state::kActive) {
      CancelAttempt(attempt);
    }
  }
  Finish(*request, request_outcome::kAborted);
}

void entry_requests::Expire(entry_request& request) {
  Refuse(request, {.status = 504,
                   .code = "deadline",
                   .message = "the deadline passed before the answer was complete"});
}

void entry_requests::OnDue(entry_request& request) {
  const time_point now = context_.Now();
  const auto is_due = [now](const std::optional<time_point>& timer) {
    return timer && now >= *timer;
  };
  if (now >= request.deadline) {
    Expire(request);
    return;
  }
  if (request.phase == request_phase::kWaitingForView) {
    Refuse(request, {.code = "no-current-view",
                     .message = "this entry has no current configuration",
                     .retry_after = kRetryAfter});
    return;
  }
  if (request.phase == request_phase::kWaitingForAgent) {
    request.idempotent ? Route(request) : Forward(request);
    return;
  }
  if (is_due(request.poll_at)) {
    request.poll_at.reset();
    Lose(request, request.pending_loss.value_or(attempt_loss::kClosed));
    return;
  }
  if (is_due(request.move_on_at)) {
    request.move_on_at.reset();
    UpdateDue(request);
    Lose(request, attempt_loss::kClosed);
    return;
  }
  if (is_due(request.resend_at)) {
    request.resend_at.reset();
    ++context_.counters.resends;
    SendDispatch(request);
  }
}

void entry_requests::FireDue() {
  while (!timers_.empty() && timers_.begin()->first <= context_.Now()) {
    const caller_id caller = timers_.begin()->second;
    OnDue(*Find(caller));
    entry_request* request = Find(caller);
    if (request == nullptr) {
      continue;
    }
    UpdateDue(*request);
    if (request->due <= context_.Now()) {
      // Nothing could be done; a timer that stayed due would fire for ever.
      request->poll_at = request->resend_at = request->move_on_at = request->wait_until =
          context_.Now() + context_.options.sweep_interval;
      UpdateDue(*request);
    }
  }
}

void entry_requests::UpdateDue(entry_request& request) {
  time_point due = request.deadline;
  for (const auto* timer : {&request.poll_at, &request.resend_at, &request.move_on_at}) {
    due = std::min(due, timer->value_or(time_point::max()));
  }
  if (request.phase != request_phase::kDispatched) {
    due = std::min(due, request.wait_until.value_or(time_point::max()));
  }
  if (due == request.due) {
    return;
  }
  timers_.erase({request.due, request.input.caller});
  request.due = due;
  timers_.emplace(due, request.input.caller);
}

entry_request* entry_requests::Find(caller_id caller) {
  const auto place = table_.find(caller);
  return place == table_.end() ? nullptr : place->second.get();
}

std::vector<caller_id> entry_requests::RequestsAt(const std::string& agent) {
  const agent_link* link = peers_.Find(agent);
  return link == nullptr ? std::vector<caller_id>{}
                         : std::vector<caller_id>(link->requests.begin(), link->requests.end());
}

void entry_requests::OnVersion() {
  // Services come and go; only those of the document are kept.
  std::erase_if(context_.counters.requests, [this](const auto& item) {
    const std::string& service = item.first.first;
    return !service.empty() && context_.index.Service(service) == nullptr;
  });
  std::erase_if(budgets_,
                [this](const auto& item) { return context_.index.Service(item.first) == nullptr; });
}

time_point entry_requests::NextDeadline() const {
  return timers_.empty() ? time_point::max() : timers_.begin()->first;
}

}  // namespace berylbarrow
