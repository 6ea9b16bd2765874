#include "berylbarrow/version/plan/plan_progress.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr duration kHold = std::chrono::seconds(10);

struct fixture {
  manual_clock clock;
  plan_progress plan;

  moment At() const { return {clock.Now(), clock.WallNow()}; }

  configuration_version Version(revision number) const {
    configuration document;
    document.domains = {{.name = "a"}, {.name = "b"}, {.name = "c", .state = service_state::kOut}};
    document.move_plan = {
        {.name = "fill c", .fill = {"c"}, .proceed_when = {.warm_share_at_least = 0.5}},
        {.name = "empty a", .empty = {"a"}, .proceed_when = {.in_flight_at_most = 0}},
        {.name = "return", .empty = {"c"}, .fill = {"a"}, .proceed_when = {.hold = kHold}}};
    return {.number = number, .value = document};
  }
};

// Guards against a domain that empties before its replacement is warm.
BOOST_FIXTURE_TEST_CASE(StepsWaitForTheirConditions, fixture) {
  plan.Restart(Version(1), At());
  domain_observations observed{{"a", {.upstreams = 2, .warm = 2, .in_flight = 3}},
                               {"c", {.upstreams = 2, .warm = 0}}};
  BOOST_TEST(plan.Evaluate(observed, At()));
  BOOST_TEST((plan.StateOf("c") == service_state::kIn));
  BOOST_TEST(!plan.Evaluate(observed, At()));
  BOOST_TEST((plan.StateOf("a") == service_state::kIn));
  observed["c"].warm = 1;
  BOOST_TEST(plan.Evaluate(observed, At()));
  BOOST_TEST((plan.StateOf("a") == service_state::kOut));
  BOOST_TEST(!plan.Evaluate(observed, At()));
  observed["a"].in_flight = 0;
  BOOST_TEST(plan.Evaluate(observed, At()));
  BOOST_TEST(plan.Step() == 3U);
}

// Guards against silence that is taken for "nothing in flight".
BOOST_FIXTURE_TEST_CASE(UnknownUpstreamsBlockTheStep, fixture) {
  plan.Restart(Version(1), At());
  plan.Hear(1, 2, At());
  domain_observations observed{{"a", {.upstreams = 2, .in_flight = 0, .unknown = 1}}};
  BOOST_TEST(!plan.Evaluate(observed, At()));
}

// Guards against a plan that goes back, or that takes steps of another revision.
BOOST_FIXTURE_TEST_CASE(HeardStepsOnlyAdvanceTheSameRevision, fixture) {
  plan.Restart(Version(1), At());
  BOOST_TEST(plan.Hear(1, 2, At()));
  BOOST_TEST(!plan.Hear(1, 1, At()));
  BOOST_TEST(!plan.Hear(2, 3, At()));
  BOOST_TEST(!plan.Hear(1, 9, At()));
  BOOST_TEST(plan.Step() == 2U);
  plan.Restart(Version(2), At());
  BOOST_TEST(plan.Step() == 0U);
  BOOST_TEST((plan.StateOf("a") == service_state::kIn));
}

}  // namespace
}  // namespace berylbarrow
