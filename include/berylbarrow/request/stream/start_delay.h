#ifndef BERYLBARROW_REQUEST_STREAM_START_DELAY_H_
#define BERYLBARROW_REQUEST_STREAM_START_DELAY_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// The usual time between the head of a stream and its first event. Many upstreams send both
/// together; a stream that stays without an event has then failed to start.
class start_delay {
 public:
  /// Records the time of one stream.
  void Add(duration delay) {
    ++samples_;
    const duration difference = delay - mean_;
    mean_ += samples_ <= kMinSamples ? difference / samples_ : difference / kMinSamples;
  }
  /// Time after which a stream without an event is unusually late; nothing until enough is known.
  std::optional<duration> Limit() const {
    if (samples_ < kMinSamples) return std::nullopt;
    return std::max(kMinLimit, kLimitFactor * mean_);
  }

 private:
  static constexpr int kMinSamples = 8;
  static constexpr int kLimitFactor = 4;
  static constexpr duration kMinLimit = std::chrono::milliseconds(10);

  int samples_ = 0;
  duration mean_ = duration::zero();  // moving average
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_STREAM_START_DELAY_H_
