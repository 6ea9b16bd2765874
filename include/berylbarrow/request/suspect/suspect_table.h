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

/// How a request may run, given the upstream deaths counted for its fingerprint.
enum class execution_permission : std::uint8_t {
  kUnrestricted,
  kExclusive,  // only while no other request runs on the upstream
  kRefused,
};

/// Fingerprints of requests that were running when their upstream died, as seen by this process or
/// reported by others. Deaths and cleared deaths are counted per fingerprint and observing agent.
/// These counters only increase and tables are merged by taking the maximum of each, so reports may
/// arrive late, more than once or in any order. The deaths of a fingerprint are the sum over its
/// observers, so two deaths seen by two agents at the same time count as two. An observer is an
/// incarnation of an agent, because the counters of a restarted agent begin at zero.
class suspect_table {
 public:
  static constexpr std::size_t kMaxEntries = 64;  // pairs of fingerprint and observer
  /// An entry is forgotten this long after its last death.
  static constexpr duration kRetention = std::chrono::minutes(10);
  /// Number of uncleared deaths from which a request is refused even if it is idempotent.
  static constexpr std::uint32_t kRefusalThreshold = 2;

  /// The upstream of the agent `observer` died while the request was running there.
  void OnUpstreamDeath(std::uint64_t fingerprint, std::uint64_t observer, time_point now);
  /// The request completed while no other request ran on the upstream. Clears its earlier deaths.
  void OnExclusiveCompletion(std::uint64_t fingerprint);
  /// Returns whether a report contains a death that was not known before. A death whose entry
  /// evicts another one does not count: peers with full tables would otherwise keep sending each
  /// other the entries that the other has evicted.
  bool Merge(const std::vector<suspect_report>& reports, time_point now);
  /// A non-idempotent request is refused from its first uncleared death on.
  execution_permission PermissionFor(std::uint64_t fingerprint, bool idempotent,
                                     time_point now) const;
  /// All entries, for the heartbeats of this process; most recent death first.
  std::vector<suspect_report> Reports(time_point now) const;
  /// The entries of one fingerprint, for messages about the request.
  std::vector<suspect_report> ReportsFor(std::uint64_t fingerprint, time_point now) const;
  void Expire(time_point now);
  std::size_t Size() const { return entries_.size(); }
  /// The entries for /state, most recent death first.
  nlohmann::json State(time_point now) const;

 private:
  struct death_counters {
    std::uint32_t deaths = 0;
    std::uint32_t cleared = 0;
    time_point last_death;
  };

  using entry_key = std::pair<std::uint64_t, std::uint64_t>;  // fingerprint, observer

  static suspect_report Report(const entry_key& key, const death_counters& counters,
                               time_point now);
  /// Evicts the entry with the oldest death if the table is full.
  void EvictIfFull();

  std::map<entry_key, death_counters> entries_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_SUSPECT_TABLE_H_
