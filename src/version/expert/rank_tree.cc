#include "berylbarrow/version/expert/rank_tree.h"

#include <algorithm>
#include <cmath>

namespace berylbarrow {

rank_tree::rank_tree(std::uint32_t ranks)
    : ranks_(ranks),
      block_(ranks <= kMaxDirectRanks
                 ? std::max(1U, ranks)
                 : static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks))))) {}

std::uint32_t rank_tree::ParentOf(std::uint32_t rank) const {
  return IsRelay(rank) ? 0 : rank - rank % block_;
}

std::vector<std::uint32_t> rank_tree::ChildrenOf(std::uint32_t rank) const {
  std::vector<std::uint32_t> children;
  for (std::uint32_t other = 1; other < ranks_; ++other) {
    if (other != rank && ParentOf(other) == rank) children.push_back(other);
  }
  return children;
}

}  // namespace berylbarrow
