#include "berylbarrow/request/routing/upstream_limits.h"

#include <boost/test/unit_test.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint32_t kUpstream = 5;

BOOST_AUTO_TEST_CASE(a_limit_holds_for_as_long_as_answers_name_it) {
  upstream_limits limits;
  BOOST_TEST(!limits.OnAnswer(kUpstream, std::nullopt, kStart, kStart));
  BOOST_TEST(limits.OnAnswer(kUpstream, 2.5, kStart, kStart));
  BOOST_TEST(limits.LimitOf(kUpstream).value() == 2.5);
  BOOST_TEST(!limits.OnAnswer(kUpstream, 2.5, kStart, kStart + seconds(1)));
  BOOST_TEST(limits.OnAnswer(kUpstream, 0.25, kStart, kStart + seconds(2)));
  BOOST_TEST(limits.LimitOf(kUpstream).value() == 0.25);
  BOOST_TEST(limits.OnAnswer(kUpstream, std::nullopt, kStart + seconds(3), kStart + seconds(4)));
  BOOST_TEST(!limits.LimitOf(kUpstream).has_value());
}

// Guards against ending a limit because of an answer that was under way when it was named, and
// against bringing it back because of one that was under way when it ended.
BOOST_AUTO_TEST_CASE(answers_to_older_requests_neither_end_a_limit_nor_bring_it_back) {
  upstream_limits limits;
  limits.OnAnswer(kUpstream, 2, kStart, kStart + seconds(1));
  BOOST_TEST(!limits.OnAnswer(kUpstream, std::nullopt, kStart, kStart + seconds(2)));
  BOOST_TEST(limits.LimitOf(kUpstream).has_value());
  limits.OnAnswer(kUpstream, std::nullopt, kStart + seconds(2), kStart + seconds(3));
  BOOST_TEST(!limits.OnAnswer(kUpstream, 2, kStart + seconds(2), kStart + seconds(4)));
  BOOST_TEST(!limits.LimitOf(kUpstream).has_value());
}

// Guards against a gateway that sends without limit because no answer has told it of one, or that
// keeps a limit whose end only others have seen.
BOOST_AUTO_TEST_CASE(gateways_tell_each_other_of_limits_and_of_their_end) {
  upstream_limits first;
  upstream_limits second;
  first.OnAnswer(kUpstream, 2, kStart, kStart);
  BOOST_TEST(first.HasNews());
  const limit_digest named = *DecodeLimitDigest(EncodeLimitDigest(first.MakeDigest(kStart)));
  BOOST_TEST(second.Merge(named, kStart).size() == 1U);
  BOOST_TEST(second.LimitOf(kUpstream).value() == 2);
  first.OnAnswer(kUpstream, std::nullopt, kStart + seconds(1), kStart + seconds(2));
  BOOST_TEST(second.Merge(first.MakeDigest(kStart + seconds(2)), kStart + seconds(2)).size() == 1U);
  BOOST_TEST(!second.LimitOf(kUpstream).has_value());
}

// Guards against growth without bound, and against digests that do not fit a datagram.
BOOST_AUTO_TEST_CASE(limits_and_digests_are_bounded) {
  upstream_limits limits;
  for (std::uint32_t i = 0; i < 600; ++i) limits.OnAnswer(i, 1e300, kStart, kStart);
  std::set<std::uint32_t> told;
  for (int i = 0; i < 7; ++i) {
    const limit_digest digest = limits.MakeDigest(kStart + milliseconds(i));
    BOOST_TEST(EncodeLimitDigest(digest).size() <= 1400U);
    for (const limit_report& report : digest.limits) told.insert(report.upstream);
  }
  BOOST_TEST(told.size() == 600U);
  limits.Retain({1, 2});
  BOOST_TEST(limits.MakeDigest(kStart).limits.size() == 2U);
}

}  // namespace
}  // namespace berylbarrow
