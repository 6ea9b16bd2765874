#include "berylbarrow/request/routing/fleet_share.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint64_t kKey = 77;

std::vector<std::string> Names(std::size_t count) {
  std::vector<std::string> names;
  names.reserve(count);
  for (std::size_t i = 0; i < count; ++i) names.push_back("entry-" + std::to_string(i));
  return names;
}

/// The shares of all gateways, which know of each other.
std::vector<fleet_share> MakeFleet(std::size_t count) {
  std::vector<fleet_share> fleet;
  for (const std::string& self : Names(count)) {
    std::vector<std::string> others = Names(count);
    std::erase(others, self);
    fleet.emplace_back(fleet_share_options{});
    fleet.back().SetGateways(self, others, kStart);
  }
  return fleet;
}

// Guards against a limit that each gateway obeys by itself, so that all together exceed it.
BOOST_AUTO_TEST_CASE(the_shares_of_all_gateways_add_up_to_the_rate) {
  for (const double rate : {0.05, 0.7, 1.0, 2.2, 26.0, 400.0}) {
    for (const std::size_t count : {1U, 9U, 33U, 340U}) {
      double sum = 0;
      for (const fleet_share& share : MakeFleet(count)) {
        sum += share.RateOf(kKey, rate, kStart + seconds(2));
      }
      BOOST_TEST(sum == rate, boost::test_tools::tolerance(1e-6));
    }
  }
}

// Guards against many gateways that each save up one request of a rate below one a second.
BOOST_AUTO_TEST_CASE(a_small_rate_belongs_to_few_gateways_and_different_ones_for_each_key) {
  const std::vector<fleet_share> fleet = MakeFleet(9);
  std::set<std::size_t> owners;
  for (std::uint64_t key = 0; key < 50; ++key) {
    std::size_t sharing = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet[i].RateOf(key, 2.2, kStart + seconds(2)) <= 0) continue;
      ++sharing;
      owners.insert(i);
    }
    BOOST_TEST(sharing == 2U);
  }
  BOOST_TEST(owners.size() == fleet.size());
}

// Guards against a gateway that has just started and takes the whole rate for its own.
BOOST_AUTO_TEST_CASE(a_gateway_that_has_just_started_takes_no_part) {
  fleet_share share({});
  share.SetGateways("entry-1", {}, kStart);
  BOOST_TEST(share.RateOf(kKey, 5, kStart + seconds(1)) == 0);
  BOOST_TEST(share.RateOf(kKey, 5, kStart + seconds(2)) == 5);
}

// Guards against equal shares that grow while a process is cut off from the others.
BOOST_AUTO_TEST_CASE(equal_shares_count_the_most_gateways_known_at_once) {
  fleet_share share({});
  BOOST_TEST(share.EqualShare() == 1.0 / 6);
  share.SetGateways("entry-0", Names(9), kStart);
  share.SetGateways("entry-0", {}, kStart + seconds(9));
  BOOST_TEST(share.EqualShare() == 0.1);
}

BOOST_AUTO_TEST_CASE(a_rate_below_one_a_second_allows_requests_now_and_then) {
  request_rate rate(0, kStart);
  rate.SetRate(0.5, kStart);
  int sent = 0;
  for (int ms = 0; ms < 20'000; ms += 10) {
    const time_point now = kStart + milliseconds(ms);
    if (!rate.IsAllowed(now)) continue;
    rate.OnSent(now);
    ++sent;
  }
  BOOST_TEST(sent == 9);
  BOOST_TEST((rate.TimeUntilAllowed(kStart + seconds(20)).value() <= milliseconds(10)));
}

// Guards against requests that are credited for the time before a rate was raised.
BOOST_AUTO_TEST_CASE(a_changed_rate_takes_effect_from_then_on) {
  request_rate rate(0, kStart);
  rate.SetRate(0, kStart);
  BOOST_TEST(!rate.TimeUntilAllowed(kStart + seconds(60)).has_value());
  rate.SetRate(1, kStart + seconds(60));
  BOOST_TEST(!rate.IsAllowed(kStart + seconds(60)));
  BOOST_TEST(rate.IsAllowed(kStart + seconds(61)));
}

/// A gateway that sends whenever its share allows it.
struct greedy_gateway {
  std::string name;
  fleet_share share{fleet_share_options{}};
  request_rate rate{0, kStart};
  bool is_running = false;
};

// Guards against exceeding a limit while gateways start and stop and learn of it late.
BOOST_AUTO_TEST_CASE(greedy_gateways_keep_to_a_limit_while_others_come_and_go) {
  BOOST_TEST(rc::check("at most one and a half times the limit, and five, in 4 s", [] {
    constexpr duration kStep = milliseconds(20);
    constexpr duration kWindow = seconds(4);
    std::vector<greedy_gateway> gateways;
    for (const std::string& name : Names(*rc::gen::inRange<std::size_t>(2, 12))) {
      gateways.push_back({.name = name, .is_running = true});
    }
    double limit = *rc::gen::inRange(1, 400) / 10.0;
    // By the time at which it takes effect: names of the gateways that are then known to be live.
    std::deque<std::pair<time_point, std::vector<std::string>>> views;
    std::deque<time_point> sent;
    double most_allowed = 0;
    const auto running = [&] {
      std::vector<std::string> names;
      for (const greedy_gateway& each : gateways) {
        if (each.is_running) names.push_back(each.name);
      }
      return names;
    };
    std::vector<std::string> known = running();
    time_point now = kStart;
    for (int step = 0; step < 1500; ++step, now += kStep) {
      if (step % 250 == 249) {
        greedy_gateway& changed = gateways[*rc::gen::inRange<std::size_t>(0, gateways.size())];
        changed.is_running = !changed.is_running;
        changed.share = fleet_share({});
        changed.rate = request_rate(0, now);
        views.emplace_back(now + milliseconds(*rc::gen::inRange(0, 1500)), running());
      }
      if (!views.empty() && views.front().first <= now) {
        known = views.front().second;
        views.pop_front();
      }
      for (greedy_gateway& each : gateways) {
        if (!each.is_running) continue;
        std::vector<std::string> others = known;
        std::erase(others, each.name);
        each.share.SetGateways(each.name, others, now);
        each.rate.SetRate(each.share.RateOf(kKey, limit, now), now);
        if (!each.rate.IsAllowed(now)) continue;
        each.rate.OnSent(now);
        sent.push_back(now);
      }
      while (!sent.empty() && sent.front() < now - kWindow) sent.pop_front();
      most_allowed = 1.5 * limit * 4 + 5;
      RC_ASSERT(static_cast<double>(sent.size()) <= most_allowed);
    }
  }));
}

}  // namespace
}  // namespace berylbarrow
