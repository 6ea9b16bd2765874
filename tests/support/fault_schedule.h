#ifndef TESTS_SUPPORT_FAULT_SCHEDULE_H_
#define TESTS_SUPPORT_FAULT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

enum class fault_kind : std::uint8_t {
  kSlowLinks,
  kClosedLinks,
  kSilentLinks,
  kBadDatagrams,  // late, doubled, reordered and lost
  kPartition,
  kUpstreamDeath,
  kUpstreamCold,  // without a broken connection
  kPoison,
  kServiceDown,
  kServiceStale,
  kServiceOlder,
  kTwoOperators,
  kInvalidDocument,
  kEntryDeath,
  kAgentDeath,
  kEntryPause,
  kAgentPause,
  kEntryShutdown,
  kAgentShutdown,
  kListedLeaving,
  kReplicaGone,  // one of three payment agents, for good
  kMovePlan,     // in place of the drain by state
  kUpstreamOut,  // a single one, which is brought back
};
constexpr std::size_t kFaultKinds = 23;
const char* FaultName(fault_kind kind);

struct fault {
  fault_kind kind = fault_kind::kSlowLinks;
  duration at = duration::zero();  // since the start of the run
  duration lasts = duration::zero();
  std::size_t target = 0;  // process, by position among those that the kind affects

  std::string Text() const;
};

/// One run: everything that is random comes from the seed.
struct fault_schedule {
  std::uint64_t seed = 0;
  std::vector<fault> faults;

  bool Has(fault_kind kind) const;
  std::string Text() const;
};

/// Reads faults as fault::Text prints them in brackets: kind, time and length in ms, target.
std::vector<fault> ReadFaults(const std::string& text);

/// Faults of these kinds at times and targets that follow from the seed.
fault_schedule MakeSchedule(std::uint64_t seed, const std::vector<fault_kind>& kinds);

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FAULT_SCHEDULE_H_
