#include "berylbarrow/process/runtime/allocator.h"

#include <malloc.h>

namespace berylbarrow {
namespace {

// The initial threshold of glibc, which it would raise.
constexpr int kLargeBlockBytes = 128 << 10;

}  // namespace

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace berylbarrow
