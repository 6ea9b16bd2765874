#include <boost/test/unit_test.hpp>

#include "berylbarrow/request/admission/admission_limit.h"

namespace berylbarrow {
namespace {

struct cold_start_fixture {
  cold_start_limit limit;

  cold_start_fixture() { limit.Configure({.limit = 2, .step_completions = 3}, {.in_flight = 5}); }

  void Complete(int count, duration first_byte = std::chrono::milliseconds(100),
                duration streaming = std::chrono::milliseconds(500)) {
    for (int i = 0; i < count; ++i) {
      limit.OnCompleted({.generation = limit.OnStarted(),
                         .first_byte = first_byte,
                         .total = first_byte + streaming,
                         .bytes = 1000});
    }
  }
};

// Guards against a limit that rises before the upstream has completed enough requests at the
// current one.
BOOST_FIXTURE_TEST_CASE(LimitRisesWithCompletions, cold_start_fixture) {
  BOOST_TEST(limit.Limit() == 2U);
  Complete(2);
  BOOST_TEST(limit.Limit() == 2U);
  Complete(1);
  BOOST_TEST(limit.Limit() == 3U);
  Complete(6);
  BOOST_TEST(limit.Limit() == 5U);
  BOOST_TEST(limit.IsWarm());
  Complete(20);
  BOOST_TEST(limit.Limit() == 5U);
}

// Guards against raising the limit of a cold upstream for requests that it served while still warm.
BOOST_FIXTURE_TEST_CASE(CompletionsFromBeforeAResetAreIgnored, cold_start_fixture) {
  Complete(9);
  const std::uint64_t old_generation = limit.OnStarted();
  limit.OnColdUpstreamDetected();
  BOOST_TEST(limit.Limit() == 2U);
  for (int i = 0; i < 30; ++i) {
    limit.OnCompleted({.generation = old_generation});
  }
  BOOST_TEST(limit.Limit() == 2U);
  BOOST_TEST(limit.ColdResets() == 1U);
}

// Guards against full load on a slow upstream, and against a reset because of one slow request.
// Slowness shows in the time to first byte of plain answers and in the time per byte of streamed
// ones.
BOOST_FIXTURE_TEST_CASE(OnlySeveralSlowRequestsResetTheLimit, cold_start_fixture) {
  for (const bool is_streamed : {false, true}) {
    const auto complete = [&](int count, int milliseconds) {
      const duration time = std::chrono::milliseconds(milliseconds);
      is_streamed ? Complete(count, std::chrono::milliseconds(100), time)
                  : Complete(count, time, duration::zero());
    };
    complete(9 + 20, 100);
    complete(1, 2000);
    complete(5, 100);
    complete(1, 2000);
    BOOST_TEST(limit.IsWarm());
    complete(2, 400);
    BOOST_TEST(limit.Limit() == 2U);
  }
}

// Guards against resetting the limit of a warm engine when uncached prompts follow cached ones.
BOOST_FIXTURE_TEST_CASE(UncachedPromptsDoNotResetTheLimit, cold_start_fixture) {
  Complete(9 + 40, std::chrono::milliseconds(60));
  Complete(20, std::chrono::milliseconds(240));
  BOOST_TEST(limit.IsWarm());
  BOOST_TEST(limit.ColdResets() == 0U);
}

// Guards against a new configuration document that makes a cold upstream count as warm or a warm
// one as cold.
BOOST_FIXTURE_TEST_CASE(ReconfigurationKeepsTheUpstreamWarmOrCold, cold_start_fixture) {
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 8});
  BOOST_TEST(limit.Limit() == 1U);
  Complete(21);
  BOOST_TEST(limit.IsWarm());
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 4});
  BOOST_TEST(limit.Limit() == 4U);
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 6});
  BOOST_TEST(limit.IsWarm());
}

// Guards against missing a restart that happens between two load reports.
BOOST_AUTO_TEST_CASE(RestartIsDetectedByInstanceOrUptime) {
  restart_detector detector;
  const auto report = [&detector](const char* instance, int uptime) {
    return detector.OnReport(
        {.reachable = true, .instance = instance, .uptime = std::chrono::seconds(uptime)});
  };
  BOOST_TEST(!report("a", 10));
  BOOST_TEST(!report("a", 11));
  BOOST_TEST(!detector.OnReport({.reachable = false}));
  BOOST_TEST(report("a", 1));
  BOOST_TEST(report("b", 2));
  BOOST_TEST(!report("b", 3));
}

}  // namespace
}  // namespace berylbarrow
