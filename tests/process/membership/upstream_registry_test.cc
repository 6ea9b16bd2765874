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
  registry.OnSourceAnswered(back);
  registry.Replace({}, back);
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Put(Record("a"), back + milliseconds(700));
  registry.Advance(back + milliseconds(1700));
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Advance(back + milliseconds(1800));
  BOOST_TEST(registry.Upstreams().size() == 1U);
  BOOST_TEST(registry.Upstreams().count("a") == 1U);
}

// Regression test (review/12): a watch that was cut counted as an outage, and each further one put
// off the end of an upstream that had been removed meanwhile.
BOOST_AUTO_TEST_CASE(a_removal_counts_at_once_after_an_absence_in_which_nothing_lapses) {
  upstream_registry registry({.shortest_lapse = milliseconds(2400)});
  registry.Put(Record("a"), kStart);
  registry.Put(Record("b"), kStart);
  registry.OnSourceAnswered(kStart);
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart + milliseconds(1100));
  registry.Remove("a", kStart + milliseconds(1100));
  BOOST_TEST(registry.Upstreams().count("a") == 0U);
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart + milliseconds(3499));
  registry.Remove("b", kStart + milliseconds(3499));
  BOOST_TEST(registry.Upstreams().empty());
}

BOOST_AUTO_TEST_CASE(a_removal_after_an_absence_in_which_records_lapse_has_the_grace) {
  upstream_registry registry({.shortest_lapse = milliseconds(2400)});
  registry.Put(Record("a"), kStart);
  registry.OnSourceAnswered(kStart);
  registry.OnSourceLost();
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart + milliseconds(2400));
  registry.Remove("a", kStart + milliseconds(2400));
  BOOST_TEST(registry.Upstreams().size() == 1U);
}

// Further answers, and failures that are no outage, do not prolong the grace.
BOOST_AUTO_TEST_CASE(the_grace_ends_although_calls_fail) {
  upstream_registry registry({.lapse_grace = milliseconds(1800)});
  registry.Put(Record("a"), kStart);
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart);
  registry.Remove("a", kStart);
  for (int ms = 300; ms <= 1500; ms += 300) {
    registry.OnSourceLost();
    registry.OnSourceAnswered(kStart + milliseconds(ms));
    registry.Advance(kStart + milliseconds(ms));
  }
  BOOST_TEST(registry.Upstreams().size() == 1U);
  registry.Advance(kStart + milliseconds(1800));
  BOOST_TEST(registry.Upstreams().empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_has_no_grace) {
  upstream_registry registry({});
  upstream_record leaving = Record("a");
  leaving.leaving = true;
  registry.Put(leaving, kStart);
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart);
  registry.Remove("a", kStart);
  BOOST_TEST(registry.Upstreams().empty());
}

// Regression test (review/3): what an upstream said of its leaving in its answers was not read, and
// the instance list, which a gateway may not reach, still called it ready.
BOOST_AUTO_TEST_CASE(an_upstream_that_has_said_that_it_leaves_counts_as_leaving_until_it_restarts) {
  upstream_registry registry({});
  registry.Put(Record("a"), kStart);
  const std::uint64_t revision = registry.Revision();
  BOOST_TEST(registry.OnLeavingAnnounced("a", kStart, kStart));
  BOOST_TEST(!registry.OnLeavingAnnounced("a", kStart, kStart));
  BOOST_TEST(registry.Revision() == revision + 1);
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  registry.Replace({Record("a")}, kStart + milliseconds(500));
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  registry.Remove("a", kStart + milliseconds(600));
  registry.Put(Record("a"), kStart + milliseconds(700));
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  upstream_record restarted = Record("a");
  restarted.born = 2;
  registry.Put(restarted, kStart + milliseconds(800));
  BOOST_TEST(!registry.Upstreams().at("a").record.leaving);
  // The answer to a request that was sent before the restart.
  BOOST_TEST(!registry.OnLeavingAnnounced("a", kStart, kStart + milliseconds(900)));
  BOOST_TEST(!registry.Upstreams().at("a").record.leaving);
}

BOOST_AUTO_TEST_CASE(an_announcement_of_an_upstream_that_is_gone_is_forgotten) {
  upstream_registry registry({.longest_leave = std::chrono::minutes(10)});
  registry.Put(Record("a"), kStart);
  registry.OnLeavingAnnounced("a", kStart, kStart);
  registry.Advance(kStart + std::chrono::minutes(11));
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  registry.Remove("a", kStart + std::chrono::minutes(11));
  registry.Advance(kStart + std::chrono::minutes(11));
  registry.Put(Record("a"), kStart + std::chrono::minutes(12));
  BOOST_TEST(!registry.Upstreams().at("a").record.leaving);
  BOOST_TEST(!registry.OnLeavingAnnounced("unknown", kStart, kStart));
}

