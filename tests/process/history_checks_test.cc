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

// Guards against a third crash that is excused although a running process knew of both crashes
// before it.
BOOST_AUTO_TEST_CASE(CrashCheckExcusesOnlyWhatAPausedAgentAloneKnew) {
  const auto at = [](int ms) { return time_point(std::chrono::milliseconds(ms)); };
  history log;
  log.crashes = {{.at = at(100), .started = at(50), .agent = "draft-2", .operation = 1},
                 {.at = at(700), .started = at(600), .agent = "draft-2", .operation = 1},
                 {.at = at(1300), .started = at(1200), .agent = "draft-1", .operation = 1}};
  BOOST_TEST(CheckCrashes(log).size() == 1U);
  log.pauses = {{.from = at(650), .until = at(1500), .process = "draft-2"}};
  BOOST_TEST(CheckCrashes(log).empty());
  for (const pause_record& other :
       {pause_record{.from = at(650), .until = at(1500), .process = "draft-1"},
        pause_record{.from = at(650), .until = at(1199), .process = "draft-2"},
        pause_record{.from = at(701), .until = at(1500), .process = "draft-2"}}) {
    log.pauses = {other};
    BOOST_TEST(CheckCrashes(log).size() == 1U);
  }
  // The excuse is for one crash: a fourth one is reported.
  log.pauses = {{.from = at(650), .until = at(1500), .process = "draft-2"}};
  log.crashes.push_back({.at = at(1450), .started = at(1400), .agent = "draft-3", .operation = 1});
  BOOST_TEST(CheckCrashes(log).size() == 1U);
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
