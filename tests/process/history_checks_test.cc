#include <boost/test/unit_test.hpp>

#include "support/fleet_run.h"
#include "support/history.h"
#include "support/naive_parts.h"

namespace berylbarrow {
namespace {

constexpr std::uint64_t kMostSeeds = 60;

/// Asserts that the check finds the naive part within some seeds, and says with which.
void Finds(const char* guarantee, violations (*check)(const history&), const fleet_parts& parts,
           const std::vector<fault_kind>& faults) {
  for (std::uint64_t seed = 1; seed <= kMostSeeds; ++seed) {
    const violations found = check(RunFleet(MakeSchedule(seed, faults), parts));
    if (!found.empty()) {
      BOOST_TEST_MESSAGE(guarantee << " fails with seed " << seed << ": " << found.front());
      BOOST_TEST(found.front().find("at ") == 0U);
      return;
    }
  }
  BOOST_ERROR(guarantee << std::string(": the check did not find the naive part"));
}

// Each guards against a check that cannot fail.
BOOST_AUTO_TEST_CASE(ColdStartCheckFindsAFixedLimit) {
  const remembering_parser parser;
  Finds("G2", CheckColdStart, WithFixedLimit(parser), {});
}

BOOST_AUTO_TEST_CASE(DrainCheckFindsAnIgnoredDrain) {
  const drain_ignoring_parser parser;
  Finds("G3", CheckDrain, ProductParts(parser), {});
  Finds("G3", CheckDrain, ProductParts(parser), {fault_kind::kMovePlan});
  const upstream_keeping_parser keeping;
  Finds("G3", CheckDrain, ProductParts(keeping), {fault_kind::kUpstreamOut});
}

BOOST_AUTO_TEST_CASE(AnswerCheckFindsALostPart) {
  const remembering_parser parser;
  Finds("G4", CheckAnswers, LosingParts(parser), {});
}

BOOST_AUTO_TEST_CASE(NotRunCheckFindsARunAfterARefusal) {
  const remembering_parser parser;
  Finds("G5", CheckNotRun, RunningEveryDispatch(parser),
        {fault_kind::kAgentPause, fault_kind::kUpstreamDeath});
}

BOOST_AUTO_TEST_CASE(AtMostOnceCheckFindsARepeatedKey) {
  const remembering_parser parser;
  Finds("G6", CheckAtMostOnce, RunningEveryDispatch(parser), {fault_kind::kClosedLinks});
}

BOOST_AUTO_TEST_CASE(LeavingCheckFindsAnIgnoredShutdown) {
  const remembering_parser parser;
  Finds("G7", CheckLeaving, IgnoringShutdown(parser), {fault_kind::kAgentShutdown});
}

BOOST_AUTO_TEST_CASE(ShutdownCheckFindsAnExitAtOnce) {
  const remembering_parser parser;
  Finds("G8", CheckShutdown, ExitingAtOnce(parser), {fault_kind::kEntryShutdown});
  Finds("G8", CheckShutdown, ExitingAtOnce(parser), {fault_kind::kAgentShutdown});
}

BOOST_AUTO_TEST_CASE(ConfigurationCheckFindsARefusedRevision) {
  const first_text_parser parser;
  Finds("G9", CheckConfiguration, ProductParts(parser), {});
}

BOOST_AUTO_TEST_CASE(PlanCheckFindsAStepThatIsMissedOrTakenBack) {
  const remembering_parser parser;
  Finds("plan", CheckPlan, DeafToSteps(parser), {fault_kind::kMovePlan});
  Finds("plan", CheckPlan, FollowingTheLastStep(parser),
        {fault_kind::kMovePlan, fault_kind::kBadDatagrams});
}

BOOST_AUTO_TEST_CASE(CrashCheckFindsDroppedSuspects) {
  const remembering_parser parser;
  Finds("crashes", CheckCrashes, DroppingSuspects(parser), {fault_kind::kPoison});
}

// No naive part lets a revision fall or ends a request twice, so these histories are made up.
BOOST_AUTO_TEST_CASE(ChecksFindDoctoredHistories) {
  const remembering_parser parser;
  const history good = RunFleet(MakeSchedule(1, {}), ProductParts(parser));
  BOOST_TEST(CheckAll(good).empty());

  history log = good;
  log.in_force.back().number = 0;
  BOOST_TEST(CheckConfiguration(log).size() == 1U);

  log = good;
  log.requests.front().ends = 2;
  BOOST_TEST(CheckAnswers(log).size() == 1U);

  log = good;
  log.requests.front().end = request_end::kCut;
  log.requests.front().received = "other";
  BOOST_TEST(CheckAnswers(log).size() == 1U);
  BOOST_TEST(CheckShutdown(log).size() == 1U);

  log = good;
  log.requests.front().end = request_end::kPending;
  log.requests.front().ended = log.requests.front().due + std::chrono::seconds(1);
  BOOST_TEST(CheckAnswers(log).size() == 1U);

  log = good;
  log.requests.front().was_turned_away = true;
  BOOST_TEST(CheckShutdown(log).size() == 1U);
}

}  // namespace
}  // namespace berylbarrow
