#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "process/agent/agent_world.h"

namespace berylbarrow {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSchedules = 2500;
constexpr int kNaiveSchedules = 200;

/// Runs every dispatch, whatever ran before.
class naive_key_policy final : public key_policy {
 public:
  key_decision Decide(const dispatch& /*work*/, const execution_record* /*record*/,
                      closed_state /*closed*/, const grant_window& /*window*/) const override {
    return {.verdict = key_verdict::kRun};
  }
};

rc::Gen<std::vector<schedule_step>> AnySchedule() {
  // Ranges grow with the size of the schedule unless the size is fixed.
  const auto below = [](std::uint32_t end) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, end));
  };
  return rc::gen::container<std::vector<schedule_step>>(
      rc::gen::build<schedule_step>(rc::gen::set(&schedule_step::kind, below(agent_world::Kinds())),
                                    rc::gen::set(&schedule_step::choice, below(100000))));
}

using counts = std::map<std::string, std::uint64_t>;

/// Fails on the violations that contain `kind`. Adds the counters of all runs to `totals`.
template <typename Policy, typename Limit>
rc::detail::TestResult CheckSchedules(const std::string& name, int count, bool shrink,
                                      const std::string& kind, counts* totals = nullptr) {
  BOOST_TEST_MESSAGE(name << ": seed " << kSeed << ", " << count << " schedules");
  const rc::detail::TestParams params{
      .seed = kSeed, .maxSuccess = count, .maxSize = 150, .disableShrinking = !shrink};
  return rc::detail::checkTestable(
      [kind, totals] {
        agent_world world(std::make_unique<Policy>(), std::make_unique<Limit>());
        world.Run(*AnySchedule());
        if (totals != nullptr) {
          for (const auto& [counter, value] : world.Counters()) {
            (*totals)[counter] += value;
          }
        }
        for (const std::string& violation : world.Violations()) {
          if (violation.find(kind) != std::string::npos) {
            RC_FAIL(violation);
          }
        }
      },
      rc::detail::TestMetadata{.id = name, .description = name}, params);
}

// Guards against an operation that runs twice or although it was refused as not run, more load
// than a cold upstream bears, an answer with a gap or a repeat, and work that starts in a drained
// domain, with a stale view or after a shutdown.
BOOST_AUTO_TEST_CASE(GuaranteesHoldInAllSchedules) {
  counts totals;
  const auto result = CheckSchedules<grant_key_policy, cold_start_limit>("agent core", kSchedules,
                                                                         true, "", &totals);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  BOOST_TEST_MESSAGE(text.str());
  BOOST_TEST(result.is<rc::detail::SuccessResult>(), text.str());
  for (const auto& [counter, value] : totals) {
    BOOST_TEST_MESSAGE(counter << " " << value);
  }
  // The schedules must reach the cases that the checks are about.
  for (const char* counter : {"started", "broken", "not_sent", "cancelled", "joins", "reattached",
                              "held", "tombstone_hits", "upstream_deaths", "cold_resets"}) {
    BOOST_TEST(totals["berylbarrow_agent_" + std::string(counter) + "_total"] > 100U, counter);
  }
}

// Guards against checks that would pass whatever the agent does with keys.
BOOST_AUTO_TEST_CASE(ChecksFailOnTheNaivePolicy) {
  const auto result = CheckSchedules<naive_key_policy, cold_start_limit>(
      "naive key policy", kNaiveSchedules, false, "started twice");
  BOOST_TEST_REQUIRE(result.is<rc::detail::FailureResult>());
  BOOST_TEST_MESSAGE(result.get<rc::detail::FailureResult>().description);
}

// Guards against checks that would pass whatever load a cold upstream gets.
BOOST_AUTO_TEST_CASE(ChecksFailOnTheFixedLimit) {
  const auto result = CheckSchedules<grant_key_policy, fixed_limit>(
      "fixed limit", kNaiveSchedules, false, "requests run at an upstream that bears");
  BOOST_TEST_REQUIRE(result.is<rc::detail::FailureResult>());
  BOOST_TEST_MESSAGE(result.get<rc::detail::FailureResult>().description);
}

}  // namespace
}  // namespace berylbarrow
