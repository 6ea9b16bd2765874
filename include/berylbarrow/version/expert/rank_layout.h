#ifndef BERYLBARROW_VERSION_EXPERT_RANK_LAYOUT_H_
#define BERYLBARROW_VERSION_EXPERT_RANK_LAYOUT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "berylbarrow/version/expert/expert_map.h"

namespace berylbarrow {

/// Which experts each rank holds, by layer; ranks may have places that are free. Unlike expert_map,
/// a rank holds an expert once, and an expert's load is shared evenly by the ranks that hold it.
class rank_layout {
 public:
  rank_layout() = default;
  /// Empty lists for every layer and rank. `shape.slots_per_rank` bounds each list.
  explicit rank_layout(const group_shape& shape);

  const group_shape& Shape() const { return shape_; }
  const std::vector<expert_index>& At(std::uint32_t layer, std::uint32_t rank) const;
  void Set(std::uint32_t layer, std::uint32_t rank, std::vector<expert_index> experts);
  /// Whether each expert is on at least one rank, no list is too long, and none names an expert
  /// twice or one that does not exist.
  bool IsSound() const;
  auto operator<=>(const rank_layout&) const = default;

 private:
  std::size_t Index(std::uint32_t layer, std::uint32_t rank) const;

  group_shape shape_;
  std::vector<std::vector<expert_index>> lists_;
};

/// A layout in which `rank` holds `lists`, by layer, and the other ranks share all other experts
/// evenly.
rank_layout LayoutAround(const group_shape& shape, std::uint32_t rank,
                         const std::vector<std::vector<expert_index>>& lists);

/// Adds the experts that no rank holds, for which a rank with free slots, or with an expert that
/// others hold too, copies at most `max_new_per_layer` in each layer. Nothing if there is no room.
std::optional<rank_layout> CompleteLayout(rank_layout layout, std::size_t max_new_per_layer);

/// What a group has to do in a pass, and how well its ranks do it.
struct group_work {
  expert_load load;          // tokens, by layer and expert
  std::vector<double> pace;  // time of each rank for the same work; empty: all 1
};

/// Time of a pass in which all ranks wait, layer by layer, for the slowest one, over the time with
/// equal ranks of pace 1.
double PassSkew(const rank_layout& layout, const group_work& work);

/// Experts that some rank must copy to go from one layout to the other: the most of any rank.
std::size_t LongestCopy(const rank_layout& from, const rank_layout& to);
/// Copies of all ranks together.
std::size_t TotalCopies(const rank_layout& from, const rank_layout& to);

struct layout_planner_options {
  std::size_t max_new_per_layer = 4;  // experts that one rank may copy in one layer
  /// A step must lower the layer's potential by this share, or it is not worth a copy.
  double least_gain = 0.02;
};

/// Improves a layout by single steps, best first: an expert of the slowest ranks also goes to a
/// rank that has a free place, or a place whose expert others hold too; or the rank gives up an
/// expert that others hold. Each step lowers the sum of the sixth powers of the rank times, which
/// follows the maximum and has no plateaus.
class layout_planner {
 public:
  layout_planner(const rank_layout& current, const group_work& work,
                 const layout_planner_options& options);
  ~layout_planner();

  /// Goes on until no step is worthwhile. No rank copies more than `max_new_per_rank` experts in
  /// all layers together; a later call may allow more.
  void Extend(std::size_t max_new_per_rank);
  /// The layout so far.
  rank_layout Layout() const;

 private:
  class layer_plan;

  group_shape shape_;
  std::vector<std::size_t> copied_;  // by rank
  std::vector<layer_plan> layers_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_RANK_LAYOUT_H_
