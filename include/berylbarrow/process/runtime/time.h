#ifndef BERYLBARROW_PROCESS_RUNTIME_TIME_H_
#define BERYLBARROW_PROCESS_RUNTIME_TIME_H_

#include <chrono>
#include <string>

namespace berylbarrow {

using duration = std::chrono::nanoseconds;

/// Tag of the process clock: monotonic, counts time during suspension, has no relation to the clock
/// of any other process.
struct process_clock_tag {};

using time_point = std::chrono::time_point<process_clock_tag, duration>;

/// Nanoseconds since the Unix epoch, used for schedules in the published document.
using wall_time = std::chrono::sys_time<duration>;

/// Whole milliseconds as digits, for logs and queries.
inline std::string MillisecondsText(duration span) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

/// Source of time of a process. Decisions never read it; they receive the time with each input.
class runtime_clock {
 public:
  virtual ~runtime_clock() = default;
  virtual time_point Now() const = 0;
  virtual wall_time WallNow() const = 0;
};

/// Reads CLOCK_BOOTTIME, which advances while the instance is suspended, and CLOCK_REALTIME.
class system_clock final : public runtime_clock {
 public:
  time_point Now() const override;
  wall_time WallNow() const override;
};

/// Clock of the tests: stands still until advanced.
class manual_clock final : public runtime_clock {
 public:
  time_point Now() const override { return now_; }
  wall_time WallNow() const override { return wall_start_ + now_.time_since_epoch(); }
  void Advance(duration step) { now_ += step; }

 private:
  time_point now_{std::chrono::hours(1)};
  wall_time wall_start_{std::chrono::sys_days(std::chrono::year(2026) / 12 / 1)};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_TIME_H_
