#ifndef BERYLBARROW_BENCHMARKS_SERVICE_SCHEDULE_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_SCHEDULE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow::bench {

/// Actions in virtual time. Actions of the same time run in the order in which they were added, so
/// that a connection with a constant latency keeps its order.
class schedule {
 public:
  time_point Now() const { return clock_.Now(); }
  moment At() const { return {clock_.Now(), clock_.WallNow()}; }
  void At(time_point when, std::function<void()> action) {
    actions_.emplace(std::max(when, Now()), std::move(action));
  }
  void After(duration delay, std::function<void()> action) { At(Now() + delay, std::move(action)); }
  void RunUntil(time_point end) {
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto next = actions_.extract(actions_.begin());
      clock_.Advance(next.key() - Now());
      next.mapped()();
    }
    clock_.Advance(end - Now());
  }

 private:
  manual_clock clock_;
  std::multimap<time_point, std::function<void()>> actions_;
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_SCHEDULE_H_
