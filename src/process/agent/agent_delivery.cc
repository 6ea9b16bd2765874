#include <algorithm>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {
namespace {

// Far below the bound of a frame, and small enough that other messages get between the parts.
constexpr std::size_t kMaxPartBytes = 64 << 10;
// An entry reconnects and sends its dispatches again within this time, or has died.
constexpr duration kOrphanWait = std::chrono::seconds(5);
// The upstream's end of a cancelled request frees its slot earlier if it is reported.
constexpr duration kCancelWait = std::chrono::seconds(1);

}  // namespace

void agent_core::Deliver(execution_record& record) {
  for (auto& [id, target] : record.subscribers) {
    Deliver(record, id, target);
  }
}

void agent_core::Deliver(const execution_record& record, const request_id& id, subscriber& target) {
  if (!target.connection || target.is_done || target.is_end_sent) {
    return;
  }
  const connection_id connection = *target.connection;
  if (record.head && !target.is_head_sent) {
    target.is_head_sent = true;
    Send(connection, answer_head{.id = id,
                                 .status = record.head->status,
                                 .content_type = record.head->content_type,
                                 .load = Load()});
  }
  const std::uint64_t end = record.answer.End();
  const bool is_lost = target.sent_offset < record.answer.Begin() ||
                       (record.end != answer_end::kMore && target.sent_offset > end);
  if (is_lost) {
    SendEnd(record, id, target, {}, answer_end::kBroken);
    return;
  }
  while (record.head && target.sent_offset < end) {
    const std::string_view piece = record.answer.Read(target.sent_offset, kMaxPartBytes);
    if (target.sent_offset + piece.size() == end && record.end != answer_end::kMore) {
      SendEnd(record, id, target, piece, record.end);
      return;
    }
    Send(connection,
         answer_part{.id = id, .offset = target.sent_offset, .bytes = std::string(piece)});
    target.sent_offset += piece.size();
  }
  if (record.end != answer_end::kMore) {
    SendEnd(record, id, target, {}, record.end);
  }
}

void agent_core::SendEnd(const execution_record& record, const request_id& id, subscriber& target,
                         std::string_view bytes, answer_end end) {
  target.is_end_sent = true;
  Send(*target.connection,
       answer_part{.id = id,
                   .offset = target.sent_offset,
                   .bytes = std::string(bytes),
                   .end = end,
                   .suspects = suspects_.ReportsFor(record.work.fingerprint, Now()),
                   .load = Load()});
  target.sent_offset += bytes.size();
}

void agent_core::OnAcknowledgement(const acknowledgement& message) {
  execution_record* record = table_.FindByRequest(message.id);
  if (record == nullptr || !record->subscribers.contains(message.id)) {
    ++counters_.unexpected;
    return;
  }
  table_.Acknowledge(*record, message);
}

void agent_core::OnCancel(const cancel& message) {
  const auto held = std::find_if(held_.begin(), held_.end(), [&message](const held_dispatch& item) {
    return item.work.id == message.id;
  });
  if (held != held_.end()) {
    if (held->work.idempotent) {
      held_bytes_ -= held->work.request.body.size() + held->work.request.target.size();
      held_.erase(held);
    }
    return;
  }
  execution_record* record = table_.FindByRequest(message.id);
  if (record == nullptr) {
    ++counters_.unexpected;
    return;
  }
  table_.Cancel(*record, message.id);
  // An operation that runs at most once goes on: its caller may ask for the answer later.
  if (record->key.empty() && !record->IsEnded() && !record->HasPendingSubscriber()) {
    CancelExecution(*record);
  }
}

/// Stops an idempotent execution.
void agent_core::CancelExecution(execution_record& record) {
  ++counters_.cancelled;
  if (queue_.Remove(record.id)) {
    RefuseRecord(record, refusal_reason::kKeyRefused);
    return;
  }
  if (!record.holds_upstream_slot) {
    // The run has broken, and only the end of the answer waits for a load report.
    Finish(record, answer_end::kBroken);
    return;
  }
  StopAtUpstream(record);
  Finish(record, answer_end::kBroken);
}

void agent_core::StopAtUpstream(execution_record& record) {
  record.is_cancelled = true;
  cancelled_.emplace_back(Now() + kCancelWait, record.id);
  Emit(upstream_cancel{.execution = record.id});
}

void agent_core::OnDetached(connection_id connection) {
  std::erase_if(held_, [this, connection](const held_dispatch& item) {
    if (item.connection != connection) {
      return false;
    }
    held_bytes_ -= item.work.request.body.size() + item.work.request.target.size();
    return true;
  });
  for (const execution_id id : table_.Detach(connection, Now())) {
    const execution_record& record = *table_.FindById(id);
    if (record.key.empty() && !record.IsEnded()) {
      orphans_.emplace_back(Now() + kOrphanWait, id);
    }
  }
}

void agent_core::CancelOrphans() {
  while (!orphans_.empty() && orphans_.front().first <= Now()) {
    execution_record* record = table_.FindById(orphans_.front().second);
    const time_point lost = orphans_.front().first - kOrphanWait;
    orphans_.pop_front();
    const bool is_waiting = record != nullptr && !record->IsEnded();
    if (is_waiting && !record->HasConnectedSubscriber() && record->detached_at == lost) {
      CancelExecution(*record);
    }
  }
}

}  // namespace berylbarrow
