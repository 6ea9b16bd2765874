#ifndef BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_
#define BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/admission/request_urgency.h"

namespace berylbarrow {

using queued_request_id = std::uint64_t;

/// A request that waits in the gateway to be dispatched.
struct queued_request {
  queued_request_id id = 0;
  std::string account;
  request_urgency urgency;
  time_point arrival;
  time_point on_time_until;      // dispatched later, it misses its latency objective
  time_point dispatch_deadline;  // dispatched from then on, it cannot end before its deadline
};

/// Bounded queue of the requests of one service that wait in the gateway for an upstream with free
/// capacity. Requests are ordered by urgency; within one urgency, those that can still meet their
/// latency objective go before those that have missed it, and accounts are served round-robin. If
/// late requests yield, lateness goes before urgency.
class request_queue {
 public:
  explicit request_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Whether requests that can no longer meet their latency objective go after all others.
  void SetLateYields(bool late_yields) { late_yields_ = late_yields; }
  /// Returns false if the queue is full.
  bool Push(const queued_request& request);
  /// The request to dispatch next, leaving out those in `skipped`. It stays in the queue.
  std::optional<queued_request_id> Next(time_point now,
                                        const std::set<queued_request_id>& skipped = {}) const;
  /// Removes a request that has been dispatched. Its account is served after the others next time.
  void OnDispatched(queued_request_id id);
  void Remove(queued_request_id id);
  /// Removes and returns the requests whose dispatch deadline has been reached.
  std::vector<queued_request_id> TakeExpired(time_point now);

  std::size_t Size() const { return requests_.size(); }
  /// Requests that are at least this urgent.
  std::size_t CountUpTo(const request_urgency& urgency) const;

 private:
  std::size_t capacity_;
  std::map<queued_request_id, queued_request> requests_;
  // Value of `dispatches_` at the last dispatch of each account.
  std::map<std::string, std::uint64_t> last_dispatch_;
  std::uint64_t dispatches_ = 0;  // requests dispatched so far
  bool late_yields_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_REQUEST_QUEUE_H_
