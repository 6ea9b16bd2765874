#include <algorithm>

#include "process/entry/requests.h"

namespace berylbarrow {
namespace {

// Between looks for an agent that may take a waiting request.
constexpr duration kPollInterval = std::chrono::milliseconds(50);
constexpr duration kRetryAfter = std::chrono::seconds(1);
// The oldest give way; agents stop requests without a connected entry by themselves after 5 s.
constexpr std::size_t kMaxUnsentCancels = 1024;

}  // namespace

bool entry_requests::IsRefusedSuspect(const entry_request& request) const {
  return context_.suspects.PermissionFor(request.fingerprint, request.idempotent, context_.Now()) ==
         execution_permission::kRefused;
}

void entry_requests::Route(entry_request& request) {
  if (IsRefusedSuspect(request)) {
    Refuse(request, ReplyOf(refusal{.reason = refusal_reason::kSuspect}));
    return;
  }
  const service_options* service = context_.index.Service(request.service);
  if (service != nullptr && context_.IsViewCurrent()) {
    const auto candidates = peers_.Candidates(*service, request.tried);
    if (!candidates.empty()) {
      DispatchToOneOf(request, candidates);
      return;
    }
  }
  if (context_.Now() < *request.wait_until) {
    request.poll_at = context_.Now() + kPollInterval;
    UpdateDue(request);
    return;
  }
  Refuse(request, {.code = "no-upstream",
                   .message = "no upstream of service \"" + request.service + "\" can take work",
                   .retry_after = kRetryAfter});
}

void entry_requests::DispatchToOneOf(entry_request& request,
                                     const std::vector<routing_candidate>& candidates) {
  const std::size_t chosen = policy_.Choose(
      candidates, {.service = request.service, .prefix_hash = request.input.prefix_hash},
      context_.random);
  std::string name(candidates.at(chosen).name);
  const std::uint64_t incarnation = peers_.Find(name)->incarnation;
  Dispatch(request, {.name = std::move(name), .incarnation = incarnation});
}

void entry_requests::Dispatch(entry_request& request, const agent_run& run) {
  const caller_id caller = request.input.caller;
  if (const request_attempt* last = request.Current()) {
    peers_.Detach(last->run.name, caller);
  }
  const request_id id{.sender = context_.options.identity.incarnation, .sequence = ++sequence_};
  request.attempts.push_back({.id = id, .run = run});
  request.tried.insert(run);
  request.phase = request_phase::kDispatched;
  request.head.reset();
  request.last_refusal.reset();
  request.poll_at.reset();
  request.resend_at.reset();
  request.move_on_at.reset();
  request.pending_loss.reset();
  attempts_.emplace(id.sequence, caller);
  peers_.Attach(run.name, caller);
  peers_.OnSent(run.name);
  ++context_.counters.attempts;
  SendDispatch(request);
  UpdateDue(request);
}

void entry_requests::SendDispatch(entry_request& request) {
  request_attempt& attempt = request.attempts.back();
  if (!peers_.IsConnectedTo(attempt.run)) {
    return;
  }
  attempt.connection = *peers_.Find(attempt.run.name)->connection;
  request.last_dispatch = context_.Now();
  const caller_request& input = request.input;
  const auto count = static_cast<std::uint32_t>(request.attempts.size());
  context_.Emit(peer_send{
      .connection = attempt.connection,
      .message =
          dispatch{.id = attempt.id,
                   .service = request.service,
                   .account = input.account,
                   .idempotent = request.idempotent,
                   .idempotency_key = request.idempotent ? "" : input.idempotency_key,
                   .attempt = request.idempotent ? count : input.attempt,
                   .priority = input.priority,
                   .fingerprint = request.fingerprint,
                   .sender_revision = context_.fleet.Revision(),
                   .sender_plan_step = context_.fleet.PlanStep(),
                   .remaining = request.deadline - context_.Now(),
                   .answer_offset = request.received,
                   .request = input.request,
                   .suspects = context_.suspects.ReportsFor(request.fingerprint, context_.Now())}});
}

void entry_requests::CancelAttempt(const request_attempt& attempt) {
  const agent_link* link = peers_.Find(attempt.run.name);
  if (link == nullptr || attempt.connection == 0) {
    return;
  }
  if (!link->connection) {
    unsent_cancels_.emplace_back(attempt.run, attempt.id);
    if (unsent_cancels_.size() > kMaxUnsentCancels) {
      unsent_cancels_.pop_front();
    }
  } else if (link->incarnation == attempt.run.incarnation) {
    context_.Emit(peer_send{.connection = *link->connection, .message = cancel{attempt.id}});
  }
}

void entry_requests::SendUnsentCancels(const std::string& agent) {
  const agent_link* link = peers_.Find(agent);
  // What another run of the agent had is gone with it.
  std::erase_if(unsent_cancels_, [&](const auto& item) {
    const auto& [run, id] = item;
    if (run.name == agent && run.incarnation == link->incarnation) {
      context_.Emit(peer_send{.connection = *link->connection, .message = cancel{id}});
    }
    return run.name == agent;
  });
}

void entry_requests::Lose(entry_request& request, attempt_loss loss) {
  const bool may_return = loss == attempt_loss::kClosed || loss == attempt_loss::kSilent;
  request_attempt& attempt = request.attempts.back();
  if (loss == attempt_loss::kGone && attempt.state == attempt_state::kActive) {
    attempt.state = attempt_state::kInDoubt;
  }
  if (!request.idempotent) {
    if (!may_return) {
      EndLost(request);
    }
    return;
  }
  if (IsRefusedSuspect(request)) {
    if (!may_return) {
      Refuse(request, ReplyOf(refusal{.reason = refusal_reason::kSuspect}));
    }
    return;
  }
  if (loss == attempt_loss::kClosed && request.move_on_at) {
    return;
  }
  if (!context_.IsViewCurrent()) {
    if (!may_return) {
      WaitToMove(request, loss);
    }
    return;
  }
  if (!TryElsewhere(request) && !may_return) {
    EndLost(request);
  }
}

void entry_requests::WaitToMove(entry_request& request, attempt_loss loss) {
  if (!request.pending_loss) {
    request.pending_loss = loss;
    request.wait_until = context_.Now() + context_.options.view_wait;
  }
  if (context_.Now() >= *request.wait_until) {
    EndLost(request);
    return;
  }
  request.poll_at = context_.Now() + kPollInterval;
  UpdateDue(request);
}

bool entry_requests::TryElsewhere(entry_request& request) {
  const service_options* service = context_.index.Service(request.service);
  if (service == nullptr || request.attempts.size() >= context_.options.max_attempts ||
      (request.HasBegun() && !service->resumes_streams)) {
    return false;
  }
  const auto candidates = peers_.Candidates(*service, request.tried);
  // A started answer moves without the budget: it is not offered a second time, only continued.
  if (candidates.empty() || (!request.HasBegun() && !TakeRetry(request))) {
    return false;
  }
  request_attempt& attempt = request.attempts.back();
  if (attempt.state == attempt_state::kActive) {
    CancelAttempt(attempt);
    attempt.state = attempt_state::kInDoubt;
  }
  context_.counters.resumptions += request.HasBegun() ? 1 : 0;
  DispatchToOneOf(request, candidates);
  return true;
}

bool entry_requests::TakeRetry(entry_request& request) {
  const auto budget = budgets_.find(request.service);
  if (budget != budgets_.end() && budget->second.TryAcquire(context_.Now())) {
    return true;
  }
  // A request that waits for its agent asks again at each sweep, but counts once.
  context_.counters.retries_refused += request.was_denied_retry ? 0 : 1;
  request.was_denied_retry = true;
  return false;
}

void entry_requests::EndLost(entry_request& request) {
  if (request.last_refusal) {
    Refuse(request, *request.last_refusal);
    return;
  }
  Refuse(request, {.status = 502,
                   .code = "agent-lost",
                   .message = "the upstream was lost before the answer was complete",
                   .retry_after = kRetryAfter});
}

void entry_requests::OnAgentOpened(const std::string& agent) {
  SendUnsentCancels(agent);
  for (const caller_id caller : RequestsAt(agent)) {
    entry_request* request = Find(caller);
    if (request == nullptr) {
      continue;
    }
    if (request->phase != request_phase::kDispatched) {
      Forward(*request);
      continue;
    }
    const request_attempt& attempt = request->attempts.back();
    if (!peers_.IsConnectedTo(attempt.run)) {
      Lose(*request, attempt_loss::kGone);
    } else if (attempt.state == attempt_state::kActive) {
      ++context_.counters.reattachments;
      request->move_on_at.reset();
      request->resend_at.reset();
      SendDispatch(*request);
      UpdateDue(*request);
    }
  }
}

void entry_requests::OnAgentClosed(const std::string& agent) {
  for (const caller_id caller : RequestsAt(agent)) {
    entry_request* request = Find(caller);
    if (request == nullptr || request->phase != request_phase::kDispatched) {
      continue;
    }
    if (request->HasBegun() && !request->move_on_at) {
      request->move_on_at = context_.Now() + context_.options.reattach_wait;
      UpdateDue(*request);
    }
    Lose(*request, attempt_loss::kClosed);
  }
}

void entry_requests::OnAgentRestarted(const std::string& agent) {
  const member* known = context_.fleet.Members().Find(agent);
  for (const caller_id caller : RequestsAt(agent)) {
    entry_request* request = Find(caller);
    const bool is_lost = request != nullptr && request->phase == request_phase::kDispatched &&
                         (known == nullptr ||
                          known->identity.incarnation != request->attempts.back().run.incarnation);
    if (is_lost) {
      Lose(*request, attempt_loss::kGone);
    }
  }
}

void entry_requests::Sweep() {
  std::vector<std::string> busy;
  for (const auto& [name, link] : peers_.Links()) {
    if (!link.requests.empty()) {
      busy.push_back(name);
    }
  }
  for (const std::string& agent : busy) {
    const liveness seen = context_.Liveness(agent);
    for (const caller_id caller : RequestsAt(agent)) {
      entry_request* request = Find(caller);
      if (request == nullptr || request->phase != request_phase::kDispatched ||
          request->pending_loss) {
        continue;
      }
      if (seen == liveness::kDead || seen == liveness::kUnknown) {
        Lose(*request, attempt_loss::kGone);
      } else if (seen == liveness::kSuspect) {
        Lose(*request, attempt_loss::kSilent);
      } else if (!peers_.IsConnectedTo(request->attempts.back().run)) {
        Lose(*request, attempt_loss::kClosed);
      }
    }
  }
}

}  // namespace berylbarrow
