// Which crashes of several units are independent evidence against one request.
#include <boost/test/unit_test.hpp>

#include "berylbarrow/request/suspect/crash_analysis.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
const trait_list kRequest{7'000'001};
const trait_list kOther{7'000'002};

bool IsRefused(const crash_analysis& analysis, const trait_list& traits, time_point now) {
  return analysis.Check(traits, false, now).permission == crash_permission::kRefused;
}

/// Crashes after which the request is refused, if it ends a unit at each interval. At most `limit`.
int CrashesUntilRefusal(milliseconds interval, int limit) {
  crash_analysis analysis({});
  for (int i = 0; i < limit; ++i) {
    const time_point at = kStart + i * interval;
    if (IsRefused(analysis, kRequest, at)) return i;
    analysis.OnCrash(kRequest, static_cast<std::uint32_t>(i), answer_progress::kUnanswered, at);
  }
  return limit;
}

// Guards against a request that ends one upstream after the other so quickly that all of its
// crashes count as one (issue 40).
BOOST_AUTO_TEST_CASE(a_request_that_is_sent_on_from_crash_to_crash_is_refused_after_three) {
  for (const int interval_ms : {20, 35, 75, 140, 149, 151, 160, 400}) {
    BOOST_TEST_CONTEXT("a crash each " << interval_ms << " ms") {
      BOOST_TEST(CrashesUntilRefusal(milliseconds(interval_ms), 20) == 3);
    }
  }
}

// Guards against crashes in very quick succession that never count, because each of them begins
// the time anew in which the next one is left out.
BOOST_AUTO_TEST_CASE(crashes_at_any_interval_lead_to_a_refusal) {
  for (const int interval_ms : {1, 5, 9}) {
    BOOST_TEST_CONTEXT("a crash each " << interval_ms << " ms") {
      const int crashes = CrashesUntilRefusal(milliseconds(interval_ms), 1000);
      BOOST_TEST(crashes * interval_ms <= 310);  // a crash each `same_cause` counts at least
    }
  }
}

// Guards against a request with a prompt part of which no answer is known: when the part is
// answered, the crashes of the whole request used to be forgotten.
BOOST_AUTO_TEST_CASE(crashes_of_a_whole_request_outlast_the_answers_to_its_parts) {
  constexpr std::uint64_t kPart = 300;
  crash_analysis analysis({});
  const trait_list request{kRequest.front(), kPart};
  for (std::uint32_t i = 0; i < 3; ++i) {
    const time_point at = kStart + seconds(4 * i);
    BOOST_TEST(!IsRefused(analysis, request, at));
    analysis.OnCrash(request, i, answer_progress::kUnanswered, at);
    analysis.OnAnswered({9'000'000 + i, kPart}, at + seconds(1));
  }
  BOOST_TEST(IsRefused(analysis, request, kStart + seconds(10)));
  BOOST_TEST(!IsRefused(analysis, {9'000'100, kPart}, kStart + seconds(10)));
}

// Guards against crashes that are credited to one of two requests that were on the same units, so
// that the other one goes on.
BOOST_AUTO_TEST_CASE(each_request_on_all_crashed_units_is_refused) {
  crash_analysis analysis({});
  for (std::uint32_t i = 0; i < 3; ++i) {
    const time_point at = kStart + seconds(4 * i);
    analysis.OnCrash(kOther, i, answer_progress::kUnanswered, at);
    analysis.OnCrash(kRequest, i, answer_progress::kUnanswered, at);
  }
  BOOST_TEST(IsRefused(analysis, kRequest, kStart + seconds(9)));
  analysis.OnAnswered(kOther, kStart + seconds(9));
  BOOST_TEST(!IsRefused(analysis, kOther, kStart + seconds(9)));
  BOOST_TEST(IsRefused(analysis, kRequest, kStart + seconds(9)));
}

// Guards against a request that runs on several units at once, because its caller repeats it, and
// ends all of them within some milliseconds.
BOOST_AUTO_TEST_CASE(a_request_on_each_of_the_units_that_end_together_is_refused) {
  crash_analysis analysis({});
  for (std::uint32_t i = 0; i < 3; ++i) {
    analysis.OnCrash(kRequest, i, answer_progress::kUnanswered, kStart + milliseconds(18 * i),
                     {.ran = milliseconds(80)});
  }
  BOOST_TEST(IsRefused(analysis, kRequest, kStart + milliseconds(36)));
}

// Guards against refusing a request that is popular, so that it is on each unit that ends, unless
// it was sent there as another one ended.
BOOST_AUTO_TEST_CASE(a_request_answered_before_is_not_refused_when_units_end_together) {
  crash_analysis analysis({});
  analysis.OnAnswered(kRequest, kStart - seconds(1));
  for (std::uint32_t i = 0; i < 4; ++i) {
    analysis.OnCrash(kRequest, i, answer_progress::kUnanswered, kStart + milliseconds(30 * i),
                     {.ran = milliseconds(140)});
  }
  BOOST_TEST(!IsRefused(analysis, kRequest, kStart + milliseconds(200)));
}

