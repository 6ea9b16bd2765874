#include "process/gateway/relayed_request.h"

#include <algorithm>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

// Attempts beyond those of the route that upstreams may refuse without running them.
constexpr std::uint32_t kMaxRefusedAttempts = 4;
// An idempotent request that is not answered for this many latency objectives is sent elsewhere.
constexpr int kSilentGoals = 2;
// Time that is left to a request below which it is not sent again.
constexpr duration kLeastTimeForRetry = milliseconds(40);
// Time that is left to a request below which it does not wait for a place again.
constexpr duration kLeastTimeToWait = milliseconds(150);
// Callers abandon a stream that is silent for 2 s; it must go on elsewhere before.
constexpr duration kStreamSilence = milliseconds(1100);
constexpr duration kUnreachableRetryAfter = milliseconds(300);

}  // namespace

time_point LatestOnTimeDispatch(const admitted_request& request) {
  return request.arrival + request.matched_route->goal * 7 / 10;
}

relayed_request::relayed_request(admitted_request&& request, relay_context& context,
                                 relay_listener& listener, answer_sink& sink)
    : request_(std::move(request)),
      context_(context),
      listener_(listener),
      sink_(&sink),
      events_(request_.facts.last_event) {}

std::uint32_t relayed_request::Tokens() const {
  return request_.facts.prompt_tokens + request_.facts.answer_tokens;
}

bool relayed_request::IsLate(time_point now) const {
  // A stream that has begun is to go on without a pause.
  return first_event_ == time_point::min() && now > LatestOnTimeDispatch(request_);
}

dispatch_choice relayed_request::Choose(time_point now) {
  return context_.selector.Choose({.service = request_.service,
                                   .domain = context_.settings.domain,
                                   .excluded = tried_,
                                   .tokens = Tokens(),
                                   .late = IsLate(now),
                                   .tie_break = context_.UniformRandom()},
                                  now);
}

dispatch_obstacle relayed_request::TryDispatch(time_point now) {
  if (state_ != state::kWaiting) return dispatch_obstacle::kNone;
  const dispatch_choice choice = Choose(now);
  if (choice.upstream_id.empty()) return choice.obstacle;
  if (sends_ > 0 && !HasBudget(now)) {
    if (!denied_) LogAttempt("retry_denied", "budget");
    denied_ = true;
    return dispatch_obstacle::kNoRetryBudget;
  }
  Send(choice, now);
  return dispatch_obstacle::kNone;
}

void relayed_request::Send(const dispatch_choice& choice, time_point now) {
  state_ = state::kSent;
  ++sends_;
  last_load_ = choice.load;
  last_upstream_ = choice.upstream_id;
  tried_.insert(choice.upstream_id);
  const bool must_be_recent = !request_.matched_route->MayRepeat();
  attempt_ =
      attempt{.upstream_id = choice.upstream_id,
              .link = context_.links.Acquire(choice.upstream_id, choice.address, must_be_recent),
              .sent = now,
              .heard = now};
  std::vector<header_field> fields =
      context_.dialect.AttemptFields(request_.head, {.upstream_id = choice.upstream_id,
                                                     .account = request_.account,
                                                     .remaining = request_.deadline - now,
                                                     .last_event = events_.LastEventId(),
                                                     .priority = request_.priority});
  const bool has_body = !request_.body.empty() || request_.head.method == "POST" ||
                        request_.head.method == "PUT" || request_.head.method == "PATCH";
  if (has_body) fields.push_back({"Content-Length", std::to_string(request_.body.size())});
  context_.selector.OnSent(choice.upstream_id, Tokens(), now);
  LogAttempt("attempt_sent", sends_ > 1 ? "retry" : "first");
  attempt_->link->Exchange(RequestHeadText(request_.head, fields) + request_.body,
                           request_.head.method == "HEAD", this);
}

void relayed_request::EndAttempt(attempt_outcome outcome, time_point now) {
  if (!attempt_) return;
  const attempt ended = std::move(*attempt_);
  attempt_.reset();
  context_.selector.OnFinished(ended.upstream_id, Tokens(), outcome, now - ended.sent, now);
  if (ended.facts.cold_left) {
    context_.selector.OnColdTimeLeft(ended.upstream_id, *ended.facts.cold_left, now);
  }
  context_.links.Release(ended.upstream_id, ended.link);
  listener_.OnCapacityFreed(request_.service);
}

