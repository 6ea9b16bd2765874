#include <algorithm>
#include <utility>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {
namespace {

// Added to the retry time of work that may fit soon, so that callers do not return together.
constexpr std::uint64_t kRetryBaseMs = 200;
constexpr std::uint64_t kRetryJitterMs = 300;
constexpr std::size_t kMaxHeld = 512;

std::size_t RequestBytes(const dispatch& work) {
  return work.request.body.size() + work.request.target.size();
}

bool IsTransient(refusal_reason reason) {
  return reason == refusal_reason::kOverload || reason == refusal_reason::kStaleView;
}

}  // namespace

std::uint64_t agent_core::EpochOf(const dispatch& work) const {
  if (work.idempotent) {
    return 0;
  }
  const auto key = ParseGrantKey(work.idempotency_key);
  return key ? key.value().permission.epoch : 0;
}

grant_window agent_core::Window() const {
  return {.current = {.agent = options_.identity.name,
                      .incarnation = options_.identity.incarnation,
                      .epoch = epoch_},
          .oldest_epoch = oldest_epoch_};
}

void agent_core::OnDispatch(const dispatch& work, connection_id connection) {
  suspects_.Merge(work.suspects, Now());
  execution_record* known = table_.Find(work);
  // On an older connection of the sender, a known request is a late copy: the answer goes over the
  // new one. An unknown one may have been sent on a connection whose hello was overtaken.
  const bool is_copy = known != nullptr && !IsLatest(connection);
  if (is_copy || !connections_.contains(connection)) {
    ++counters_.unexpected;
    return;
  }
  const std::string key = work.idempotent ? "" : work.idempotency_key;
  if (known != nullptr && known->key != key) {
    ++counters_.unexpected;
    return;
  }
  const closed_state closed = table_.ClosedState(work, EpochOf(work));
  const key_decision decision = policy_->Decide(work, known, closed, Window());
  switch (decision.verdict) {
    case key_verdict::kRun:
      Admit(work, connection);
      return;
    case key_verdict::kJoin:
      if (known != nullptr) {
        Join(*known, work, connection);
      }
      return;
    case key_verdict::kRefuse:
      counters_.tombstone_hits += known != nullptr || closed != closed_state::kOpen ? 1 : 0;
      SendRefusal(work.id, connection, decision.reason, run_certainty::kNotRun, work.fingerprint);
      return;
    case key_verdict::kUnknown:
      SendRefusal(work.id, connection, decision.reason, run_certainty::kUnknown, work.fingerprint);
      return;
  }
}

void agent_core::Join(execution_record& record, const dispatch& work, connection_id connection) {
  const bool is_new = !record.subscribers.contains(work.id);
  switch (table_.Attach(record, work, connection, Now())) {
    case attach_result::kDuplicate:
      ++counters_.duplicates;
      return;
    case attach_result::kFull:
      SendRefusal(work.id, connection, refusal_reason::kOverload, run_certainty::kUnknown,
                  work.fingerprint);
      return;
    case attach_result::kAttached:
      counters_.joins += is_new ? 1 : 0;
      counters_.reattached += is_new ? 0 : 1;
      Deliver(record);
      return;
  }
}

bool agent_core::InService() const {
  const service_options* service = Service();
  if (service == nullptr) {
    return false;
  }
  const auto& all = service->upstreams;
  const auto self = std::find_if(all.begin(), all.end(), [this](const auto& item) {
    return item.name == options_.identity.name;
  });
  return self != all.end() && fleet_.UpstreamInService(*self);
}

agent_core::gate agent_core::Gate(revision needed) const {
  switch (fleet_.View(Now())) {
    case view_state::kIsolated:
      return gate::kRefuse;
    case view_state::kNone:
    case view_state::kStale:
      return gate::kWait;
    case view_state::kCurrent:
      return fleet_.Revision() >= needed ? gate::kOpen : gate::kWait;
  }
  return gate::kRefuse;
}

void agent_core::Admit(const dispatch& work, connection_id connection) {
  if (work.service != options_.service) {
    RefuseNew(work, connection, refusal_reason::kUnknownService);
    return;
  }
  if (leaving_since_) {
    RefuseNew(work, connection, refusal_reason::kLeaving);
    return;
  }
  if (work.remaining <= duration::zero()) {
    RefuseNew(work, connection, refusal_reason::kDeadline);
    return;
  }
  switch (Gate(work.sender_revision)) {
    case gate::kOpen:
      Enqueue(work, connection);
      return;
    case gate::kWait:
      Hold(work, connection);
      return;
    case gate::kRefuse:
      RefuseNew(work, connection, refusal_reason::kStaleView);
      return;
  }
}

