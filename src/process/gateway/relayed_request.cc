#include "process/gateway/relayed_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

// Attempts allowed in addition to the limit of the route, because upstreams may refuse attempts
// without running them.
constexpr std::uint32_t kMaxExtraAttempts = 4;
// A request that may be repeated and is not a stream is sent to another upstream if it has not been
// answered within this multiple of its latency objective.
constexpr int kSilenceLimitGoals = 2;
// A request with less time than this until its deadline is not sent again.
constexpr duration kMinTimeToRetry = milliseconds(40);
// A request with less time than this until its deadline is not queued again.
constexpr duration kMinTimeToRequeue = milliseconds(150);
// A silent stream is resumed on another upstream after this time. Callers abandon a stream that is
// silent for 2 s.
constexpr duration kStreamSilenceLimit = milliseconds(1100);
constexpr duration kUnreachableRetryAfter = milliseconds(300);
// Retry-After of requests that wait for the result of a trial.
constexpr duration kTrialRetryAfter = milliseconds(1500);
// Retry-After of requests that might crash the last failure unit: the time in which a group with a
// crashed rank usually opens again.
constexpr duration kEndangeredRetryAfter = milliseconds(2500);

/// Hexadecimal ids, separated by commas.
std::string PartsText(const std::vector<std::uint64_t>& parts) {
  std::string text;
  for (const std::uint64_t part : parts) {
    std::array<char, 16> digits{};
    char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), part, 16).ptr;
    if (!text.empty()) text += ',';
    text.append(digits.data(), end);
  }
  return text;
}

/// Whether the status tells callers that the request has not run and never will.
bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether the end of the connection is the end of the answer.
bool EndsWithConnection(const http_head& head) {
  return !head.Has("Content-Length") && !head.Has("Transfer-Encoding");
}

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
      splitter_(request_.facts.last_event) {
  if (stream_admission* const admission = Admission()) {
    admission_draw_ = context_.UniformRandom();
    admission->OnArrival(Urgency(), request_.matched_route->goal, request_.arrival);
  }
}

stream_admission* relayed_request::Admission() const {
  if (request_.matched_route->kind != request_kind::kStreaming) return nullptr;
  const auto found = context_.admissions.find(request_.service);
  return found == context_.admissions.end() ? nullptr : &found->second;
}

request_urgency relayed_request::Urgency() const {
  const bool is_ordered_by_route = Admission() != nullptr;
  return {.priority = request_.priority,
          .route_priority = is_ordered_by_route ? request_.matched_route->priority : 0};
}

stream_candidate relayed_request::Candidate() const {
  return {.urgency = Urgency(),
          .on_time_until = LatestOnTimeDispatch(request_),
          .deadline = request_.deadline,
          .draw = admission_draw_};
}

std::optional<double> relayed_request::Headroom(time_point now) const {
  const stream_admission* const admission = Admission();
  // A stream that has run already is continued at once, because its caller waits for the next
  // event.
  if (admission == nullptr || possible_runs_ > 0) return std::nullopt;
  return admission->Headroom(Urgency(), admission_draw_, context_.share.GatewayCount(), now);
}

std::uint32_t relayed_request::ExpectedTokens() const {
  return request_.facts.prompt_tokens + request_.facts.answer_tokens;
}

bool relayed_request::IsLate(time_point now) const {
  // A stream that has begun is never treated as late, because it must continue without a pause.
  return first_event_time_ == time_point::min() && now > LatestOnTimeDispatch(request_);
}

dispatch_choice relayed_request::ChooseUpstream(std::optional<std::uint32_t> unit,
                                                time_point now) const {
  return context_.selector.Choose({.service = request_.service,
                                   .domain = context_.settings.domain,
                                   .excluded = tried_upstreams_,
                                   .unit = unit,
                                   .affinity = context_.crashes.RiskAffinity(request_.traits),
                                   .tokens = ExpectedTokens(),
                                   .late = IsLate(now),
                                   .tie_break = context_.UniformRandom(),
                                   .headroom = Headroom(now)},
                                  now);
}

