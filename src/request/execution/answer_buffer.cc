#include "berylbarrow/request/execution/answer_buffer.h"

#include <algorithm>
#include <cassert>

namespace berylbarrow {

void answer_buffer::FreeBefore(std::uint64_t offset) {
  if (offset <= Begin()) {
    return;
  }
  freed_ = static_cast<std::size_t>(std::min(offset, End()) - base_);
  // Moving the rest only when half is free makes the cost per byte constant.
  if (freed_ * 2 < bytes_.size()) {
    return;
  }
  base_ += freed_;
  bytes_.erase(0, freed_);
  freed_ = 0;
  if (bytes_.empty()) {
    bytes_.shrink_to_fit();
  }
}

std::string_view answer_buffer::Read(std::uint64_t offset, std::size_t count) const {
  assert(offset >= Begin() && offset <= End());
  return std::string_view(bytes_).substr(static_cast<std::size_t>(offset - base_), count);
}

}  // namespace berylbarrow
