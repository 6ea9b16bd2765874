#ifndef BERYLBARROW_REQUEST_EXECUTION_EXECUTION_TABLE_H_
#define BERYLBARROW_REQUEST_EXECUTION_EXECUTION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/execution/answer_buffer.h"

namespace berylbarrow {

enum class execution_state : std::uint8_t {
  kQueued,
  kRunning,
  kFinished,  // the answer has its end
  kUnknown,   // dispatched, and the outcome or the stored answer is lost
  kRefused,   // tombstone: never ran and never will
};

/// Someone who waits for the answer of an execution.
struct subscriber {
  std::optional<connection_id> connection;  // empty while its connection is closed
  std::uint64_t sent_offset = 0;            // offset behind the last byte sent
  std::uint64_t acknowledged_offset = 0;
  bool is_head_sent = false;
  bool is_end_sent = false;
  bool is_done = false;  // has everything, or has gone

  bool IsPending() const { return !is_done; }
};

/// What an agent knows of one operation.
struct execution_record {
  execution_id id = 0;
  execution_state state = execution_state::kQueued;
  dispatch work;            // the request itself is released when it starts
  std::string key;          // idempotency key; empty for idempotent operations
  std::uint64_t epoch = 0;  // of the grant; 0 for idempotent operations
  time_point deadline;      // latest time to live of all its dispatches
  time_point started_at;
  std::optional<time_point> first_byte_at;
  time_point ended_at;
  time_point detached_at;             // when the last connected subscriber was lost
  std::uint64_t warm_generation = 0;  // of the admission limit at the start
  bool holds_upstream_slot = false;
  bool is_cancelled = false;
  bool runs_alone = false;
  bool is_upstream_death_counted = false;
  std::optional<upstream_head> head;
  answer_buffer answer;
  answer_end end = answer_end::kMore;
  refusal_reason reason = refusal_reason::kOverload;  // of kRefused and kUnknown
  std::map<request_id, subscriber> subscribers;

  bool IsEnded() const { return state >= execution_state::kFinished; }
  bool HasPendingSubscriber() const;
  bool HasConnectedSubscriber() const;
};

struct execution_limits {
  std::size_t max_records = 4096;
  std::size_t max_answer_bytes = 4 << 20;
  std::size_t max_total_bytes = 16 << 20;  // all waiting requests and stored answers
  std::size_t max_subscribers = 64;        // of one record
};

enum class closed_state : std::uint8_t { kOpen, kNotRun, kMayHaveRun };

enum class attach_result : std::uint8_t {
  kAttached,
  kDuplicate,  // already attached on this connection, or done; nothing to do
  kFull,
};

/// The records of an agent: by idempotency key for operations that run at most once, by request id
/// for the others. A record of a key lives until its epoch is no longer kept, one of a request id
/// for `kEndedRecordRetention` after its end.
class execution_table {
 public:
  static constexpr duration kEndedRecordRetention = std::chrono::seconds(30);

  explicit execution_table(const execution_limits& limits) : limits_(limits) {}

  /// The record that a dispatch belongs to, by its request id or its key.
  execution_record* Find(const dispatch& work);
  execution_record* FindByRequest(const request_id& id);
  execution_record* FindById(execution_id id);

  /// Whether the dispatch must not run although it has no record, because the record was dropped
  /// or there was no room for a tombstone.
  closed_state ClosedState(const dispatch& work, std::uint64_t epoch) const;

  /// Whether one more record with a request of `bytes` fits. Drops ended records of idempotent
  /// requests that nobody waits for if that is needed; never a record of a key.
  bool MakeRoom(std::size_t bytes);

  /// Adds a queued record. MakeRoom must have returned true.
  execution_record& Add(dispatch work, std::uint64_t epoch, time_point now);

  /// Remembers that the dispatch was refused, so that a later copy is refused as well.
  void AddTombstone(const dispatch& work, std::uint64_t epoch, refusal_reason reason,
                    time_point now, time_point active_now);

  /// Takes the request out of the record, to be sent to the upstream.
  http_request TakeRequest(execution_record& record);

  attach_result Attach(execution_record& record, const dispatch& work, connection_id connection,
                       time_point now);

  /// Detaches the subscribers of a closed connection. Returns the executions that are left without
  /// a connected subscriber.
  std::vector<execution_id> Detach(connection_id connection, time_point now);

  /// Frees what every subscriber has. Answers of keys are kept for later copies.
  void Acknowledge(execution_record& record, const acknowledgement& message);
  void Cancel(execution_record& record, const request_id& id);

  /// Returns false if the answer would exceed its bounds; nothing is stored then.
  bool Append(execution_record& record, std::string_view bytes);

  /// Moves the record to an ended state. `active_now` does not count pauses of the process: copies
  /// that arrived during a pause must still find the record.
  void End(execution_record& record, execution_state state, time_point active_now);

  /// Drops ended idempotent records that are due.
  void ExpireEndedRecords(time_point active_now);
  /// Drops records of keys older than `oldest_epoch`. One that is still at the upstream, or whose
  /// entry may still send a copy, stays until a later call.
  void ExpireEpochs(std::uint64_t oldest_epoch, time_point now);

  /// In active time.
  time_point NextDeadline() const;
  std::size_t Size() const { return records_.size(); }
  std::size_t BufferedBytes() const { return bytes_; }
  /// Subscribers that have not acknowledged the whole answer.
  std::size_t PendingSubscribers() const;
  const std::map<execution_id, execution_record>& Records() const { return records_; }
  nlohmann::json State() const;

 private:
  void CloseRequest(const request_id& id, closed_state state);
  void Drop(execution_id id);
  void Free(execution_record& record);
  bool ReleaseStoredAnswer();

  execution_limits limits_;
  std::map<execution_id, execution_record> records_;
  std::unordered_map<std::string, execution_id> by_key_;
  std::map<request_id, execution_id> by_request_;
  // Ended idempotent records in order of their end.
  std::deque<std::pair<time_point, execution_id>> ended_;
  // Request ids without a record, oldest first in `closed_order_`.
  std::map<request_id, closed_state> closed_requests_;
  std::deque<request_id> closed_order_;
  // Keys up to this epoch that have no record never run.
  std::uint64_t closed_epoch_ = 0;
  execution_id last_id_ = 0;
  std::size_t bytes_ = 0;
};

const char* StateName(execution_state state);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_EXECUTION_TABLE_H_