void relayed_request::CancelAttempt(time_point now) {
  if (!attempt_) return;
  attempt_->link->Abort();
  EndAttempt(attempt_outcome::kAbandoned, now);
}

bool relayed_request::IsStreamAnswer(const http_head& head) const {
  return request_.matched_route->kind == request_kind::kStreaming && head.status == 200;
}

bool relayed_request::OnAnswerHead(const http_head& head) {
  reply_facts facts = context_.dialect.ReadReply(head);
  if (!facts.attempt_id.empty() && facts.attempt_id != request_.facts.attempt_id) {
    LogAttempt("answer_skipped", "other_request");
    return false;
  }
  const time_point now = context_.clock.Now();
  attempt_->heard = now;
  attempt_->facts = std::move(facts);
  if (!IsStreamAnswer(head)) return true;
  if (!attempt_->facts.is_signed) return true;  // treated as broken at its end
  state_ = state::kStreaming;
  return true;
}

void relayed_request::OnAnswerBody(std::string& body) {
  if (state_ != state::kStreaming) return;
  const time_point now = context_.clock.Now();
  attempt_->heard = now;
  PassStreamPart(body, now);
}

void relayed_request::PassStreamPart(std::string& body, time_point now) {
  const std::string events = events_.Feed(body);
  if (events_.HasGap()) {
    CancelAttempt(now);
    HandleBroken("event_gap", now);
    return;
  }
  if (events.empty() || sink_ == nullptr) return;
  if (attempt_ && attempt_->last_event) {
    context_.selector.OnEventGap(attempt_->upstream_id, now - *attempt_->last_event, now);
  }
  if (attempt_) attempt_->last_event = now;
  if (first_event_ == time_point::min()) {
    first_event_ = now;
    context_.counts.Observe("first_event", {.service = request_.service}, now - request_.arrival);
  }
  if (!head_sent_) {
    head_sent_ = true;
    sink_->BeginStream(AnswerFor(attempt_->link->AnswerHead()));
  }
  if (sink_ != nullptr) sink_->SendPart(events);
}

void relayed_request::OnAnswerEnd(const http_head& head, std::string&& body) {
  const time_point now = context_.clock.Now();
  if (state_ == state::kStreaming) {
    const auto self = shared_from_this();
    if (!head_sent_ && sink_ != nullptr) {
      head_sent_ = true;
      sink_->BeginStream(AnswerFor(head));
    }
    PassStreamPart(body, now);
    if (state_ == state::kStreaming && attempt_) EndStream(now);
    return;
  }
  const reply_facts facts = attempt_->facts;
  if (facts.not_run || facts.is_misdirected) {
    HandleNotRun(head, now);
    return;
  }
  const bool success = head.status >= 200 && head.status < 300;
  if (success && !facts.is_signed) {
    EndAttempt(attempt_outcome::kBroken, now);
    ++runs_;
    HandleBroken("unsigned_answer", now);
    return;
  }
  ++runs_;
  if (head.status >= 500) {
    EndAttempt(attempt_outcome::kFailed, now);
    if (request_.matched_route->MayRepeat() && Retry("upstream_error", now)) return;
    // A status that promises that nothing ran may not be passed on for what may have run.
    if (head.status == 503 && !request_.matched_route->MayRepeat()) {
      AnswerFailure(502, "upstream_error");
      return;
    }
    DeliverAnswer(head, std::move(body));
    return;
  }
  EndAttempt(attempt_outcome::kServed, now);
  const bool promises_not_run = head.status == 429 || head.status == 408;
  if (promises_not_run && !request_.matched_route->MayRepeat()) {
    AnswerFailure(502, "upstream_error");
    return;
  }
  DeliverAnswer(head, std::move(body));
}

void relayed_request::EndStream(time_point now) {
  if (!events_.PartialEvent().empty()) {
    // The upstream ended inside an event.
    EndAttempt(attempt_outcome::kBroken, now);
    ++runs_;
    HandleBroken("torn_end", now);
    return;
  }
  ++runs_;
  EndAttempt(attempt_outcome::kServed, now);
  context_.crashes.OnAnswered(request_.fingerprint);
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->EndStream();
  Finish("served", 200);
}

