#include "berylbarrow/request/suspect/crash_analysis.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <numeric>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};
constexpr std::uint32_t kUnit = 1;
constexpr std::uint32_t kOtherUnit = 2;
// Prompt parts.
constexpr std::uint64_t kBeginning = 101;
constexpr std::uint64_t kOtherBeginning = 102;
constexpr std::uint64_t kDeadly = 200;

/// Traits of a request that no other request equals.
trait_list Request(std::vector<std::uint64_t> parts) {
  static std::uint64_t fingerprint = 1'000'000;
  parts.insert(parts.begin(), ++fingerprint);
  return parts;
}

crash_permission Permission(const crash_analysis& analysis, const trait_list& traits,
                            time_point now, bool is_trial_owner = false) {
  return analysis.Check(traits, is_trial_owner, now).permission;
}

bool IsRefused(const crash_analysis& analysis, const trait_list& traits, time_point now) {
  return Permission(analysis, traits, now) == crash_permission::kRefused;
}

// Guards against requests that share a deadly prompt part and crash one upstream after the other,
// because no two of them are alike.
BOOST_AUTO_TEST_CASE(other_requests_with_the_part_of_the_only_started_request_are_refused) {
  crash_analysis analysis({});
  analysis.OnAnswered(Request({kBeginning}), kStart);
  const time_point crash = kStart + seconds(1);
  analysis.OnCrash(Request({kBeginning, kDeadly}), kUnit, answer_progress::kStarted, crash);
  BOOST_TEST(IsRefused(analysis, Request({kBeginning, kDeadly}), crash));
  BOOST_TEST(IsRefused(analysis, Request({kOtherBeginning, kDeadly}), crash));
}

// Guards against refusing whatever shares a client account or the beginning of a prompt with the
// request that crashed its upstream.
BOOST_AUTO_TEST_CASE(requests_that_share_only_answered_parts_are_not_restricted) {
  crash_analysis analysis({});
  analysis.OnAnswered(Request({kBeginning}), kStart);
  const time_point crash = kStart + seconds(1);
  analysis.OnCrash(Request({kBeginning, kDeadly}), kUnit, answer_progress::kStarted, crash);
  BOOST_TEST(
      (Permission(analysis, Request({kBeginning}), crash) == crash_permission::kUnrestricted));
}

// Guards against a second crash when two requests with a deadly part were on the same upstream.
BOOST_AUTO_TEST_CASE(a_part_that_all_started_requests_share_is_refused_after_one_crash) {
  crash_analysis analysis({});
  analysis.OnAnswered(Request({kBeginning}), kStart);
  const time_point crash = kStart + seconds(1);
  for (std::uint64_t beginning : {kBeginning, kOtherBeginning}) {
    analysis.OnCrash(Request({beginning, kDeadly}), kUnit, answer_progress::kStarted, crash);
  }
  BOOST_TEST(IsRefused(analysis, Request({103, kDeadly}), crash));
  BOOST_TEST(!IsRefused(analysis, Request({kOtherBeginning}), crash));
}

// Guards against requests that spread over the fleet before it is known that they crash upstreams.
BOOST_AUTO_TEST_CASE(the_last_shared_part_without_an_answer_is_unproven) {
  crash_analysis analysis({});
  BOOST_TEST((analysis.UnprovenPart(Request({})) == std::nullopt));
  BOOST_TEST((analysis.UnprovenPart(Request({kBeginning, kDeadly})) == kDeadly));
  analysis.OnAnswered(Request({kDeadly}), kStart);
  BOOST_TEST((analysis.UnprovenPart(Request({kBeginning, kDeadly})) == kBeginning));
  analysis.OnAnswered(Request({kBeginning}), kStart);
  BOOST_TEST((analysis.UnprovenPart(Request({kBeginning, kDeadly})) == std::nullopt));
}

// Guards against blaming a beginning that has no answer yet: only requests with all the parts of
// the suspect are refused until a second crash tells the parts apart.
BOOST_AUTO_TEST_CASE(the_next_crash_separates_the_deadly_part_from_an_unknown_beginning) {
  crash_analysis analysis({});
  analysis.OnCrash(Request({kBeginning, kDeadly}), kUnit, answer_progress::kStarted, kStart);
  BOOST_TEST(IsRefused(analysis, Request({kBeginning, kDeadly}), kStart));
  BOOST_TEST(!IsRefused(analysis, Request({kBeginning}), kStart));
  BOOST_TEST(!IsRefused(analysis, Request({kOtherBeginning, kDeadly}), kStart));
  const time_point second = kStart + seconds(4);
  analysis.OnCrash(Request({kOtherBeginning, kDeadly}), kUnit, answer_progress::kStarted, second);
  BOOST_TEST(IsRefused(analysis, Request({103, kDeadly}), second));
  BOOST_TEST(!IsRefused(analysis, Request({kBeginning}), second));
  BOOST_TEST(!IsRefused(analysis, Request({kOtherBeginning}), second));
}

