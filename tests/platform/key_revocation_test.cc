#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "platform/items.h"
#include "process/gateway/admission_gate.h"

namespace berylbarrow::platform {
namespace {

/// The decision on a keyed request to /pay/ under a configuration with this member at its top
/// level. `route_member` is added to the route.
admission_decision Decide(const std::string& key, const std::string& accounts_member,
                          const std::string& route_member = "") {
  std::string problem;
  const auto content = DecodeConfiguration(
      R"({"version":8,"routes":[{"name":"pay","hostname":"h.example","prefix":"/pay/",)"
      R"("routeType":"non_idempotent","service":"app")" +
          route_member + R"(}],"services":[{"name":"app"}])" + accounts_member + "}",
      problem);
  BOOST_TEST_REQUIRE(content.has_value(), problem);
  // The gate refers to the view, which has to outlive the decision.
  static std::vector<std::unique_ptr<routing_view>> views;
  views.push_back(std::make_unique<routing_view>(*content));
  const http_head head{.target = "/pay/1", .fields = {{"Host", "h.example"}}};
  return admission_gate({}).Check(views.back().get(), duration::zero(), head, {.key = key});
}

// Regression test (review/4): after a version with an empty list of accounts every key was
// accepted, also those that the version had taken away.
BOOST_AUTO_TEST_CASE(no_key_is_valid_while_the_list_of_accounts_is_empty) {
  for (const char* key : {"k1", "never-valid", ""}) {
    const admission_decision decision = Decide(key, R"(,"tenants":[])");
    BOOST_TEST_REQUIRE(decision.refusal.has_value());
    BOOST_TEST(decision.refusal->status == 401U);
  }
  BOOST_TEST(!Decide("k1", R"(,"tenants":[])", R"(,"public":true)").refusal);
}

BOOST_AUTO_TEST_CASE(no_key_is_valid_while_each_account_has_lost_its_keys) {
  for (const char* account : {R"({"name":"t","apiKeys":[]})", R"({"name":"t"})"}) {
    const admission_decision decision =
        Decide("k1", R"(,"tenants":[)" + std::string(account) + "]");
    BOOST_TEST_REQUIRE(decision.refusal.has_value());
    BOOST_TEST(decision.refusal->status == 401U);
  }
}

// Guards against requests without a key that run for an account with an empty text among its keys.
BOOST_AUTO_TEST_CASE(an_empty_key_is_not_valid) {
  const std::string accounts = R"(,"tenants":[{"name":"t","apiKeys":["","k1"]}])";
  const admission_decision decision = Decide("", accounts);
  BOOST_TEST_REQUIRE(decision.refusal.has_value());
  BOOST_TEST(decision.refusal->status == 401U);
  BOOST_TEST(!Decide("k1", accounts).refusal);
}

BOOST_AUTO_TEST_CASE(requests_need_no_key_if_the_configuration_has_no_list_of_accounts) {
  BOOST_TEST(!Decide("", "").refusal);
}

BOOST_AUTO_TEST_CASE(a_list_of_accounts_that_is_not_a_list_is_rejected) {
  std::string problem;
  for (const char* text : {"null", "{}", "\"\"", "0"}) {
    const std::string accounts = R"({"version":8,"routes":[],"services":[],"tenants":)";
    BOOST_TEST(!DecodeConfiguration(accounts + text + "}", problem).has_value());
  }
}

}  // namespace
}  // namespace berylbarrow::platform
