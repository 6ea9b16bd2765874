#ifndef BERYLBARROW_BENCHMARKS_CAPACITY_ALLOCATION_H_
#define BERYLBARROW_BENCHMARKS_CAPACITY_ALLOCATION_H_

#include <cstddef>

namespace berylbarrow::bench {

/// Bytes of all live allocations of this program, with the allocator's rounding.
std::size_t LiveBytes();

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_CAPACITY_ALLOCATION_H_