// Guards against blaming the requests that were on the upstream beside the one that crashed it.
BOOST_AUTO_TEST_CASE(requests_without_an_answer_are_not_accused_beside_a_started_one) {
  crash_analysis analysis({});
  const trait_list beside = Request({kOtherBeginning});
  for (int i = 0; i < 4; ++i) {
    const time_point crash = kStart + seconds(4 * i);
    analysis.OnCrash(beside, kUnit, answer_progress::kUnanswered, crash);
    analysis.OnCrash(Request({kBeginning, kDeadly}), kUnit, answer_progress::kStarted, crash);
  }
  BOOST_TEST(
      (Permission(analysis, beside, kStart + seconds(13)) == crash_permission::kUnrestricted));
}

// Guards against refusing requests that fail repeatedly because others crash their upstreams.
BOOST_AUTO_TEST_CASE(an_answer_clears_all_traits_of_the_request) {
  crash_analysis analysis({});
  const trait_list request = Request({kBeginning});
  for (int i = 0; i < 2; ++i) {
    analysis.OnCrash(request, kUnit, answer_progress::kUnanswered, kStart + seconds(4 * i));
  }
  analysis.OnAnswered(Request({kBeginning}), kStart + seconds(5));
  analysis.OnCrash(request, kUnit, answer_progress::kUnanswered, kStart + seconds(8));
  BOOST_TEST(!IsRefused(analysis, Request({kBeginning}), kStart + seconds(8)));
}

// Guards against forgetting later crashes: an answer used to clear a request for good.
BOOST_AUTO_TEST_CASE(crashes_after_an_answer_count_again) {
  crash_analysis analysis({});
  const trait_list request = Request({kBeginning});
  analysis.OnCrash(request, kUnit, answer_progress::kUnanswered, kStart);
  analysis.OnAnswered(request, kStart + seconds(1));
  for (int i = 1; i <= 3; ++i) {
    analysis.OnCrash(request, kUnit, answer_progress::kUnanswered, kStart + seconds(4 * i));
  }
  BOOST_TEST(IsRefused(analysis, request, kStart + seconds(12)));
}

// Guards against a single request that crashes each upstream of a plain service before it answers.
BOOST_AUTO_TEST_CASE(a_request_without_any_answer_is_refused_after_three_crashes) {
  crash_analysis analysis({});
  const trait_list request = Request({});
  for (std::uint32_t i = 0; i < 3; ++i) {
    BOOST_TEST(!IsRefused(analysis, request, kStart + seconds(i)));
    analysis.OnCrash(request, i, answer_progress::kUnanswered, kStart + seconds(i));
  }
  BOOST_TEST(IsRefused(analysis, request, kStart + seconds(3)));
}

// Guards against blaming requests for the loss of a failure domain, which ends many upstreams.
BOOST_AUTO_TEST_CASE(upstreams_that_crash_at_the_same_moment_count_once) {
  crash_analysis analysis({});
  for (std::uint32_t unit = 0; unit < 6; ++unit) {
    analysis.OnCrash(Request({kBeginning}), unit, answer_progress::kUnanswered,
                     kStart + milliseconds(10 * unit));
  }
  BOOST_TEST(!IsRefused(analysis, Request({kBeginning}), kStart + seconds(1)));
}

// Guards against counting the other ranks of a group, which fail some time after the one that
// crashed, as further crashes.
BOOST_AUTO_TEST_CASE(failures_in_the_aftermath_of_a_crash_accuse_nobody) {
  crash_analysis analysis({});
  const trait_list beside = Request({kBeginning});
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  analysis.OnCrash(beside, kUnit, answer_progress::kStarted, kStart + milliseconds(1500));
  BOOST_TEST(
      (Permission(analysis, beside, kStart + seconds(2)) == crash_permission::kUnrestricted));
}

