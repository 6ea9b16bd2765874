#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "process/gateway/gateway.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxWaiting = 2000;  // requests of one service
// A stream that begins with less than this left of the grace might be cut off.
constexpr duration kStreamEndTime = milliseconds(3500);
constexpr duration kPlainEndTime = milliseconds(1000);
// Usual time that a stream takes after it was sent.
constexpr duration kUsualStream = milliseconds(1500);
constexpr duration kUsualPlain = milliseconds(40);
// Callers abandon a stream that shows nothing for 2 s; a place after that is of no use.
constexpr duration kStreamPatience = milliseconds(1600);
// Refused callers come back spread over this span, so that they do not meet again.
constexpr duration kBusyRetryAfter = milliseconds(500);
constexpr duration kBusyRetrySpread = milliseconds(700);
constexpr duration kLeavingRetryAfter = milliseconds(50);

}  // namespace

std::shared_ptr<served_request> gateway::OnRequest(http_head&& head, std::string&& body,
                                                   answer_sink& sink) {
  const time_point now = clock_.Now();
  caller_facts facts = platform_.exchange.ReadCaller(head);
  admission_decision decision = gate_.Check(view_.get(), ConfigurationAge(now), head, facts);
  const auto refuse = [&](const admission_refusal& refusal) {
    counts_.Count("refusals", {.outcome = std::string(refusal.reason)});
    logger::Event(log_level::kWarning, "request", "request_refused",
                  {{"id", facts.attempt_id},
                   {"reason", std::string(refusal.reason)},
                   {"status", std::to_string(refusal.status)},
                   {"version", view_ ? std::to_string(view_->Version()) : "none"},
                   {"age_ms", view_ ? MillisecondsText(ConfigurationAge(now)) : "unknown"}});
    sink.SendAnswer(
        {.status = refusal.status,
         .fields = platform_.exchange.RefusalFields(facts.attempt_id, refusal.retry_after)});
    return nullptr;
  };
  if (decision.refusal) return refuse(*decision.refusal);
  const route& chosen = *decision.matched_route;
  const bool streaming = chosen.kind == request_kind::kStreaming;
  if (leaving_) {
    const duration left = settings_.bounds.shutdown_grace - (now - leaving_since_);
    if (left < (streaming ? kStreamEndTime : kPlainEndTime)) {
      return refuse({.reason = "leaving", .retry_after = kLeavingRetryAfter});
    }
  }
  admitted_request admitted{.id = next_id_++,
                            .view = view_,
                            .matched_route = &chosen,
                            .service = ChooseService(chosen, relay_.UniformRandom()),
                            .priority = chosen.priority,
                            .arrival = now,
                            .deadline = now + chosen.timeout};
  if (decision.account != nullptr) {
    admitted.account = decision.account->name;
    admitted.priority = decision.account->priority.value_or(chosen.priority);
  }
  if (facts.deadline) admitted.deadline = std::min(admitted.deadline, now + *facts.deadline);
  admitted.fingerprint = RequestFingerprint(head.method, head.target, admitted.account, body);
  if (crashes_.IsRefused(admitted.fingerprint)) return refuse({.reason = "crashes_upstreams"});
  admitted.head = std::move(head);
  admitted.body = std::move(body);
  admitted.facts = std::move(facts);
  if (const auto budget = budgets_.find(admitted.service); budget != budgets_.end()) {
    budget->second.OnRequest();
  }
  auto request = std::make_shared<relayed_request>(std::move(admitted), relay_, *this, sink);
  requests_.emplace(request->Id(), request);
  const dispatch_obstacle obstacle = request->TryDispatch(now);
  if (obstacle != dispatch_obstacle::kNone) Line(*request, obstacle, now);
  return request->IsDone() ? nullptr : request;
}

void gateway::OnRejectedRequest(unsigned status, std::string_view reason) {
  counts_.Count("refusals", {.outcome = std::string(reason)});
  logger::Event(log_level::kWarning, "request", "request_rejected",
                {{"reason", std::string(reason)}, {"status", std::to_string(status)}});
}