// Guards against refusing a sound request that is sent on to units which had ended before it came.
BOOST_AUTO_TEST_CASE(attempts_at_units_that_have_ended_already_are_no_evidence) {
  crash_analysis analysis({});
  for (std::uint32_t i = 0; i < 6; ++i) {
    analysis.OnCrash(kRequest, i, answer_progress::kUnanswered, kStart + milliseconds(20 * i),
                     {.ran = milliseconds(i == 0 ? 60 : 3)});
  }
  BOOST_TEST(!IsRefused(analysis, kRequest, kStart + milliseconds(120)));
}

// Guards against refusing a sound request that follows a failure domain whose units end one after
// the other, with others on which it never was.
BOOST_AUTO_TEST_CASE(units_that_end_without_the_request_show_another_cause) {
  crash_analysis analysis({});
  for (std::uint32_t i = 0; i < 6; ++i) {
    const trait_list& request = i % 2 == 0 ? kRequest : kOther;
    analysis.OnCrash(request, i, answer_progress::kUnanswered, kStart + milliseconds(25 * i),
                     {.ran = milliseconds(24)});
  }
  BOOST_TEST(!IsRefused(analysis, kRequest, kStart + milliseconds(150)));
}

// Guards against gateways that judge differently because they do not know how long the attempts of
// the others had run.
BOOST_AUTO_TEST_CASE(a_digest_tells_how_long_an_attempt_had_run) {
  crash_analysis observer({.observer = 1});
  crash_analysis other({.observer = 2});
  for (std::uint32_t i = 0; i < 4; ++i) {
    observer.OnCrash(kRequest, i, answer_progress::kUnanswered, kStart + milliseconds(20 * i),
                     {.ran = milliseconds(i == 0 ? 60 : 3)});
  }
  const time_point now = kStart + milliseconds(60);
  other.Merge(*DecodeCrashDigest(EncodeCrashDigest(observer.MakeDigest(now))), now);
  BOOST_TEST(!IsRefused(other, kRequest, now));
}

// Guards against a plain upstream that is back soon: its next crashes used to be taken for late
// failures of the first one, as by the other ranks of a group.
BOOST_AUTO_TEST_CASE(crashes_of_a_plain_upstream_that_restarts_quickly_count) {
  constexpr std::uint32_t kUnit = 1;
  for (const bool is_group : {false, true}) {
    crash_analysis analysis({});
    for (int i = 0; i < 3; ++i) {
      analysis.OnCrash(kRequest, kUnit, answer_progress::kUnanswered,
                       kStart + i * milliseconds(700),
                       {.ran = milliseconds(80), .is_group = is_group});
    }
    BOOST_TEST(IsRefused(analysis, kRequest, kStart + milliseconds(1400)) == !is_group);
  }
}

// Guards against a gateway that forgets which prompt parts are sound, because it has answered many
// requests without parts.
BOOST_AUTO_TEST_CASE(answers_to_plain_requests_do_not_displace_those_to_prompt_parts) {
  constexpr std::uint64_t kPart = 300;
  crash_analysis analysis({.observer = 1});
  analysis.OnAnswered({1, kPart}, kStart);
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    analysis.OnAnswered({10'000 + i}, kStart + milliseconds(i));
  }
  BOOST_TEST(!analysis.UnprovenPart({2, kPart}).has_value());
  crash_analysis started({.observer = 2});
  for (const answer_digest& digest : analysis.LatestAnswers(kStart + seconds(20))) {
    started.Merge(digest, kStart + seconds(20));
  }
  BOOST_TEST(!started.UnprovenPart({2, kPart}).has_value());
}

// Guards against a request that ends several ranks of one group at once, because its caller repeats
// it, and counts as one crash each time.
BOOST_AUTO_TEST_CASE(ranks_of_a_group_that_end_at_once_under_the_request_count_each) {
  constexpr std::uint32_t kGroup = 1;
  for (const bool are_several : {false, true}) {
    crash_analysis analysis({});
    for (std::uint32_t i = 0; i < 3; ++i) {
      analysis.OnCrash(kRequest, kGroup, answer_progress::kUnanswered,
                       kStart + milliseconds(18 * i),
                       {.upstream = are_several ? i : 0, .ran = milliseconds(80)});
    }
    BOOST_TEST(IsRefused(analysis, kRequest, kStart + milliseconds(36)) == are_several);
  }
}

// Guards against refusing a request that was on one of several units that ended together.
BOOST_AUTO_TEST_CASE(units_that_end_together_are_one_crash_for_a_request_on_one_of_them) {
  crash_analysis analysis({});
  for (std::uint32_t event = 0; event < 2; ++event) {
    const time_point at = kStart + seconds(5 * event);
    analysis.OnCrash(kRequest, 10 * event, answer_progress::kUnanswered, at);
    for (std::uint32_t i = 1; i < 5; ++i) {
      analysis.OnCrash({8'000'000 + 10 * event + i}, 10 * event + i, answer_progress::kUnanswered,
                       at + milliseconds(20 * i));
    }
  }
  BOOST_TEST(!IsRefused(analysis, kRequest, kStart + seconds(6)));
}

}  // namespace
}  // namespace berylbarrow
