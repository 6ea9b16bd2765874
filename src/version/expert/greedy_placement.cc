#include <algorithm>
#include <queue>
#include <utility>
#include <vector>

#include "berylbarrow/version/expert/placement_policy.h"

namespace berylbarrow {
namespace {

/// Number of slots each expert gets: one, then the rest by load per replica.
std::vector<std::uint32_t> CountReplicas(const double* load, const group_shape& shape) {
  std::vector<std::uint32_t> count(shape.experts, 1);
  std::priority_queue<std::pair<double, expert_index>> hottest;
  for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
    hottest.emplace(load[expert], static_cast<expert_index>(expert));
  }
  for (std::size_t spare = shape.SlotsPerLayer() - shape.experts; spare > 0; --spare) {
    const expert_index expert = hottest.top().second;
    hottest.pop();
    ++count[expert];
    hottest.emplace(load[expert] / count[expert], expert);
  }
  return count;
}

/// Fills `slots` (one layer) with the replicas, heaviest first, each on the least loaded rank.
void PlaceLayer(const double* load, const group_shape& shape, expert_index* slots) {
  const auto count = CountReplicas(load, shape);
  std::vector<std::pair<double, expert_index>> replicas;
  for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
    replicas.insert(replicas.end(), count[expert],
                    {load[expert] / count[expert], static_cast<expert_index>(expert)});
  }
  std::sort(replicas.begin(), replicas.end(), std::greater<>());

  using ranked = std::pair<double, std::uint32_t>;
  std::priority_queue<ranked, std::vector<ranked>, std::greater<>> least;
  for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
    least.emplace(0.0, rank);
  }
  std::vector<std::uint32_t> used(shape.ranks);
  for (const auto& [weight, expert] : replicas) {
    auto [sum, rank] = least.top();
    least.pop();
    slots[std::size_t{rank} * shape.slots_per_rank + used[rank]] = expert;
    if (++used[rank] < shape.slots_per_rank) {
      least.emplace(sum + weight, rank);
    }
  }
}

}  // namespace

expert_map greedy_placement::Propose(const expert_map& current, const expert_load& predicted,
                                     std::size_t /*max_moves*/) const {
  const group_shape& shape = current.Shape();
  std::vector<expert_index> slots(current.Slots().size());
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    PlaceLayer(predicted.data() + std::size_t{layer} * shape.experts, shape,
               slots.data() + layer * shape.SlotsPerLayer());
  }
  if (slots == current.Slots()) {
    return current;
  }
  return {current.Version() + 1, shape, std::move(slots)};
}

expert_map static_placement::Propose(const expert_map& current, const expert_load& /*predicted*/,
                                     std::size_t /*max_moves*/) const {
  return current;
}

}  // namespace berylbarrow