// Guards against a second outage by a request that is suspected with others: it runs again only
// where the crash has already happened, one at a time.
BOOST_AUTO_TEST_CASE(one_of_several_started_requests_runs_only_as_a_trial) {
  crash_analysis analysis({});
  const trait_list first = Request({kDeadly});
  const trait_list second = Request({kBeginning});
  analysis.OnCrash(first, kUnit, answer_progress::kStarted, kStart);
  analysis.OnCrash(second, kUnit, answer_progress::kStarted, kStart);
  const time_point later = kStart + seconds(4);
  const crash_verdict trial = analysis.Check(Request({kDeadly}), false, later);
  BOOST_TEST((trial.permission == crash_permission::kTrial));
  BOOST_TEST(trial.unit == kUnit);
  analysis.OnTrialSent(trial.suspect, later);
  BOOST_TEST((Permission(analysis, Request({kDeadly}), later) == crash_permission::kOnHold));
  BOOST_TEST(
      (Permission(analysis, Request({kDeadly}), later + seconds(2)) == crash_permission::kTrial));
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, later);
  BOOST_TEST(IsRefused(analysis, Request({kDeadly}), later));
  BOOST_TEST(
      (Permission(analysis, second, kStart + seconds(16)) == crash_permission::kUnrestricted));
}

// Guards against a part that stays refused after it was mended, and against trials by many
// gateways at the same time.
BOOST_AUTO_TEST_CASE(a_mended_part_comes_back_through_a_trial_of_one_gateway) {
  crash_analysis owner({.observer = 1});
  crash_analysis other({.observer = 2});
  owner.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  other.Merge(owner.MakeDigest(kStart), kStart);
  const time_point later = kStart + seconds(31);
  BOOST_TEST((Permission(owner, Request({kDeadly}), later, true) == crash_permission::kTrial));
  BOOST_TEST(IsRefused(other, Request({kDeadly}), later));
  owner.OnAnswered(Request({kDeadly}), later);
  BOOST_TEST(owner.HasNews());
  other.Merge(owner.MakeDigest(later), later);
  BOOST_TEST((Permission(other, Request({kDeadly}), later) == crash_permission::kUnrestricted));
}

BOOST_AUTO_TEST_CASE(the_time_of_refusal_doubles_with_each_further_crash) {
  crash_analysis analysis({});
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  const time_point second = kStart + seconds(31);
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, second);
  const trait_list request = Request({kDeadly});
  BOOST_TEST(
      (Permission(analysis, request, second + seconds(59), true) == crash_permission::kRefused));
  BOOST_TEST(
      (Permission(analysis, request, second + seconds(61), true) == crash_permission::kTrial));
}

// Guards against a gateway that starts later and lets the part through again.
BOOST_AUTO_TEST_CASE(a_digest_passes_on_what_other_gateways_have_observed) {
  crash_analysis first({.observer = 1});
  crash_analysis second({.observer = 2});
  first.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  second.Merge(first.MakeDigest(kStart), kStart);
  crash_analysis late({.observer = 3});
  late.Merge(second.MakeDigest(kStart + seconds(9)), kStart + seconds(9));
  BOOST_TEST(IsRefused(late, Request({kDeadly}), kStart + seconds(10)));
  BOOST_TEST(!IsRefused(late, Request({kBeginning}), kStart + seconds(10)));
}

// Guards against counting a crash twice whose report was read late, as by a process that was
// frozen.
BOOST_AUTO_TEST_CASE(a_delayed_and_repeated_report_is_the_same_crash) {
  crash_analysis first({.observer = 1});
  crash_analysis second({.observer = 2});
  first.OnCrash(Request({kBeginning}), kUnit, answer_progress::kUnanswered, kStart);
  const crash_digest early = first.MakeDigest(kStart);
  for (const int delay_s : {9, 6, 3}) second.Merge(early, kStart + seconds(delay_s));
  BOOST_TEST(second.ObservationCount() == 1U);
  BOOST_TEST(second.State(kStart + seconds(9)).front()["crashes"] == 1);
}

// Guards against counting only the crashes that one gateway has observed itself.
BOOST_AUTO_TEST_CASE(a_request_is_refused_after_three_crashes_over_all_observers) {
  const trait_list request = Request({});
  crash_analysis analysis({.observer = 1});
  analysis.OnCrash(request, 1, answer_progress::kUnanswered, kStart);
  for (std::uint32_t observer : {7U, 8U}) {
    BOOST_TEST(!IsRefused(analysis, request, kStart + seconds(observer)));
    crash_analysis other({.observer = observer});
    other.OnCrash(request, observer, answer_progress::kUnanswered, kStart + seconds(observer));
    analysis.Merge(other.MakeDigest(kStart + seconds(observer)), kStart + seconds(observer));
  }
  BOOST_TEST(IsRefused(analysis, request, kStart + seconds(8)));
}

