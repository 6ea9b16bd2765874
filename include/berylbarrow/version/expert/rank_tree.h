#ifndef BERYLBARROW_VERSION_EXPERT_RANK_TREE_H_
#define BERYLBARROW_VERSION_EXPERT_RANK_TREE_H_

#include <cstdint>
#include <vector>

namespace berylbarrow {

/// The paths by which layouts and loads travel between the coordinator of a group, rank 0, and the
/// other ranks. Up to kMaxDirectRanks ranks exchange them with the coordinator directly. In a
/// larger group one level of relays keeps the messages of each process near the square root of the
/// size.
class rank_tree {
 public:
  static constexpr std::uint32_t kMaxDirectRanks = 16;

  explicit rank_tree(std::uint32_t ranks);

  /// The rank next to the coordinator on the path of `rank`: a relay, or 0.
  std::uint32_t ParentOf(std::uint32_t rank) const;
  bool IsRelay(std::uint32_t rank) const { return rank != 0 && rank % block_ == 0; }
  /// The ranks whose parent is `rank`; for rank 0 the relays among them.
  std::vector<std::uint32_t> ChildrenOf(std::uint32_t rank) const;

 private:
  std::uint32_t ranks_;
  std::uint32_t block_;  // consecutive ranks with one relay, which is the first of them
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_RANK_TREE_H_
