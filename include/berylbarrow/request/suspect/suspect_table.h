#ifndef BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_
#define BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <vector>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

enum class suspect_verdict : std::uint8_t {
  kClear,
  kAlone,    // may run while nothing else runs at the upstream
  kRefused,  // has crashed upstreams repeatedly
};

/// Fingerprints of requests that were running when their upstream died, from this process and from
/// heartbeats of others. Deaths and cleared deaths of a fingerprint are counters that only rise,
/// and tables are merged by the maximum of each: reports may arrive late, doubled or in any order.
/// Two deaths that happen before either is heard by the other observer count as one.
class suspect_table {
 public:
  static constexpr std::size_t kMaxEntries = 64;
  static constexpr duration kForgetAfter = std::chrono::minutes(10);
  static constexpr std::uint32_t kRefusedDeaths = 2;

  /// An upstream died while the request ran there.
  void OnDeath(std::uint64_t fingerprint, time_point now);
  /// The request ran alone and completed.
  void OnCompletedAlone(std::uint64_t fingerprint, time_point now);
  void Merge(const std::vector<suspect_report>& reports, time_point now);
  /// A non-idempotent suspect is refused from the first death on.
  suspect_verdict Judge(std::uint64_t fingerprint, bool idempotent, time_point now) const;
  /// For the heartbeats of this process.
  std::vector<suspect_report> Reports(time_point now) const;
  void Expire(time_point now);
  std::size_t Size() const { return entries_.size(); }
  nlohmann::json State(time_point now) const;

 private:
  struct entry {
    std::uint32_t deaths = 0;
    std::uint32_t cleared = 0;
    time_point last_death;
  };

  void MakeRoom();

  std::map<std::uint64_t, entry> entries_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_
