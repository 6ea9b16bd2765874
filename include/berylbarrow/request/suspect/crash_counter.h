#ifndef BERYLBARROW_REQUEST_SUSPECT_CRASH_COUNTER_H_
#define BERYLBARROW_REQUEST_SUSPECT_CRASH_COUNTER_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct crash_counter_options {
  /// Crashes, summed over all observers, from which a request is refused.
  std::uint32_t refusal_threshold = 3;
  std::size_t max_fingerprints = 256;
  /// A fingerprint is forgotten this long after its last crash.
  duration retention = std::chrono::minutes(10);
  /// Fingerprints in one fleet beat.
  std::size_t max_reported = 12;
};

/// Counts, per request fingerprint, how often an upstream connection of this process or another one
/// failed while the request was running, so that a request that crashes every upstream it runs on
/// is refused. The count of each observing process only increases, so reports are merged by taking
/// the maximum.
class crash_counter {
 public:
  explicit crash_counter(const crash_counter_options& options) : options_(options) {}

  /// The connection to the upstream failed while the request was running there.
  void OnCrash(std::uint64_t fingerprint, time_point now);
  /// The request was answered, so it did not cause the earlier crashes and is not refused for them.
  void OnAnswered(std::uint64_t fingerprint);
  /// `observer`: incarnation of the reporting process.
  void Merge(std::uint64_t observer, const std::vector<crash_count>& counts, time_point now);
  bool IsRefused(std::uint64_t fingerprint) const;
  /// Sum over all observers.
  std::uint32_t Crashes(std::uint64_t fingerprint) const;
  /// The counts of this process for the next fleet beat, most recent crash first.
  std::vector<crash_count> Report(time_point now) const;
  void Expire(time_point now);

 private:
  struct fingerprint_record {
    std::uint32_t own_crashes = 0;
    std::map<std::uint64_t, std::uint32_t> reported_crashes;  // by observer
    time_point last_crash;
    bool is_cleared = false;
  };

  crash_counter_options options_;
  std::map<std::uint64_t, fingerprint_record> records_;  // by fingerprint
};

/// XXH64 over all four parts, each part seeded with the hash of the parts before it.
std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_CRASH_COUNTER_H_
