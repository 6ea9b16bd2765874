#ifndef BERYLBARROW_VERSION_EXPERT_EXPERT_MAP_H_
#define BERYLBARROW_VERSION_EXPERT_EXPERT_MAP_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace berylbarrow {

/// Shape of the expert weights of a group.
struct group_shape {
  std::uint32_t ranks = 1;
  std::uint32_t layers = 1;
  std::uint32_t experts = 1;         // per layer
  std::uint32_t slots_per_rank = 1;  // experts that a rank holds per layer

  std::size_t SlotsPerLayer() const { return std::size_t{ranks} * slots_per_rank; }
  auto operator<=>(const group_shape&) const = default;
};

using expert_index = std::uint16_t;

/// Load per expert of each layer, in tokens per step: load[layer * experts + expert].
using expert_load = std::vector<double>;

/// Which expert each slot holds. An expert in several slots shares its load evenly among them.
class expert_map {
 public:
  expert_map() = default;
  /// `slots[(layer * ranks + rank) * slots_per_rank + slot]`; the size must match the shape.
  expert_map(std::uint64_t version, const group_shape& shape, std::vector<expert_index> slots);

  /// Version 0: experts in order over the ranks, spare slots filled from the beginning again.
  static expert_map Initial(const group_shape& shape);

  std::uint64_t Version() const { return version_; }
  const group_shape& Shape() const { return shape_; }
  const std::vector<expert_index>& Slots() const { return slots_; }

  /// Whether every expert of every layer is in at least one slot.
  bool IsComplete() const;

  auto operator<=>(const expert_map&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version_, shape_.ranks, shape_.layers, shape_.experts, shape_.slots_per_rank, slots_);
  }

 private:
  std::uint64_t version_ = 0;
  group_shape shape_;
  std::vector<expert_index> slots_;
};

/// Load of each rank in one layer, tokens per step.
std::vector<double> RankLoad(const expert_map& map, const expert_load& load, std::uint32_t layer);

/// Time of a step in which all ranks wait for the slowest one in each layer, in tokens: the sum
/// over the layers of the highest rank load.
double StepTime(const expert_map& map, const expert_load& load);

/// StepTime over the time with equal ranks; 1 is a perfect balance.
double StepSkew(const expert_map& map, const expert_load& load);

/// Number of slots whose expert must be loaded to go from `from` to `to`. An expert that its rank
/// already holds in another slot of the layer is not loaded again.
std::size_t MovedExperts(const expert_map& from, const expert_map& to);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_EXPERT_MAP_H_
