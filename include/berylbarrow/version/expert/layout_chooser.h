#ifndef BERYLBARROW_VERSION_EXPERT_LAYOUT_CHOOSER_H_
#define BERYLBARROW_VERSION_EXPERT_LAYOUT_CHOOSER_H_

#include <optional>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/expert/rank_layout.h"

namespace berylbarrow {

struct layout_chooser_options {
  double copy_seconds = 0.15;  // of one expert
  std::size_t max_new_per_layer = 4;
  /// How long a layout is expected to fit the load.
  double horizon_seconds = 3.0;
  /// By how much passes are longer while experts are copied.
  double copy_slowdown = 0.15;
  /// Time of passes that a switch costs in any case: its orders, and ranks that wait.
  double switch_seconds = 0.25;
  /// Time that the group must save besides for one copy by any rank, in copy times of one of its
  /// ranks: a copy that takes longer moves more bytes, and a larger group gains more by it.
  double copy_price = 0.135;
};

struct chosen_layout {
  rank_layout layout;
  double skew_before = 1;
  double skew_after = 1;
  std::size_t longest_copy = 0;
  std::size_t copies = 0;
};

/// Chooses how much of a better layout is worth its copies: plans with different numbers of copies
/// are compared by the time of passes that they save until the load has changed. Nothing if none
/// is worthwhile.
std::optional<chosen_layout> ChooseLayout(const rank_layout& current, const group_work& work,
                                          const layout_chooser_options& options);

/// Rates of growing counters, averaged over about the last second.
class rate_average {
 public:
  /// `half_life`: an observation weighs half after this time.
  explicit rate_average(duration half_life) : half_life_(half_life) {}
  /// Counters that are smaller than before began anew.
  void Observe(const std::vector<std::uint64_t>& counters, time_point now);
  const std::vector<double>& PerSecond() const { return rates_; }
  /// The rates, or while nothing was counted yet the shares of the counters as they were found:
  /// what was in demand before is the best guess after a restart.
  std::vector<double> Demand() const;
  void Clear();

 private:
  duration half_life_;
  std::vector<std::uint64_t> last_;
  std::optional<time_point> last_at_;
  std::vector<double> rates_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_LAYOUT_CHOOSER_H_
