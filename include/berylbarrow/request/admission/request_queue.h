#ifndef BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_
#define BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

using queued_request_id = std::uint64_t;

struct queued_request {
  queued_request_id id = 0;
  std::string account;
  std::uint32_t priority = 5;  // 0 is the most urgent
  time_point arrival;
  time_point on_time_until;      // sent later, it misses its latency objective
  time_point dispatch_deadline;  // sent later, it cannot end before its deadline
};

/// Requests of one service that wait in an entry for a place at an upstream. More urgent ones go
/// first; among equals those that can still be on time go before those that are late already, and
/// accounts take turns.
class request_queue {
 public:
  explicit request_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Returns false if the line is full.
  bool Push(const queued_request& request);
  /// The request to be sent next, without those that have to wait for something else. It stays in
  /// the line.
  std::optional<queued_request_id> Next(time_point now,
                                        const std::set<queued_request_id>& passed_over = {}) const;
  /// The request got a place: its account goes behind the others.
  void OnDispatched(queued_request_id id);
  void Remove(queued_request_id id);
  /// Takes out the requests that have become hopeless.
  std::vector<queued_request_id> TakeExpired(time_point now);

  std::size_t Size() const { return requests_.size(); }

 private:
  std::size_t capacity_;
  std::map<queued_request_id, queued_request> requests_;
  std::map<std::string, std::uint64_t> last_turn_;  // of accounts
  std::uint64_t turn_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_
