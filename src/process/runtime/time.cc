#include "berylbarrow/process/runtime/time.h"

#include <ctime>

namespace berylbarrow {
namespace {

duration ReadClock(clockid_t id) {
  timespec value{};
  clock_gettime(id, &value);
  return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

}  // namespace

time_point system_clock::Now() const { return time_point(ReadClock(CLOCK_BOOTTIME)); }

wall_time system_clock::WallNow() const { return wall_time(ReadClock(CLOCK_REALTIME)); }

}  // namespace berylbarrow
