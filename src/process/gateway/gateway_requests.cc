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
  gate_verdict verdict =
      admission_gate_.Judge(routing_view_.get(), ConfigurationAge(now), head, facts);
  const auto refuse = [&](const gate_refusal& refused) {
    metrics_.Count("refusals", {.outcome = std::string(refused.reason)});
    logger::Event(
        log_level::kWarning, "request", "request_refused",
        {{"id", facts.attempt_id},
         {"reason", std::string(refused.reason)},
         {"status", std::to_string(refused.status)},
         {"version", routing_view_ ? std::to_string(routing_view_->Version()) : "none"},
         {"age_ms", routing_view_ ? MillisecondsText(ConfigurationAge(now)) : "unknown"}});
    sink.SendAnswer(
        {.status = refused.status,
         .fields = platform_.exchange.RefusalFields(facts.attempt_id, refused.retry_after)});
    return nullptr;
  };
  if (verdict.refused) return refuse(*verdict.refused);
  const route& chosen = *verdict.route_used;
  const bool streaming = chosen.kind == request_kind::kStreaming;
  if (shutting_down_) {
    const duration left = settings_.bounds.shutdown_grace - (now - shutdown_started_);
    if (left < (streaming ? kStreamEndTime : kPlainEndTime)) {
      return refuse({.reason = "leaving", .retry_after = kLeavingRetryAfter});
    }
  }
  admitted_request admitted{.id = next_request_id_++,
                            .view = routing_view_,
                            .route_used = &chosen,
                            .service = ChooseService(chosen, relay_context_.Draw()),
                            .priority = chosen.priority,
                            .arrival = now,
                            .deadline = now + chosen.timeout};
  if (verdict.account != nullptr) {
    admitted.account = verdict.account->name;
    admitted.priority = verdict.account->priority.value_or(chosen.priority);
  }
  if (facts.deadline) admitted.deadline = std::min(admitted.deadline, now + *facts.deadline);
  admitted.fingerprint = RequestFingerprint(head.method, head.target, admitted.account, body);
  if (crash_counter_.IsRefused(admitted.fingerprint))
    return refuse({.reason = "crashes_upstreams"});
  admitted.head = std::move(head);
  admitted.body = std::move(body);
  admitted.facts = std::move(facts);
  if (const auto budget = retry_budgets_.find(admitted.service); budget != retry_budgets_.end()) {
    budget->second.OnRequest();
  }
  auto request =
      std::make_shared<relayed_request>(std::move(admitted), relay_context_, *this, sink);
  requests_.emplace(request->Id(), request);
  const dispatch_obstacle obstacle = request->TryDispatch(now);
  if (obstacle != dispatch_obstacle::kNone) Enqueue(*request, obstacle, now);
  return request->IsDone() ? nullptr : request;
}

void gateway::OnRejectedRequest(unsigned status, std::string_view reason) {
  metrics_.Count("refusals", {.outcome = std::string(reason)});
  logger::Event(log_level::kWarning, "request", "request_rejected",
                {{"reason", std::string(reason)}, {"status", std::to_string(status)}});
}

request_queue& gateway::QueueOf(const std::string& service) {
  return queues_.try_emplace(service, kMaxWaiting).first->second;
}

void gateway::Enqueue(relayed_request& request, dispatch_obstacle obstacle, time_point now) {
  const admitted_request& admitted = request.Request();
  const bool streaming = admitted.route_used->kind == request_kind::kStreaming;
  if (obstacle == dispatch_obstacle::kNoUpstream && has_upstream_list_ && !streaming) {
    // Upstreams may be back within the time of a stream, but hardly within that of a short request.
    metrics_.Count("refusals", {.service = admitted.service, .outcome = "no_upstream"});
  }
  time_point hopeless = admitted.deadline - (streaming ? kUsualStream : kUsualPlain);
  if (streaming) hopeless = std::min(hopeless, admitted.arrival + kStreamPatience);
  const queued_request waiting{.id = admitted.id,
                               .account = admitted.account,
                               .priority = admitted.priority,
                               .arrival = admitted.arrival,
                               .on_time_until = LatestStart(admitted),
                               .dispatch_deadline = hopeless};
  if (waiting.dispatch_deadline <= now || !QueueOf(admitted.service).Push(waiting)) {
    request.Refuse("no_place", BusyRetryAfter());
    return;
  }
  logger::Event(log_level::kInfo, "request", "request_waits",
                {{"id", admitted.facts.attempt_id},
                 {"obstacle", std::to_string(static_cast<int>(obstacle))},
                 {"taken", std::to_string(selector_.Utilization(admitted.service, now))},
                 {"waiting", std::to_string(QueueOf(admitted.service).Size())}});
}

duration gateway::BusyRetryAfter() {
  return kBusyRetryAfter +
         std::chrono::duration_cast<duration>(kBusyRetrySpread * relay_context_.Draw());
}

void gateway::DispatchQueued(const std::string& service, time_point now) {
  request_queue& line = QueueOf(service);
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

void gateway::RefuseExpired(time_point now) {
  for (auto& [service, line] : queues_) {
    for (const queued_request_id id : line.TakeExpired(now)) {
      const auto found = requests_.find(id);
      if (found == requests_.end() || !found->second->IsWaiting()) continue;
      const auto request = found->second;
      request->Refuse("no_place_in_time", BusyRetryAfter());
    }
  }
}

void gateway::OnPlaceFree(const std::string& service) {
  const auto line = queues_.find(service);
  if (line == queues_.end() || line->second.Size() == 0) return;
  if (!scheduled_dispatches_.insert(service).second) return;
  boost::asio::post(context_, [this, service] {
    scheduled_dispatches_.erase(service);
    DispatchQueued(service, clock_.Now());
  });
}

void gateway::OnRelayWaits(relayed_request& request) {
  Enqueue(request, dispatch_obstacle::kAllBusy, clock_.Now());
}

void gateway::OnMisdirected() { feed_->RefreshUpstreams(); }

void gateway::OnRelayDone(queued_request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  // The request is still on the call stack.
  boost::asio::post(context_, [request = found->second] {});
  if (const auto line = queues_.find(found->second->Request().service); line != queues_.end()) {
    line->second.Remove(id);
  }
  requests_.erase(found);
}

}  // namespace berylbarrow
