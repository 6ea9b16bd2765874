#ifndef BERYLBARROW_REQUEST_SUSPECT_CRASH_ANALYSIS_H_
#define BERYLBARROW_REQUEST_SUSPECT_CRASH_ANALYSIS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/request/suspect/answer_history.h"
#include "berylbarrow/request/suspect/crash_digest.h"
#include "berylbarrow/request/suspect/crash_suspect.h"

namespace berylbarrow {

/// How far the answer to a request had come when its upstream crashed.
enum class answer_progress : std::uint8_t {
  kUnanswered,  // no byte had arrived
  kStarted,     // it had started unusually long ago for an answer without a complete event
};

/// Whether a request may be sent, given the crashes known so far.
enum class crash_permission : std::uint8_t {
  kUnrestricted,
  kTrial,   // only to the failure unit that crashed last
  kOnHold,  // not before a trial of a similar request has given a result
  kRefused,
};

/// An attempt that failed because the connection to its upstream broke.
struct broken_run {
  std::uint32_t upstream = 0;              // hash of its id
  duration ran = std::chrono::minutes(1);  // from its dispatch to the failure
  bool is_group = true;  // the failure unit has other upstreams, which fail some time later
  auto operator<=>(const broken_run&) const = default;
};

struct crash_verdict {
  crash_permission permission = crash_permission::kUnrestricted;
  std::uint32_t unit = 0;     // to which a trial is limited
  std::uint64_t suspect = 0;  // identifies the suspect that the request matches
  auto operator<=>(const crash_verdict&) const = default;
};

struct crash_analysis_options {
  std::uint64_t observer = 0;  // incarnation of this gateway
  /// Attempts that fail within this time of each other may have the same cause.
  duration same_cause = std::chrono::milliseconds(150);
  /// Units that end within this time of each other end together. Covers the difference between the
  /// times at which gateways notice a crash.
  duration same_moment = std::chrono::milliseconds(10);
  /// An attempt that broke sooner, just after another unit had ended, was probably sent to a unit
  /// that had ended as well.
  duration min_run = std::chrono::milliseconds(10);
  /// The other ranks of a group fail up to this time after the one that crashed.
  duration aftermath = std::chrono::milliseconds(2500);
  /// Crashes from which a request is refused.
  std::uint32_t refusal_threshold = 3;
  /// The same for crashes in which its answer had started.
  std::uint32_t started_refusal_threshold = 2;
  /// Time after its last crash in which a suspect below the thresholds runs only as a trial.
  duration trial_period = std::chrono::seconds(15);
  /// Time after its last crash in which a suspect is refused; doubles with each further crash.
  /// Then one gateway tries it.
  duration initial_refusal = std::chrono::seconds(30);
  duration max_refusal = std::chrono::minutes(16);
  /// Share of requests with unproven parts up to which the other requests can even out the load
  /// of the failure units.
  double rare_unproven_share = 0.4;
  /// Share of requests with unproven parts above which none of them is kept from upstreams.
  double max_refusable_share = 0.7;
  /// Time after a crash by a request in which others are likely.
  duration recent_crash_period = std::chrono::seconds(5);
  /// A trial without a result no longer keeps others waiting after this time.
  duration trial_timeout = std::chrono::seconds(2);
  /// An observation is forgotten after this time.
  duration retention = std::chrono::minutes(40);
  std::size_t max_observations = 96;
  std::size_t max_requests_per_observation = 16;
  std::size_t max_suspects = 64;
  std::size_t max_answered = 4096;
  /// Whole requests without shared parts, which were answered and not accused.
  std::size_t max_answered_requests = 1024;
  std::size_t max_digest_bytes = 1200;
  /// Digests of the latest answers for a gateway that has started.
  std::size_t max_answer_digests = 8;
};

/// Finds the requests that crash upstreams, from the attempts that failed with each crash and the
/// answers since, as observed by all gateways. Must be used on a single thread.
///
/// Each crash accuses the requests whose answer had started without a complete event or, if there
/// are none, those without any answer. A single request of the first kind is refused at once if no
/// part of it was ever answered. A suspect is the set of traits that one accused request of each of
/// its crashes has, without those that were answered since; once all of them were answered, the
/// suspect is cleared and its crashes accuse nobody else. A request matches a suspect if it has all
/// its traits. The crashes of whole requests that come again are counted apart, see repeat_search.
class crash_analysis {
 public:
  explicit crash_analysis(const crash_analysis_options& options)
      : options_(options),
        answers_(options.max_answered),
        answered_requests_(options.max_answered_requests) {}

  /// An attempt failed because the connection to an upstream of the failure unit broke.
  void OnCrash(const trait_list& traits, std::uint32_t unit, answer_progress progress,
               time_point now, const broken_run& run = {});
  /// An event or a whole answer has arrived, so none of these traits crashes upstreams. Returns
  /// whether one of them was accused.
  bool OnAnswered(const trait_list& traits, time_point now);
  /// `is_trial_owner`: whether this gateway is the one that tries refused suspects.
  crash_verdict Check(const trait_list& traits, bool is_trial_owner, time_point now) const;
  /// The last of the shared parts of a request (all traits but the first) of which no answer is
  /// known, so that it may crash upstreams. Nothing if there is none.
  std::optional<std::uint64_t> UnprovenPart(const trait_list& traits) const;
  /// Counts a new request, for the share of those with unproven parts.
  void OnRequest(const trait_list& traits);
  /// Requests with the same value should run on the same failure unit. While requests with unproven
  /// parts are rare, all of them have the same value, otherwise those with the same part, so that
  /// they do not overload one unit. Nothing if the request has no unproven part.
  std::optional<std::uint64_t> RiskAffinity(const trait_list& traits) const;
  /// Whether the request has an unproven part, others have crashed upstreams recently, and most
  /// requests are known to be sound.
  bool IsRisky(const trait_list& traits, time_point now) const;
  /// A request with the permission kTrial was sent.
  void OnTrialSent(std::uint64_t suspect, time_point now);