BOOST_AUTO_TEST_CASE(without_a_start_time_an_upstream_that_returns_has_restarted) {
  upstream_registry registry({});
  upstream_record record = Record("a");
  record.born = 0;
  registry.Put(record, kStart);
  registry.OnLeavingAnnounced("a", kStart, kStart);
  registry.Put(record, kStart + milliseconds(100));
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  registry.Remove("a", kStart + milliseconds(200));
  registry.Put(record, kStart + milliseconds(300));
  BOOST_TEST(!registry.Upstreams().at("a").record.leaving);
}

BOOST_AUTO_TEST_CASE(a_removal_long_after_the_return_counts) {
  upstream_registry registry({});
  registry.Put(Record("a"), kStart);
  registry.OnSourceLost();
  registry.OnSourceAnswered(kStart);
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

// Guards against requests to a leaving upstream that an older copy of the list calls ready, and
// against cold starts and restarts that the copy does not know of.
BOOST_AUTO_TEST_CASE(a_restored_list_takes_nothing_back) {
  upstream_registry registry({});
  upstream_record leaving = Record("a");
  leaving.leaving = true;
  registry.Put(leaving, kStart);
  upstream_record cold = Record("b");
  cold.cold_left = std::chrono::seconds(3);
  registry.Put(cold, kStart);
  upstream_record restarted = Record("c");
  restarted.born = 5;
  restarted.address = "10.0.0.9:1";
  registry.Put(restarted, kStart);
  registry.OnSourceRestored();
  registry.Replace({Record("a"), Record("b"), Record("c")}, kStart + milliseconds(100));
  BOOST_TEST(registry.Upstreams().at("a").record.leaving);
  BOOST_TEST((registry.Upstreams().at("b").cold_until == kStart + std::chrono::seconds(3)));
  BOOST_TEST((registry.Upstreams().at("c").record == restarted));
  restarted.born = 6;
  registry.Put(restarted, kStart + milliseconds(200));
  BOOST_TEST(registry.Upstreams().at("c").record.born == 6U);
}

// Guards against lost capacity: live upstreams that the copy lacks were dropped until they had
// registered again.
BOOST_AUTO_TEST_CASE(upstreams_that_a_restored_list_lacks_have_the_grace) {
  upstream_registry registry({.lapse_grace = milliseconds(1800)});
  registry.Put(Record("a"), kStart);
  registry.Put(Record("b"), kStart);
  registry.OnSourceRestored();
  registry.Replace({}, kStart);
  BOOST_TEST(registry.Upstreams().size() == 2U);
  // The store is lost a second time.
  registry.OnSourceRestored();
  registry.Replace({}, kStart + milliseconds(1000));
  registry.Advance(kStart + milliseconds(2700));
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Put(Record("b"), kStart + milliseconds(2700));
  registry.Advance(kStart + milliseconds(2800));
  BOOST_TEST(registry.Upstreams().size() == 1U);
}

// Guards against requests to an upstream that has ended and reappears from the copy.
BOOST_AUTO_TEST_CASE(a_removed_upstream_that_a_restored_list_has_is_not_used_at_once) {
  const auto now = [](int ms) { return kStart + milliseconds(ms); };
  upstream_registry registry({.reappearance_delay = std::chrono::seconds(6)});
  for (const char* id : {"a", "b", "c"}) {
    registry.Put(Record(id), now(0));
    registry.Remove(id, now(100));
  }
  registry.OnSourceRestored();
  registry.Replace({Record("a"), Record("b"), Record("c"), Record("d")}, now(200));
  BOOST_TEST(registry.Upstreams().size() == 1U);
  registry.Replace({Record("a"), Record("b"), Record("c"), Record("d")}, now(300));
  BOOST_TEST(registry.Upstreams().size() == 1U);
  registry.Put(Record("b"), now(400));  // it has registered again
  registry.Remove("c", now(500));
  registry.Advance(now(6100));
  BOOST_TEST(registry.Upstreams().size() == 2U);
  registry.Advance(now(6200));
  BOOST_TEST(registry.Upstreams().size() == 3U);
  BOOST_TEST(registry.Upstreams().count("c") == 0U);
}

}  // namespace
}  // namespace berylbarrow
