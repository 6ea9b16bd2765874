#include "berylbarrow/request/dispatch/pass_time_model.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

constexpr double kAllStepsMs = 4 * 4.55;
constexpr double kMsPerRequest = 4 * (0.905 + 0.02 * 0.85);

engine_profile EngineProfile(double expert_share) {
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

pass_time_model GroupModel(const std::vector<std::pair<double, double>>& ranks) {
  pass_time_model model(EngineProfile(0.85));
  for (const auto& [requests, pace] : ranks) model.AddRank(requests, pace);
  return model;
}

BOOST_AUTO_TEST_CASE(pass_time_without_experts_scales_with_requests_and_pace) {
  pass_time_model model(EngineProfile(0));
  model.AddRank(7, 2);
  BOOST_TEST(model.PassMsWithExtraRequest(7, 2) == 2 * (kAllStepsMs + 8 * kMsPerRequest),
             boost::test_tools::tolerance(1e-9));
}

// With ranks of equal speed, the total number of requests determines the pass time. Which rank gets
// one more request has little effect.
BOOST_AUTO_TEST_CASE(pass_time_depends_on_the_total_requests_of_the_group) {
  const pass_time_model balanced = GroupModel({{8, 1}, {8, 1}, {8, 1}, {8, 1}});
  const pass_time_model unbalanced = GroupModel({{12, 1}, {4, 1}, {8, 1}, {8, 1}});
  const pass_time_model full = GroupModel({{12, 1}, {12, 1}, {12, 1}, {12, 1}});
  const double pass_ms = balanced.PassMsWithExtraRequest(8, 1);
  BOOST_TEST(pass_ms > kAllStepsMs + 8 * kMsPerRequest);
  BOOST_TEST(unbalanced.PassMsWithExtraRequest(4, 1) < pass_ms + 4 * kMsPerRequest * 0.15);
  BOOST_TEST(full.PassMsWithExtraRequest(12, 1) > pass_ms + 3 * kMsPerRequest);
}

// If one replica becomes slow, each of its requests delays the group several times as much as a
// request on another rank.
BOOST_AUTO_TEST_CASE(a_request_on_a_slow_rank_adds_more_time_than_on_other_ranks) {
  const pass_time_model model = GroupModel({{4, 4}, {8, 1}, {8, 1}, {8, 1}});
  BOOST_TEST(model.PassMsWithExtraRequest(4, 4) >
             model.PassMsWithExtraRequest(8, 1) + 0.5 * kMsPerRequest);
  BOOST_TEST(model.EmptyPassMs() == 4 * kAllStepsMs, boost::test_tools::tolerance(1e-9));
}

// Prompts that are read lengthen the passes of all streams, the more the more requests run.
BOOST_AUTO_TEST_CASE(reading_of_prompts_lengthens_every_pass) {
  engine_profile reading = EngineProfile(0.85);
  reading.chunk_tokens = 512;
  reading.read_tokens_per_ms = 60;
  pass_time_model with_reading(reading);
  pass_time_model without_reading(EngineProfile(0.85));
  for (int i = 0; i < 16; ++i) {
    with_reading.AddRank(8, 1);
    without_reading.AddRank(8, 1);
  }
  BOOST_TEST(without_reading.PassMs(8) == kAllStepsMs + 8 * kMsPerRequest,
             boost::test_tools::tolerance(1e-9));
  const double chunk_ms = 800 / (800 / 512.0 + 0.5) / 60;
  const double reading_ms = with_reading.PassMs(8) - without_reading.PassMs(8);
  BOOST_TEST(reading_ms > 4 * 0.15 * chunk_ms * 0.8);
  BOOST_TEST(reading_ms < 4 * chunk_ms);
  BOOST_TEST(with_reading.PassMs(0) == kAllStepsMs, boost::test_tools::tolerance(1e-9));
}

// The room of a group shrinks with a slow rank, because each pass waits for it.
BOOST_AUTO_TEST_CASE(fewer_requests_fit_into_a_pass_beside_a_slow_rank) {
  const pass_time_model sound = GroupModel({{8, 1}, {8, 1}, {8, 1}, {8, 1}});
  const pass_time_model slowed = GroupModel({{8, 2}, {8, 1}, {8, 1}, {8, 1}});
  const double pass_ms = sound.PassMs(6);
  BOOST_TEST(sound.FittingRequestsPerRank(pass_ms, 1, 12) == 6, boost::test_tools::tolerance(0.01));
  BOOST_TEST(slowed.FittingRequestsPerRank(pass_ms, 1, 12) < 5);
  BOOST_TEST(sound.FittingRequestsPerRank(1000, 1, 12) == 12);
  BOOST_TEST(sound.FittingRequestsPerRank(1, 1, 12) < 0.01);
}

// A shift of the experts in demand lengthens only the work of the experts. A factor measured with
// few requests must hold for many.
BOOST_AUTO_TEST_CASE(the_load_factor_of_a_pass_does_not_depend_on_the_number_of_requests) {
  const pass_time_model model = GroupModel({{8, 1}, {8, 1}, {8, 1}, {8, 1}});
  const double few = model.PassMs(3, 2.5);
  BOOST_TEST(model.LoadFactor(3, few) == 2.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(model.PassMs(9, 2.5) - model.PassMs(9) > 2.9 * (few - model.PassMs(3)));
  BOOST_TEST(model.FittingRequestsPerRank(few, 2.5, 12) == 3, boost::test_tools::tolerance(0.01));
}

}  // namespace
}  // namespace berylbarrow