  /// Increases whenever the suspects have changed.
  std::uint64_t Revision() const;
  bool HasObservations() const { return !observations_.empty(); }
  /// Whether other gateways should be told at once, since the last call of MakeDigest().
  bool HasNews() const { return has_news_; }
  /// The latest observation of this gateway and others, then those that refused suspects rest on,
  /// then others by turns, as many as fit, and answers.
  crash_digest MakeDigest(time_point now);
  void Merge(const crash_digest& digest, time_point now);
  /// The first answers to prompt parts that this gateway has seen since the last call, for all
  /// other gateways. Those that do not fit follow with the next call.
  answer_digest TakeFirstAnswers(time_point now);
  /// The latest answers, for a gateway that has started.
  std::vector<answer_digest> LatestAnswers(time_point now) const;
  void Merge(const answer_digest& digest, time_point now);
  void Expire(time_point now);
  /// The suspects, for /state.
  nlohmann::json State(time_point now) const;
  std::size_t ObservationCount() const { return observations_.size(); }
  std::size_t AnsweredCount() const { return answers_.Size(); }
  std::size_t SuspectCount() const { return Suspects().size(); }

 private:
  struct observation {
    std::uint32_t unit = 0;
    bool is_group = true;
    time_point at;
    std::vector<accused_request> started;
    std::vector<accused_request> unanswered;
  };
  using observation_id = std::pair<std::uint64_t, std::uint32_t>;  // observer, sequence
  using observation_entry = std::pair<const observation_id, observation>;

  /// The observations of one crash by all observers.
  struct crash_group {
    std::uint32_t unit = 0;
    time_point at;
    bool has_started = false;  // accuses requests whose answer had started, so no others
    std::vector<const observation_entry*> observations;
  };

  /// What an observation contributes to the suspects.
  enum class relevance : std::uint8_t {
    kNone,
    kOpen,      // accuses a request that has not been answered since
    kEvidence,  // accuses a request that matches a refused suspect
  };

  struct ranked_observation {
    relevance rank = relevance::kNone;
    time_point at;
    observation_id id;
    auto operator<=>(const ranked_observation&) const = default;
  };

  /// Returns null if there is no room for an observation of that age.
  observation* AddObservation(const observation_id& id, const observation& added);
  /// Returns whether the request is new.
  bool AddRequest(std::vector<accused_request>& requests, const accused_request& added,
                  time_point at);
  /// Adds the requests of a report to the observation. Returns whether one of them is new.
  bool AddRequests(observation& observed, const crash_report& report);
  /// Removes accusations that are older than all observations.
  void ForgetOldAccusations();
  /// In the order of their times. Leaves out what other ranks of a group caused after the crash.
  std::vector<crash_group> GroupObservations() const;
  bool IsOpen(const trait_list& request, const crash_group& group) const;
  const std::vector<crash_suspect>& Suspects() const;
  /// Derives the suspects and ranks the observations if anything has changed since the last call.
  void Update() const;
  std::vector<crash_suspect> FindSuspects(const std::vector<crash_group>& groups) const;
  /// Removes suspects beyond the limit.
  void KeepMostSevere(std::vector<crash_suspect>& suspects) const;
  /// Whether a crash within the last `recent_crash_period` accuses requests that had started.
  bool AreCrashesRecent(time_point now) const;
  relevance RelevanceOf(const observation& observed, const crash_group& group,
                        const std::vector<const crash_suspect*>& refused) const;
  void RankObservations(const std::vector<crash_group>& groups) const;
  /// What other gateways need of the observation, as much as a digest should carry of one.
  crash_report MakeReport(const observation_id& id, time_point now) const;
  /// Adds answers to the accused traits: first those of the requests in the digest, then the
  /// latest.
  void AddAnswers(crash_digest& digest, std::size_t bytes, time_point now) const;
  /// Answers that other gateways have seen.
  void MergeAnswers(const std::vector<answer_report>& answers, time_point now);
  bool IsRefused(const crash_suspect& suspect) const;
  crash_permission PermissionOf(const crash_suspect& suspect, bool is_trial_owner,
                                time_point now) const;
  crash_permission TrialPermission(const crash_suspect& suspect, time_point now) const;

  crash_analysis_options options_;
  std::map<observation_id, observation> observations_;
  answer_history answers_;
  answer_history answered_requests_;  // whole requests without shared parts, while not accused
  std::deque<std::uint64_t> first_answers_;     // of which no other gateway was told yet
  std::map<std::uint64_t, time_point> trials_;  // when the last one was sent, by suspect
  std::uint32_t next_sequence_ = 1;
  std::size_t next_observation_ = 0;  // with which the next digest continues
  double unproven_share_ = 1;         // moving average over the requests
  bool has_news_ = false;
  // Many changes come together, so the suspects are derived when they are needed.
  mutable bool is_outdated_ = false;
  mutable std::vector<crash_suspect> suspects_;
  mutable std::vector<ranked_observation> ranked_;  // the most relevant first, then the latest
  mutable std::uint64_t revision_ = 0;
};

/// XXH64 over all four parts, each part seeded with the hash of the parts before it.
std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_SUSPECT_CRASH_ANALYSIS_H_
