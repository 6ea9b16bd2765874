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

struct queued_execution {
  execution_id execution = 0;
  std::string account;
  std::uint32_t weight = 1;  // of the account
  std::uint32_t priority = 0;
  time_point deadline;
};

/// Waiting work, shared among client accounts by weight. Within an account the higher priority
/// goes first, then the earlier arrival. Source: self-clocked fair queueing, Golestani 1994; every
/// request counts as one unit of work, because the length of its answer is not known.
class fair_queue {
 public:
  explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

  /// Work already queued stays when the capacity falls.
  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }
  /// Returns false if the queue is full.
  bool Push(const queued_execution& work);
  /// The work that Pop would return.
  const queued_execution* Peek() const;
  std::optional<queued_execution> Pop();
  /// The work that a full queue gives up for one more item of `account`: the last of the account
  /// with the most items for its weight. Null if `account` itself would then have the most. Source:
  /// longest queue drop, Suter et al. 1998.
  const queued_execution* EvictionCandidate(const std::string& account, std::uint32_t weight) const;
  bool Remove(execution_id execution);
  /// Takes out the work whose deadline has been reached.
  std::vector<queued_execution> Expire(time_point now);
  /// Takes out everything, in the order of Pop.
  std::vector<queued_execution> Clear();
  time_point NextDeadline() const;
  std::size_t Size() const { return size_; }
  bool IsFull() const { return size_ >= capacity_; }

 private:
  // Orders by descending priority, then by arrival.
  struct place {
    std::uint32_t urgency = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const place&) const = default;
  };
  struct account_queue {
    double finish = 0;  // virtual finish time of the first item
    std::map<place, queued_execution> items;
  };

  std::map<std::string, account_queue>::const_iterator First() const;

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::uint64_t arrivals_ = 0;
  double virtual_time_ = 0;
  // Only accounts with waiting work. The finish time of an account that runs empty equals the
  // virtual time, so nothing needs to be kept for it.
  std::map<std::string, account_queue> accounts_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_FAIR_QUEUE_H_
