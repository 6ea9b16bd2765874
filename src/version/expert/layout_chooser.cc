#include "berylbarrow/version/expert/layout_chooser.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace berylbarrow {
namespace {

// Copies of one rank that are tried, fewest first.
constexpr std::array<std::size_t, 5> kCopyLimits{2, 4, 7, 11, 18};

}  // namespace

std::optional<chosen_layout> ChooseLayout(const rank_layout& current, const group_work& work,
                                          const layout_chooser_options& options) {
  const double before = PassSkew(current, work);
  std::optional<chosen_layout> best;
  double best_value = 0;
  layout_planner planner(current, work, {.max_new_per_layer = options.max_new_per_layer});
  const double seconds_per_copy =
      options.copy_price * options.copy_seconds / std::max(1U, current.Shape().ranks);
  for (const std::size_t limit : kCopyLimits) {
    planner.Extend(limit);
    rank_layout planned = planner.Layout();
    const double after = PassSkew(planned, work);
    const std::size_t copies = LongestCopy(current, planned);
    const double copy = static_cast<double>(copies) * options.copy_seconds;
    const double saved = (1 - after / before) * std::max(0.0, options.horizon_seconds - copy);
    const std::size_t total = TotalCopies(current, planned);
    const double value = saved - options.copy_slowdown * copy - options.switch_seconds -
                         seconds_per_copy * static_cast<double>(total);
    if (value <= best_value) continue;
    best_value = value;
    best = chosen_layout{.layout = std::move(planned),
                         .skew_before = before,
                         .skew_after = after,
                         .longest_copy = copies,
                         .copies = total};
  }
  return best;
}

void rate_average::Observe(const std::vector<std::uint64_t>& counters, time_point now) {
  const bool anew = last_.size() != counters.size() || !last_at_ ||
                    !std::equal(counters.begin(), counters.end(), last_.begin(),
                                [](std::uint64_t is, std::uint64_t was) { return is >= was; });
  if (anew) {
    rates_.assign(counters.size(), 0);
  } else if (now > *last_at_) {
    const double elapsed = std::chrono::duration<double>(now - *last_at_).count();
    const double half = std::chrono::duration<double>(half_life_).count();
    const double keep = std::exp2(-elapsed / half);
    for (std::size_t i = 0; i < counters.size(); ++i) {
      const double rate = static_cast<double>(counters[i] - last_[i]) / elapsed;
      rates_[i] = keep * rates_[i] + (1 - keep) * rate;
    }
  }
  last_ = counters;
  last_at_ = now;
}

std::vector<double> rate_average::Demand() const {
  const auto is_counted = [](double rate) { return rate > 0; };
  if (std::any_of(rates_.begin(), rates_.end(), is_counted)) return rates_;
  std::vector<double> shares(last_.begin(), last_.end());
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  if (sum <= 0) return rates_;
  for (double& each : shares) each /= sum;
  return shares;
}

void rate_average::Clear() {
  last_.clear();
  last_at_.reset();
  rates_.clear();
}

}  // namespace berylbarrow
