#include "berylbarrow/version/expert/expert_map.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <span>
#include <utility>

namespace berylbarrow {
namespace {

std::span<const expert_index> RankSlots(const expert_map& map, std::uint32_t layer,
                                        std::uint32_t rank) {
  const group_shape& shape = map.Shape();
  const std::size_t first = (std::size_t{layer} * shape.ranks + rank) * shape.slots_per_rank;
  return std::span(map.Slots()).subspan(first, shape.slots_per_rank);
}

std::vector<std::uint32_t> Replicas(const expert_map& map, std::uint32_t layer) {
  std::vector<std::uint32_t> count(map.Shape().experts);
  for (std::uint32_t rank = 0; rank < map.Shape().ranks; ++rank) {
    for (const expert_index expert : RankSlots(map, layer, rank)) {
      ++count[expert];
    }
  }
  return count;
}

}  // namespace

expert_map::expert_map(std::uint64_t version, const group_shape& shape,
                       std::vector<expert_index> slots)
    : version_(version), shape_(shape), slots_(std::move(slots)) {
  assert(slots_.size() == shape_.layers * shape_.SlotsPerLayer());
}

expert_map expert_map::Initial(const group_shape& shape) {
  assert(shape.SlotsPerLayer() >= shape.experts);
  std::vector<expert_index> slots;
  slots.reserve(shape.layers * shape.SlotsPerLayer());
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    for (std::size_t slot = 0; slot < shape.SlotsPerLayer(); ++slot) {
      slots.push_back(static_cast<expert_index>(slot % shape.experts));
    }
  }
  return {0, shape, std::move(slots)};
}

bool expert_map::IsComplete() const {
  for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
    const auto count = Replicas(*this, layer);
    if (std::find(count.begin(), count.end(), 0U) != count.end()) {
      return false;
    }
  }
  return true;
}

std::vector<double> RankLoad(const expert_map& map, const expert_load& load, std::uint32_t layer) {
  const group_shape& shape = map.Shape();
  const auto replicas = Replicas(map, layer);
  std::vector<double> result(shape.ranks);
  for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
    for (const expert_index expert : RankSlots(map, layer, rank)) {
      result[rank] += load[std::size_t{layer} * shape.experts + expert] / replicas[expert];
    }
  }
  return result;
}

double StepTime(const expert_map& map, const expert_load& load) {
  double total = 0;
  for (std::uint32_t layer = 0; layer < map.Shape().layers; ++layer) {
    const auto ranks = RankLoad(map, load, layer);
    total += *std::max_element(ranks.begin(), ranks.end());
  }
  return total;
}

double StepSkew(const expert_map& map, const expert_load& load) {
  const double mean = std::accumulate(load.begin(), load.end(), 0.0) / map.Shape().ranks;
  return mean > 0 ? StepTime(map, load) / mean : 1.0;
}

std::size_t MovedExperts(const expert_map& from, const expert_map& to) {
  assert(from.Shape() == to.Shape());
  std::size_t moved = 0;
  for (std::uint32_t layer = 0; layer < to.Shape().layers; ++layer) {
    for (std::uint32_t rank = 0; rank < to.Shape().ranks; ++rank) {
      const auto held = RankSlots(from, layer, rank);
      const auto wanted = RankSlots(to, layer, rank);
      moved += static_cast<std::size_t>(
          std::count_if(wanted.begin(), wanted.end(), [&held](expert_index expert) {
            return std::find(held.begin(), held.end(), expert) == held.end();
          }));
    }
  }
  return moved;
}

}  // namespace berylbarrow
