#include "berylbarrow/version/routing/routing_view.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

routing_content Content() {
  routing_content content{.version = 3};
  content.routes = {
      {.name = "all", .host = "shop.example", .prefix = "/", .services = {{"plain", 1}}},
      {.name = "drafts",
       .host = "Shop.example",
       .prefix = "/drafts/",
       .gap_target = std::chrono::milliseconds(120),
       .services = {{"model", 90}, {"model-next", 10}}},
  };
  content.services = {{.name = "plain"}, {.name = "model"}};
  content.accounts = std::vector<client_account>{{.name = "counter", .keys = {"k1", "k2"}}};
  return content;
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const routing_view view(Content());
  BOOST_TEST(view.FindRoute("shop.example", "/drafts/7?x=/a/")->name == "drafts");
  BOOST_TEST(view.FindRoute("SHOP.example:8080", "/draftsman")->name == "all");
  BOOST_TEST(view.FindRoute("shop.example", "/drafts")->name == "all");
  BOOST_TEST(view.FindRoute("other.example", "/drafts/7") == nullptr);
  BOOST_TEST(view.FindRoute("shop.example", "*") == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_name_their_account) {
  const routing_view view(Content());
  BOOST_TEST(view.NeedsKeys());
  BOOST_TEST(view.FindAccount("k2")->name == "counter");
  BOOST_TEST(view.FindAccount("k") == nullptr);
  BOOST_TEST(view.FindAccount("") == nullptr);
}

BOOST_AUTO_TEST_CASE(services_are_drawn_by_weight) {
  const routing_view view(Content());
  const route& drafts = *view.FindRoute("shop.example", "/drafts/7");
  BOOST_TEST(ChooseService(drafts, 0.0) == "model");
  BOOST_TEST(ChooseService(drafts, 0.89) == "model");
  BOOST_TEST(ChooseService(drafts, 0.91) == "model-next");
}

BOOST_AUTO_TEST_CASE(the_shortest_pause_of_a_service_counts) {
  const routing_view view(Content());
  BOOST_TEST((view.ShortestPause("model") == std::chrono::milliseconds(120)));
  BOOST_TEST((view.ShortestPause("plain") == duration::zero()));
}

}  // namespace
}  // namespace berylbarrow
