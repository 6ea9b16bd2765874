#include "berylbarrow/version/expert/rank_layout.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace berylbarrow {
namespace {

// Experts of a loaded rank that are considered in one step, the heaviest first.
constexpr std::size_t kConsideredExperts = 4;
constexpr std::size_t kConsideredRanks = 2;

double Power(double load) {
  const double square = load * load;
  return square * square * square;
}

}  // namespace

/// One layer while it is planned.
class layout_planner::layer_plan {
 public:
  layer_plan(const rank_layout& current, const group_work& work, std::uint32_t layer,
             const layout_planner_options& options)
      : shape_(current.Shape()), options_(options), pace_(work.pace) {
    pace_.resize(shape_.ranks, 1.0);
    const auto* const first = work.load.data() + std::size_t{layer} * shape_.experts;
    load_.assign(first, first + shape_.experts);
    const double mean = std::accumulate(load_.begin(), load_.end(), 0.0) / shape_.ranks;
    for (double& each : load_) each = mean > 0 ? each / mean : 0;
    holders_.resize(shape_.experts);
    held_.assign(shape_.ranks, std::vector<bool>(shape_.experts, false));
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      lists_.push_back(current.At(layer, rank));
      for (const expert_index expert : lists_.back()) {
        held_[rank][expert] = true;
        holders_[expert].push_back(rank);
      }
    }
    original_ = held_;
    new_.assign(shape_.ranks, 0);
    rank_load_.assign(shape_.ranks, 0);
    rank_power_.assign(shape_.ranks, 0);
    SumLoads();
  }

  /// Makes the best step; returns false if none is worthwhile. `copied` counts copies by rank over
  /// all layers, `max_copied` bounds it.
  bool Improve(std::vector<std::size_t>& copied, std::size_t max_copied) {
    step best;
    std::vector<std::uint32_t> ranks(shape_.ranks);
    std::iota(ranks.begin(), ranks.end(), 0U);
    const std::size_t considered = std::min(kConsideredRanks, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(considered),
                      ranks.end(), [&](std::uint32_t left, std::uint32_t right) {
                        return rank_load_[left] > rank_load_[right];
                      });
    for (std::size_t i = 0; i < considered; ++i) {
      for (const expert_index expert : HeaviestOf(ranks[i])) {
        Consider(expert, copied, max_copied, best);
      }
      for (const expert_index expert : lists_[ranks[i]]) {
        if (holders_[expert].size() >= 2) Judge({.rank = ranks[i], .evicted = expert}, best);
      }
    }
    const double potential = Potential();
    if (best.change >= -options_.least_gain * potential) return false;
    Apply(best, copied);
    return true;
  }

  const std::vector<expert_index>& List(std::uint32_t rank) const { return lists_[rank]; }

 private:
  struct step {
    double change = 0;                   // of the potential
    std::optional<expert_index> expert;  // that the rank gets
    std::uint32_t rank = 0;
    std::optional<expert_index> evicted;
  };

  double Share(expert_index expert) const {
    return holders_[expert].empty() ? 0 : load_[expert] / Count(holders_[expert].size());
  }

  static double Count(std::size_t count) { return static_cast<double>(count); }

  double Potential() const { return std::accumulate(rank_power_.begin(), rank_power_.end(), 0.0); }

  std::vector<expert_index> HeaviestOf(std::uint32_t rank) const {
    std::vector<expert_index> experts = lists_[rank];
    const std::size_t kept = std::min(kConsideredExperts, experts.size());
    std::partial_sort(
        experts.begin(), experts.begin() + static_cast<std::ptrdiff_t>(kept), experts.end(),
        [&](expert_index left, expert_index right) { return Share(left) > Share(right); });
    experts.resize(kept);
    return experts;
  }

  void Consider(expert_index expert, const std::vector<std::size_t>& copied, std::size_t max_copied,
                step& best) const {
    const double mean = std::accumulate(rank_load_.begin(), rank_load_.end(), 0.0) / shape_.ranks;
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      // A rank with more than its part gains nothing by another expert.
      if (held_[rank][expert] || rank_load_[rank] > mean) continue;
      const bool is_new = !original_[rank][expert];
      if (is_new && (new_[rank] >= options_.max_new_per_layer || copied[rank] >= max_copied)) {
        continue;
      }
      if (lists_[rank].size() < shape_.slots_per_rank) {
        Judge({.expert = expert, .rank = rank}, best);
        continue;
      }
      for (const expert_index evicted : lists_[rank]) {
        if (holders_[evicted].size() < 2) continue;
        Judge({.expert = expert, .rank = rank, .evicted = evicted}, best);
      }
    }
  }

  /// Change of the potential if the load of the rank changes by that much.
  double ChangeOf(std::uint32_t rank, double load_change) const {
    return Power(rank_load_[rank] + pace_[rank] * load_change) - rank_power_[rank];
  }

  void Judge(step candidate, step& best) const {
    double own_change = 0;
    double gained_change = 0;  // of the share of the other holders
    double evicted_change = 0;
    if (candidate.expert) {
      const double share = load_[*candidate.expert] / Count(holders_[*candidate.expert].size() + 1);
      gained_change = share - Share(*candidate.expert);
      own_change += share;
    }
    if (candidate.evicted) {
      const double share = Share(*candidate.evicted);
      evicted_change =
          load_[*candidate.evicted] / Count(holders_[*candidate.evicted].size() - 1) - share;
      own_change -= share;
    }
    candidate.change = ChangeOf(candidate.rank, own_change);
    if (candidate.expert) {
      for (const std::uint32_t rank : holders_[*candidate.expert]) {
        const bool loses_both = candidate.evicted && held_[rank][*candidate.evicted];
        candidate.change += ChangeOf(rank, gained_change + (loses_both ? evicted_change : 0));
      }
    }
    if (candidate.evicted) {
      for (const std::uint32_t rank : holders_[*candidate.evicted]) {
        const bool counted = candidate.expert && held_[rank][*candidate.expert];
        if (rank == candidate.rank || counted) continue;
        candidate.change += ChangeOf(rank, evicted_change);
      }
    }
    if (candidate.change < best.change) best = candidate;
  }

  void Apply(const step& chosen, std::vector<std::size_t>& copied) {
    std::vector<expert_index>& list = lists_[chosen.rank];
    if (chosen.evicted) {
      list.erase(std::find(list.begin(), list.end(), *chosen.evicted));
      held_[chosen.rank][*chosen.evicted] = false;
      std::vector<std::uint32_t>& others = holders_[*chosen.evicted];
      others.erase(std::find(others.begin(), others.end(), chosen.rank));
      if (!original_[chosen.rank][*chosen.evicted]) {
        --new_[chosen.rank];
        --copied[chosen.rank];
      }
    }
    if (chosen.expert) {
      list.push_back(*chosen.expert);
      held_[chosen.rank][*chosen.expert] = true;
      holders_[*chosen.expert].push_back(chosen.rank);
      if (!original_[chosen.rank][*chosen.expert]) {
        ++new_[chosen.rank];
        ++copied[chosen.rank];
      }
    }
    SumLoads();
  }

  void SumLoads() {
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      double sum = 0;
      for (const expert_index expert : lists_[rank]) sum += Share(expert);
      rank_load_[rank] = pace_[rank] * sum;
      rank_power_[rank] = Power(rank_load_[rank]);
    }
  }

  group_shape shape_;
  layout_planner_options options_;
  std::vector<double> pace_;
  std::vector<double> load_;                         // by expert, in units of the mean rank
  std::vector<std::vector<std::uint32_t>> holders_;  // ranks, by expert
  std::vector<std::vector<expert_index>> lists_;
  std::vector<std::vector<bool>> held_;
  std::vector<std::vector<bool>> original_;
  std::vector<std::size_t> new_;
  std::vector<double> rank_load_;
  std::vector<double> rank_power_;
};

