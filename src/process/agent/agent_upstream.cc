#include <algorithm>
#include <cassert>
#include <utility>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {
namespace {

// A broken connection counts as a death of the upstream if that is confirmed within this time.
constexpr duration kConfirmDeath = std::chrono::seconds(10);

constexpr std::size_t kMaxBroken = 256;
// Between a decision to start work and its sending lie two thread switches; a longer time means
// that the process was paused.
constexpr duration kStartWindow = std::chrono::seconds(1);

/// Whether the upstream has run the request that it answers with this status. Others it may have
/// answered without running the request to its end.
bool ShowsRun(std::uint16_t status) {
  const bool is_refusal = status == 408 || status == 421 || status == 429;
  return status < 500 && !is_refusal;
}

}  // namespace

/// Refuses queued work that may no longer start here.
void agent_core::RecheckQueue() {
  if (queue_.Size() == 0) {
    view_lost_.reset();
    return;
  }
  for (const queued_execution& late : queue_.Expire(Now())) {
    RefuseRecord(*table_.FindById(late.execution), refusal_reason::kDeadline);
  }
  const view_state view = fleet_.View(Now());
  if (view == view_state::kCurrent) {
    view_lost_.reset();
  } else if (!view_lost_) {
    view_lost_ = Now();
  }
  std::optional<refusal_reason> reason;
  if (view == view_state::kIsolated || (view_lost_ && Now() - *view_lost_ >= kViewWait)) {
    reason = refusal_reason::kStaleView;
  } else if (view == view_state::kCurrent && !InService()) {
    reason = refusal_reason::kDraining;
  }
  if (!reason) {
    return;
  }
  view_lost_.reset();
  for (const queued_execution& item : queue_.Clear()) {
    RefuseRecord(*table_.FindById(item.execution), *reason);
  }
}

bool agent_core::MayStartNext() const {
  return queue_.Size() > 0 && !alone_ && running_.size() < limit_->Limit() &&
         fleet_.View(Now()) == view_state::kCurrent;
}

void agent_core::Pump() {
  while (MayStartNext()) {
    execution_record& record = *table_.FindById(queue_.Peek()->execution);
    const auto verdict =
        suspects_.PermissionFor(record.work.fingerprint, record.work.idempotent, Now());
    const bool must_wait = (verdict == execution_permission::kExclusive && !running_.empty()) ||
                           IsUnconfirmed(record.work.fingerprint);
    if (must_wait) {
      return;
    }
    queue_.Pop();
    if (verdict == execution_permission::kRefused) {
      RefuseRecord(record, refusal_reason::kSuspect);
      continue;
    }
    Start(record, verdict == execution_permission::kExclusive);
  }
}

void agent_core::Start(execution_record& record, bool alone) {
  assert(record.state == execution_state::kQueued);
  record.state = execution_state::kRunning;
  record.holds_upstream_slot = true;
  record.started_at = Now();
  record.runs_alone = alone;
  record.warm_generation = limit_->OnStarted();
  running_.insert(record.id);
  if (alone) {
    alone_ = record.id;
  }
  ++counters_.started;
  Emit(upstream_start{.execution = record.id,
                      .id = record.work.id,
                      .request = table_.TakeRequest(record),
                      .resume_offset = record.answer.End(),
                      .priority = record.work.priority,
                      .not_after = Now() + kStartWindow});
}

execution_record* agent_core::Running(execution_id id) {
  if (!running_.contains(id)) {
    ++counters_.unexpected;
    return nullptr;
  }
  return table_.FindById(id);
}

void agent_core::On(const upstream_head& event) {
  execution_record* record = Running(event.execution);
  if (record == nullptr || record->head || record->IsEnded()) {
    return;
  }
  record->head = event;
  record->first_byte_at = record->first_byte_at.value_or(Now());
  Deliver(*record);
}

void agent_core::On(const upstream_part& event) {
  execution_record* record = Running(event.execution);
  if (record == nullptr) {
    return;
  }
  if (record->IsEnded()) {
    ++counters_.parts_dropped;
    return;
  }
  if (!table_.Append(*record, event.bytes)) {
    OnOverflow(*record);
    return;
  }
  record->first_byte_at = record->first_byte_at.value_or(Now());
  Deliver(*record);
}

void agent_core::On(const upstream_end& event) {
  execution_record* record = Running(event.execution);
  if (record == nullptr) {
    return;
  }
  Release(*record);
  if (record->is_cancelled) {
    return;
  }
  if (event.outcome == upstream_outcome::kComplete && record->head) {
    limit_->OnCompleted({.generation = record->warm_generation,
                         .first_byte = record->first_byte_at.value_or(Now()) - record->started_at,
                         .total = Now() - record->started_at,
                         .bytes = record->answer.End() - record->work.answer_offset});
    if (record->runs_alone && ShowsRun(record->head->status)) {
      suspects_.OnExclusiveCompletion(record->work.fingerprint);
    }
    if (!record->IsEnded()) {
      ++counters_.completed;
      Finish(*record, answer_end::kComplete);
    }
    return;
  }
  limit_->OnColdUpstreamDetected();
  if (event.outcome == upstream_outcome::kNotSent && !record->head && !record->IsEnded()) {
    ++counters_.not_sent;
    RefuseRecord(*record, refusal_reason::kUpstreamGone);
    return;
  }
  OnBroken(*record);
}