request_queue& gateway::LineOf(const std::string& service) {
  return lines_.try_emplace(service, kMaxWaiting).first->second;
}

void gateway::Line(relayed_request& request, dispatch_obstacle obstacle, time_point now) {
  const admitted_request& admitted = request.Request();
  const bool streaming = admitted.matched_route->kind == request_kind::kStreaming;
  if (obstacle == dispatch_obstacle::kNoUpstream && has_upstreams_ && !streaming) {
    // Upstreams may be back within the time of a stream, but hardly within that of a short request.
    counts_.Count("refusals", {.service = admitted.service, .outcome = "no_upstream"});
  }
  time_point hopeless = admitted.deadline - (streaming ? kUsualStream : kUsualPlain);
  if (streaming) hopeless = std::min(hopeless, admitted.arrival + kStreamPatience);
  const queued_request waiting{.id = admitted.id,
                               .account = admitted.account,
                               .priority = admitted.priority,
                               .arrival = admitted.arrival,
                               .on_time_until = LatestOnTimeDispatch(admitted),
                               .dispatch_deadline = hopeless};
  if (waiting.dispatch_deadline <= now || !LineOf(admitted.service).Push(waiting)) {
    request.Refuse("no_place", BusyRetryAfter());
    return;
  }
  logger::Event(log_level::kInfo, "request", "request_waits",
                {{"id", admitted.facts.attempt_id},
                 {"obstacle", std::to_string(static_cast<int>(obstacle))},
                 {"taken", std::to_string(board_.Utilization(admitted.service, now))},
                 {"waiting", std::to_string(LineOf(admitted.service).Size())}});
}

duration gateway::BusyRetryAfter() {
  return kBusyRetryAfter +
         std::chrono::duration_cast<duration>(kBusyRetrySpread * relay_.UniformRandom());
}

void gateway::Pump(const std::string& service, time_point now) {
  request_queue& line = LineOf(service);
  std::set<queued_request_id> passed_over;
  while (const auto id = line.Next(now, passed_over)) {
    const auto found = requests_.find(*id);
    if (found == requests_.end() || !found->second->IsWaiting()) {
      line.Remove(*id);
      continue;
    }
    const auto request = found->second;
    const dispatch_obstacle obstacle = request->TryDispatch(now);
    if (obstacle == dispatch_obstacle::kNone) {
      line.OnDispatched(*id);
    } else if (obstacle == dispatch_obstacle::kNoRetryBudget) {
      passed_over.insert(*id);
    } else {
      return;
    }
  }
}

void gateway::RefuseHopeless(time_point now) {
  for (auto& [service, line] : lines_) {
    for (const queued_request_id id : line.TakeExpired(now)) {
      const auto found = requests_.find(id);
      if (found == requests_.end() || !found->second->IsWaiting()) continue;
      const auto request = found->second;
      request->Refuse("no_place_in_time", BusyRetryAfter());
    }
  }
}

void gateway::OnCapacityFreed(const std::string& service) {
  const auto line = lines_.find(service);
  if (line == lines_.end() || line->second.Size() == 0) return;
  if (!pumps_.insert(service).second) return;
  boost::asio::post(context_, [this, service] {
    pumps_.erase(service);
    Pump(service, clock_.Now());
  });
}

void gateway::OnRequeueNeeded(relayed_request& request) {
  Line(request, dispatch_obstacle::kAllBusy, clock_.Now());
}

void gateway::OnMisdirectedAttempt() { feed_->RefreshUpstreams(); }

void gateway::OnRequestDone(queued_request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  // The request is still on the call stack.
  boost::asio::post(context_, [request = found->second] {});
  if (const auto line = lines_.find(found->second->Request().service); line != lines_.end()) {
    line->second.Remove(id);
  }
  requests_.erase(found);
}

}  // namespace berylbarrow