rank_layout::rank_layout(const group_shape& shape)
    : shape_(shape), lists_(std::size_t{shape.layers} * shape.ranks) {}

std::size_t rank_layout::Index(std::uint32_t layer, std::uint32_t rank) const {
  return std::size_t{layer} * shape_.ranks + rank;
}

const std::vector<expert_index>& rank_layout::At(std::uint32_t layer, std::uint32_t rank) const {
  return lists_.at(Index(layer, rank));
}

void rank_layout::Set(std::uint32_t layer, std::uint32_t rank, std::vector<expert_index> experts) {
  lists_.at(Index(layer, rank)) = std::move(experts);
}

bool rank_layout::IsSound() const {
  for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
    std::vector<bool> placed(shape_.experts, false);
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      std::vector<expert_index> list = At(layer, rank);
      std::sort(list.begin(), list.end());
      if (list.size() > shape_.slots_per_rank) return false;
      if (std::adjacent_find(list.begin(), list.end()) != list.end()) return false;
      if (!list.empty() && list.back() >= shape_.experts) return false;
      for (const expert_index expert : list) placed[expert] = true;
    }
    if (std::find(placed.begin(), placed.end(), false) != placed.end()) return false;
  }
  return true;
}

double PassSkew(const rank_layout& layout, const group_work& work) {
  const expert_load& load = work.load;
  const group_shape& shape = layout.Shape();
  double slowest = 0;
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    std::vector<std::uint32_t> holders(shape.experts, 0);
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      for (const expert_index expert : layout.At(layer, rank)) ++holders[expert];
    }
    double most = 0;
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      double sum = 0;
      for (const expert_index expert : layout.At(layer, rank)) {
        sum += load[std::size_t{layer} * shape.experts + expert] / holders[expert];
      }
      most = std::max(most, sum * (rank < work.pace.size() ? work.pace[rank] : 1.0));
    }
    slowest += most;
  }
  const double total = std::accumulate(load.begin(), load.end(), 0.0);
  return total <= 0 ? 1.0 : slowest * shape.ranks / total;
}

