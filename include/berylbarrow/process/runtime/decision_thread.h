#ifndef BERYLBARROW_PROCESS_RUNTIME_DECISION_THREAD_H_
#define BERYLBARROW_PROCESS_RUNTIME_DECISION_THREAD_H_

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/duty.h"
#include "berylbarrow/process/runtime/ring.h"

namespace berylbarrow {

/// Runs a decision core on a duty: feeds it the inputs of its rings with the time of the clock,
/// advances it when its deadline is due, and hands its outputs on in order.
template <typename Core>
class decision_thread {
 public:
  using input_type = typename Core::input_type;
  using output_type = typename Core::output_type;
  /// Takes one output, or leaves it unchanged and returns false if there is no space for it at
  /// present. Called on the decision thread, again with the same output until it returns true.
  using output_sink = std::function<bool(output_type&)>;

  /// `clock` must outlive the decision thread.
  decision_thread(std::unique_ptr<Core> core, const runtime_clock& clock, output_sink deliver)
      : core_(std::move(core)),
        clock_(clock),
        deliver_(std::move(deliver)),
        duty_("decisions"),
        timer_(duty_.Context()) {}

  ~decision_thread() { Stop(); }
  decision_thread(const decision_thread&) = delete;
  decision_thread& operator=(const decision_thread&) = delete;

  /// Adds a ring of inputs for one producer thread. Called before Start only.
  ring<input_type>& AddInput(std::size_t capacity) {
    inputs_.push_back(std::make_unique<ring<input_type>>(
        duty_.Context(), capacity, [this](input_type&& input) { Handle(input); }));
    return *inputs_.back();
  }

  void Start() {
    boost::asio::post(duty_.Context(), [this] { Tick(); });
    duty_.Start();
  }

  /// Joins the thread. Outputs that still wait for space are discarded.
  void Stop() {
    stopping_.store(true, std::memory_order_relaxed);
    duty_.Stop();
  }

  /// Number of times an output had to wait for space. May be read by any thread.
  std::uint64_t OutputWaits() const { return output_waits_.load(std::memory_order_relaxed); }

 private:
  // The core detects a paused process by a jump of more than 1 s between two calls, so it is called
  // more often than that even when nothing is due.
  static constexpr std::chrono::milliseconds kMaxIdle{250};
  static constexpr std::chrono::microseconds kOutputRetry{100};

  moment Now() const { return {.now = clock_.Now(), .wall = clock_.WallNow()}; }

  void Handle(const input_type& input) {
    const moment at = Now();
    if (core_->NextDeadline() <= at.now) core_->Advance(at, outputs_);
    core_->Handle(input, at, outputs_);
    Deliver();
    if (core_->NextDeadline() < wake_at_) Arm(at.now);
  }

  void Tick() {
    const moment at = Now();
    core_->Advance(at, outputs_);
    Deliver();
    Arm(at.now);
  }

  void Arm(time_point now) {
    wake_at_ = std::clamp(core_->NextDeadline(), now, now + duration(kMaxIdle));
    timer_.expires_after(wake_at_ - now);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Tick();
    });
  }

  void Deliver() {
    for (output_type& output : outputs_) {
      while (!deliver_(output)) {
        if (stopping_.load(std::memory_order_relaxed)) break;
        output_waits_.fetch_add(1, std::memory_order_relaxed);
        std::this_thread::sleep_for(kOutputRetry);
      }
    }
    outputs_.clear();
  }

  std::unique_ptr<Core> core_;
  const runtime_clock& clock_;
  output_sink deliver_;
  std::vector<std::unique_ptr<ring<input_type>>> inputs_;
  std::vector<output_type> outputs_;
  time_point wake_at_ = time_point::min();
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> output_waits_{0};
  duty duty_;  // after the rings, so that its thread has ended when they are destroyed
  boost::asio::steady_timer timer_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_DECISION_THREAD_H_
