#include "berylbarrow/request/execution/answer_buffer.h"

#include <algorithm>
#include <cassert>

namespace berylbarrow {

void answer_buffer::FreeBefore(std::uint64_t offset) {
  if (offset <= Begin()) {
    return;
  }
  freed_bytes_ = static_cast<std::size_t>(std::min(offset, End()) - base_offset_);
  // Moving the remaining bytes only once half are freed keeps the amortized cost per byte constant.
  if (freed_bytes_ * 2 < bytes_.size()) {
    return;
  }
  base_offset_ += freed_bytes_;
  bytes_.erase(0, freed_bytes_);
  freed_bytes_ = 0;
  if (bytes_.empty()) {
    bytes_.shrink_to_fit();
  }
}

std::string_view answer_buffer::Read(std::uint64_t offset, std::size_t count) const {
  assert(offset >= Begin() && offset <= End());
  return std::string_view(bytes_).substr(static_cast<std::size_t>(offset - base_offset_), count);
}

}  // namespace berylbarrow