// Guards against news that wait for their turn.
BOOST_AUTO_TEST_CASE(digests_are_bounded_and_begin_with_the_latest_crash) {
  crash_analysis analysis({.observer = 1});
  for (std::uint32_t i = 0; i < 200; ++i) {
    analysis.OnCrash(Request({}), i, answer_progress::kUnanswered, kStart + seconds(i));
  }
  const crash_digest digest = analysis.MakeDigest(kStart + seconds(200));
  BOOST_TEST_REQUIRE(!digest.crashes.empty());
  BOOST_TEST(digest.crashes.front().age_ms == 1000U);
  BOOST_TEST(EncodeCrashDigest(digest).size() <= 1400U);
}

/// Many crashes, each with requests that merely ran beside it and were answered later.
void CrashWithOthers(crash_analysis& analysis, int crashes, time_point from) {
  for (int i = 0; i < crashes; ++i) {
    const time_point at = from + seconds(4 * i);
    std::vector<trait_list> beside;
    for (std::uint64_t j = 0; j < 16; ++j) beside.push_back(Request({kBeginning, 1000 + j, 2000}));
    for (const trait_list& request : beside) {
      analysis.OnCrash(request, kOtherUnit, answer_progress::kUnanswered, at);
    }
    for (const trait_list& request : beside) analysis.OnAnswered(request, at + seconds(1));
  }
}

// Guards against a fleet that forgets a deadly part when its gateways are restarted one after the
// other, because the digests are full of crashes that accuse nobody any more.
BOOST_AUTO_TEST_CASE(one_digest_tells_of_a_deadly_part_before_many_other_crashes) {
  crash_analysis analysis({.observer = 1});
  analysis.OnAnswered(Request({kBeginning}), kStart);
  analysis.OnCrash(Request({kBeginning, kDeadly}), kUnit, answer_progress::kStarted,
                   kStart + seconds(1));
  CrashWithOthers(analysis, 40, kStart + seconds(5));
  const time_point now = kStart + seconds(200);
  crash_analysis late({.observer = 2});
  late.Merge(analysis.MakeDigest(now), now);
  BOOST_TEST(IsRefused(late, Request({kOtherBeginning, kDeadly}), now));
  BOOST_TEST(!IsRefused(late, Request({kBeginning}), now));
}

// Guards against losing what is known of a deadly part to the many observations that a large fleet
// makes of each other crash.
BOOST_AUTO_TEST_CASE(a_deadly_part_outlasts_the_observations_of_many_gateways) {
  crash_analysis analysis({.observer = 1});
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  for (std::uint64_t observer = 2; observer < 340; ++observer) {
    crash_analysis other({.observer = observer});
    const time_point at = kStart + seconds(10) + milliseconds(observer / 4);
    other.OnCrash(Request({kBeginning}), kOtherUnit, answer_progress::kUnanswered, at);
    analysis.Merge(other.MakeDigest(at), at);
  }
  BOOST_TEST(IsRefused(analysis, Request({kDeadly}), kStart + seconds(11)));
  BOOST_TEST(analysis.ObservationCount() <= 96U);
}

// Guards against observations of a second deadly part that find no room beside those of the first.
BOOST_AUTO_TEST_CASE(a_second_deadly_part_is_found_after_many_crashes_of_the_first) {
  crash_analysis analysis({.observer = 1});
  for (int i = 0; i < 120; ++i) {
    analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart + seconds(4 * i));
  }
  const time_point later = kStart + seconds(500);
  analysis.OnCrash(Request({kDeadly + 1}), kUnit, answer_progress::kStarted, later);
  BOOST_TEST(IsRefused(analysis, Request({kDeadly}), later));
  BOOST_TEST(IsRefused(analysis, Request({kDeadly + 1}), later));
}

