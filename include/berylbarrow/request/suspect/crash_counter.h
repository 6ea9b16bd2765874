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
  std::uint32_t refusal_threshold = 3;
  std::size_t max_fingerprints = 256;
  duration retention = std::chrono::minutes(10);
  std::size_t max_reported = 12;  // in one beat
};

/// Counts how often upstreams broke off a request of a fingerprint, at this entry and at others, so
/// that a request that crashes each upstream that runs it is refused. The counts of each observer
/// only rise; they are merged by maximum.
class crash_counter {
 public:
  explicit crash_counter(const crash_counter_options& options) : options_(options) {}

  /// The upstream broke off while this request ran there.
  void OnCrash(std::uint64_t fingerprint, time_point now);
  /// The request was answered: what broke it before was not the request.
  void OnAnswered(std::uint64_t fingerprint);
  void Merge(std::uint64_t observer, const std::vector<crash_count>& counts, time_point now);
  bool IsRefused(std::uint64_t fingerprint) const;
  std::uint32_t Crashes(std::uint64_t fingerprint) const;
  /// For beats; the latest first.
  std::vector<crash_count> Report(time_point now) const;
  void Expire(time_point now);

 private:
  struct entry {
    std::uint32_t own = 0;
    std::map<std::uint64_t, std::uint32_t> others;  // by observer
    time_point last;
    bool cleared = false;
  };

  crash_counter_options options_;
  std::map<std::uint64_t, entry> entries_;
};

std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_CRASH_COUNTER_H_