dispatch_obstacle relayed_request::TryDispatch(time_point now) {
  if (state_ != state::kWaiting) return dispatch_obstacle::kNone;
  const crash_verdict verdict = CheckCrashes(now);
  if (EndIfSuspected(verdict)) return dispatch_obstacle::kNone;
  if (EndangersLastUnit(now)) {
    EndUnfinished(
        {.status = 502, .reason = "endangers_last_unit", .retry_after = kEndangeredRetryAfter},
        now);
    return dispatch_obstacle::kNone;
  }
  const bool is_trial = verdict.permission == crash_permission::kTrial;
  const bool is_limited = is_trial && context_.selector.HasFailureUnit(verdict.unit);
  const dispatch_choice choice =
      ChooseUpstream(is_limited ? std::optional(verdict.unit) : std::nullopt, now);
  if (choice.upstream_id.empty()) {
    if (!is_limited) return choice.obstacle;
    Refuse("crash_trial_unavailable", kTrialRetryAfter);
    return dispatch_obstacle::kNone;
  }
  if (sent_attempts_ > 0 && !AcquireRetryBudget(now)) {
    if (!is_denial_logged_) LogAttempt("retry_denied", "budget");
    is_denial_logged_ = true;
    return dispatch_obstacle::kNoRetryBudget;
  }
  if (is_trial) {
    context_.crashes.OnTrialSent(verdict.suspect, now);
    context_.counts.Count("crash_trials", {.service = request_.service});
  }
  Send(choice, now);
  if (is_trial) LogAttempt("crash_trial", "suspected");
  return dispatch_obstacle::kNone;
}

crash_verdict relayed_request::CheckCrashes(time_point now) const {
  return context_.crashes.Check(request_.traits, listener_.IsTrialOwner(), now);
}

bool relayed_request::EndIfSuspected(const crash_verdict& verdict) {
  if (verdict.permission == crash_permission::kOnHold) {
    Refuse("crash_trial_pending", kTrialRetryAfter);
    return true;
  }
  if (verdict.permission != crash_permission::kRefused) return false;
  SendFailure(kCrashRefusalStatus, "crashes_upstreams");
  return true;
}

bool relayed_request::EndangersLastUnit(time_point now) const {
  return context_.crashes.IsRisky(request_.traits, now) &&
         context_.selector.IsLastUnit(request_.service, now);
}

void relayed_request::ReportCrash(time_point now) {
  const auto limit = context_.start_delays[request_.service].Limit();
  const bool has_started =
      attempt_->head_received && limit && now - *attempt_->head_received > *limit;
  const std::uint32_t unit = context_.selector.FailureUnit(attempt_->upstream_id);
  context_.crashes.OnCrash(request_.traits, unit,
                           has_started ? answer_progress::kStarted : answer_progress::kUnanswered,
                           now,
                           {.upstream = UpstreamHash(attempt_->upstream_id),
                            .ran = now - attempt_->sent,
                            .is_group = context_.selector.IsInGroup(attempt_->upstream_id)});
  logger::Event(log_level::kWarning, "request", "crash_suspected",
                {{"id", request_.facts.attempt_id},
                 {"reason", has_started ? "answer_started" : "unanswered"},
                 {"upstream", attempt_->upstream_id},
                 {"unit", std::to_string(unit)},
                 {"fingerprint", std::to_string(request_.traits.front())},
                 {"parts", PartsText(request_.facts.shared_parts)},
                 {"ran_ms", MillisecondsText(now - attempt_->sent)},
                 {"link_use", std::to_string(last_link_use_)},
                 {"service", request_.service}});
}

void relayed_request::ReportSound(unsigned status, time_point now) {
  if (!context_.crashes.OnAnswered(request_.traits, now)) return;
  logger::Event(log_level::kInfo, "request", "crash_cleared",
                {{"id", request_.facts.attempt_id},
                 {"fingerprint", std::to_string(request_.traits.front())},
                 {"parts", PartsText(request_.facts.shared_parts)},
                 {"upstream", last_upstream_},
                 {"status", std::to_string(status)}});
}

void relayed_request::OnFirstEvent(time_point now) {
  ReportSound(200, now);
  if (attempt_->head_received) {
    context_.start_delays[request_.service].Add(now - *attempt_->head_received);
  }
}