// Guards against a deadly part that goes unseen because more requests were on the upstream than
// there are places for suspects.
BOOST_AUTO_TEST_CASE(a_deadly_part_is_found_among_the_requests_of_many_gateways) {
  crash_analysis analysis({.observer = 10'000});
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    const time_point at = kStart + seconds(4 * crash);
    std::vector<trait_list> beside;
    for (std::uint64_t observer = 2; observer < 12; ++observer) {
      crash_analysis other({.observer = 100 * crash + observer});
      for (std::uint64_t i = 0; i < 8; ++i) {
        beside.push_back(Request({1000 * crash + 10 * observer + i}));
        other.OnCrash(beside.back(), kUnit, answer_progress::kUnanswered, at);
      }
      analysis.Merge(other.MakeDigest(at), at);
    }
    analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kUnanswered, at);
    for (const trait_list& request : beside) analysis.OnAnswered(request, at + seconds(2));
  }
  BOOST_TEST(IsRefused(analysis, Request({kDeadly}), kStart + seconds(12)));
  BOOST_TEST(analysis.SuspectCount() <= 64U);
}

// Guards against a large observation that keeps all others out of the digests.
BOOST_AUTO_TEST_CASE(an_observation_of_many_long_prompts_fits_a_digest_in_part) {
  crash_analysis analysis({.observer = 1});
  std::uint64_t part = 1000;
  for (int i = 0; i < 16; ++i) {
    std::vector<std::uint64_t> parts(32);
    for (std::uint64_t& each : parts) each = ++part;
    analysis.OnCrash(Request(parts), kUnit, answer_progress::kUnanswered, kStart);
  }
  const crash_digest digest = analysis.MakeDigest(kStart);
  BOOST_TEST_REQUIRE(digest.crashes.size() == 1U);
  BOOST_TEST(!digest.crashes.front().unanswered.empty());
  BOOST_TEST(EncodeCrashDigest(digest).size() <= 1400U);
}

// Guards against growth without bound, and against digests that do not fit a datagram.
BOOST_AUTO_TEST_CASE(memory_and_digests_are_bounded) {
  crash_analysis analysis({.observer = 1});
  std::uint64_t part = 1;
  for (int i = 0; i < 2000; ++i) {
    const time_point now = kStart + seconds(i);
    for (int j = 0; j < 30; ++j) {
      analysis.OnCrash(Request({part, part + 1}), kUnit, answer_progress::kUnanswered, now);
      part += 2;
    }
    for (int j = 0; j < 20; ++j) analysis.OnAnswered(Request({part++}), now);
    BOOST_TEST_REQUIRE(EncodeCrashDigest(analysis.MakeDigest(now)).size() <= 1400U);
  }
  BOOST_TEST(analysis.ObservationCount() <= 96U);
  BOOST_TEST(analysis.SuspectCount() <= 64U);
  BOOST_TEST(analysis.AnsweredCount() <= 4096U + 96U * 16U * 3U);
  analysis.Expire(kStart + std::chrono::hours(3));
  BOOST_TEST(analysis.ObservationCount() == 0U);
  BOOST_TEST(analysis.SuspectCount() == 0U);
  BOOST_TEST(analysis.AnsweredCount() == 0U);
}

BOOST_AUTO_TEST_CASE(fingerprints_distinguish_the_parts_of_a_request) {
  BOOST_TEST(RequestFingerprint("GET", "/a", "x", "") != RequestFingerprint("GET", "/", "ax", ""));
  BOOST_TEST(RequestFingerprint("GET", "/a", "x", "b") ==
             RequestFingerprint("GET", "/a", "x", "b"));
}

// Guards against a gateway that takes the parts which others have answered for unknown risks.
BOOST_AUTO_TEST_CASE(parts_that_another_gateway_has_answered_are_proven) {
  crash_analysis first({.observer = 1});
  crash_analysis second({.observer = 2});
  first.OnAnswered(Request({kBeginning, kOtherBeginning}), kStart);
  first.OnAnswered(Request({kBeginning}), kStart + seconds(1));
  const answer_digest digest = first.TakeFirstAnswers(kStart + seconds(1));
  BOOST_TEST(digest.answers.size() == 2U);
  BOOST_TEST(first.TakeFirstAnswers(kStart + seconds(1)).answers.empty());
  second.Merge(*DecodeAnswerDigest(EncodeAnswerDigest(digest)), kStart + seconds(1));
  BOOST_TEST(!second.UnprovenPart(Request({kBeginning, kOtherBeginning})).has_value());
  second.OnAnswered(Request({kBeginning}), kStart + seconds(2));
  BOOST_TEST(second.TakeFirstAnswers(kStart + seconds(2)).answers.empty());
}

