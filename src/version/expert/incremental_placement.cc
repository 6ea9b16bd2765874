#include <algorithm>
#include <cmath>
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
  std::optional<std::size_t> refuge;  // slot that first takes the only replica in `slot`
  double gain_per_move = 0;           // share of the layer's mean rank load saved per expert loaded

  std::size_t Moves() const { return is_swap || refuge ? 2 : 1; }
};

/// Load of a rank relative to the mean, raised to the 16th power. The 16th root of the sum over the
/// ranks is close to the highest load, but also falls when only the second highest rank improves:
/// with the maximum itself, two equally loaded ranks would end the search.
double Weight(double relative_load) {
  double value = relative_load * relative_load;
  value *= value;
  value *= value;
  return value * value;
}

// Slots that are tried for the first step of a chain, times slots per rank. Bounds the work of a
// search: with 8 slots at 17 slots per rank, a measuring run of 40,000 steps took over a minute.
constexpr std::size_t kRefugeWork = 16;

double Norm(double sum_of_weights) { return std::pow(sum_of_weights, 1.0 / 16.0); }

/// One layer of a map that is being improved.
class layer_state {
 public:
  layer_state(const group_shape& shape, const double* load, expert_index* slots)
      : shape_(shape),
        load_(load, load + shape.experts),
        slots_(slots),
        places_(shape.experts),
        ranks_(shape.ranks) {
    const double mean = std::accumulate(load_.begin(), load_.end(), 0.0) / shape_.ranks;
    for (double& value : load_) {
      value /= mean > 0 ? mean : 1.0;
    }
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      places_[slots_[slot]].push_back(slot);
    }
    Recount();
  }

  /// The best single change of the most loaded rank: another rank takes a replica of one of its
  /// experts, two slots are swapped, or it gives up a replica for an expert with less load.
  std::optional<change> BestChange(double min_gain) const {
    const auto hottest =
        static_cast<std::size_t>(std::max_element(ranks_.begin(), ranks_.end()) - ranks_.begin());
    std::optional<change> best;
    for (std::size_t s = 0; s < shape_.slots_per_rank; ++s) {
      const std::size_t source = hottest * shape_.slots_per_rank + s;
      for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
        Consider({.slot = slot, .source = source, .is_swap = false}, best);
        Consider({.slot = slot, .source = source, .is_swap = true}, best);
        Consider({.slot = source, .source = slot, .is_swap = false}, best);
      }
    }
    if (!best || best->gain_per_move <= min_gain) {
      ConsiderChains(hottest, best);
    }
    return best;
  }

  void Apply(const change& step) {
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    if (step.refuge) {
      std::erase(places_[slots_[*step.refuge]], *step.refuge);
      places_[removed].push_back(*step.refuge);
      slots_[*step.refuge] = removed;
    }
    std::erase(places_[removed], step.slot);
    places_[added].push_back(step.slot);
    slots_[step.slot] = added;
    if (step.is_swap) {
      std::erase(places_[added], step.source);
      places_[removed].push_back(step.source);
      slots_[step.source] = removed;
    }
    Recount();
  }

 private:
  std::size_t RankOf(std::size_t slot) const { return slot / shape_.slots_per_rank; }
  double Share(expert_index expert, int further_replicas = 0) const {
    return load_[expert] /
           static_cast<double>(static_cast<int>(places_[expert].size()) + further_replicas);
  }

  void Recount() {
    std::fill(ranks_.begin(), ranks_.end(), 0.0);
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      ranks_[RankOf(slot)] += Share(slots_[slot]);
    }
    sum_ = 0;
    for (const double rank : ranks_) {
      sum_ += Weight(rank);
    }
  }

  bool IsAllowed(const change& step) const {
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    if (RankOf(step.slot) == RankOf(step.source) || added == removed) {
      return false;
    }
    if (step.refuge) {
      const expert_index given_up = slots_[*step.refuge];
      return given_up != added && given_up != removed && places_[removed].size() == 1;
    }
    return step.is_swap || places_[removed].size() > 1;
  }

  /// When each slot that could take a replica holds the only one of its expert, that expert first
  /// moves to the place of a replica that its own expert can spare.
  void ConsiderChains(std::size_t hottest, std::optional<change>& best) const {
    std::vector<std::size_t> refuges;
    for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
      if (places_[slots_[slot]].size() > 1) {
        refuges.push_back(slot);
      }
    }
    const std::size_t kept =
        std::min(std::max<std::size_t>(1, kRefugeWork / shape_.slots_per_rank), refuges.size());
    std::partial_sort(
        refuges.begin(), refuges.begin() + static_cast<std::ptrdiff_t>(kept), refuges.end(),
        [this](std::size_t a, std::size_t b) { return ranks_[RankOf(a)] < ranks_[RankOf(b)]; });
    refuges.resize(kept);
    for (std::size_t s = 0; s < shape_.slots_per_rank; ++s) {
      const std::size_t source = hottest * shape_.slots_per_rank + s;
      for (std::size_t slot = 0; slot < shape_.SlotsPerLayer(); ++slot) {
        for (const std::size_t refuge : refuges) {
          Consider({.slot = slot, .source = source, .is_swap = false, .refuge = refuge}, best);
        }
      }
    }
  }

  void Consider(change step, std::optional<change>& best) const {
    if (!IsAllowed(step)) {
      return;
    }
    const double gain = Norm(sum_) - Norm(SumAfter(step));
    step.gain_per_move = gain / static_cast<double>(step.Moves());
    if (!best || step.gain_per_move > best->gain_per_move) {
      best = step;
    }
  }

  double SumAfter(const change& step) const {
    std::vector<std::pair<std::size_t, double>>& deltas = deltas_;
    deltas.clear();
    const expert_index added = slots_[step.source];
    const expert_index removed = slots_[step.slot];
    if (step.is_swap) {
      deltas.emplace_back(RankOf(step.slot), Share(added) - Share(removed));
      deltas.emplace_back(RankOf(step.source), Share(removed) - Share(added));
    } else {
      for (const std::size_t slot : places_[added]) {
        deltas.emplace_back(RankOf(slot), Share(added, 1) - Share(added));
      }
      if (step.refuge) {
        const expert_index given_up = slots_[*step.refuge];
        for (const std::size_t slot : places_[given_up]) {
          deltas.emplace_back(RankOf(slot), Share(given_up, -1) - Share(given_up));
        }
        deltas.emplace_back(RankOf(*step.refuge), Share(removed) - Share(given_up, -1));
        deltas.emplace_back(RankOf(step.slot), Share(added, 1) - Share(removed));
        return SumWith(deltas);
      }
      for (const std::size_t slot : places_[removed]) {
        deltas.emplace_back(RankOf(slot), Share(removed, -1) - Share(removed));
      }
      deltas.emplace_back(RankOf(step.slot), Share(added, 1) - Share(removed, -1));
    }
    return SumWith(deltas);
  }

  double SumWith(std::vector<std::pair<std::size_t, double>>& deltas) const {
    std::sort(deltas.begin(), deltas.end());
    double sum = sum_;
    for (std::size_t i = 0; i < deltas.size();) {
      const std::size_t rank = deltas[i].first;
      double load = ranks_[rank];
      for (; i < deltas.size() && deltas[i].first == rank; ++i) {
        load += deltas[i].second;
      }
      sum += Weight(load) - Weight(ranks_[rank]);
    }
    return std::max(sum, 0.0);
  }

  const group_shape& shape_;
  std::vector<double> load_;  // relative to the mean rank load
  expert_index* slots_;
  std::vector<std::vector<std::size_t>> places_;  // slots that hold each expert
  std::vector<double> ranks_;
  double sum_ = 0;
  mutable std::vector<std::pair<std::size_t, double>> deltas_;
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
    best.push_back(layers.back().BestChange(options_.min_gain_per_move));
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
    const bool is_worthwhile =
        gain(*top) > options_.min_gain_per_move && moved + (*top)->Moves() <= max_moves;
    if (!is_worthwhile) {
      break;
    }
    moved += (*top)->Moves();
    layers[layer].Apply(**top);
    *top = layers[layer].BestChange(options_.min_gain_per_move);
  }
  if (moved == 0) {
    return current;
  }
  return {current.Version() + 1, shape, std::move(slots)};
}

}  // namespace berylbarrow
