#include "support/history.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

#include "support/fleet_run.h"
#include "support/share_table.h"

namespace berylbarrow {
namespace {

// The build with the address sanitizer is slower and runs a sample of the schedules.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kStride = 16;
#else
constexpr std::uint64_t kStride = 1;
#endif
constexpr std::uint64_t kSeedsAlone = 24;
constexpr std::uint64_t kSeedsTwice = 12;
constexpr std::uint64_t kSeedsOfPair = 6;

fault_kind KindAt(std::size_t position) { return static_cast<fault_kind>(position); }

void Report(const fault_schedule& schedule, const violations& found) {
  std::string text = schedule.Text();
  for (const std::string& line : found) {
    text += "\n  " + line;
  }
  BOOST_ERROR(text);
}

/// Drops faults one at a time as long as some check still fails.
fault_schedule Shrink(fault_schedule schedule, const fleet_parts& parts) {
  for (std::size_t i = 0; i < schedule.faults.size();) {
    fault_schedule shorter = schedule;
    shorter.faults.erase(shorter.faults.begin() + static_cast<std::ptrdiff_t>(i));
    if (CheckAll(RunFleet(shorter, parts)).empty()) {
      ++i;
    } else {
      schedule = std::move(shorter);
    }
  }
  return schedule;
}

struct product {
  remembering_parser parser;
  fleet_parts parts = ProductParts(parser);
  std::uint64_t seed = 0;
  std::uint64_t schedules = 0;

  /// Runs `count` schedules with these faults.
  void Hold(const std::vector<fault_kind>& kinds, std::uint64_t count) {
    for (std::uint64_t i = 0; i < count; ++i) {
      if (++seed % kStride != 0) {
        continue;
      }
      ++schedules;
      const fault_schedule schedule = MakeSchedule(seed, kinds);
      const violations found = CheckAll(RunFleet(schedule, parts));
      if (!found.empty()) {
        Report(schedule, found);
      }
    }
  }
};

// Guards against a guarantee that one fault breaks.
BOOST_FIXTURE_TEST_CASE(EachFaultAlone, product) {
  Hold({}, kSeedsAlone);
  for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
    Hold({KindAt(kind)}, kSeedsAlone);
  }
  BOOST_TEST_MESSAGE("schedules: " << schedules);
  BOOST_TEST(schedules > 0U);
}

// Guards against a guarantee that holds for the first fault only.
BOOST_FIXTURE_TEST_CASE(TheSameFaultTwice, product) {
  seed = 10'000;
  for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
    Hold({KindAt(kind), KindAt(kind)}, kSeedsTwice);
  }
  BOOST_TEST_MESSAGE("schedules: " << schedules);
  BOOST_TEST(schedules > 0U);
}

// Guards against faults that break a guarantee only together.
BOOST_FIXTURE_TEST_CASE(FaultsInPairs, product) {
  seed = 20'000;
  for (std::size_t first = 0; first < kFaultKinds; ++first) {
    for (std::size_t second = 0; second < first; ++second) {
      Hold({KindAt(first), KindAt(second)}, kSeedsOfPair);
    }
  }
  BOOST_TEST_MESSAGE("schedules: " << schedules);
  BOOST_TEST(schedules > 0U);
}

// Guards against a check that blames processes for steps of the only revision that they can read.
// A soak run found these schedules.
BOOST_FIXTURE_TEST_CASE(PlanOfAnOlderRevision, product) {
  const auto make = [](fault_kind kind, std::int64_t at, std::int64_t lasts, std::size_t target) {
    return fault{kind, std::chrono::milliseconds(at), std::chrono::milliseconds(lasts), target};
  };
  const std::vector<fault_schedule> schedules = {
      {2016635179821390243,
       {make(fault_kind::kTwoOperators, 6698, 6959, 53), make(fault_kind::kMovePlan, 2862, 5652, 4),
        make(fault_kind::kServiceOlder, 5936, 6579, 47)}},
      {17352649621027848776U,
       {make(fault_kind::kServiceOlder, 5230, 6941, 19),
        make(fault_kind::kUpstreamOut, 7007, 7475, 8),
        make(fault_kind::kMovePlan, 2872, 2464, 28)}},
      {4016432285854842614,
       {make(fault_kind::kServiceDown, 2824, 7441, 18), make(fault_kind::kMovePlan, 3814, 7089, 42),
        make(fault_kind::kUpstreamOut, 4375, 5024, 13),
        make(fault_kind::kServiceOlder, 4877, 5929, 31)}}};
  for (const fault_schedule& schedule : schedules) {
    const violations found = CheckAll(RunFleet(schedule, parts));
    BOOST_TEST(found.empty(), schedule.Text() << (found.empty() ? "" : "\n  " + found.front()));
  }
}

/// One fault for half of the schedules, two to four for the others.
std::vector<fault_kind> RandomKinds(std::mt19937_64& random) {
  const std::size_t count = random() % 2 == 0 ? 1 : 2 + random() % 3;
  std::vector<fault_kind> kinds;
  for (std::size_t i = 0; i < count; ++i) {
    kinds.push_back(KindAt(random() % kFaultKinds));
  }
  return kinds;
}

std::uint64_t SeedFromEnvironment() {
  const char* given = std::getenv("BERYLBARROW_SEED");
  return given == nullptr ? std::random_device()() : std::strtoull(given, nullptr, 10);
}

// Runs fresh seeds for BERYLBARROW_SOAK_SECONDS; see tools/soak.sh.
BOOST_FIXTURE_TEST_CASE(Soak, product) {
  const char* seconds = std::getenv("BERYLBARROW_SOAK_SECONDS");
  if (seconds == nullptr) {
    return;
  }
  const std::uint64_t first = SeedFromEnvironment();
  std::cout << "seed " << first << '\n';
  std::mt19937_64 random(first);
  share_table shares;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(std::strtoll(seconds, nullptr, 10));
  while (std::chrono::steady_clock::now() < end) {
    const std::vector<fault_kind> kinds = RandomKinds(random);
    const fault_schedule schedule = MakeSchedule(random(), kinds);
    const history log = RunFleet(schedule, parts);
    ++schedules;
    shares.Add(kinds.size() == 1 ? FaultName(kinds[0]) : "two to four faults", log);
    if (!CheckAll(log).empty()) {
      const fault_schedule shortest = Shrink(schedule, parts);
      Report(shortest, CheckAll(RunFleet(shortest, parts)));
    }
  }
  std::cout << "schedules " << schedules << '\n';
  shares.Print(std::cout);
}

// Replays the faults named in BERYLBARROW_FAULTS, by number, with BERYLBARROW_SEED and writes what
// the processes do.
BOOST_FIXTURE_TEST_CASE(Replay, product) {
  const char* faults = std::getenv("BERYLBARROW_FAULTS");
  if (faults == nullptr) {
    return;
  }
  std::istringstream numbers(faults);
  std::vector<fault_kind> kinds;
  for (std::size_t number = 0; numbers >> number;) {
    kinds.push_back(KindAt(number));
  }
  const fault_schedule schedule = MakeSchedule(SeedFromEnvironment(), kinds);
  std::cout << schedule.Text() << '\n';
  const violations found = CheckAll(RunFleet(schedule, parts, &std::cout));
  if (!found.empty()) {
    Report(schedule, found);
  }
}

}  // namespace
}  // namespace berylbarrow
