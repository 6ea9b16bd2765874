#ifndef BERYLBARROW_REQUEST_ADMISSION_FAIR_QUEUE_H_
#define BERYLBARROW_REQUEST_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// An execution that waits in an agent for a free place at the upstream.
struct queued_execution {
  execution_id execution = 0;
  std::string account;
  std::uint32_t weight = 1;    // of the account
  std::uint32_t priority = 0;  // higher goes first
  time_point deadline;
};

/// Bounded queue that shares an upstream among client accounts in proportion to their weights.
/// Within an account, items are ordered by descending priority, then by arrival. Implements
/// self-clocked fair queueing (Golestani 1994). Every item has the same cost, because the length of
/// an answer is not known in advance.
class fair_queue {
 public:
  explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Items already queued are kept if the new capacity is lower.
  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }
  /// Returns false if the queue is full.
  bool Push(const queued_execution& item);
  /// The item that Pop would return, or null if the queue is empty.
  const queued_execution* Peek() const;
  std::optional<queued_execution> Pop();
  /// The item to evict from a full queue to make room for one more item of `account`: the last item
  /// of the account with the most items relative to its weight. Null if `account` itself would then
  /// have the most. Implements longest queue drop (Suter et al. 1998).
  const queued_execution* EvictionCandidate(const std::string& account, std::uint32_t weight) const;
  /// Returns false if the execution is not in the queue.
  bool Remove(execution_id execution);
  /// Removes and returns the items whose deadline has been reached.
  std::vector<queued_execution> Expire(time_point now);
  /// Removes and returns all items, in the order of Pop.
  std::vector<queued_execution> Clear();
  /// The earliest deadline in the queue, or the maximum time point if the queue is empty.
  time_point NextDeadline() const;
  std::size_t Size() const { return size_; }
  bool IsFull() const { return size_ >= capacity_; }

 private:
  // Orders by descending priority, then by arrival.
  struct queue_position {
    std::uint32_t inverted_priority = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const queue_position&) const = default;
  };
  struct account_queue {
    double virtual_finish_time = 0;  // of the first item
    std::map<queue_position, queued_execution> items;
  };

  /// The account with the earliest virtual finish time, or the end iterator if the queue is empty.
  std::map<std::string, account_queue>::const_iterator NextAccount() const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint64_t arrivals_ = 0;
  double virtual_time_ = 0;
  // Only accounts with queued items. When Pop takes the last item of an account, the finish time of
  // that account equals the virtual time, so no state needs to be kept for it.
  std::map<std::string, account_queue> accounts_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_FAIR_QUEUE_H_
