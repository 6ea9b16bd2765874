#include "berylbarrow/version/store/freshness_exchange.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr store_view kView{.era = 2, .version = 7};
constexpr gateway_run kFirst{.name = 1, .incarnation = 11};
constexpr gateway_run kSecond{.name = 2, .incarnation = 22};

// Guards against an age that is counted from the arrival of a report that waited on its way.
BOOST_AUTO_TEST_CASE(a_proof_is_dated_by_the_report_that_was_echoed) {
  freshness_exchange first({}, kFirst);
  freshness_exchange second({}, kSecond);
  const time_point asked = kStart + milliseconds(100);
  second.OnReport(first.MakeReport(kView, std::nullopt, asked), asked);
  // Stated half a second after the question, delivered a second later.
  const freshness_report report = second.MakeReport(kView, milliseconds(300), kStart);
  const auto proof = first.OnReport(report, asked + milliseconds(1500));
  BOOST_REQUIRE(proof.has_value());
  BOOST_TEST((proof->view == kView));
  BOOST_TEST((proof->time == asked - milliseconds(300)));
}

// The two clocks differ by hours; neither is compared with the other.
BOOST_AUTO_TEST_CASE(clocks_of_two_processes_need_not_agree) {
  freshness_exchange first({}, kFirst);
  freshness_exchange second({}, kSecond);
  second.OnReport(first.MakeReport(kView, std::nullopt, kStart), kStart + std::chrono::hours(9));
  const auto proof =
      first.OnReport(second.MakeReport(kView, seconds(1), kStart + std::chrono::hours(9)), kStart);
  BOOST_REQUIRE(proof.has_value());
  BOOST_TEST((proof->time == kStart - seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_report_without_an_echo_of_this_run_proves_nothing) {
  freshness_exchange first({}, kFirst);
  freshness_exchange second({}, kSecond);
  BOOST_TEST(!first.OnReport(second.MakeReport(kView, seconds(1), kStart), kStart).has_value());
  // An echo of an earlier run of the receiver, which gave out the same numbers.
  second.OnReport(first.MakeReport(kView, std::nullopt, kStart), kStart);
  freshness_exchange restarted({}, {.name = kFirst.name, .incarnation = 12});
  restarted.MakeReport(kView, std::nullopt, kStart);
  BOOST_TEST(!restarted.OnReport(second.MakeReport(kView, seconds(1), kStart), kStart).has_value());
  // A sender that has never known its configuration to be current.
  const auto report = second.MakeReport(kView, std::nullopt, kStart);
  BOOST_TEST(!first.OnReport(report, kStart).has_value());
  BOOST_TEST(!first.OnReport(first.MakeReport(kView, seconds(1), kStart), kStart).has_value());
}

// Guards against a lost number that a late datagram brings back.
BOOST_AUTO_TEST_CASE(an_overtaken_report_does_not_lower_the_echo) {
  freshness_exchange first({}, kFirst);
  freshness_exchange second({}, kSecond);
  const auto early = first.MakeReport(kView, std::nullopt, kStart);
  const auto late = first.MakeReport(kView, std::nullopt, kStart + seconds(1));
  second.OnReport(late, kStart);
  second.OnReport(early, kStart);
  const auto proof = first.OnReport(second.MakeReport(kView, seconds(2), kStart), kStart);
  BOOST_REQUIRE(proof.has_value());
  BOOST_TEST((proof->time == kStart - seconds(1)));
}

BOOST_AUTO_TEST_CASE(what_was_sent_or_heard_long_ago_is_forgotten) {
  freshness_exchange first({.lifetime = seconds(3)}, kFirst);
  freshness_exchange second({.lifetime = seconds(3)}, kSecond);
  second.OnReport(first.MakeReport(kView, std::nullopt, kStart), kStart);
  BOOST_TEST(second.MakeReport(kView, seconds(1), kStart + seconds(4)).echoes.empty());
  second.OnReport(first.MakeReport(kView, std::nullopt, kStart), kStart + seconds(5));
  const auto report = second.MakeReport(kView, seconds(1), kStart + seconds(5));
  first.MakeReport(kView, std::nullopt, kStart + seconds(5));
  BOOST_TEST(!first.OnReport(report, kStart + seconds(5)).has_value());
}

BOOST_AUTO_TEST_CASE(the_datagram_is_bounded_however_many_gateways_send_reports) {
  freshness_exchange first({}, kFirst);
  for (std::uint32_t name = 2; name < 400; ++name) {
    freshness_exchange other({}, {.name = name, .incarnation = ~std::uint64_t{0}});
    first.OnReport(other.MakeReport(kView, seconds(1), kStart), kStart);
  }
  const std::string datagram = EncodeFreshnessReport(first.MakeReport(kView, seconds(1), kStart));
  BOOST_TEST(datagram.size() < 400U);
  const auto decoded = DecodeFreshnessReport(datagram);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->echoes.size() == 16U);
  BOOST_TEST(!DecodeFreshnessReport(datagram.substr(1)).has_value());
  BOOST_TEST(!DecodeFreshnessReport("").has_value());
}

// Guards against names of gateways that are kept for ever by a process that sends no reports.
BOOST_AUTO_TEST_CASE(senders_are_forgotten_also_if_no_report_is_made) {
  freshness_exchange first({}, kFirst);
  freshness_exchange second({}, kSecond);
  first.OnReport(second.MakeReport(kView, seconds(1), kStart), kStart);
  freshness_exchange third({}, {.name = 3, .incarnation = 33});
  first.OnReport(third.MakeReport(kView, seconds(1), kStart), kStart + seconds(10));
  // By a clock at which the first report has not aged, only what was kept is echoed.
  const auto echoes = first.MakeReport(kView, std::nullopt, kStart).echoes;
  BOOST_REQUIRE(echoes.size() == 1U);
  BOOST_TEST(echoes[0].run.name == 3U);
}

// Any order, loss and delay of reports between three gateways, each paused now and then: nobody
// dates a proof later than the store was last read by anyone, at that time in the real world.
BOOST_AUTO_TEST_CASE(no_schedule_of_reports_makes_a_proof_younger_than_it_is) {
  struct gateway_state {
    freshness_exchange exchange;
    duration clock_offset;
    time_point current_at;  // by its own clock
    std::vector<std::pair<time_point, freshness_report>> inbox;
  };
  std::size_t adopted = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto chance = [&](std::uint64_t percent) { return random() % 100 < percent; };
    std::vector<gateway_state> gateways;
    for (std::uint32_t name = 0; name < 3; ++name) {
      gateways.push_back({.exchange = {{}, {.name = name, .incarnation = 1}},
                          .clock_offset = std::chrono::hours(name),
                          .current_at = kStart + std::chrono::hours(name)});
    }
    time_point last_read = kStart;
    for (time_point now = kStart; now < kStart + seconds(30); now += milliseconds(50)) {
      gateway_state& self = gateways[random() % gateways.size()];
      const time_point own_now = now + self.clock_offset;
      for (const auto& [due, report] : std::exchange(self.inbox, {})) {
        if (due > now) {
          self.inbox.emplace_back(due, report);
          continue;
        }
        const auto proof = self.exchange.OnReport(report, own_now);
        if (!proof || proof->time <= self.current_at) continue;
        BOOST_TEST_REQUIRE((proof->time - self.clock_offset <= last_read), "seed " << seed);
        self.current_at = proof->time;
        ++adopted;
      }
      if (now < kStart + seconds(15) && chance(5)) {
        self.current_at = own_now;
        last_read = now;
      }
      const auto report = self.exchange.MakeReport(kView, own_now - self.current_at, own_now);
      for (gateway_state& other : gateways) {
        if (&other == &self || chance(20)) continue;
        other.inbox.emplace_back(now + milliseconds(random() % 2500), report);
      }
    }
  }
  BOOST_TEST(adopted > 20U);
}

}  // namespace
}  // namespace berylbarrow
