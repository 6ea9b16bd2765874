#ifndef BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_
#define BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_

#include <compare>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct shutdown_window_options {
  /// From the signal until the process is killed.
  duration grace = duration::zero();
  /// Part of the grace in which no request runs any more.
  duration exit_margin = duration::zero();
  /// Part of `exit_margin` that is reserved for the exit itself. In the rest of the margin the last
  /// answers are written.
  duration kill_margin = duration::zero();
  /// Time for which callers may have an address answer from before the signal.
  duration address_lifetime = duration::zero();
  /// Time for which callers may go on using the address of the process.
  duration address_use = duration::zero();
  auto operator<=>(const shutdown_window_options&) const = default;
};

/// The time that a process has from the signal to shut down until it ends.
class shutdown_window {
 public:
  /// `signalled_at`: no later than the signal.
  shutdown_window(const shutdown_window_options& options, time_point signalled_at)
      : options_(options), signalled_at_(signalled_at) {}

  time_point SignalledAt() const { return signalled_at_; }
  /// When the requests that are still open are ended.
  time_point WorkEnd() const { return signalled_at_ + options_.grace - options_.exit_margin; }
  /// Whether a request is certain to end before the process does. Typical durations do not count:
  /// an admitted request may take until its deadline.
  bool CanComplete(time_point deadline) const { return deadline <= WorkEnd(); }
  /// Whether to admit a request that arrives now. `must_complete`: an unknown outcome is worse for
  /// its caller than a refusal. Others are also admitted with half of their time left, while
  /// callers cannot know of the shutdown: a small fleet that is restarted would refuse many of them
  /// at each attempt.
  bool Admits(time_point now, time_point deadline, bool must_complete) const {
    if (CanComplete(deadline)) return true;
    const bool callers_know = now >= signalled_at_ + options_.address_lifetime;
    return !must_complete && !callers_know && WorkEnd() - now >= deadline - WorkEnd();
  }
  /// Whether the process may end now. `has_work`: an exchange with a caller is not complete.
  bool MayExit(time_point now, bool has_work) const {
    if (has_work) return now >= signalled_at_ + options_.grace - options_.kill_margin;
    return now >= WorkEnd() || now >= signalled_at_ + options_.address_use;
  }

  auto operator<=>(const shutdown_window&) const = default;

 private:
  shutdown_window_options options_;
  time_point signalled_at_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_
