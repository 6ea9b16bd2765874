#ifndef BERYLBARROW_PROCESS_RUNTIME_RING_H_
#define BERYLBARROW_PROCESS_RUNTIME_RING_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace berylbarrow {

/// Bounded queue from one producer thread to the thread of an io_context. Values arrive in the
/// order of Push. The ring must outlive every handler of the context, so the duty that runs the
/// context is stopped first.
template <typename T>
class ring {
 public:
  using consumer = std::function<void(T&&)>;

  /// `consume` is called on the thread of `context`, once for each value.
  ring(boost::asio::io_context& context, std::size_t capacity, consumer consume)
      : context_(context), queue_(capacity), consume_(std::move(consume)) {}

  ~ring() {
    queue_.consume_all([](T* value) { std::unique_ptr<T> owned(value); });
  }
  ring(const ring&) = delete;
  ring& operator=(const ring&) = delete;

  /// Called by the producer thread only: whether its next Push succeeds.
  bool HasSpace() const { return queue_.write_available() > 0; }

  /// Called by the producer thread only. Returns false if the ring is full; the value is discarded.
  bool Push(T value) {
    if (!HasSpace()) {
      rejected_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    queue_.push(std::make_unique<T>(std::move(value)).release());
    if (!scheduled_.exchange(true, std::memory_order_acq_rel)) Schedule();
    return true;
  }

  /// Called by the consumer thread only: whether every value pushed so far has been consumed.
  bool IsEmpty() const { return queue_.read_available() == 0; }

  /// Number of calls of Push that returned false. May be read by any thread.
  std::uint64_t Rejected() const { return rejected_.load(std::memory_order_relaxed); }

 private:
  // Limits how long a full ring keeps the timers and sockets of the context waiting.
  static constexpr int kMaxBatch = 128;

  void Schedule() {
    boost::asio::post(context_, [this] { Drain(); });
  }

  void Drain() {
    for (int taken = 0; taken < kMaxBatch; ++taken) {
      T* next = nullptr;
      if (!queue_.pop(next)) {
        // Clearing by exchange orders this thread after every Push that still saw the flag set, so
        // the second look at the queue sees the values of those calls.
        scheduled_.exchange(false, std::memory_order_acq_rel);
        if (queue_.read_available() == 0) return;
        if (scheduled_.exchange(true, std::memory_order_acq_rel)) return;
        continue;
      }
      const std::unique_ptr<T> owned(next);
      consume_(std::move(*owned));
    }
    Schedule();
  }

  boost::asio::io_context& context_;
  // Holds pointers because spsc_queue copies its elements and allocates all of them in advance.
  boost::lockfree::spsc_queue<T*> queue_;
  consumer consume_;
  std::atomic<bool> scheduled_{false};
  std::atomic<std::uint64_t> rejected_{0};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_RING_H_