/// The execution no longer takes a slot at the upstream.
void agent_core::Release(execution_record& record) {
  record.holds_upstream_slot = false;
  running_.erase(record.id);
  if (alone_ == record.id) {
    alone_.reset();
  }
}

void agent_core::Finish(execution_record& record, answer_end end) {
  record.end = end;
  table_.End(record, execution_state::kFinished, ActiveNow());
  Deliver(record);
}

void agent_core::EndUnknown(execution_record& record, refusal_reason reason) {
  record.reason = reason;
  table_.End(record, execution_state::kUnknown, ActiveNow());
  for (auto& [id, item] : record.subscribers) {
    if (item.IsPending() && item.connection) {
      SendRefusal(id, *item.connection, reason, run_certainty::kUnknown, record.work.fingerprint);
    }
    item.is_done = true;
  }
}

void agent_core::OnBroken(execution_record& record) {
  ++counters_.broken;
  const std::uint64_t fingerprint = record.work.fingerprint;
  if (upstream_dead_) {
    if (record.started_at > dead_since_) {
      // It ran on a later instance, which has died before its first load report.
      NoteDeath();
    }
    CountDeaths({fingerprint});
  } else if (!record.is_upstream_death_counted) {
    broken_.push_back({.fingerprint = fingerprint, .at = Now()});
    if (broken_.size() > kMaxBroken) {
      broken_.pop_front();
    }
    if (!record.IsEnded()) {
      unconfirmed_.emplace_back(Now(), record.id);
      return;
    }
  }
  EndBroken(record);
}

/// Whether a run of the request broke and its upstream may have died of it.
bool agent_core::IsUnconfirmed(std::uint64_t fingerprint) const {
  return std::any_of(unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& item) {
    const auto record = table_.Records().find(item.second);
    return record != table_.Records().end() && record->second.work.fingerprint == fingerprint;
  });
}

/// Ends the broken answers that have waited since `until` or longer.
void agent_core::EndUnconfirmed(time_point until) {
  while (!unconfirmed_.empty() && unconfirmed_.front().first <= until) {
    execution_record* record = table_.FindById(unconfirmed_.front().second);
    unconfirmed_.pop_front();
    if (record != nullptr) {
      EndBroken(*record);
    }
  }
}

void agent_core::EndBroken(execution_record& record) {
  if (record.IsEnded()) {
    return;
  }
  if (record.key.empty()) {
    Finish(record, answer_end::kBroken);
  } else {
    EndUnknown(record, refusal_reason::kUpstreamGone);
  }
}

/// The answer exceeds the memory for it.
void agent_core::OnOverflow(execution_record& record) {
  ++counters_.parts_dropped;
  if (!record.key.empty()) {
    // The answer has begun, so the operation has run; what still comes would hold the slot.
    StopAtUpstream(record);
    EndUnknown(record, refusal_reason::kOverload);
    return;
  }
  CancelExecution(record);
}

void agent_core::On(const upstream_report& event) {
  const bool is_restart = restarts_.OnReport(event);
  while (!broken_.empty() && Now() - broken_.front().at > kConfirmDeath) {
    broken_.pop_front();
  }
  if (event.reachable && !is_restart) {
    upstream_dead_ = false;
    EndUnconfirmed(Now());
    return;
  }
  std::set<std::uint64_t> dead;
  for (const broken_work& item : std::exchange(broken_, {})) {
    dead.insert(item.fingerprint);
  }
  if (!event.reachable) {
    // An unreachable upstream whose connections are intact is alive but busy.
    if (!dead.empty() && !upstream_dead_) {
      upstream_dead_ = true;
      NoteDeath();
    }
    CountDeaths(dead);
    EndUnconfirmed(Now());
    return;
  }
  if (!upstream_dead_) {
    NoteDeath();
  }
  upstream_dead_ = false;
  limit_->OnColdUpstreamDetected();
  // The report lags: requests that started after the restart run on the new instance.
  const time_point restarted = Now() - event.uptime;
  for (const execution_id id : running_) {
    execution_record& record = *table_.FindById(id);
    if (record.started_at <= restarted && !record.is_upstream_death_counted) {
      record.is_upstream_death_counted = true;
      dead.insert(record.work.fingerprint);
    }
  }
  CountDeaths(dead);
  EndUnconfirmed(Now());
}

void agent_core::NoteDeath() {
  dead_since_ = Now();
  dead_counted_.clear();
  ++counters_.upstream_deaths;
}

/// Counts each request once per death of the upstream.
void agent_core::CountDeaths(const std::set<std::uint64_t>& fingerprints) {
  for (const std::uint64_t fingerprint : fingerprints) {
    if (fingerprint != 0 && dead_counted_.insert(fingerprint).second) {
      suspects_.OnUpstreamDeath(fingerprint, options_.identity.incarnation, Now());
      heartbeat_due_ = true;  // a retry must not outrun the news
    }
  }
}

void agent_core::ReleaseCancelled() {
  while (!cancelled_.empty() && cancelled_.front().first <= Now()) {
    const execution_id id = cancelled_.front().second;
    cancelled_.pop_front();
    if (running_.contains(id)) {
      Release(*table_.FindById(id));
    }
  }
}

}  // namespace berylbarrow
