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

/// The states from kFinished on are final; IsEnded relies on this order.
enum class execution_state : std::uint8_t {
  kQueued,
  kRunning,
  kFinished,  // the end of the answer is known
  kUnknown,   // started, but the outcome or the stored answer is lost
  kRefused,   // tombstone: has not run and must not run
};

/// A request that receives the answer of an execution.
struct subscriber {
  std::optional<connection_id> connection;  // empty while its connection is closed
  std::uint64_t sent_offset = 0;            // offset one past the last byte sent
  std::uint64_t acknowledged_offset = 0;    // bytes before it have been received
  bool is_head_sent = false;
  bool is_end_sent = false;
  bool is_done = false;  // has acknowledged the end, was cancelled or was refused

  bool IsPending() const { return !is_done; }
};

/// An agent's record of one operation: its state, its answer and the requests waiting for it.
struct execution_record {
  execution_id id = 0;
  execution_state state = execution_state::kQueued;
  dispatch work;            // its HTTP request is taken out at the start or end of the execution
  std::string key;          // idempotency key; empty for idempotent operations
  std::uint64_t epoch = 0;  // of the grant in the key; 0 for idempotent operations
  time_point deadline;      // latest deadline of all dispatches of the operation
  time_point started_at;
  std::optional<time_point> first_byte_at;
  time_point ended_at;                // in active time, see execution_table::End
  time_point detached_at;             // when the last connected subscriber was disconnected
  std::uint64_t warm_generation = 0;  // of the admission limit when the execution started
  bool holds_upstream_slot = false;
  bool is_cancelled = false;
  bool runs_alone = false;  // its request is suspected of crashing upstreams
  bool is_upstream_death_counted = false;
  std::optional<upstream_head> head;
  answer_buffer answer;
  answer_end end = answer_end::kMore;
  refusal_reason reason = refusal_reason::kOverload;  // valid in kRefused and kUnknown
  std::map<request_id, subscriber> subscribers;

  bool IsEnded() const { return state >= execution_state::kFinished; }
  bool HasPendingSubscriber() const;
  bool HasConnectedSubscriber() const;
};

struct execution_limits {
  std::size_t max_records = 4096;
  std::size_t max_answer_bytes = 4 << 20;
  std::size_t max_total_bytes = 16 << 20;  // queued requests and stored answers of all records
  std::size_t max_subscribers = 64;        // per record
};

/// Whether a dispatch without a record may run. It may not if its record was dropped, or if it was
/// refused when the table had no room for a tombstone.
enum class closed_state : std::uint8_t {
  kOpen,       // may run
  kNotRun,     // must not run; has not run before
  kMayHaveRun  // must not run; may have run before
};

enum class attach_result : std::uint8_t {
  kAttached,
  kDuplicate,  // already attached on this connection, or done; nothing was changed
  kFull,       // the record has max_subscribers
};

/// The execution records of an agent. Operations that run at most once have keyed records, found by
/// idempotency key as well as by request id; records of idempotent operations are found by request
/// id only. A keyed record is kept until its epoch expires, an idempotent one for
/// `kEndedRecordRetention` after its end, or until a full table needs its room.
class execution_table {
 public:
  static constexpr duration kEndedRecordRetention = std::chrono::seconds(30);

  explicit execution_table(const execution_limits& limits) : limits_(limits) {}

  /// Returns the record with the request id or the key of the dispatch, or null.
  execution_record* Find(const dispatch& work);
  execution_record* FindByRequest(const request_id& id);
  execution_record* FindById(execution_id id);

  /// Returns whether a dispatch for which Find returns null may run. `epoch` is that of the grant
  /// in its key.
  closed_state ClosedState(const dispatch& work, std::uint64_t epoch) const;

  /// Returns whether one more record with a request of `bytes` fits. If the table has max_records,
  /// it first drops ended idempotent records without pending subscribers. Keyed records are never
  /// dropped for this.
  bool MakeRoom(std::size_t bytes);

  /// Adds a queued record. MakeRoom must have returned true.
  execution_record& Add(dispatch work, std::uint64_t epoch, time_point now);

  /// Records that the dispatch was refused, so that a later copy of it is refused as well.
  void AddTombstone(const dispatch& work, std::uint64_t epoch, refusal_reason reason,
                    time_point now, time_point active_now);

  /// Moves the HTTP request out of the record and stops counting its bytes.
  http_request TakeRequest(execution_record& record);

  /// Adds the request of the dispatch as a subscriber, or moves it to the new connection.
  /// Either way it continues from the answer offset of the dispatch.
  attach_result Attach(execution_record& record, const dispatch& work, connection_id connection,
                       time_point now);

  /// Detaches the subscribers of a closed connection. Returns the executions that are left without
  /// a connected subscriber.
  std::vector<execution_id> Detach(connection_id connection, time_point now);

  /// Frees the bytes that all pending subscribers have acknowledged. Answers of keyed records are
  /// kept for later copies of the dispatch. The request must be a subscriber of the record.
  void Acknowledge(execution_record& record, const acknowledgement& message);
  /// Marks the subscriber as done, so that its unacknowledged bytes can be freed.
  void Cancel(execution_record& record, const request_id& id);

  /// Appends to the answer, discarding stored answers that nobody waits for if memory is short.
  /// Returns false and appends nothing if the limits would still be exceeded.
  bool Append(execution_record& record, std::string_view bytes);

  /// Moves the record to a final state. `active_now` is active time, which excludes pauses of the
  /// process, because copies that arrived during a pause must still find the record.
  void End(execution_record& record, execution_state state, time_point active_now);

  /// Drops idempotent records that ended at least `kEndedRecordRetention` ago.
  void ExpireEndedRecords(time_point active_now);
  /// Drops ended keyed records of epochs before `oldest_epoch`. A record that still holds an
  /// upstream slot is kept until a later call, as is one whose deadline has not passed, because an
  /// entry may still send a copy.
  void ExpireEpochs(std::uint64_t oldest_epoch, time_point now);

  /// Returns when ExpireEndedRecords next has a record to drop, in active time.
  time_point NextDeadline() const;
  std::size_t Size() const { return records_.size(); }
  /// Bytes of queued requests and stored answers.
  std::size_t BufferedBytes() const { return buffered_bytes_; }
  /// Number of subscribers of all records that are not done.
  std::size_t PendingSubscribers() const;
  const std::map<execution_id, execution_record>& Records() const { return records_; }
  /// Counts by state and all active executions, for the state document of the agent.
  nlohmann::json State() const;

 private:
  void CloseRequest(const request_id& id, closed_state state);
  void EraseRecord(execution_id id);
  void FreeAcknowledgedBytes(execution_record& record);
  bool DiscardOldestStoredAnswer();

  execution_limits limits_;
  std::map<execution_id, execution_record> records_;
  std::unordered_map<std::string, execution_id> ids_by_key_;
  std::map<request_id, execution_id> ids_by_request_;
  // Idempotent records that have ended, in order of their end.
  std::deque<std::pair<time_point, execution_id>> ended_idempotent_;
  // Closed request ids without a record; `closed_requests_by_age_` has the oldest first.
  std::map<request_id, closed_state> closed_requests_;
  std::deque<request_id> closed_requests_by_age_;
  // Keys of epochs up to this one that have no record must not run. Set when the table has no room
  // for the tombstone of a key.
  std::uint64_t closed_epoch_ = 0;
  execution_id last_id_ = 0;
  std::size_t buffered_bytes_ = 0;
};

const char* StateName(execution_state state);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_EXECUTION_EXECUTION_TABLE_H_