void relayed_request::HandleNotRun(const http_head& head, time_point now) {
  const bool misdirected = attempt_->facts.is_misdirected;
  const std::string upstream = attempt_->upstream_id;
  const std::string reason = misdirected ? "misdirected" : "refused_" + std::to_string(head.status);
  LogAttempt("attempt_not_run", reason);
  EndAttempt(misdirected ? attempt_outcome::kMisdirected : attempt_outcome::kRefused, now);
  if (misdirected) listener_.OnMisdirectedAttempt();
  if (Retry(reason, now) || WaitAgain(upstream, now)) return;
  AnswerFailure(503, reason);
}

bool relayed_request::HasBudget(time_point now) {
  const auto budget = context_.retry_budgets.find(request_.service);
  return budget == context_.retry_budgets.end() || budget->second.TryAcquire(now);
}

bool relayed_request::Retry(std::string_view reason, time_point now) {
  const route& route = *request_.matched_route;
  const bool may_send = sends_ < route.max_attempts + kMaxRefusedAttempts;
  if (sink_ == nullptr || runs_ >= route.max_attempts || !may_send) return false;
  if (request_.deadline - now < kLeastTimeForRetry) return false;
  if (context_.crashes.IsRefused(request_.fingerprint)) return false;
  context_.counts.Count("retries", {.service = request_.service, .outcome = std::string(reason)});
  state_ = state::kWaiting;
  return TryDispatch(now) == dispatch_obstacle::kNone;
}

bool relayed_request::WaitAgain(const std::string& refused_by, time_point now) {
  const bool may_send = sends_ < request_.matched_route->max_attempts + kMaxRefusedAttempts;
  if (sink_ == nullptr || runs_ > 0 || head_sent_ || !may_send) return false;
  if (request_.deadline - now < kLeastTimeToWait) return false;
  // It may be asked again: it has not run there.
  tried_.erase(refused_by);
  state_ = state::kWaiting;
  listener_.OnRequeueNeeded(*this);
  return true;
}

void relayed_request::HandleBroken(std::string_view reason, time_point now) {
  LogAttempt("attempt_broken", reason);
  if (request_.matched_route->MayRepeat()) {
    events_.PrepareResumption();
    if (Retry(reason, now)) return;
  }
  AnswerFailure(502, reason);
}

bool relayed_request::CutStream(std::string_view reason) {
  if (!head_sent_) return false;
  LogAttempt("stream_cut", reason);
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->Abort();
  Finish("stream_cut", 200);
  return true;
}

void relayed_request::OnLinkFailure(link_failure failure) {
  const time_point now = context_.clock.Now();
  const auto self = shared_from_this();
  if (failure == link_failure::kNotSent) {
    const std::string upstream = attempt_->upstream_id;
    EndAttempt(attempt_outcome::kUnreachable, now);
    if (Retry("unreachable", now) || WaitAgain(upstream, now)) return;
    // Nothing was sent, so nothing ran.
    if (runs_ == 0) return Refuse("unreachable", kUnreachableRetryAfter);
    AnswerFailure(502, "unreachable");
    return;
  }
  ++runs_;
  context_.crashes.OnCrash(request_.fingerprint, now);
  EndAttempt(attempt_outcome::kBroken, now);
  switch (failure) {
    case link_failure::kNoAnswer:
      return HandleBroken("no_answer", now);
    case link_failure::kCutShort:
      return HandleBroken("cut_short", now);
    default:
      return HandleBroken("garbled", now);
  }
}

void relayed_request::CheckTimeouts(time_point now) {
  if (state_ == state::kDone) return;
  if (now < request_.deadline) {
    CheckSilence(now);
    return;
  }
  const auto self = shared_from_this();
  if (state_ == state::kWaiting && runs_ == 0) return Refuse("deadline", duration::zero());
  if (attempt_) ++runs_;
  CancelAttempt(now);
  AnswerFailure(504, "deadline");
}

