#include "berylbarrow/request/execution/execution_table.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylbarrow {
namespace {

// Keeps deadline arithmetic from overflowing on excessive times to live.
constexpr duration kMaxTimeToLive = std::chrono::hours(1);

const std::string& KeyOf(const dispatch& work) {
  static const std::string kNoKey;
  return work.idempotent ? kNoKey : work.idempotency_key;
}

std::size_t RequestBytes(const execution_record& record) {
  return record.work.request.body.size() + record.work.request.target.size();
}

time_point DeadlineOf(const dispatch& work, time_point now) {
  return now + std::clamp(work.remaining, duration::zero(), kMaxTimeToLive);
}

}  // namespace

const char* StateName(execution_state state) {
  switch (state) {
    case execution_state::kQueued:
      return "queued";
    case execution_state::kRunning:
      return "running";
    case execution_state::kFinished:
      return "finished";
    case execution_state::kUnknown:
      return "unknown";
    case execution_state::kRefused:
      return "refused";
  }
  return "";
}

bool execution_record::HasPendingSubscriber() const {
  return std::any_of(subscribers.begin(), subscribers.end(),
                     [](const auto& item) { return item.second.IsPending(); });
}

bool execution_record::HasConnectedSubscriber() const {
  return std::any_of(subscribers.begin(), subscribers.end(), [](const auto& item) {
    return item.second.IsPending() && item.second.connection.has_value();
  });
}

