#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "process/gateway/gateway.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kRoomLogInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxQueuedRequests = 2000;  // per service
// Typical time from dispatch to the end of the answer.
constexpr duration kTypicalStreamDuration = milliseconds(1500);
constexpr duration kTypicalShortRequestDuration = milliseconds(40);
// Callers abandon a stream that sends nothing for 2 s, so a later dispatch would be of no use.
constexpr duration kMaxStreamQueueTime = milliseconds(1600);
// The retry times of refused callers are spread over kBusyRetrySpread, so that they do not all
// retry at the same time.
constexpr duration kBusyRetryAfter = milliseconds(500);
constexpr duration kBusyRetrySpread = milliseconds(700);
// Longest part of a Retry-After that rate limits account for; another gateway may have a share.
constexpr duration kMaxLimitedRetryAfter = milliseconds(1500);

}  // namespace

std::shared_ptr<served_request> gateway::OnRequest(http_head&& head, std::string&& body,
                                                   answer_sink& sink) {
  const time_point now = clock_.Now();
  caller_facts facts = platform_.exchange.ReadCaller(head);
  admission_decision decision =
      admission_gate_.Check(routing_view_.get(), ConfigurationAge(now), head, facts);
  const auto refuse = [&](const admission_refusal& refusal) {
    metrics_.Count("refusals", {.outcome = std::string(refusal.reason)});
    logger::Event(
        log_level::kWarning, "request", "request_refused",
        {{"id", facts.attempt_id},
         {"reason", std::string(refusal.reason)},
         {"status", std::to_string(refusal.status)},
         {"version", routing_view_ ? std::to_string(routing_view_->Version()) : "none"},
         {"age_ms", routing_view_ ? MillisecondsText(ConfigurationAge(now)) : "unknown"}});
    sink.SendAnswer(
        {.status = refusal.status,
         .fields = platform_.exchange.RefusalFields(facts.attempt_id, refusal.retry_after),
         .body = std::string(refusal.body)});
    return nullptr;
  };
  if (decision.refusal) return refuse(*decision.refusal);
  const route& matched = *decision.matched_route;
  time_point deadline = now + matched.timeout;
  if (facts.deadline) deadline = std::min(deadline, now + *facts.deadline);
  if (shutdown_) {
    const bool must_complete = matched.kind == request_kind::kNonIdempotent;
    if (!shutdown_->Admits(now, deadline, must_complete)) {
      return refuse({.reason = "leaving", .retry_after = kShutdownRetryAfter});
    }
    logger::Event(
        log_level::kInfo, "request", "admitted_in_shutdown",
        {{"id", facts.attempt_id}, {"work_left_ms", MillisecondsText(shutdown_->WorkEnd() - now)}});
  }
  admitted_request admitted{.id = next_request_id_++,
                            .view = routing_view_,
                            .matched_route = &matched,
                            .service = ChooseService(matched, relay_context_.UniformRandom()),
                            .priority = matched.priority,
                            .arrival = now,
                            .deadline = deadline};
  if (decision.account != nullptr) {
    admitted.account = decision.account->name;
    admitted.priority = decision.account->priority.value_or(matched.priority);
  }
  admitted.traits = {RequestFingerprint(head.method, head.target, admitted.account, body)};
  admitted.traits.insert(admitted.traits.end(), facts.shared_parts.begin(),
                         facts.shared_parts.end());
  const crash_verdict verdict = crashes_.Check(admitted.traits, IsTrialOwner(), now);
  if (verdict.permission == crash_permission::kRefused) {
    return refuse(
        {.status = kCrashRefusalStatus, .reason = "crashes_upstreams", .body = kCrashRefusalBody});
  }
  crashes_.OnRequest(admitted.traits);
  admitted.head = std::move(head);
  admitted.body = std::make_shared<const std::string>(std::move(body));
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

void gateway::OnClosedForOthers(std::string_view reason) {
  metrics_.Count("closed_for_others", {.outcome = std::string(reason)});
  logger::Event(log_level::kWarning, "request", "connection_closed_for_others",
                {{"reason", std::string(reason)},
                 {"held_bytes", std::to_string(arrival_budget_.HeldBytes())},
                 {"connections", std::to_string(arrival_budget_.HolderCount())}});
}

request_queue& gateway::QueueOf(const std::string& service) {
  return queues_.try_emplace(service, kMaxQueuedRequests).first->second;
}

void gateway::UpdateAdmissions(time_point now) {
  std::erase_if(admissions_, [&](const auto& entry) {
    return !stream_admission::AppliesTo(entry.first, *routing_view_);
  });
  for (auto& [service, admission] : admissions_) admission.DropIdle(now);
  for (const service_profile& service : routing_view_->Content().services) {
    if (!service.engine || !stream_admission::AppliesTo(service.name, *routing_view_)) continue;
    admissions_.try_emplace(service.name, stream_admission_options{});
    QueueOf(service.name).SetLateYields(true);
  }
}

void gateway::LogRooms(time_point now) {
  next_room_log_ = now + kRoomLogInterval;
  for (const auto& [service, admission] : admissions_) {
    for (const group_room& room : selector_.Rooms(service, now)) {
      logger::Event(log_level::kInfo, "fleet", "group_room",
                    {{"service", service},
                     {"group", room.group},
                     {"requests", std::to_string(room.requests)},
                     {"room", std::to_string(room.room)},
                     {"predicted_ms", std::to_string(room.predicted_ms)},
                     {"measured_ms", std::to_string(room.measured_ms)},
                     {"load_factor", std::to_string(room.load_factor)},
                     {"headroom", admission.HeadroomText(share_.GatewayCount(), now)}});
    }
  }
}

void gateway::WaitForRoom(relayed_request& request, time_point now) {
  const admitted_request& admitted = request.Request();
  const auto admission = admissions_.find(admitted.service);
  if (admission == admissions_.end()) return request.Refuse("no_room", BusyRetryAfter());
  request_queue& queue = QueueOf(admitted.service);
  const stream_wait_decision decision =
      admission->second.OnNoRoom(request.Candidate(), queue.CountUpTo(request.Urgency()), now);
  const queued_request queued{.id = admitted.id,
                              .account = admitted.account,
                              .urgency = request.Urgency(),
                              .arrival = admitted.arrival,
                              .on_time_until = LatestOnTimeDispatch(admitted),
                              .dispatch_deadline = LatestOnTimeDispatch(admitted)};
  const bool waits = decision.may_wait && queue.Push(queued);
  metrics_.Count("streams_without_room",
                 {.service = admitted.service, .outcome = waits ? "waits" : "refused"});
  logger::Event(log_level::kInfo, "request", waits ? "request_waits" : "request_finds_no_room",
                {{"id", admitted.facts.attempt_id},
                 {"obstacle", std::to_string(static_cast<int>(dispatch_obstacle::kNoRoom))},
                 {"priority", std::to_string(admitted.priority)},
                 {"route_priority", std::to_string(admitted.matched_route->priority)},
                 {"taken", std::to_string(selector_.Utilization(admitted.service, now))},
                 {"waiting", std::to_string(queue.Size())}});
  if (waits) return;
  request.Refuse("no_room", decision.may_wait ? admission->second.RetryAfter(request.Candidate(),
                                                                             queue.Size(), now)
                                              : decision.retry_after);
}

void gateway::Enqueue(relayed_request& request, dispatch_obstacle obstacle, time_point now) {
  if (obstacle == dispatch_obstacle::kNoRoom) return WaitForRoom(request, now);
  const admitted_request& admitted = request.Request();
  const bool streaming = admitted.matched_route->kind == request_kind::kStreaming;
  if (obstacle == dispatch_obstacle::kNoUpstream && has_upstream_list_ && !streaming) {
    // Only counted for short requests: upstreams may become available again while a stream waits,
    // but hardly while a short request does.
    metrics_.Count("refusals", {.service = admitted.service, .outcome = "no_upstream"});
  }
  time_point dispatch_by =
      admitted.deadline - (streaming ? kTypicalStreamDuration : kTypicalShortRequestDuration);
  if (streaming) dispatch_by = std::min(dispatch_by, admitted.arrival + kMaxStreamQueueTime);
  const queued_request queued{.id = admitted.id,
                              .account = admitted.account,
                              .urgency = request.Urgency(),
                              .arrival = admitted.arrival,
                              .on_time_until = LatestOnTimeDispatch(admitted),
                              .dispatch_deadline = dispatch_by};
  if (obstacle == dispatch_obstacle::kAllLimited) {
    const duration wait = ExpectedLimitedWait(request, now);
    if (now + wait > dispatch_by) {
      request.Refuse("rate_limited", std::min(wait, kMaxLimitedRetryAfter) + BusyRetryAfter());
      return;
    }
  }
  if (queued.dispatch_deadline <= now || !QueueOf(admitted.service).Push(queued)) {
    request.Refuse("no_place", BusyRetryAfter());
    return;
  }
  logger::Event(log_level::kInfo, "request", "request_waits",
                {{"id", admitted.facts.attempt_id},
                 {"obstacle", std::to_string(static_cast<int>(obstacle))},
                 {"taken", std::to_string(selector_.Utilization(admitted.service, now))},
                 {"waiting", std::to_string(QueueOf(admitted.service).Size())}});
}

duration gateway::ExpectedLimitedWait(const relayed_request& request, time_point now) {
  const dispatch_choice choice = request.ChooseUpstream(std::nullopt, now);
  if (!choice.limited_for) return duration::max() / 2;  // the limits leave nothing to this gateway
  const double waiting = static_cast<double>(QueueOf(request.Request().service).Size());
  return *choice.limited_for + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                   waiting / std::max(choice.limited_rate, 0.01)));
}

