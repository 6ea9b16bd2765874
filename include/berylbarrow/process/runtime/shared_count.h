#ifndef BERYLBARROW_PROCESS_RUNTIME_SHARED_COUNT_H_
#define BERYLBARROW_PROCESS_RUNTIME_SHARED_COUNT_H_

#include <atomic>
#include <cstdint>

namespace berylbarrow {

/// A count that the owner's thread writes and any thread reads.
class shared_count {
 public:
  void operator++() { value_.fetch_add(1, std::memory_order_relaxed); }
  void operator--() { value_.fetch_sub(1, std::memory_order_relaxed); }
  operator std::uint64_t() const {  // NOLINT(google-explicit-constructor)
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_SHARED_COUNT_H_