void relayed_request::Send(const dispatch_choice& choice, time_point now) {
  state_ = state::kSent;
  ++sent_attempts_;
  last_upstream_load_ = choice.load;
  last_upstream_ = choice.upstream_id;
  tried_upstreams_.insert(choice.upstream_id);
  const bool must_be_recent = !request_.matched_route->MayRepeat();
  attempt_ =
      attempt{.upstream_id = choice.upstream_id,
              .link = context_.links.Acquire({.upstream_id = choice.upstream_id,
                                              .address = choice.address,
                                              .must_be_recent = must_be_recent,
                                              .must_be_new = request_.facts.attempt_id.empty(),
                                              .answered = answered_links_}),
              .sent = now,
              .last_received = now};
  last_link_ = attempt_->link->Serial();
  std::vector<header_field> fields =
      context_.dialect.AttemptFields(request_.head, {.upstream_id = choice.upstream_id,
                                                     .account = request_.account,
                                                     .remaining = request_.deadline - now,
                                                     .last_event = splitter_.LastEventId(),
                                                     .priority = request_.priority});
  const bool has_body = !request_.body->empty() || request_.head.method == "POST" ||
                        request_.head.method == "PUT" || request_.head.method == "PATCH";
  if (has_body) fields.push_back({"Content-Length", std::to_string(request_.body->size())});
  context_.selector.OnSent(choice.upstream_id, ExpectedTokens(), now);
  if (stream_admission* const admission = Admission();
      admission != nullptr && sent_attempts_ == 1) {
    admission->OnAdmitted(Urgency(), now);
  }
  if (choice.is_away) context_.counts.Count("away_requests", {.service = request_.service});
  is_last_answer_tagged_ = false;
  attempt_->link->Exchange(RequestHeadText(request_.head, fields), request_.head.method == "HEAD",
                           this, request_.body);
  last_link_use_ = attempt_->link->ExchangeCount();
  LogAttempt("attempt_sent", sent_attempts_ > 1 ? "retry" : "first");
}

