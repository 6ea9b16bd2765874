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

/// One layer while it is planned.
class layer_plan {
 public:
  layer_plan(const rank_layout& current, const group_work& work, std::uint32_t layer,
             const layout_planner_options& options)
      : shape_(current.Shape()), options_(options), pace_(work.pace) {
    pace_.resize(shape_.ranks, 1.0);
    const auto* const first = work.load.data() + std::size_t{layer} * shape_.experts;
    load_.assign(first, first + shape_.experts);
    const double mean = std::accumulate(load_.begin(), load_.end(), 0.0) / shape_.ranks;
    for (double& each : load_) each = mean > 0 ? each / mean : 0;
    holders_.assign(shape_.experts, 0);
    held_.assign(shape_.ranks, std::vector<bool>(shape_.experts, false));
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      lists_.push_back(current.At(layer, rank));
      for (const expert_index expert : lists_.back()) {
        held_[rank][expert] = true;
        ++holders_[expert];
      }
    }
    original_ = held_;
    new_.assign(shape_.ranks, 0);
    rank_load_.assign(shape_.ranks, 0);
    SumLoads();
  }

  /// Makes the best step; returns false if none is worthwhile. `copied` counts copies by rank over
  /// all layers.
  bool Improve(std::vector<std::size_t>& copied) {
    step best;
    std::vector<std::uint32_t> ranks(shape_.ranks);
    std::iota(ranks.begin(), ranks.end(), 0U);
    std::sort(ranks.begin(), ranks.end(), [&](std::uint32_t left, std::uint32_t right) {
      return rank_load_[left] > rank_load_[right];
    });
    for (std::size_t i = 0; i < std::min(kConsideredRanks, ranks.size()); ++i) {
      for (const expert_index expert : HeaviestOf(ranks[i])) Consider(expert, copied, best);
      for (const expert_index expert : lists_[ranks[i]]) {
        if (holders_[expert] >= 2) Judge({.rank = ranks[i], .evicted = expert}, best);
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
    return holders_[expert] == 0 ? 0 : load_[expert] / holders_[expert];
  }

  double Potential() const {
    double sum = 0;
    for (const double load : rank_load_) sum += Power(load);
    return sum;
  }

  std::vector<expert_index> HeaviestOf(std::uint32_t rank) const {
    std::vector<expert_index> experts = lists_[rank];
    const std::size_t kept = std::min(kConsideredExperts, experts.size());
    std::partial_sort(
        experts.begin(), experts.begin() + static_cast<std::ptrdiff_t>(kept), experts.end(),
        [&](expert_index left, expert_index right) { return Share(left) > Share(right); });
    experts.resize(kept);
    return experts;
  }

  void Consider(expert_index expert, const std::vector<std::size_t>& copied, step& best) const {
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      if (held_[rank][expert]) continue;
      const bool is_new = !original_[rank][expert];
      if (is_new &&
          (new_[rank] >= options_.max_new_per_layer || copied[rank] >= options_.max_new_per_rank)) {
        continue;
      }
      if (lists_[rank].size() < shape_.slots_per_rank) {
        Judge({.expert = expert, .rank = rank}, best);
        continue;
      }
      for (const expert_index evicted : lists_[rank]) {
        if (holders_[evicted] < 2) continue;
        Judge({.expert = expert, .rank = rank, .evicted = evicted}, best);
      }
    }
  }

  void Judge(step candidate, step& best) const {
    double gained_share = 0;
    double gained_change = 0;  // of the share of the other holders
    if (candidate.expert) {
      gained_share = load_[*candidate.expert] / (holders_[*candidate.expert] + 1);
      gained_change = gained_share - Share(*candidate.expert);
    }
    double evicted_share = 0;
    double evicted_change = 0;
    if (candidate.evicted) {
      evicted_share = Share(*candidate.evicted);
      evicted_change =
          load_[*candidate.evicted] / (holders_[*candidate.evicted] - 1) - evicted_share;
    }
    for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
      double change = 0;
      if (rank == candidate.rank) {
        change = gained_share - evicted_share;
      } else {
        if (candidate.expert && held_[rank][*candidate.expert]) change += gained_change;
        if (candidate.evicted && held_[rank][*candidate.evicted]) change += evicted_change;
      }
      const double load = rank_load_[rank] + pace_[rank] * change;
      candidate.change += Power(load) - Power(rank_load_[rank]);
    }
    if (candidate.change < best.change) best = candidate;
  }

  void Apply(const step& chosen, std::vector<std::size_t>& copied) {
    std::vector<expert_index>& list = lists_[chosen.rank];
    if (chosen.evicted) {
      list.erase(std::find(list.begin(), list.end(), *chosen.evicted));
      held_[chosen.rank][*chosen.evicted] = false;
      --holders_[*chosen.evicted];
      if (!original_[chosen.rank][*chosen.evicted]) {
        --new_[chosen.rank];
        --copied[chosen.rank];
      }
    }
    if (chosen.expert) {
      list.push_back(*chosen.expert);
      held_[chosen.rank][*chosen.expert] = true;
      ++holders_[*chosen.expert];
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
    }
  }

  group_shape shape_;
  layout_planner_options options_;
  std::vector<double> pace_;
  std::vector<double> load_;  // by expert, in units of the mean rank
  std::vector<std::uint32_t> holders_;
  std::vector<std::vector<expert_index>> lists_;
  std::vector<std::vector<bool>> held_;
  std::vector<std::vector<bool>> original_;
  std::vector<std::size_t> new_;
  std::vector<double> rank_load_;
};

}  // namespace

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

rank_layout PlanLayout(const rank_layout& current, const group_work& work,
                       const layout_planner_options& options) {
  const group_shape& shape = current.Shape();
  std::vector<layer_plan> layers;
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    layers.emplace_back(current, work, layer, options);
  }
  std::vector<std::size_t> copied(shape.ranks, 0);
  // One step a layer by turns, so that the copies of a rank serve all layers.
  std::vector<bool> open(shape.layers, true);
  for (bool improved = true; improved;) {
    improved = false;
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
      if (!open[layer]) continue;
      open[layer] = layers[layer].Improve(copied);
      improved = improved || open[layer];
    }
  }
  rank_layout planned(shape);
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      planned.Set(layer, rank, layers[layer].List(rank));
    }
  }
  return planned;
}

}  // namespace berylbarrow
