#ifndef TESTS_SUPPORT_FLEET_CONTEXT_H_
#define TESTS_SUPPORT_FLEET_CONTEXT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "berylbarrow/process/core/core.h"
#include "support/history.h"

namespace berylbarrow {

/// Time, chance and the record of one run. Actions that are due at the same time run in the order
/// in which they were added.
class fleet_context {
 public:
  explicit fleet_context(std::uint64_t seed) : random_(seed) {}

  time_point Now() const { return clock_.Now(); }
  moment At() const { return {clock_.Now(), clock_.WallNow()}; }

  void After(duration delay, std::function<void()> action) {
    actions_.emplace(Now() + delay, std::move(action));
  }

  void RunUntil(time_point end) {
    while (!actions_.empty() && actions_.begin()->first <= end) {
      const auto first = actions_.begin();
      clock_.Advance(first->first - Now());
      const std::function<void()> action = std::move(first->second);
      actions_.erase(first);
      action();
    }
    clock_.Advance(end - Now());
  }

  std::size_t Below(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }
  duration Between(duration least, duration most) {
    return duration(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
  }
  std::uint64_t Number() { return random_(); }

  history log;

 private:
  manual_clock clock_;
  std::mt19937_64 random_;
  std::multimap<time_point, std::function<void()>> actions_;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_CONTEXT_H_
