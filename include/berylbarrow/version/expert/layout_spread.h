#ifndef BERYLBARROW_VERSION_EXPERT_LAYOUT_SPREAD_H_
#define BERYLBARROW_VERSION_EXPERT_LAYOUT_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct layout_spread_options {
  /// What a link of 8 Mbit/s carries beside the other messages of a group.
  double bytes_per_second = 700'000;
  /// Sent at once; a datagram queue holds little more.
  double burst_bytes = 12'000;
  /// A rank that still lacks the layout after this time gets it again.
  duration resend_after = std::chrono::milliseconds(200);
};

/// Decides which ranks are sent a layout now. A layout for every rank of a large group at once
/// overflows the link of its sender, and always the same ranks would go without.
class layout_spread {
 public:
  explicit layout_spread(const layout_spread_options& options) : options_(options) {}

  /// Another layout is to be sent.
  void Begin(time_point now);
  /// Ranks to send to, out of those that lack the layout, longest waiting first. `bytes`: what one
  /// rank is sent.
  std::vector<std::uint32_t> Next(const std::vector<std::uint32_t>& lacking, std::size_t bytes,
                                  time_point now);
  /// Another process sends the layout to this rank and will have done so by `done`.
  void MarkSent(std::uint32_t rank, time_point done) { sent_[rank] = done; }
  /// Whether the layout was sent to the rank, by this process or another.
  bool WasSent(std::uint32_t rank) const { return sent_.count(rank) > 0; }

 private:
  layout_spread_options options_;
  std::map<std::uint32_t, time_point> sent_;  // by rank
  double credit_ = 0;                         // bytes
  time_point credit_at_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_LAYOUT_SPREAD_H_
