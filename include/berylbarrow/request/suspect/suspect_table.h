#ifndef BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_
#define BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <utility>
#include <vector>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

enum class execution_permission : std::uint8_t {
  kUnrestricted,
  kExclusive,  // may run while nothing else runs at the upstream
  kRefused,    // has crashed upstreams repeatedly
};

/// Fingerprints of requests that were running when their upstream died, from this process and from
/// messages of others. Deaths and cleared deaths are counted per fingerprint and observing agent by
/// counters that only rise, and tables are merged by the maximum of each: reports may arrive late,
/// doubled or in any order. The deaths of a fingerprint are the sum over its observers, so two
/// deaths that two agents see at the same time count as two. An observer is an incarnation of an
/// agent, because the counters of a replaced agent begin at zero.
class suspect_table {
 public:
  static constexpr std::size_t kMaxEntries = 64;  // counters, over all fingerprints and observers
  static constexpr duration kRetention = std::chrono::minutes(10);
  static constexpr std::uint32_t kRefusalThreshold = 2;

  /// The upstream of `observer` died while the request ran there.
  void OnUpstreamDeath(std::uint64_t fingerprint, std::uint64_t observer, time_point now);
  /// The request ran alone and completed.
  void OnExclusiveCompletion(std::uint64_t fingerprint);
  /// Returns whether a death was not known before. What displaces another counter is no news: peers
  /// with full tables would tell each other without end what each has displaced.
  bool Merge(const std::vector<suspect_report>& reports, time_point now);
  /// A non-idempotent suspect is refused from the first death on.
  execution_permission PermissionFor(std::uint64_t fingerprint, bool idempotent,
                                     time_point now) const;
  /// For the heartbeats of this process; latest deaths first.
  std::vector<suspect_report> Reports(time_point now) const;
  /// For messages about one request.
  std::vector<suspect_report> ReportsFor(std::uint64_t fingerprint, time_point now) const;
  void Expire(time_point now);
  std::size_t Size() const { return entries_.size(); }
  nlohmann::json State(time_point now) const;

 private:
  struct entry {
    std::uint32_t deaths = 0;
    std::uint32_t cleared = 0;
    time_point last_death;
  };

  using key = std::pair<std::uint64_t, std::uint64_t>;  // fingerprint, observer

  static suspect_report Report(const key& name, const entry& item, time_point now);
  void MakeRoom();

  std::map<key, entry> entries_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_
