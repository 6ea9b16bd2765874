#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "process/agent/agent_harness.h"

namespace berylbarrow {
namespace {

// Guards against an answer that is lost or changed on its way from the upstream to the entry.
BOOST_FIXTURE_TEST_CASE(DispatchRunsEndToEnd, agent_harness) {
  Serve();
  Receive(1, TestWork(1));
  const auto starts = All<upstream_start>();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].request.body == "body");
  Complete(starts[0].execution, "done");
  BOOST_TEST(Sent<answer_head>(1).size() == 1U);
  const auto parts = Sent<answer_part>(1);
  BOOST_TEST_REQUIRE(parts.size() == 2U);
  BOOST_TEST(parts[0].bytes == "done");
  BOOST_TEST((parts[1].end == answer_end::kComplete));
  BOOST_TEST(parts[1].offset == 4U);
}

// Guards against requests that are dropped silently because the hello of an older connection of
// the same entry was overtaken by that of the one they come over.
BOOST_FIXTURE_TEST_CASE(OvertakenHelloLosesNoDispatch, agent_harness) {
  Serve();
  Open(3);
  Open(2);
  Receive(3, TestWork(1));
  Input(peer_closed{.connection = 2});
  const auto starts = All<upstream_start>();
  BOOST_TEST_REQUIRE(starts.size() == 1U);
  Complete(starts[0].execution, "done");
  BOOST_TEST(Sent<answer_part>(3).size() == 2U);
  Receive(3, TestWork(2));
  BOOST_TEST(All<upstream_start>().size() == 2U);
}

}  // namespace
}  // namespace berylbarrow