void relayed_request::EndAttempt(attempt_outcome outcome, time_point now) {
  if (!attempt_) return;
  const attempt ended = std::move(*attempt_);
  attempt_.reset();
  context_.selector.OnFinished(ended.upstream_id, ExpectedTokens(), outcome, now - ended.sent, now);
  if (ended.facts.cold_left) {
    context_.selector.OnColdTimeLeft(ended.upstream_id, *ended.facts.cold_left, now);
  }
  // An upstream that names no request hardly names the next one, whose answer could not be
  // attributed on a link that has been used.
  if (ended.head_received && ended.facts.attempt_id.empty()) ended.link->Close();
  context_.links.Release(ended.upstream_id, ended.link);
  if (stream_admission* const admission = Admission()) admission->OnPlaceFreed(now);
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

relayed_request::answer_owner relayed_request::OwnerOf(const reply_facts& facts) const {
  if (!facts.attempt_id.empty()) {
    return facts.attempt_id == request_.facts.attempt_id ? answer_owner::kThisRequest
                                                         : answer_owner::kOtherRequest;
  }
  return attempt_->link->ExchangeCount() == 1 ? answer_owner::kThisRequest : answer_owner::kUnknown;
}

bool relayed_request::OnAnswerHead(const http_head& head) {
  reply_facts facts = context_.dialect.ReadReply(head);
  const answer_owner owner = OwnerOf(facts);
  if (owner == answer_owner::kOtherRequest) {
    LogAttempt("answer_skipped", "other_request");
    return false;
  }
  const time_point now = context_.clock.Now();
  if (owner == answer_owner::kUnknown) {
    const auto self = shared_from_this();
    attempt_->link->Abort();
    EndAttempt(attempt_outcome::kBroken, now);
    ++possible_runs_;
    HandleBrokenAttempt("untagged_answer", now);
    return false;
  }
  attempt_->last_received = now;
  attempt_->head_received = now;
  listener_.OnAnswerHead(attempt_->upstream_id, facts, attempt_->sent);
  attempt_->facts = std::move(facts);
  is_last_answer_tagged_ = !attempt_->facts.attempt_id.empty();
  if (!IsStreamAnswer(head)) return true;
  if (!attempt_->facts.is_signed) return true;  // handled as broken in OnAnswerEnd
  state_ = state::kStreaming;
  return true;
}

void relayed_request::OnAnswerBody(std::string& body) {
  if (state_ != state::kStreaming) return;
  ForwardStreamPart(body, context_.clock.Now());
}

void relayed_request::ForwardStreamPart(std::string& body, time_point now) {
  const std::uint64_t forwarded_events = splitter_.ForwardedEvents();
  const std::string events = splitter_.Feed(body);
  if (splitter_.HasGap()) {
    CancelAttempt(now);
    HandleBrokenAttempt("event_gap", now);
    return;
  }
  if (splitter_.ForwardedEvents() > forwarded_events) OnEvent(now);
  if (!events.empty()) ForwardEvents(events);
  if (state_ != state::kStreaming || !splitter_.IsEventTooLarge()) return;
  attempt_->link->Abort();
  EndAttempt(attempt_outcome::kBroken, now);
  ++possible_runs_;
  HandleBrokenAttempt("event_too_large", now);
}

void relayed_request::OnEvent(time_point now) {
  if (sink_ == nullptr) return;
  if (attempt_ && !attempt_->last_event) OnFirstEvent(now);
  if (attempt_ && attempt_->last_event) {
    context_.selector.OnEventGap(attempt_->upstream_id, now - *attempt_->last_event, now);
  }
  if (attempt_) {
    // Other bytes are no progress for the caller.
    attempt_->last_received = now;
    attempt_->last_event = now;
  }
  if (first_event_time_ == time_point::min()) {
    first_event_time_ = now;
    context_.counts.Observe("first_event", {.service = request_.service}, now - request_.arrival);
  }
}

void relayed_request::ForwardEvents(const std::string& events) {
  if (sink_ == nullptr) return;
  if (!head_sent_) {
    head_sent_ = true;
    sink_->BeginStream(ToCallerAnswer(attempt_->link->AnswerHead()));
  }
  if (sink_ != nullptr) sink_->SendPart(events);
}

void relayed_request::OnAnswerEnd(const http_head& head, std::string&& body) {
  const time_point now = context_.clock.Now();
  if (state_ == state::kStreaming) {
    const auto self = shared_from_this();
    if (!head_sent_ && sink_ != nullptr) {
      head_sent_ = true;
      sink_->BeginStream(ToCallerAnswer(head));
    }
    ForwardStreamPart(body, now);
    if (state_ == state::kStreaming && attempt_) HandleStreamEnd(EndsWithConnection(head), now);
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
    ++possible_runs_;
    HandleBrokenAttempt("unsigned_answer", now);
    return;
  }
  ++possible_runs_;
  const bool promises_not_run = PromisesNotRun(head.status);
  if (head.status < 500 && !promises_not_run) {
    EndAttempt(attempt_outcome::kServed, now);
    if (facts.is_signed) ReportSound(head.status, now);
    ForwardAnswer(head, std::move(body));
    return;
  }
  EndAttempt(attempt_outcome::kFailed, now);
  if (request_.matched_route->MayRepeat() && Retry("upstream_error", now)) return;
  // The upstream did not state that it has not run the request.
  if (promises_not_run) return SendFailure(502, "upstream_error");
  ForwardAnswer(head, std::move(body));
}

void relayed_request::HandleStreamEnd(bool ends_with_connection, time_point now) {
  // Nothing else tells an upstream that crashed before the first event from an empty stream. An
  // answer to HEAD has no events.
  const bool is_missing =
      ends_with_connection && !attempt_->last_event && request_.head.method != "HEAD";
  if (is_missing || !splitter_.PartialEvent().empty()) {
    if (!attempt_->last_event) ReportCrash(now);
    EndAttempt(attempt_outcome::kBroken, now);
    ++possible_runs_;
    HandleBrokenAttempt(is_missing ? "no_event" : "torn_end", now);
    return;
  }
  ++possible_runs_;
  EndAttempt(attempt_outcome::kServed, now);
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->EndStream();
  Finish("served", 200);
}

void relayed_request::HandleNotRun(const http_head& head, time_point now) {
  const bool misdirected = attempt_->facts.is_misdirected;
  const std::string upstream = attempt_->upstream_id;
  const std::string reason = misdirected ? "misdirected" : "refused_" + std::to_string(head.status);
  LogAttempt("attempt_not_run", reason);
  answered_links_.push_back(attempt_->link);
  EndAttempt(misdirected ? attempt_outcome::kMisdirected : attempt_outcome::kRefused, now);
  if (misdirected) listener_.OnMisdirectedAttempt();
  if (Retry(reason, now) || Requeue(upstream, now)) return;
  Refuse(reason, kUnreachableRetryAfter);
}

bool relayed_request::AcquireRetryBudget(time_point now) {
  const auto budget = context_.retry_budgets.find(request_.service);
  return budget == context_.retry_budgets.end() || budget->second.TryAcquire(now);
}

bool relayed_request::Retry(std::string_view reason, time_point now) {
  const route& route = *request_.matched_route;
  const bool may_send = sent_attempts_ < route.max_attempts + kMaxExtraAttempts;
  if (sink_ == nullptr || possible_runs_ >= route.max_attempts || !may_send) return false;
  if (request_.deadline - now < kMinTimeToRetry) return false;
  context_.counts.Count("retries", {.service = request_.service, .outcome = std::string(reason)});
  state_ = state::kWaiting;
  return TryDispatch(now) == dispatch_obstacle::kNone;
}

bool relayed_request::Requeue(const std::string& upstream_id, time_point now) {
  const bool may_send = sent_attempts_ < request_.matched_route->max_attempts + kMaxExtraAttempts;
  if (sink_ == nullptr || possible_runs_ > 0 || head_sent_ || !may_send) return false;
  if (request_.deadline - now < kMinTimeToRequeue) return false;
  // The request has not run on this upstream, so it may be sent there again.
  tried_upstreams_.erase(upstream_id);
  state_ = state::kWaiting;
  listener_.OnRequeueNeeded(*this);
  return true;
}

void relayed_request::HandleBrokenAttempt(std::string_view reason, time_point now) {
  LogAttempt("attempt_broken", reason);
  if (request_.matched_route->MayRepeat()) {
    if (!head_sent_ && EndIfSuspected(CheckCrashes(now))) return;
    splitter_.PrepareResumption();
    if (Retry(reason, now)) return;
  }
  SendFailure(502, reason);
}

bool relayed_request::AbortStream(std::string_view reason) {
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
    if (Retry("unreachable", now) || Requeue(upstream, now)) return;
    return Refuse("unreachable", kUnreachableRetryAfter);
  }
  ++possible_runs_;
  const bool is_broken = failure == link_failure::kNoAnswer || failure == link_failure::kCutShort;
  if (is_broken && !attempt_->last_event) ReportCrash(now);
  EndAttempt(attempt_outcome::kBroken, now);
  switch (failure) {
    case link_failure::kNoAnswer:
      return HandleBrokenAttempt("no_answer", now);
    case link_failure::kCutShort:
      return HandleBrokenAttempt("cut_short", now);
    case link_failure::kTooLarge:
      return HandleBrokenAttempt("answer_too_large", now);
    default:
      return HandleBrokenAttempt("garbled", now);
  }
}

