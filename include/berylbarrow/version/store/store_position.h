#ifndef BERYLBARROW_VERSION_STORE_STORE_POSITION_H_
#define BERYLBARROW_VERSION_STORE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace berylbarrow {

/// A point in the history of the platform's store. Revisions are comparable within one era only: a
/// store that is restored from a backup gives out again the revisions that it has lost. The order
/// is by era, then by revision.
struct store_position {
  std::uint64_t era = 0;  // number of restorations; 0 also if the store does not state it
  std::uint64_t revision = 0;
  auto operator<=>(const store_position&) const = default;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_STORE_POSITION_H_
