#ifndef BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_
#define BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_

#include <compare>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct shutdown_window_options {
  /// From the signal until the process is killed.
  duration grace = duration::zero();
  /// Part of the grace that is reserved for the last answers and the exit.
  duration exit_margin = duration::zero();
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

  /// When the process ends, whatever is still running.
  time_point WorkEnd() const { return signalled_at_ + options_.grace - options_.exit_margin; }
  /// Whether a request is certain to end before the process does. Typical durations do not count:
  /// an admitted request may take until its deadline.
  bool CanComplete(time_point deadline) const { return deadline <= WorkEnd(); }
  /// Whether the process may end now. `has_work`: a request is not completely answered.
  bool MayExit(time_point now, bool has_work) const {
    return now >= WorkEnd() || (!has_work && now >= signalled_at_ + options_.address_use);
  }
  time_point SignalledAt() const { return signalled_at_; }

  auto operator<=>(const shutdown_window&) const = default;

 private:
  shutdown_window_options options_;
  time_point signalled_at_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_SHUTDOWN_WINDOW_H_
