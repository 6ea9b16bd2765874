#include "berylbarrow/request/dispatch/pass_time_model.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr double kStepMs = 4 * 4.55;
constexpr double kRequestMs = 4 * (0.905 + 0.02 * 0.85);

engine_profile Engine(double expert_share) {
  return {.slots = 12,
          .stride = 4,
          .step_ms = 4.55,
          .per_sequence_ms = 0.905,
          .per_context_k_ms = 0.02,
          .usual_prompt = 800,
          .usual_answer = 100,
          .expert_layers = 6,
          .expert_share = expert_share};
}

pass_time_model Group(const std::vector<std::pair<double, double>>& ranks) {
  pass_time_model model(Engine(0.85));
  for (const auto& [requests, pace] : ranks) model.AddRank(requests, pace);
  return model;
}

BOOST_AUTO_TEST_CASE(an_engine_without_experts_takes_its_own_time) {
  pass_time_model model(Engine(0));
  model.AddRank(7, 2);
  BOOST_TEST(model.PassMsWithExtraRequest(7, 2) == 2 * (kStepMs + 8 * kRequestMs),
             boost::test_tools::tolerance(1e-9));
}

// Pattern: equal ranks; where one more request goes hardly matters, how many there are does.
BOOST_AUTO_TEST_CASE(the_requests_of_all_ranks_make_the_pass_of_a_group) {
  const pass_time_model even = Group({{8, 1}, {8, 1}, {8, 1}, {8, 1}});
  const pass_time_model uneven = Group({{12, 1}, {4, 1}, {8, 1}, {8, 1}});
  const pass_time_model full = Group({{12, 1}, {12, 1}, {12, 1}, {12, 1}});
  const double pass = even.PassMsWithExtraRequest(8, 1);
  BOOST_TEST(pass > kStepMs + 8 * kRequestMs);
  BOOST_TEST(uneven.PassMsWithExtraRequest(4, 1) < pass + 4 * kRequestMs * 0.15);
  BOOST_TEST(full.PassMsWithExtraRequest(12, 1) > pass + 3 * kRequestMs);
}

// Pattern: one replica turns slow. Its own requests cost the group several times as much as those
// of the other ranks.
BOOST_AUTO_TEST_CASE(a_request_at_a_slow_rank_costs_more_than_at_the_others) {
  const pass_time_model model = Group({{4, 4}, {8, 1}, {8, 1}, {8, 1}});
  BOOST_TEST(model.PassMsWithExtraRequest(4, 4) >
             model.PassMsWithExtraRequest(8, 1) + 0.5 * kRequestMs);
  BOOST_TEST(model.EmptyPassMs() == 4 * kStepMs, boost::test_tools::tolerance(1e-9));
}

}  // namespace
}  // namespace berylbarrow
