#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "berylbarrow/version/expert/map_switch.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRanks = 96;
constexpr std::uint64_t kCoordinator = 5;
constexpr std::uint64_t kVersion = 9;
constexpr std::uint64_t kStep = 40;
const time_point kStart{std::chrono::hours(1)};

/// The coordinator of a group of 96 ranks, in a switch to kVersion.
struct coordinator {
  map_switch decisions{{}, kCoordinator};
  time_point now = kStart;

  rank_status Status() const {
    return {.group = "g", .size = kRanks, .open = true, .step = kStep, .prepared = kVersion};
  }
  void Report(const rank_status& status) { decisions.OnStatus(status, now); }
  /// The holder reports the hold in time.
  void ReportMember(std::uint32_t rank, const armed_map& armed) {
    const std::uint64_t step = decisions.Plan()->target.step;
    decisions.OnMember({.incarnation = 100 + rank,
                        .heard = kCoordinator,
                        .group = "g",
                        .rank = rank,
                        .step = kStep,
                        .prepared = kVersion,
                        .armed = armed,
                        .held = rank == map_switch::HolderRank(kRanks) ? step : 0,
                        .announced = kVersion},
                       now);
  }
  void ReportAll() {
    for (std::uint32_t rank = 1; rank < kRanks; ++rank) ReportMember(rank, {});
  }
  /// Goes on until the ranks are to be armed.
  void Arm() {
    Report(Status());
    decisions.Begin(kVersion, now);
    decisions.Advance(now);
    ReportAll();
    decisions.Advance(now);  // all have prepared
    ReportAll();
    decisions.Advance(now);  // all confirm the announcement
    now += milliseconds(10);
    Report(Status());
    decisions.Advance(now);  // the hold is ordered
    now += milliseconds(10);
    Report(Status());
    ReportAll();
    decisions.Advance(now);  // the holder reports it
  }
};

// Arming 96 ranks takes longer than two passes. With a lead of two, all passes waited for it, and
// the events of all streams came late.
BOOST_AUTO_TEST_CASE(a_large_group_gets_a_longer_lead_before_the_step_of_the_switch) {
  coordinator group;
  group.Arm();
  BOOST_TEST((group.decisions.Stage() == switch_stage::kArming));
  BOOST_TEST(group.decisions.Plan()->target.step == kStep + 2 + 3);
}

// The plan was repeated to all 95 ranks every 32 ms, which filled the link of the coordinator; the
// orders to arm were lost, and the group was held for seconds.
BOOST_AUTO_TEST_CASE(only_ranks_without_an_answer_get_the_plan_again) {
  coordinator group;
  group.Arm();
  BOOST_TEST(group.decisions.RanksAwaited().size() == kRanks - 1);
  const armed_map target = group.decisions.Plan()->target;
  for (std::uint32_t rank = 1; rank < kRanks; ++rank) {
    if (rank != 7) group.ReportMember(rank, target);
  }
  // The deputy has to notice a silent coordinator.
  BOOST_TEST((group.decisions.RanksAwaited() == std::vector<std::uint32_t>{1, 7}));
}

BOOST_AUTO_TEST_CASE(an_armed_rank_does_not_count_as_silent_at_once) {
  coordinator group;
  group.Arm();
  const armed_map target = group.decisions.Plan()->target;
  for (std::uint32_t rank = 1; rank < kRanks; ++rank) {
    if (rank != 7) group.ReportMember(rank, target);
  }
  group.now += milliseconds(300);
  BOOST_TEST(group.decisions.SilentRanks(group.now).empty());
  group.now += milliseconds(250);
  const auto silent = group.decisions.SilentRanks(group.now);
  BOOST_TEST(std::count(silent.begin(), silent.end(), 7U) == 1);
  group.now += milliseconds(150);
  BOOST_TEST(group.decisions.SilentRanks(group.now).size() == kRanks - 1);
}

}  // namespace
}  // namespace berylbarrow