namespace {

std::size_t CopiesOf(const rank_layout& from, const rank_layout& to, std::uint32_t rank) {
  std::size_t copies = 0;
  for (std::uint32_t layer = 0; layer < to.Shape().layers; ++layer) {
    const auto& held = from.At(layer, rank);
    for (const expert_index expert : to.At(layer, rank)) {
      if (std::find(held.begin(), held.end(), expert) == held.end()) ++copies;
    }
  }
  return copies;
}

}  // namespace

std::size_t LongestCopy(const rank_layout& from, const rank_layout& to) {
  std::size_t longest = 0;
  for (std::uint32_t rank = 0; rank < to.Shape().ranks; ++rank) {
    longest = std::max(longest, CopiesOf(from, to, rank));
  }
  return longest;
}

std::size_t TotalCopies(const rank_layout& from, const rank_layout& to) {
  std::size_t total = 0;
  for (std::uint32_t rank = 0; rank < to.Shape().ranks; ++rank) total += CopiesOf(from, to, rank);
  return total;
}

layout_planner::layout_planner(const rank_layout& current, const group_work& work,
                               const layout_planner_options& options)
    : shape_(current.Shape()), copied_(shape_.ranks, 0) {
  for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
    layers_.emplace_back(current, work, layer, options);
  }
}

layout_planner::~layout_planner() = default;

void layout_planner::Extend(std::size_t max_new_per_rank) {
  // One step a layer by turns, so that the copies of a rank serve all layers.
  std::vector<bool> open(shape_.layers, true);
  for (bool improved = true; improved;) {
    improved = false;
    for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
      if (!open[layer]) continue;
      open[layer] = layers_[layer].Improve(copied_, max_new_per_rank);
      improved = improved || open[layer];
    }
  }
}

rank_layout layout_planner::Layout() const {
  rank_layout planned(shape_);
  for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      planned.Set(layer, rank, layers_[layer].List(rank));
    }
  }
  return planned;
}

}  // namespace berylbarrow