void agent_core::Hold(const dispatch& work, connection_id connection) {
  const auto place = std::find_if(held_.begin(), held_.end(), [&work](const held_dispatch& item) {
    return item.work.id == work.id;
  });
  if (place != held_.end()) {
    ++counters_.duplicates;
    place->connection = connection;
    return;
  }
  const std::size_t bytes = RequestBytes(work);
  if (held_.size() >= kMaxHeld || held_bytes_ + bytes > options_.limits.max_buffered_bytes) {
    RefuseNew(work, connection, refusal_reason::kOverload);
    return;
  }
  ++counters_.held;
  held_bytes_ += bytes;
  held_.push_back({.work = work, .connection = connection, .since = Now()});
}

void agent_core::ReleaseHeld() {
  if (held_.empty()) {
    return;
  }
  std::vector<held_dispatch> waiting;
  for (held_dispatch& item : std::exchange(held_, {})) {
    const bool is_late = Now() - item.since >= kViewWait;
    const gate state = Gate(item.work.sender_revision);
    if (state == gate::kWait && !is_late && !leaving_since_) {
      waiting.push_back(std::move(item));
      continue;
    }
    held_bytes_ -= RequestBytes(item.work);
    if (state == gate::kWait && is_late) {
      RefuseNew(item.work, item.connection, refusal_reason::kStaleView);
      continue;
    }
    item.work.remaining -= Now() - item.since;
    OnDispatch(item.work, item.connection);
  }
  held_ = std::move(waiting);
}

/// Whether this work may not run now, in the current view.
std::optional<refusal_reason> agent_core::ReasonAgainst(const dispatch& work) {
  if (!InService()) {
    return refusal_reason::kDraining;
  }
  const auto verdict = suspects_.PermissionFor(work.fingerprint, work.idempotent, Now());
  if (verdict == execution_permission::kRefused) {
    return refusal_reason::kSuspect;
  }
  // Without its record, only an engine that resumes can go on with the answer.
  if (work.answer_offset > 0 && !Service()->resumes_streams) {
    return refusal_reason::kUpstreamGone;
  }
  return std::nullopt;
}

std::uint32_t agent_core::WeightOf(const std::string& account) const {
  const auto& accounts = fleet_.Current()->value.accounts;
  const auto place = std::find_if(accounts.begin(), accounts.end(),
                                  [&account](const auto& item) { return item.name == account; });
  return place == accounts.end() ? 1 : place->weight;
}

/// A full queue gives up work of an account over its share before it refuses one below it.
bool agent_core::MakePlace(const std::string& account, std::uint32_t weight) {
  if (!queue_.IsFull()) {
    return true;
  }
  const queued_execution* displaced = queue_.EvictionCandidate(account, weight);
  if (displaced == nullptr) {
    return false;
  }
  const execution_id execution = displaced->execution;
  queue_.Remove(execution);
  RefuseRecord(*table_.FindById(execution), refusal_reason::kOverload);
  return !queue_.IsFull();
}

void agent_core::Enqueue(const dispatch& work, connection_id connection) {
  if (const auto reason = ReasonAgainst(work)) {
    RefuseNew(work, connection, *reason);
    return;
  }
  const std::size_t limit = limit_->Limit();
  const std::size_t free_slots = limit - std::min(limit, running_.size());
  queue_.SetCapacity(Service()->limits.queue + free_slots);
  const std::uint32_t weight = WeightOf(work.account);
  if (!table_.MakeRoom(RequestBytes(work)) || !MakePlace(work.account, weight)) {
    RefuseNew(work, connection, refusal_reason::kOverload);
    return;
  }
  execution_record& record = table_.Add(work, EpochOf(work), Now());
  table_.Attach(record, work, connection, Now());
  queue_.Push({.execution = record.id,
               .account = work.account,
               .weight = weight,
               .priority = work.priority,
               .deadline = record.deadline});
}

void agent_core::RefuseNew(const dispatch& work, connection_id connection, refusal_reason reason) {
  table_.AddTombstone(work, EpochOf(work), reason, at_.now, ActiveNow());
  SendRefusal(work.id, connection, reason, run_certainty::kNotRun, work.fingerprint);
}

void agent_core::RefuseRecord(execution_record& record, refusal_reason reason) {
  record.reason = reason;
  table_.End(record, execution_state::kRefused, ActiveNow());
  for (auto& [id, item] : record.subscribers) {
    if (item.IsPending() && item.connection) {
      SendRefusal(id, *item.connection, reason, run_certainty::kNotRun, record.work.fingerprint);
    }
    item.is_done = true;
  }
}

void agent_core::SendRefusal(const request_id& id, connection_id connection, refusal_reason reason,
                             run_certainty certainty, std::uint64_t fingerprint) {
  ++counters_.refusals[{reason, certainty}];
  duration retry_after = duration::zero();
  if (certainty == run_certainty::kNotRun && IsTransient(reason)) {
    retry_after = std::chrono::milliseconds(kRetryBaseMs + random_() % kRetryJitterMs);
  }
  Send(connection, refusal{.id = id,
                           .reason = reason,
                           .certainty = certainty,
                           .retry_after = retry_after,
                           .load = Load(),
                           .suspects = suspects_.ReportsFor(fingerprint, Now())});
}

}  // namespace berylbarrow
