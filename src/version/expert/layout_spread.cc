#include "berylbarrow/version/expert/layout_spread.h"

#include <algorithm>

namespace berylbarrow {

void layout_spread::Begin(time_point now) {
  sent_.clear();
  credit_ = options_.burst_bytes;
  credit_at_ = now;
}

std::vector<std::uint32_t> layout_spread::Next(const std::vector<std::uint32_t>& lacking,
                                               std::size_t bytes, time_point now) {
  const double elapsed = std::chrono::duration<double>(now - credit_at_).count();
  credit_ = std::min(options_.burst_bytes, credit_ + elapsed * options_.bytes_per_second);
  credit_at_ = now;
  std::vector<std::uint32_t> waiting;
  for (const std::uint32_t rank : lacking) {
    const auto sent = sent_.find(rank);
    if (sent == sent_.end() || now - sent->second >= options_.resend_after) waiting.push_back(rank);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [&](std::uint32_t left, std::uint32_t right) {
    const auto when = [&](std::uint32_t rank) {
      const auto sent = sent_.find(rank);
      return sent == sent_.end() ? time_point::min() : sent->second;
    };
    return when(left) < when(right);
  });
  std::vector<std::uint32_t> chosen;
  for (const std::uint32_t rank : waiting) {
    if (credit_ <= 0) break;
    credit_ -= static_cast<double>(bytes);
    sent_[rank] = now;
    chosen.push_back(rank);
  }
  return chosen;
}

}  // namespace berylbarrow
