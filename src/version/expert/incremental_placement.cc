#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include "berylbarrow/version/expert/placement_policy.h"

namespace berylbarrow {
namespace {

/// One change of a layer: `slot` gets the expert of `source`; a swap also goes the other way.
struct change {
  std::size_t slot = 0;
  std::size_t source = 0;
  bool is_swap = false;
  double gain_per_move = 0;  // tokens of step time saved per expert loaded

  std::size_t Moves() const { return is_swap ? 2 : 1; }
};

/// One layer of a map that is being improved.
class layer_state {
 public:
  layer_state(const group_shape& shape, const double* load, expert_index* slots)
      : shape_(shape), load_(load), slots_(slots), replicas_(shape.experts), ranks_(shape.ranks) {
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      ++replicas_[slots_[slot]];
    }
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      ranks_[RankOf(slot)] += Share(slots_[slot]);
    }
  }

  double Highest() const { return *std::max_element(ranks_.begin(), ranks_.end()); }
  double Mean() const {
    return std::accumulate(ranks_.begin(), ranks_.end(), 0.0) / static_cast<double>(ranks_.size());
  }

  std::optional<change> BestChange() const {
    const auto hottest =
        static_cast<std::size_t>(std::max_element(ranks_.begin(), ranks_.end()) - ranks_.begin());
    std::optional<change> best;
    for (std::size_t s = 0; s < shape_.slots_per_rank; ++s) {
      const std::size_t source = hottest * shape_.slots_per_rank + s;
      for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
        Consider({.slot = slot, .source = source, .is_swap = false}, best);
        Consider({.slot = slot, .source = source, .is_swap = true}, best);
      }
    }
    return best;
  }

  void Apply(const change& step) {
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    slots_[step.slot] = added;
    if (step.is_swap) {
      slots_[step.source] = removed;
    } else {
      ++replicas_[added];
      --replicas_[removed];
    }
    std::fill(ranks_.begin(), ranks_.end(), 0.0);
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      ranks_[RankOf(slot)] += Share(slots_[slot]);
    }
  }

 private:
  std::size_t RankOf(std::size_t slot) const { return slot / shape_.slots_per_rank; }
  double Share(expert_index expert) const { return load_[expert] / replicas_[expert]; }

  bool IsAllowed(const change& step) const {
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    if (RankOf(step.slot) == RankOf(step.source) || added == removed) {
      return false;
    }
    return step.is_swap || replicas_[removed] > 1;
  }

  void Consider(change step, std::optional<change>& best) const {
    if (!IsAllowed(step)) {
      return;
    }
    // A change can lower the step time only if the receiving rank stays below the highest.
    const double added =
        load_[slots_[step.source]] / (replicas_[slots_[step.source]] + (step.is_swap ? 0 : 1));
    const double before = ranks_[RankOf(step.slot)];
    if (before - Share(slots_[step.slot]) + added >= ranks_[RankOf(step.source)]) {
      return;
    }
    const double gain = Highest() - HighestAfter(step);
    step.gain_per_move = gain / static_cast<double>(step.Moves());
    if (!best || step.gain_per_move > best->gain_per_move) {
      best = step;
    }
  }

  double HighestAfter(const change& step) const {
    layer_copy_ = ranks_;
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    if (step.is_swap) {
      layer_copy_[RankOf(step.slot)] += Share(added) - Share(removed);
      layer_copy_[RankOf(step.source)] += Share(removed) - Share(added);
    } else {
      const double added_after = load_[added] / (replicas_[added] + 1);
      const double removed_after = load_[removed] / (replicas_[removed] - 1);
      for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
        if (slots_[slot] == added) {
          layer_copy_[RankOf(slot)] += added_after - Share(added);
        } else if (slots_[slot] == removed && slot != step.slot) {
          layer_copy_[RankOf(slot)] += removed_after - Share(removed);
        }
      }
      layer_copy_[RankOf(step.slot)] += added_after - Share(removed);
    }
    return *std::max_element(layer_copy_.begin(), layer_copy_.end());
  }

  const group_shape& shape_;
  const double* load_;
  expert_index* slots_;
  std::vector<std::uint32_t> replicas_;
  std::vector<double> ranks_;
  mutable std::vector<double> layer_copy_;
};

}  // namespace

expert_map incremental_placement::Propose(const expert_map& current, const expert_load& predicted,
                                          std::size_t max_moves) const {
  const group_shape& shape = current.Shape();
  std::vector<expert_index> slots = current.Slots();
  std::vector<layer_state> layers;
  std::vector<std::optional<change>> best;
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    layers.emplace_back(shape, predicted.data() + std::size_t{layer} * shape.experts,
                        slots.data() + layer * shape.SlotsPerLayer());
    best.push_back(layers.back().BestChange());
  }
  std::size_t moved = 0;
  while (moved < max_moves) {
    const auto gain = [](const std::optional<change>& step) {
      return step ? step->gain_per_move : -std::numeric_limits<double>::infinity();
    };
    const auto top = std::max_element(
        best.begin(), best.end(),
        [&gain](const auto& left, const auto& right) { return gain(left) < gain(right); });
    const auto layer = static_cast<std::size_t>(top - best.begin());
    const bool is_worthwhile = gain(*top) > options_.min_gain_per_move * layers[layer].Mean() &&
                               moved + (*top)->Moves() <= max_moves;
    if (!is_worthwhile) {
      break;
    }
    moved += (*top)->Moves();
    layers[layer].Apply(**top);
    *top = layers[layer].BestChange();
  }
  if (moved == 0) {
    return current;
  }
  return {current.Version() + 1, shape, std::move(slots)};
}

}  // namespace berylbarrow
