#include "berylbarrow/process/membership/upstream_registry.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr time_point kStart{std::chrono::hours(1)};

upstream_record Record(const std::string& id) {
  return {.id = id, .service = "model", .address = "10.0.0.1:1", .domain = "north", .born = 1};
}

BOOST_AUTO_TEST_CASE(a_removed_upstream_is_gone_at_once) {
  upstream_registry registry({});
  registry.Put(Record("a"), kStart);
  registry.Remove("a", kStart);
  BOOST_TEST(registry.Upstreams().empty());
}

BOOST_AUTO_TEST_CASE(what_lapsed_while_the_list_was_away_stays_until_the_grace_is_over) {
  upstream_registry registry({.lapse_grace = milliseconds(1800)});
  registry.Put(Record("a"), kStart);
  registry.Put(Record("b"), kStart);
  registry.OnSourceLost();
  const time_point back = kStart + std::chrono::seconds(5);
  registry.OnSourceRegained(back);
  registry.Replace({}, back);
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Put(Record("a"), back + milliseconds(700));
  registry.Advance(back + milliseconds(1700));
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Advance(back + milliseconds(1800));
  BOOST_TEST(registry.Upstreams().size() == 1U);
  BOOST_TEST(registry.Upstreams().count("a") == 1U);
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_has_no_grace) {
  upstream_registry registry({});
  upstream_record leaving = Record("a");
  leaving.leaving = true;
  registry.Put(leaving, kStart);
  registry.OnSourceLost();
  registry.OnSourceRegained(kStart);
  registry.Remove("a", kStart);
  BOOST_TEST(registry.Upstreams().empty());
}

BOOST_AUTO_TEST_CASE(a_removal_long_after_the_return_counts) {
  upstream_registry registry({});
  registry.Put(Record("a"), kStart);
  registry.OnSourceLost();
  registry.OnSourceRegained(kStart);
  registry.Remove("a", kStart + std::chrono::seconds(3));
  BOOST_TEST(registry.Upstreams().empty());
}

BOOST_AUTO_TEST_CASE(coldness_lasts_as_published) {
  upstream_registry registry({});
  upstream_record cold = Record("a");
  cold.cold_left = std::chrono::seconds(3);
  registry.Put(cold, kStart);
  BOOST_TEST((registry.Upstreams().at("a").cold_until == kStart + std::chrono::seconds(3)));
  cold.cold_left = duration::zero();
  registry.Put(cold, kStart + std::chrono::seconds(1));
  BOOST_TEST((registry.Upstreams().at("a").cold_until == kStart + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace berylbarrow