execution_record* execution_table::FindById(execution_id id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

execution_record* execution_table::FindByRequest(const request_id& id) {
  const auto it = ids_by_request_.find(id);
  return it == ids_by_request_.end() ? nullptr : FindById(it->second);
}

execution_record* execution_table::Find(const dispatch& work) {
  if (execution_record* known = FindByRequest(work.id); known != nullptr) {
    return known;
  }
  const auto it = ids_by_key_.find(KeyOf(work));
  return it == ids_by_key_.end() ? nullptr : FindById(it->second);
}

closed_state execution_table::ClosedState(const dispatch& work, std::uint64_t epoch) const {
  if (!work.idempotent) {
    // Records of keys that ran are kept, so a key of a closed epoch without a record has not run.
    return epoch <= closed_epoch_ ? closed_state::kNotRun : closed_state::kOpen;
  }
  const auto it = closed_requests_.find(work.id);
  return it == closed_requests_.end() ? closed_state::kOpen : it->second;
}

bool execution_table::MakeRoom(std::size_t bytes) {
  while (records_.size() >= limits_.max_records) {
    const auto it =
        std::find_if(ended_idempotent_.begin(), ended_idempotent_.end(), [this](const auto& item) {
          const execution_record& record = records_.at(item.second);
          return !record.holds_upstream_slot && !record.HasPendingSubscriber();
        });
    if (it == ended_idempotent_.end()) {
      return false;
    }
    const execution_id id = it->second;
    ended_idempotent_.erase(it);
    EraseRecord(id);
  }
  return buffered_bytes_ + bytes <= limits_.max_total_bytes;
}

execution_record& execution_table::Add(dispatch work, std::uint64_t epoch, time_point now) {
  assert(records_.size() < limits_.max_records);
  const execution_id id = ++last_id_;
  execution_record& record = records_[id];
  record.id = id;
  record.key = KeyOf(work);
  record.epoch = epoch;
  record.deadline = DeadlineOf(work, now);
  record.answer = answer_buffer(work.answer_offset);
  record.work = std::move(work);
  buffered_bytes_ += RequestBytes(record);
  ids_by_request_[record.work.id] = id;
  if (!record.key.empty()) {
    ids_by_key_[record.key] = id;
  }
  return record;
}

void execution_table::AddTombstone(const dispatch& work, std::uint64_t epoch, refusal_reason reason,
                                   time_point now, time_point active_now) {
  if (!MakeRoom(0) && records_.size() >= limits_.max_records) {
    if (work.idempotent) {
      CloseRequest(work.id, closed_state::kNotRun);
    } else {
      closed_epoch_ = std::max(closed_epoch_, epoch);
    }
    return;
  }
  dispatch tombstone = work;
  tombstone.request = {};
  execution_record& record = Add(std::move(tombstone), epoch, now);
  record.reason = reason;
  End(record, execution_state::kRefused, active_now);
}

http_request execution_table::TakeRequest(execution_record& record) {
  buffered_bytes_ -= RequestBytes(record);
  return std::exchange(record.work.request, {});
}

attach_result execution_table::Attach(execution_record& record, const dispatch& work,
                                      connection_id connection, time_point now) {
  const auto it = record.subscribers.find(work.id);
  if (it == record.subscribers.end() && record.subscribers.size() >= limits_.max_subscribers) {
    return attach_result::kFull;
  }
  if (it != record.subscribers.end() &&
      (it->second.is_done || it->second.connection == connection)) {
    return attach_result::kDuplicate;
  }
  ids_by_request_[work.id] = record.id;
  record.deadline = std::max(record.deadline, DeadlineOf(work, now));
  record.subscribers[work.id] = {.connection = connection,
                                 .sent_offset = work.answer_offset,
                                 .acknowledged_offset = work.answer_offset};
  FreeAcknowledgedBytes(record);
  return attach_result::kAttached;
}

std::vector<execution_id> execution_table::Detach(connection_id connection, time_point now) {
  std::vector<execution_id> disconnected;
  for (auto& [id, record] : records_) {
    bool was_attached = false;
    for (auto& [request, item] : record.subscribers) {
      if (item.connection == connection) {
        item.connection.reset();
        was_attached = true;
      }
    }
    if (was_attached && !record.HasConnectedSubscriber()) {
      record.detached_at = now;
      disconnected.push_back(id);
    }
  }
  return disconnected;
}

void execution_table::Acknowledge(execution_record& record, const acknowledgement& message) {
  subscriber& item = record.subscribers.at(message.id);
  item.acknowledged_offset =
      std::max(item.acknowledged_offset, std::min(message.offset, item.sent_offset));
  item.is_done = item.is_done || (message.finished && item.is_end_sent);
  FreeAcknowledgedBytes(record);
}

void execution_table::Cancel(execution_record& record, const request_id& id) {
  const auto it = record.subscribers.find(id);
  if (it != record.subscribers.end()) {
    it->second.is_done = true;
  }
  FreeAcknowledgedBytes(record);
}

void execution_table::FreeAcknowledgedBytes(execution_record& record) {
  if (!record.key.empty()) {
    return;
  }
  std::uint64_t first_needed = record.answer.End();
  for (const auto& [id, item] : record.subscribers) {
    if (item.IsPending()) {
      first_needed = std::min(first_needed, item.acknowledged_offset);
    }
  }
  const std::size_t size_before = record.answer.Size();
  record.answer.FreeBefore(first_needed);
  buffered_bytes_ -= size_before - record.answer.Size();
}

bool execution_table::Append(execution_record& record, std::string_view bytes) {
  while (buffered_bytes_ + bytes.size() > limits_.max_total_bytes) {
    if (!DiscardOldestStoredAnswer()) {
      return false;
    }
  }
  if (record.answer.Size() + bytes.size() > limits_.max_answer_bytes) {
    return false;
  }
  record.answer.Append(bytes);
  buffered_bytes_ += bytes.size();
  return true;
}

/// Discards the answer of the oldest finished execution without pending subscribers. Its record is
/// kept, so that its key does not run again.
bool execution_table::DiscardOldestStoredAnswer() {
  const auto it = std::find_if(records_.begin(), records_.end(), [](const auto& item) {
    const execution_record& record = item.second;
    return record.state == execution_state::kFinished && record.answer.Size() > 0 &&
           !record.HasPendingSubscriber();
  });
  if (it == records_.end()) {
    return false;
  }
  buffered_bytes_ -= it->second.answer.Size();
  it->second.answer = answer_buffer(it->second.answer.End());
  it->second.state = execution_state::kUnknown;
  it->second.reason = refusal_reason::kOverload;
  return true;
}

void execution_table::End(execution_record& record, execution_state state, time_point active_now) {
  assert(!record.IsEnded());
  record.state = state;
  record.ended_at = active_now;
  TakeRequest(record);
  if (state != execution_state::kFinished) {
    buffered_bytes_ -= record.answer.Size();
    record.answer = answer_buffer(record.answer.End());
  }
  if (record.key.empty()) {
    ended_idempotent_.emplace_back(active_now, record.id);
  }
}

void execution_table::CloseRequest(const request_id& id, closed_state state) {
  if (!closed_requests_.insert_or_assign(id, state).second) {
    return;
  }
  closed_requests_by_age_.push_back(id);
  if (closed_requests_by_age_.size() > limits_.max_records) {
    closed_requests_.erase(closed_requests_by_age_.front());
    closed_requests_by_age_.pop_front();
  }
}

void execution_table::EraseRecord(execution_id id) {
  const auto it = records_.find(id);
  assert(it != records_.end());
  const execution_record& record = it->second;
  if (record.key.empty()) {
    const bool is_refused = record.state == execution_state::kRefused;
    CloseRequest(record.work.id, is_refused ? closed_state::kNotRun : closed_state::kMayHaveRun);
  }
  buffered_bytes_ -= record.answer.Size() + RequestBytes(record);
  const auto erase_index = [id](auto& index, const auto& key) {
    const auto item = index.find(key);
    if (item != index.end() && item->second == id) {
      index.erase(item);
    }
  };
  erase_index(ids_by_key_, record.key);
  erase_index(ids_by_request_, record.work.id);
  for (const auto& [request, item] : record.subscribers) {
    erase_index(ids_by_request_, request);
  }
  records_.erase(it);
}

void execution_table::ExpireEndedRecords(time_point active_now) {
  while (!ended_idempotent_.empty() &&
         active_now - ended_idempotent_.front().first >= kEndedRecordRetention) {
    const execution_id id = ended_idempotent_.front().second;
    ended_idempotent_.pop_front();
    EraseRecord(id);
  }
}

void execution_table::ExpireEpochs(std::uint64_t oldest_epoch, time_point now) {
  std::vector<execution_id> expired;
  for (const auto& [id, record] : records_) {
    const bool is_old = !record.key.empty() && record.epoch < oldest_epoch;
    if (is_old && record.IsEnded() && !record.holds_upstream_slot && record.deadline <= now) {
      expired.push_back(id);
    }
  }
  for (const execution_id id : expired) {
    EraseRecord(id);
  }
}

time_point execution_table::NextDeadline() const {
  return ended_idempotent_.empty() ? time_point::max()
                                   : ended_idempotent_.front().first + kEndedRecordRetention;
}

std::size_t execution_table::PendingSubscribers() const {
  std::size_t count = 0;
  for (const auto& [id, record] : records_) {
    count += static_cast<std::size_t>(
        std::count_if(record.subscribers.begin(), record.subscribers.end(),
                      [](const auto& item) { return item.second.IsPending(); }));
  }
  return count;
}

nlohmann::json execution_table::State() const {
  std::map<std::string, std::size_t> counts;
  nlohmann::json active = nlohmann::json::array();
  for (const auto& [id, record] : records_) {
    ++counts[StateName(record.state)];
    if (record.IsEnded()) {
      continue;
    }
    active.push_back({{"execution", id},
                      {"state", StateName(record.state)},
                      {"key", record.key},
                      {"account", record.work.account},
                      {"sender", record.work.id.sender},
                      {"sequence", record.work.id.sequence},
                      {"subscribers", record.subscribers.size()},
                      {"answer_bytes", record.answer.End()}});
  }
  return {{"records", counts},
          {"active", active},
          {"bytes", buffered_bytes_},
          {"closed_epoch", closed_epoch_},
          {"closed_requests", closed_requests_.size()}};
}

}  // namespace berylbarrow
