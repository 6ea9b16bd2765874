#ifndef BERYLBARROW_VERSION_STORE_STORE_TIMELINE_H_
#define BERYLBARROW_VERSION_STORE_STORE_TIMELINE_H_

#include <cstdint>
#include <optional>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

enum class answer_era : std::uint8_t {
  kCurrent,   // of the era that is known
  kNew,       // the store was restored: what was read before is to be read again
  kOutdated,  // of an earlier era: says nothing of the store as it is now
};

struct store_timeline_options {
  /// A lower era is outdated as long as an answer of the known era has arrived within this time.
  /// Afterwards the store counts as replaced by one that counts its eras anew.
  duration era_reset_delay = std::chrono::seconds(30);
};

/// The highest era of the store that any answer to this process has stated.
class store_timeline {
 public:
  explicit store_timeline(const store_timeline_options& options) : options_(options) {}

  /// Judges an answer by its era, and takes over a new one. `era`: 0 if the answer states none.
  answer_era Judge(std::uint64_t era, time_point now);
  /// Nothing before the first answer.
  std::optional<std::uint64_t> Era() const { return era_; }

 private:
  store_timeline_options options_;
  std::optional<std::uint64_t> era_;
  time_point confirmed_at_ = time_point::min();  // last answer of `era_`
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_STORE_TIMELINE_H_