void relayed_request::CheckTimeouts(time_point now) {
  if (state_ == state::kDone) return;
  if (now < request_.deadline) {
    RetryIfSilent(now);
    return;
  }
  EndUnfinished({.status = 504, .reason = "deadline"}, now);
}

void relayed_request::EndIfRefused(time_point now) {
  const bool may_end = attempt_ && !attempt_->last_event && request_.matched_route->MayRepeat();
  if (!may_end || CheckCrashes(now).permission != crash_permission::kRefused) return;
  const auto self = shared_from_this();
  LogAttempt("attempt_abandoned", "crashes_upstreams");
  ++possible_runs_;
  CancelAttempt(now);
  SendFailure(kCrashRefusalStatus, "crashes_upstreams");
}

void relayed_request::EndUnfinished(const unfinished_answer& answer, time_point now) {
  if (state_ == state::kDone) return;
  const auto self = shared_from_this();
  if (state_ == state::kWaiting && possible_runs_ == 0) {
    return Refuse(answer.reason, answer.retry_after);
  }
  if (attempt_) ++possible_runs_;
  CancelAttempt(now);
  SendFailure(answer.status, answer.reason);
}

void relayed_request::RetryIfSilent(time_point now) {
  const route& route = *request_.matched_route;
  if (!attempt_ || !route.MayRepeat() || sink_ == nullptr) return;
  const bool streaming = route.kind == request_kind::kStreaming;
  const duration limit = streaming ? kStreamSilenceLimit : kSilenceLimitGoals * route.goal;
  if (now - attempt_->last_received < limit || possible_runs_ + 1 >= route.max_attempts) return;
  if (request_.deadline - now < kMinTimeToRetry) return;
  const auto self = shared_from_this();
  const crash_verdict verdict = CheckCrashes(now);
  if (verdict.permission != crash_permission::kUnrestricted || EndangersLastUnit(now)) return;
  const dispatch_choice choice = ChooseUpstream(std::nullopt, now);
  if (choice.upstream_id.empty() || !AcquireRetryBudget(now)) return;
  LogAttempt("attempt_abandoned", "silent");
  context_.counts.Count("retries", {.service = request_.service, .outcome = "silent"});
  ++possible_runs_;
  attempt_->link->Abort();
  EndAttempt(attempt_outcome::kBroken, now);
  splitter_.PrepareResumption();
  Send(choice, now);
}