duration gateway::BusyRetryAfter() {
  return kBusyRetryAfter +
         std::chrono::duration_cast<duration>(kBusyRetrySpread * relay_context_.UniformRandom());
}

void gateway::DispatchQueued(const std::string& service, time_point now) {
  request_queue& queue = QueueOf(service);
  std::set<queued_request_id> skipped;
  while (const auto id = queue.Next(now, skipped)) {
    const auto found = requests_.find(*id);
    if (found == requests_.end() || !found->second->IsWaiting()) {
      queue.Remove(*id);
      continue;
    }
    const auto request = found->second;
    const dispatch_obstacle obstacle = request->TryDispatch(now);
    if (obstacle == dispatch_obstacle::kNone) {
      queue.OnDispatched(*id);
    } else if (obstacle == dispatch_obstacle::kNoRetryBudget) {
      skipped.insert(*id);
    } else {
      return;
    }
  }
}

void gateway::RefuseExpired(time_point now) {
  for (auto& [service, queue] : queues_) {
    for (const queued_request_id id : queue.TakeExpired(now)) {
      const auto found = requests_.find(id);
      if (found == requests_.end() || !found->second->IsWaiting()) continue;
      const auto request = found->second;
      const auto admission = admissions_.find(service);
      const bool is_stream = request->Request().matched_route->kind == request_kind::kStreaming;
      request->Refuse("no_place_in_time",
                      admission != admissions_.end() && is_stream
                          ? admission->second.RetryAfter(request->Candidate(), queue.Size(), now)
                          : BusyRetryAfter());
    }
  }
}

