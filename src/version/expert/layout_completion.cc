#include <algorithm>
#include <cassert>

#include "berylbarrow/version/expert/rank_layout.h"

namespace berylbarrow {
namespace {

/// One layer of a layout, to which experts are added.
class layer_completion {
 public:
  layer_completion(rank_layout& layout, std::uint32_t layer, std::size_t max_new)
      : layout_(layout),
        layer_(layer),
        max_new_(max_new),
        new_(layout.Shape().ranks),
        holders_(layout.Shape().experts) {
    for (std::uint32_t rank = 0; rank < layout.Shape().ranks; ++rank) {
      for (const expert_index expert : layout.At(layer, rank)) ++holders_[expert];
    }
  }

  /// Returns false if an expert has no room on any rank.
  bool Run() {
    for (std::size_t expert = 0; expert < holders_.size(); ++expert) {
      if (holders_[expert] == 0 && !Add(static_cast<expert_index>(expert))) return false;
    }
    return true;
  }

 private:
  bool Add(expert_index expert) {
    std::optional<std::uint32_t> best;
    for (std::uint32_t rank = 0; rank < new_.size(); ++rank) {
      if (new_[rank] >= max_new_ || !HasRoom(rank)) continue;
      if (!best || Size(rank) < Size(*best)) best = rank;
    }
    if (!best) return false;
    std::vector<expert_index> list = layout_.At(layer_, *best);
    if (list.size() >= layout_.Shape().slots_per_rank) {
      const auto spare = FindSpare(list);
      --holders_[*spare];
      list.erase(spare);
    }
    list.push_back(expert);
    layout_.Set(layer_, *best, std::move(list));
    ++holders_[expert];
    ++new_[*best];
    return true;
  }

  std::size_t Size(std::uint32_t rank) const { return layout_.At(layer_, rank).size(); }
  bool HasRoom(std::uint32_t rank) const {
    const auto& list = layout_.At(layer_, rank);
    return list.size() < layout_.Shape().slots_per_rank || FindSpare(list) != list.end();
  }
  /// An expert that another rank holds too.
  std::vector<expert_index>::const_iterator FindSpare(const std::vector<expert_index>& list) const {
    return std::find_if(list.begin(), list.end(),
                        [&](expert_index each) { return holders_[each] > 1; });
  }

  rank_layout& layout_;
  std::uint32_t layer_;
  std::size_t max_new_;
  std::vector<std::size_t> new_;      // by rank
  std::vector<std::size_t> holders_;  // by expert
};

}  // namespace

rank_layout LayoutAround(const group_shape& shape, std::uint32_t rank,
                         const std::vector<std::vector<expert_index>>& lists) {
  assert(lists.size() == shape.layers && rank < shape.ranks);
  rank_layout layout(shape);
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    std::vector<bool> is_held(shape.experts, false);
    for (const expert_index expert : lists[layer]) {
      if (expert < shape.experts) is_held[expert] = true;
    }
    std::vector<std::vector<expert_index>> shared(shape.ranks);
    std::uint32_t next = rank;
    for (std::uint32_t expert = 0; expert < shape.experts && shape.ranks > 1; ++expert) {
      if (is_held[expert]) continue;
      next = (next + 1) % shape.ranks;
      if (next == rank) next = (next + 1) % shape.ranks;
      shared[next].push_back(static_cast<expert_index>(expert));
    }
    shared[rank] = lists[layer];
    for (std::uint32_t each = 0; each < shape.ranks; ++each) {
      layout.Set(layer, each, std::move(shared[each]));
    }
  }
  return layout;
}

std::optional<rank_layout> CompleteLayout(rank_layout layout, std::size_t max_new_per_layer) {
  for (std::uint32_t layer = 0; layer < layout.Shape().layers; ++layer) {
    if (!layer_completion(layout, layer, max_new_per_layer).Run()) return std::nullopt;
  }
  return layout.IsSound() ? std::optional(std::move(layout)) : std::nullopt;
}

}  // namespace berylbarrow