// A part that was answered before it was accused is not refused after a single crash.
BOOST_AUTO_TEST_CASE(a_part_that_another_gateway_has_answered_is_not_refused_after_one_crash) {
  crash_analysis first({.observer = 1});
  crash_analysis second({.observer = 2});
  first.OnAnswered(Request({kBeginning}), kStart);
  second.Merge(first.TakeFirstAnswers(kStart + seconds(1)), kStart + seconds(1));
  const time_point crash = kStart + seconds(2);
  second.OnCrash(Request({kBeginning}), kUnit, answer_progress::kStarted, crash);
  BOOST_TEST(!IsRefused(second, Request({kBeginning}), crash));
}

BOOST_AUTO_TEST_CASE(first_answers_that_do_not_fit_a_digest_follow_with_the_next) {
  crash_analysis analysis({.max_digest_bytes = 120});
  std::vector<std::uint64_t> parts(25);
  std::iota(parts.begin(), parts.end(), kBeginning);
  analysis.OnAnswered(Request(parts), kStart);
  BOOST_TEST(analysis.TakeFirstAnswers(kStart).answers.size() == 10U);
  BOOST_TEST(analysis.TakeFirstAnswers(kStart).answers.size() == 10U);
  BOOST_TEST(analysis.TakeFirstAnswers(kStart).answers.size() == 5U);
}

// Guards against a gateway that starts later and takes all parts for unknown risks.
BOOST_AUTO_TEST_CASE(the_latest_answers_tell_a_new_gateway_of_the_proven_parts) {
  crash_analysis known({.observer = 1, .max_digest_bytes = 120, .max_answer_digests = 2});
  for (std::uint64_t i = 0; i < 50; ++i) {
    known.OnAnswered(Request({kBeginning + i}), kStart + milliseconds(i));
  }
  const time_point later = kStart + seconds(1);
  const std::vector<answer_digest> digests = known.LatestAnswers(later);
  BOOST_TEST(digests.size() == 2U);
  crash_analysis started({.observer = 2});
  for (const answer_digest& digest : digests) started.Merge(digest, later);
  BOOST_TEST(started.AnsweredCount() == 20U);
  BOOST_TEST(!started.UnprovenPart(Request({kBeginning + 49})).has_value());
  BOOST_TEST(started.UnprovenPart(Request({kBeginning})).has_value());
}

// Guards against a group that is overloaded by unproven requests when all parts are new, and
// against two deadly parts that crash a group each.
BOOST_AUTO_TEST_CASE(requests_with_unproven_parts_share_a_unit_while_they_are_rare) {
  crash_analysis analysis({});
  const auto affinity = [&](std::uint64_t part) { return analysis.RiskAffinity(Request({part})); };
  BOOST_TEST((affinity(kDeadly) != affinity(kBeginning)));
  analysis.OnAnswered(Request({kOtherBeginning}), kStart);
  for (int i = 0; i < 30; ++i) analysis.OnRequest(Request({kOtherBeginning}));
  BOOST_TEST((affinity(kDeadly) == affinity(kBeginning)));
  BOOST_TEST((affinity(kOtherBeginning) == std::nullopt));
  for (int i = 0; i < 10; ++i) analysis.OnRequest(Request({kDeadly}));
  BOOST_TEST((affinity(kDeadly) != affinity(kBeginning)));
}

BOOST_AUTO_TEST_CASE(
    unproven_requests_are_risky_for_a_while_after_a_request_has_crashed_its_upstream) {
  crash_analysis analysis({});
  analysis.OnAnswered(Request({kBeginning}), kStart);
  for (int i = 0; i < 10; ++i) analysis.OnRequest(Request({kBeginning}));
  const trait_list unproven = Request({kOtherBeginning});
  BOOST_TEST(!analysis.IsRisky(unproven, kStart));
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kUnanswered, kStart);
  BOOST_TEST(!analysis.IsRisky(unproven, kStart));
  analysis.OnCrash(Request({kDeadly}), kOtherUnit, answer_progress::kStarted, kStart);
  BOOST_TEST(analysis.IsRisky(unproven, kStart + seconds(4)));
  BOOST_TEST(!analysis.IsRisky(Request({kBeginning}), kStart + seconds(4)));
  BOOST_TEST(!analysis.IsRisky(unproven, kStart + seconds(6)));
}

// Guards against a gateway that has started and refuses most requests, as it knows few answers yet.
BOOST_AUTO_TEST_CASE(no_request_is_risky_while_most_have_unproven_parts) {
  crash_analysis analysis({});
  analysis.OnCrash(Request({kDeadly}), kUnit, answer_progress::kStarted, kStart);
  BOOST_TEST(!analysis.IsRisky(Request({kBeginning}), kStart));
}

}  // namespace
}  // namespace berylbarrow