void relayed_request::CheckSilence(time_point now) {
  const route& route = *request_.matched_route;
  if (!attempt_ || !route.MayRepeat() || sink_ == nullptr) return;
  const bool streaming = route.kind == request_kind::kStreaming;
  const duration limit = streaming ? kStreamSilence : kSilentGoals * route.goal;
  if (now - attempt_->heard < limit || runs_ + 1 >= route.max_attempts) return;
  if (request_.deadline - now < kLeastTimeForRetry) return;
  const auto self = shared_from_this();
  const dispatch_choice choice = Choose(now);
  if (choice.upstream_id.empty() || !HasBudget(now)) return;
  LogAttempt("attempt_abandoned", "silent");
  context_.counts.Count("retries", {.service = request_.service, .outcome = "silent"});
  ++runs_;
  attempt_->link->Abort();
  EndAttempt(attempt_outcome::kBroken, now);
  events_.PrepareResumption();
  Send(choice, now);
}

void relayed_request::OnCallerGone() {
  sink_ = nullptr;
  if (state_ == state::kDone) return;
  const time_point now = context_.clock.Now();
  const auto self = shared_from_this();
  // What may not run twice goes on: its upstream may have begun, and breaking it off helps nobody.
  if (attempt_ && !request_.matched_route->MayRepeat()) return;
  CancelAttempt(now);
  Finish("caller_gone", 0);
}

http_answer relayed_request::AnswerFor(const http_head& head) const {
  http_answer answer{.status = head.status, .reason = head.reason};
  for (const header_field& field : head.fields) {
    if (!IsConnectionField(head, field.name)) answer.fields.push_back(field);
  }
  return answer;
}

void relayed_request::DeliverAnswer(const http_head& head, std::string&& body) {
  if (CutStream("no_stream_at_resumption")) return;
  http_answer answer = AnswerFor(head);
  answer.body = std::move(body);
  if (head.status < 500) context_.crashes.OnAnswered(request_.fingerprint);
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->SendAnswer(answer);
  Finish(head.status < 400 ? "served" : "upstream_failure", head.status);
}

void relayed_request::AnswerFailure(unsigned status, std::string_view reason) {
  if (CutStream(reason)) return;
  if (status == 503 && runs_ > 0 && !request_.matched_route->MayRepeat()) status = 502;
  std::optional<duration> retry_after;
  if (status == 503) retry_after = kUnreachableRetryAfter;
  if (sink_ != nullptr) {
    std::exchange(sink_, nullptr)
        ->SendAnswer(
            {.status = status,
             .fields = context_.dialect.RefusalFields(request_.facts.attempt_id, retry_after)});
  }
  Finish(reason, status);
}

void relayed_request::Refuse(std::string_view reason, duration retry_after) {
  if (CutStream(reason)) return;
  std::optional<duration> wait;
  if (retry_after > duration::zero()) wait = retry_after;
  if (sink_ != nullptr) {
    std::exchange(sink_, nullptr)
        ->SendAnswer({.status = 503,
                      .fields = context_.dialect.RefusalFields(request_.facts.attempt_id, wait)});
  }
  Finish(reason, 503);
}

void relayed_request::Finish(std::string_view outcome, unsigned status) {
  if (state_ == state::kDone) return;
  state_ = state::kDone;
  const time_point now = context_.clock.Now();
  context_.counts.Count("requests", {.service = request_.service, .outcome = std::string(outcome)});
  context_.counts.Observe("request", {.service = request_.service}, now - request_.arrival);
  const bool served = outcome == "served";
  logger::Event(served ? log_level::kInfo : log_level::kWarning, "request", "request_done",
                {{"id", request_.facts.attempt_id},
                 {"outcome", std::string(outcome)},
                 {"status", std::to_string(status)},
                 {"ms", MillisecondsText(now - request_.arrival)},
                 {"sends", std::to_string(sends_)},
                 {"events", std::to_string(events_.ForwardedEvents())}});
  listener_.OnRequestDone(request_.id);
}

void relayed_request::LogAttempt(std::string_view event, std::string_view reason) const {
  const log_level level = event == "attempt_sent" ? log_level::kInfo : log_level::kWarning;
  logger::Event(level, "request", event,
                {{"id", request_.facts.attempt_id},
                 {"reason", std::string(reason)},
                 {"upstream", last_upstream_},
                 {"service", request_.service},
                 {"load", std::to_string(last_load_)},
                 {"version", std::to_string(request_.view->Version())},
                 {"ms", MillisecondsText(context_.clock.Now() - request_.arrival)}});
}

}  // namespace berylbarrow
