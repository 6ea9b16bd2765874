#include <boost/test/unit_test.hpp>

#include "berylbarrow/request/admission/admission_limit.h"

namespace berylbarrow {
namespace {

struct fixture {
  cold_start_limit limit;

  fixture() { limit.Configure({.limit = 2, .step_completions = 3}, {.in_flight = 5}); }

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

// Guards against a limit that rises before the upstream has shown that it bears it.
BOOST_FIXTURE_TEST_CASE(LimitRisesWithCompletions, fixture) {
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

// Guards against completions of work of the warm upstream that count for the cold one.
BOOST_FIXTURE_TEST_CASE(WorkFromBeforeTheFallDoesNotCount, fixture) {
  Complete(9);
  const std::uint64_t older = limit.OnStarted();
  limit.OnColdUpstreamDetected();
  BOOST_TEST(limit.Limit() == 2U);
  for (int i = 0; i < 30; ++i) {
    limit.OnCompleted({.generation = older});
  }
  BOOST_TEST(limit.Limit() == 2U);
  BOOST_TEST(limit.ColdResets() == 1U);
}

// Guards against full load on a slow upstream, and against a fall because of one slow request.
// Plain answers come at once and show slowness before the first byte, streamed ones after it.
BOOST_FIXTURE_TEST_CASE(OnlySeveralSlowRequestsAreEvidence, fixture) {
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

// Guards against a warm engine that is taken for cold when uncached prompts follow cached ones.
BOOST_FIXTURE_TEST_CASE(UncachedPromptsAreNoEvidence, fixture) {
  Complete(9 + 40, std::chrono::milliseconds(60));
  Complete(20, std::chrono::milliseconds(240));
  BOOST_TEST(limit.IsWarm());
  BOOST_TEST(limit.ColdResets() == 0U);
}

// Guards against a new document that makes a cold upstream warm or a warm one cold.
BOOST_FIXTURE_TEST_CASE(NewOptionsKeepTheWarmth, fixture) {
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 8});
  BOOST_TEST(limit.Limit() == 1U);
  Complete(21);
  BOOST_TEST(limit.IsWarm());
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 4});
  BOOST_TEST(limit.Limit() == 4U);
  limit.Configure({.limit = 1, .step_completions = 3}, {.in_flight = 6});
  BOOST_TEST(limit.IsWarm());
}

// Guards against a restart between two load reports that goes unnoticed.
BOOST_AUTO_TEST_CASE(RestartShowsInInstanceOrUptime) {
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