void gateway::OnCapacityFreed(const std::string& service) {
  const auto queue = queues_.find(service);
  if (queue == queues_.end() || queue->second.Size() == 0) return;
  if (!scheduled_dispatches_.insert(service).second) return;
  boost::asio::post(context_, [this, service] {
    scheduled_dispatches_.erase(service);
    DispatchQueued(service, clock_.Now());
  });
}

void gateway::OnRequeueNeeded(relayed_request& request) {
  const time_point now = clock_.Now();
  const dispatch_obstacle obstacle = request.ChooseUpstream(std::nullopt, now).obstacle;
  const bool is_known =
      obstacle == dispatch_obstacle::kAllLimited || obstacle == dispatch_obstacle::kNoRoom;
  Enqueue(request, is_known ? obstacle : dispatch_obstacle::kAllBusy, now);
}

void gateway::OnMisdirectedAttempt() { feed_->RefreshUpstreams(); }

bool gateway::IsTrialOwner() const { return members_.IsLowestGateway(clock_.Now()); }

void gateway::OnAnswerHead(const std::string& upstream_id, const reply_facts& facts,
                           time_point sent_at) {
  const std::uint32_t upstream = UpstreamHash(upstream_id);
  const time_point now = clock_.Now();
  if (limits_.OnAnswer(upstream, facts.rate_limit, sent_at, now)) ApplyLimit(upstream, now);
  if (facts.pause) {
    metrics_.Count("pauses", {});
    logger::Event(log_level::kInfo, "fleet", "upstream_pauses",
                  {{"id", upstream_id},
                   {"ms", MillisecondsText(*facts.pause)},
                   {"answer_to", facts.attempt_id}});
    selector_.OnPause(upstream_id, now + *facts.pause);
  }
  if (!facts.is_leaving || facts.is_misdirected) return;
  if (!registry_.OnLeavingAnnounced(upstream_id, sent_at, now)) return;
  metrics_.Count("leaving_upstreams", {});
  logger::Event(log_level::kInfo, "fleet", "upstream_leaves",
                {{"id", upstream_id}, {"answer_to", facts.attempt_id}});
  UpdateSelector(now);
}

void gateway::OnRequestDone(queued_request_id id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  // The request is still on the call stack, so it is kept alive until this call has returned.
  boost::asio::post(context_, [request = found->second] {});
  if (const auto queue = queues_.find(found->second->Request().service); queue != queues_.end()) {
    queue->second.Remove(id);
  }
  requests_.erase(found);
}

}  // namespace berylbarrow