void relayed_request::OnCallerGone() {
  sink_ = nullptr;
  if (state_ == state::kDone) return;
  const time_point now = context_.clock.Now();
  const auto self = shared_from_this();
  // A request that must not run twice continues: the upstream may already be running it, and
  // cancelling it would have no benefit.
  if (attempt_ && !request_.matched_route->MayRepeat()) return;
  CancelAttempt(now);
  Finish("caller_gone", 0);
}

http_answer relayed_request::ToCallerAnswer(const http_head& head) const {
  http_answer answer{.status = head.status, .reason = head.reason};
  for (const header_field& field : head.fields) {
    if (!IsConnectionField(head, field.name)) answer.fields.push_back(field);
  }
  return answer;
}

void relayed_request::ForwardAnswer(const http_head& head, std::string&& body) {
  if (AbortStream("no_stream_at_resumption")) return;
  http_answer answer = ToCallerAnswer(head);
  answer.body = std::move(body);
  if (sink_ != nullptr) std::exchange(sink_, nullptr)->SendAnswer(answer);
  Finish(head.status < 400 ? "served" : "upstream_failure", head.status);
}

void relayed_request::SendFailure(unsigned status, std::string_view reason, duration retry_after) {
  if (AbortStream(reason)) return;
  if (PromisesNotRun(status) && MayHaveRun()) {
    context_.counts.Count("withheld_promises", {.service = request_.service});
    status = 502;
    retry_after = duration::zero();
  }
  std::optional<duration> retry_after_field;
  if (retry_after > duration::zero()) retry_after_field = retry_after;
  if (sink_ != nullptr) {
    std::exchange(sink_, nullptr)
        ->SendAnswer(
            {.status = status,
             .fields = context_.dialect.RefusalFields(request_.facts.attempt_id, retry_after_field),
             .body = status == kCrashRefusalStatus ? kCrashRefusalBody : ""});
  }
  Finish(reason, status);
}

void relayed_request::Refuse(std::string_view reason, duration retry_after) {
  SendFailure(503, reason, retry_after);
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
                 {"sends", std::to_string(sent_attempts_)},
                 {"events", std::to_string(splitter_.ForwardedEvents())}});
  listener_.OnRequestDone(request_.id);
}

void relayed_request::LogCutOff() const {
  logger::Event(log_level::kError, "request", "request_cut_off",
                {{"id", request_.facts.attempt_id},
                 {"attempt_open", attempt_ ? "true" : "false"},
                 {"answer_begun", head_sent_ ? "true" : "false"},
                 {"ms", MillisecondsText(context_.clock.Now() - request_.arrival)},
                 {"left_ms", MillisecondsText(request_.deadline - context_.clock.Now())},
                 {"sends", std::to_string(sent_attempts_)}});
}

void relayed_request::LogAttempt(std::string_view event, std::string_view reason) const {
  const log_level level = event == "attempt_sent" ? log_level::kInfo : log_level::kWarning;
  logger::Event(level, "request", event,
                {{"id", request_.facts.attempt_id},
                 {"reason", std::string(reason)},
                 {"upstream", last_upstream_},
                 {"link", std::to_string(last_link_)},
                 {"link_use", std::to_string(last_link_use_)},
                 {"tagged", is_last_answer_tagged_ ? "true" : "false"},
                 {"service", request_.service},
                 {"load", std::to_string(last_upstream_load_)},
                 {"version", std::to_string(request_.view->Version())},
                 {"parts", PartsText(request_.facts.shared_parts)},
                 {"events", std::to_string(splitter_.ForwardedEvents())},
                 {"ms", MillisecondsText(context_.clock.Now() - request_.arrival)}});
}

}  // namespace berylbarrow
