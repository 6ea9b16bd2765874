#include "support/fault_schedule.h"

#include <algorithm>
#include <random>
#include <sstream>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kFirstMs = 2000;
constexpr std::int64_t kLastMs = 10000;
constexpr std::int64_t kLastPlanMs = 5000;  // leaves 5 s of work after a step that empties
constexpr std::int64_t kShortestMs = 300;
constexpr std::int64_t kLongestMs = 8000;
constexpr std::size_t kTargets = 64;

}  // namespace

const char* FaultName(fault_kind kind) {
  static constexpr const char* kNames[kFaultKinds] = {
      "slow links",     "closed links",  "silent links",     "bad datagrams",  "partition",
      "upstream death", "upstream cold", "poison request",   "service down",   "service stale",
      "service older",  "two operators", "invalid document", "entry death",    "agent death",
      "entry pause",    "agent pause",   "entry shutdown",   "agent shutdown", "listed as leaving",
      "replica gone",   "move plan",     "upstream out"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string fault::Text() const {
  std::ostringstream text;
  const auto at_ms = std::chrono::duration_cast<milliseconds>(at).count();
  const auto lasts_ms = std::chrono::duration_cast<milliseconds>(lasts).count();
  text << FaultName(kind) << " at " << at_ms << " ms for " << lasts_ms << " ms, target " << target
       << " (" << static_cast<int>(kind) << ' ' << at_ms << ' ' << lasts_ms << ' ' << target << ')';
  return text.str();
}

std::vector<fault> ReadFaults(const std::string& text) {
  std::istringstream numbers(text);
  std::vector<fault> faults;
  std::size_t kind = 0;
  std::int64_t at_ms = 0;
  std::int64_t lasts_ms = 0;
  std::size_t target = 0;
  while (numbers >> kind >> at_ms >> lasts_ms >> target) {
    faults.push_back({.kind = static_cast<fault_kind>(kind),
                      .at = milliseconds(at_ms),
                      .lasts = milliseconds(lasts_ms),
                      .target = target});
  }
  return faults;
}

std::string fault_schedule::Text() const {
  std::ostringstream text;
  text << "seed " << seed;
  for (const fault& item : faults) {
    text << "; " << item.Text();
  }
  return text.str();
}

bool fault_schedule::Has(fault_kind kind) const {
  return std::any_of(faults.begin(), faults.end(),
                     [kind](const fault& item) { return item.kind == kind; });
}

fault_schedule MakeSchedule(std::uint64_t seed, const std::vector<fault_kind>& kinds) {
  std::mt19937_64 random(seed);
  const auto between = [&random](std::int64_t least, std::int64_t most) {
    return milliseconds(std::uniform_int_distribution<std::int64_t>(least, most)(random));
  };
  fault_schedule schedule{.seed = seed};
  for (const fault_kind kind : kinds) {
    const bool is_lasting = kind == fault_kind::kReplicaGone;
    const std::int64_t last_ms = kind == fault_kind::kMovePlan ? kLastPlanMs : kLastMs;
    schedule.faults.push_back(
        {.kind = kind,
         .at = is_lasting ? milliseconds(kFirstMs) : between(kFirstMs, last_ms),
         .lasts = between(kShortestMs, kLongestMs),
         .target = std::uniform_int_distribution<std::size_t>(0, kTargets - 1)(random)});
  }
  return schedule;
}

}  // namespace berylbarrow
