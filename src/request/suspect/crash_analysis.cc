#include "berylbarrow/request/suspect/crash_analysis.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

#include "request/suspect/repeat_search.h"
#include "request/suspect/suspect_search.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

std::uint32_t AgeMs(time_point at, time_point now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

trait_list Sorted(trait_list traits) {
  std::sort(traits.begin(), traits.end());
  return traits;
}

/// Both lists must be sorted.
bool IsSubset(const trait_list& part, const trait_list& whole) {
  return std::includes(whole.begin(), whole.end(), part.begin(), part.end());
}

std::uint64_t HashOf(const trait_list& traits) {
  return XXH64(traits.data(), traits.size() * sizeof(traits.front()), 0);
}

// Weight of the latest request in the share of those with unproven parts.
constexpr double kUnprovenShareWeight = 1.0 / 16;
// Of all requests with unproven parts.
constexpr std::uint64_t kCommonAffinity = 0;
constexpr std::size_t kAnswerBytes = 12;
constexpr std::size_t kReportBytes = 37;  // without requests

/// Encoded size.
std::size_t EncodedBytes(const accused_request& request) {
  return sizeof(std::uint64_t) * (1 + request.traits.size()) + sizeof(request.upstream) +
         sizeof(request.ran_ms) + sizeof(request.after_ms);
}

std::size_t EncodedBytes(const crash_report& report) {
  std::size_t bytes = kReportBytes;
  for (const auto* requests : {&report.started, &report.unanswered}) {
    for (const accused_request& request : *requests) bytes += EncodedBytes(request);
  }
  return bytes;
}

}  // namespace

crash_analysis::observation* crash_analysis::AddObservation(const observation_id& id,
                                                            const observation& added) {
  if (const auto known = observations_.find(id); known != observations_.end()) {
    // Delays only make an observation look later than it was.
    known->second.at = std::min(known->second.at, added.at);
    return &known->second;
  }
  if (observations_.size() >= options_.max_observations) {
    Update();
    const ranked_observation least = ranked_.back();
    if (std::pair(least.rank, observations_.at(least.id).at) >=
        std::pair(relevance::kOpen, added.at)) {
      return nullptr;
    }
    observations_.erase(least.id);
    ForgetOldAccusations();
  }
  is_outdated_ = true;
  return &observations_.try_emplace(id, added).first->second;
}

void crash_analysis::ForgetOldAccusations() {
  time_point oldest = time_point::max();
  for (const auto& [id, each] : observations_) oldest = std::min(oldest, each.at);
  answers_.ForgetAccusations(oldest);
}

bool crash_analysis::AddRequest(std::vector<accused_request>& requests,
                                const accused_request& added, time_point at) {
  const auto known =
      std::find_if(requests.begin(), requests.end(), [&](const accused_request& each) {
        return each.upstream == added.upstream && each.traits == added.traits;
      });
  if (known != requests.end()) {
    is_outdated_ = is_outdated_ || added.ran_ms > known->ran_ms;
    known->ran_ms = std::max(known->ran_ms, added.ran_ms);
    return false;
  }
  if (requests.size() >= options_.max_requests_per_observation) return false;
  requests.push_back(added);
  const std::uint64_t fingerprint = added.traits.front();
  if (const answer_times* const answer = answered_requests_.Find(fingerprint)) {
    answers_.Record(fingerprint, answer->last);
  }
  for (const std::uint64_t trait : added.traits) answers_.Accuse(trait, at);
  return true;
}

bool crash_analysis::AddRequests(observation& observed, const crash_report& report) {
  bool is_any_new = false;
  for (const accused_request& request : report.started) {
    if (request.traits.empty()) continue;
    is_any_new = AddRequest(observed.started, request, observed.at) || is_any_new;
  }
  for (const accused_request& request : report.unanswered) {
    if (request.traits.empty()) continue;
    is_any_new = AddRequest(observed.unanswered, request, observed.at) || is_any_new;
  }
  return is_any_new;
}

void crash_analysis::OnCrash(const trait_list& traits, std::uint32_t unit, answer_progress progress,
                             time_point now, const broken_run& run) {
  observation* current = nullptr;
  for (auto& [id, known] : observations_) {
    const bool is_own = id.first == options_.observer && known.unit == unit;
    if (is_own && now - known.at <= options_.same_cause) current = &known;
  }
  if (current == nullptr) {
    current = AddObservation({options_.observer, next_sequence_++},
                             {.unit = unit, .is_group = run.is_group, .at = now});
  }
  if (current == nullptr) return;
  auto& requests = progress == answer_progress::kStarted ? current->started : current->unanswered;
  const accused_request accused{.traits = traits,
                                .upstream = run.upstream,
                                .ran_ms = AgeMs(now - run.ran, now),
                                .after_ms = AgeMs(current->at, now)};
  if (!AddRequest(requests, accused, current->at)) return;
  has_news_ = true;
  is_outdated_ = true;
}

bool crash_analysis::OnAnswered(const trait_list& traits, time_point now) {
  bool clears = false;
  for (std::size_t i = 0; i < traits.size(); ++i) {
    // The first trait is the fingerprint, which few requests share.
    if (i == 0 && !answers_.IsAccused(traits[i])) {
      if (traits.size() == 1) answered_requests_.Record(traits[i], now);
      continue;
    }
    const bool is_first = i > 0 && answers_.Find(traits[i]) == nullptr;
    if (is_first && first_answers_.size() < options_.max_answered) {
      first_answers_.push_back(traits[i]);
    }
    clears = answers_.Record(traits[i], now) || clears;
  }
  if (!clears) return false;
  has_news_ = true;
  is_outdated_ = true;
  return true;
}

std::vector<crash_analysis::crash_group> crash_analysis::GroupObservations() const {
  std::vector<const observation_entry*> by_time;
  for (const observation_entry& each : observations_) by_time.push_back(&each);
  std::sort(by_time.begin(), by_time.end(),
            [](const auto* left, const auto* right) { return left->second.at < right->second.at; });
  std::vector<crash_group> groups;
  std::map<std::uint32_t, std::size_t> latest;  // index in `groups` by unit
  for (const observation_entry* each : by_time) {
    const observation& observed = each->second;
    const auto known = latest.find(observed.unit);
    const duration since =
        known == latest.end() ? duration::max() : observed.at - groups[known->second].at;
    const duration aftermath = observed.is_group ? options_.aftermath : options_.same_cause;
    if (since > aftermath) {
      latest[observed.unit] = groups.size();
      groups.push_back({.unit = observed.unit, .at = observed.at});
    } else if (since > options_.same_cause) {
      continue;
    }
    crash_group& group = groups[latest[observed.unit]];
    group.observations.push_back(each);
    group.has_started = group.has_started || !observed.started.empty();
  }
  return groups;
}

bool crash_analysis::IsOpen(const trait_list& request, const crash_group& group) const {
  return !answers_.AreAllAnsweredAfter(request, group.at);
}

const std::vector<crash_suspect>& crash_analysis::Suspects() const {
  Update();
  return suspects_;
}

void crash_analysis::Update() const {
  if (!is_outdated_) return;
  is_outdated_ = false;
  const std::vector<crash_group> groups = GroupObservations();
  std::vector<crash_suspect> found = FindSuspects(groups);
  if (found != suspects_) {
    suspects_ = std::move(found);
    ++revision_;
  }
  RankObservations(groups);
}

std::vector<crash_suspect> crash_analysis::FindSuspects(
    const std::vector<crash_group>& groups) const {
  suspect_search shared(options_.same_cause, answers_);
  repeat_search repeated({.same_cause = options_.same_cause,
                          .same_moment = options_.same_moment,
                          .min_run = options_.min_run},
                         answers_);
  for (const crash_group& group : groups) {
    observed_crash crash{.unit = group.unit, .at = group.at};
    for (const observation_entry* each : group.observations) {
      const observation& observed = each->second;
      for (const accused_request& request : observed.started) {
        crash.started.push_back({.request = &request, .observed_at = observed.at});
      }
      for (const accused_request& request : observed.unanswered) {
        if (!IsOpen(request.traits, group)) continue;
        crash.unanswered.push_back({.request = &request, .observed_at = observed.at});
      }
    }
    shared.Add(crash);
    repeated.Add(crash);
  }
  std::vector<crash_suspect> found = repeated.TakeSuspects();
  std::set<trait_list> known;
  for (const crash_suspect& each : found) known.insert(each.traits);
  for (crash_suspect& each : shared.TakeSuspects()) {
    if (known.count(each.traits) == 0) found.push_back(std::move(each));
  }
  KeepMostSevere(found);
  return found;
}

void crash_analysis::KeepMostSevere(std::vector<crash_suspect>& suspects) const {
  if (suspects.size() <= options_.max_suspects) return;
  const auto severity = [&](const crash_suspect& each) {
    return std::tuple(IsRefused(each), each.started_crashes, each.crashes, each.last_crash);
  };
  std::stable_sort(suspects.begin(), suspects.end(),
                   [&](const crash_suspect& left, const crash_suspect& right) {
                     return severity(left) > severity(right);
                   });
  suspects.resize(options_.max_suspects);
}

crash_analysis::relevance crash_analysis::RelevanceOf(
    const observation& observed, const crash_group& group,
    const std::vector<const crash_suspect*>& refused) const {
  relevance rank = relevance::kNone;
  for (const accused_request& request :
       group.has_started ? observed.started : observed.unanswered) {
    if (rank == relevance::kNone && IsOpen(request.traits, group)) rank = relevance::kOpen;
    if (refused.empty()) continue;
    const trait_list sorted = Sorted(request.traits);
    for (const crash_suspect* each : refused) {
      if (IsSubset(each->traits, sorted)) return relevance::kEvidence;
    }
  }
  return rank;
}

void crash_analysis::RankObservations(const std::vector<crash_group>& groups) const {
  std::vector<const crash_suspect*> refused;
  for (const crash_suspect& each : suspects_) {
    if (IsRefused(each)) refused.push_back(&each);
  }
  std::map<observation_id, relevance> ranks;
  for (const crash_group& group : groups) {
    for (const observation_entry* each : group.observations) {
      ranks[each->first] = RelevanceOf(each->second, group, refused);
    }
  }
  ranked_.clear();
  for (const auto& [id, observed] : observations_) {
    const auto rank = ranks.find(id);
    ranked_.push_back({.rank = rank == ranks.end() ? relevance::kNone : rank->second,
                       .at = observed.at,
                       .id = id});
  }
  std::sort(ranked_.rbegin(), ranked_.rend());
  // Keeps room for other observations.
  for (std::size_t i = options_.max_observations / 2; i < ranked_.size(); ++i) {
    ranked_[i].rank = std::min(ranked_[i].rank, relevance::kOpen);
  }
  std::sort(ranked_.rbegin(), ranked_.rend());
}

std::uint64_t crash_analysis::Revision() const {
  Update();
  return revision_;
}

void crash_analysis::OnTrialSent(std::uint64_t suspect, time_point now) {
  std::erase_if(trials_, [&](const auto& trial) {
    return std::none_of(Suspects().begin(), Suspects().end(), [&](const crash_suspect& each) {
      return HashOf(each.traits) == trial.first;
    });
  });
  trials_[suspect] = now;
}

bool crash_analysis::IsRefused(const crash_suspect& suspect) const {
  return suspect.crashes >= options_.refusal_threshold ||
         suspect.started_crashes >= options_.started_refusal_threshold ||
         (!suspect.is_proven && suspect.is_only_cause);
}

crash_permission crash_analysis::TrialPermission(const crash_suspect& suspect,
                                                 time_point now) const {
  const auto trial = trials_.find(HashOf(suspect.traits));
  const bool is_pending = trial != trials_.end() && trial->second > suspect.last_crash &&
                          now - trial->second < options_.trial_timeout;
  return is_pending ? crash_permission::kOnHold : crash_permission::kTrial;
}

crash_permission crash_analysis::PermissionOf(const crash_suspect& suspect, bool is_trial_owner,
                                              time_point now) const {
  const duration age = now - suspect.last_crash;
  if (!IsRefused(suspect)) {
    const bool is_free = suspect.started_crashes == 0 || age > options_.trial_period;
    return is_free ? crash_permission::kUnrestricted : TrialPermission(suspect, now);
  }
  constexpr std::uint32_t kMaxDoublings = 8;
  const std::uint32_t doublings = std::min(kMaxDoublings, suspect.crashes - 1);
  const duration refusal =
      std::min(options_.max_refusal, options_.initial_refusal * (1U << doublings));
  if (age <= refusal || !is_trial_owner) return crash_permission::kRefused;
  return TrialPermission(suspect, now);
}

crash_verdict crash_analysis::Check(const trait_list& traits, bool is_trial_owner,
                                    time_point now) const {
  crash_verdict verdict;
  if (Suspects().empty()) return verdict;
  const trait_list sorted = Sorted(traits);
  for (const crash_suspect& each : Suspects()) {
    if (!IsSubset(each.traits, sorted)) continue;
    const crash_permission permission = PermissionOf(each, is_trial_owner, now);
    if (permission <= verdict.permission) continue;
    verdict = {.permission = permission, .unit = each.unit, .suspect = HashOf(each.traits)};
  }
  return verdict;
}

std::optional<std::uint64_t> crash_analysis::UnprovenPart(const trait_list& traits) const {
  for (std::size_t i = traits.size(); i > 1; --i) {
    if (answers_.Find(traits[i - 1]) == nullptr) return traits[i - 1];
  }
  return std::nullopt;
}

void crash_analysis::OnRequest(const trait_list& traits) {
  const double is_unproven = UnprovenPart(traits) ? 1 : 0;
  unproven_share_ += kUnprovenShareWeight * (is_unproven - unproven_share_);
}

std::optional<std::uint64_t> crash_analysis::RiskAffinity(const trait_list& traits) const {
  const auto part = UnprovenPart(traits);
  const bool are_rare = unproven_share_ <= options_.rare_unproven_share;
  return part && are_rare ? kCommonAffinity : part;
}

bool crash_analysis::IsRisky(const trait_list& traits, time_point now) const {
  return unproven_share_ <= options_.max_refusable_share && AreCrashesRecent(now) &&
         UnprovenPart(traits);
}

bool crash_analysis::AreCrashesRecent(time_point now) const {
  return std::any_of(observations_.begin(), observations_.end(), [&](const auto& entry) {
    const observation& observed = entry.second;
    return !observed.started.empty() && now - observed.at <= options_.recent_crash_period;
  });
}

crash_report crash_analysis::MakeReport(const observation_id& id, time_point now) const {
  const observation& observed = observations_.at(id);
  crash_report report{.observer = id.first,
                      .sequence = id.second,
                      .unit = observed.unit,
                      .age_ms = AgeMs(observed.at, now),
                      .is_group = observed.is_group};
  const bool has_started = !observed.started.empty();
  auto& reported = has_started ? report.started : report.unanswered;
  std::size_t bytes = kReportBytes;
  for (const accused_request& request : has_started ? observed.started : observed.unanswered) {
    if (!has_started && answers_.AreAllAnsweredAfter(request.traits, observed.at)) continue;
    bytes += EncodedBytes(request);
    if (!reported.empty() && bytes > options_.max_digest_bytes / 3) break;
    reported.push_back(request);
  }
  return report;
}

void crash_analysis::AddAnswers(crash_digest& digest, std::size_t bytes, time_point now) const {
  std::set<std::uint64_t> traits;
  for (const crash_report& report : digest.crashes) {
    for (const auto* requests : {&report.started, &report.unanswered}) {
      for (const accused_request& request : *requests) {
        traits.insert(request.traits.begin(), request.traits.end());
      }
    }
  }
  const auto add = [&](std::uint64_t trait, time_point at) {
    if (bytes < kAnswerBytes) return;
    bytes -= kAnswerBytes;
    digest.answers.push_back({.trait = trait, .age_ms = AgeMs(at, now)});
  };
  for (const std::uint64_t trait : traits) {
    const answer_times* const answer = answers_.Find(trait);
    if (answer == nullptr) continue;
    add(trait, answer->last);
    if (answer->before_crash && *answer->before_crash != answer->last) {
      add(trait, *answer->before_crash);
    }
  }
  for (const std::uint64_t trait : answers_.Recent()) {
    const answer_times* const answer = answers_.Find(trait);
    if (answer != nullptr && traits.count(trait) == 0) add(trait, answer->last);
  }
}

crash_digest crash_analysis::MakeDigest(time_point now) {
  has_news_ = false;
  crash_digest digest;
  std::size_t bytes = 0;
  std::set<observation_id> added;
  const auto add = [&](const observation_id& id, std::size_t limit) {
    if (added.count(id) > 0) return;
    crash_report report = MakeReport(id, now);
    if (bytes + EncodedBytes(report) > limit) return;
    bytes += EncodedBytes(report);
    added.insert(id);
    digest.crashes.push_back(std::move(report));
  };
  Update();
  std::vector<ranked_observation> ranked = ranked_;
  std::erase_if(ranked, [](const auto& each) { return each.rank == relevance::kNone; });
  if (const auto newest =
          std::max_element(ranked.begin(), ranked.end(),
                           [](const auto& left, const auto& right) { return left.at < right.at; });
      newest != ranked.end()) {
    add(newest->id, options_.max_digest_bytes);
  }
  // A quarter of the space goes round the observations that do not fit.
  for (const ranked_observation& each : ranked) add(each.id, options_.max_digest_bytes / 2);
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    add(ranked[next_observation_++ % ranked.size()].id, options_.max_digest_bytes * 3 / 4);
  }
  AddAnswers(digest, options_.max_digest_bytes - bytes, now);
  return digest;
}

void crash_analysis::Merge(const crash_digest& digest, time_point now) {
  bool has_changed = false;
  for (const crash_report& report : digest.crashes) {
    const time_point at = now - milliseconds(report.age_ms);
    if (now - at > options_.retention) continue;
    const bool is_known = observations_.count({report.observer, report.sequence}) > 0;
    observation* const merged =
        AddObservation({report.observer, report.sequence},
                       {.unit = report.unit, .is_group = report.is_group, .at = at});
    if (merged == nullptr) continue;
    has_changed = AddRequests(*merged, report) || !is_known || has_changed;
    // Answers to accused traits that the other gateways may not know of.
    for (const auto* requests : {&report.started, &report.unanswered}) {
      for (const accused_request& request : *requests) {
        has_news_ = has_news_ || (!is_known && answers_.IsAnyAnsweredBeforeCrash(request.traits));
      }
    }
  }
  if (has_changed) is_outdated_ = true;
  MergeAnswers(digest.answers, now);
}

void crash_analysis::MergeAnswers(const std::vector<answer_report>& answers, time_point now) {
  for (const answer_report& report : answers) {
    const time_point at = now - milliseconds(report.age_ms);
    is_outdated_ = answers_.Record(report.trait, at) || is_outdated_;
  }
}

void crash_analysis::Merge(const answer_digest& digest, time_point now) {
  MergeAnswers(digest.answers, now);
}

answer_digest crash_analysis::TakeFirstAnswers(time_point now) {
  answer_digest digest;
  while (!first_answers_.empty() &&
         digest.answers.size() < options_.max_digest_bytes / kAnswerBytes) {
    const std::uint64_t trait = first_answers_.front();
    first_answers_.pop_front();
    const answer_times* const answer = answers_.Find(trait);
    if (answer == nullptr) continue;
    digest.answers.push_back({.trait = trait, .age_ms = AgeMs(answer->last, now)});
  }
  return digest;
}

std::vector<answer_digest> crash_analysis::LatestAnswers(time_point now) const {
  const std::size_t answers_per_digest = options_.max_digest_bytes / kAnswerBytes;
  std::vector<answer_digest> digests;
  for (const std::uint64_t trait :
       answers_.Latest(answers_per_digest * options_.max_answer_digests)) {
    if (digests.empty() || digests.back().answers.size() == answers_per_digest) {
      digests.emplace_back();
    }
    digests.back().answers.push_back(
        {.trait = trait, .age_ms = AgeMs(answers_.Find(trait)->last, now)});
  }
  return digests;
}

void crash_analysis::Expire(time_point now) {
  const auto removed = std::erase_if(
      observations_, [&](const auto& entry) { return now - entry.second.at > options_.retention; });
  answers_.ForgetAnswers(now - options_.retention);
  answered_requests_.ForgetAnswers(now - options_.retention);
  if (removed == 0) return;
  ForgetOldAccusations();
  is_outdated_ = true;
}

nlohmann::json crash_analysis::State(time_point now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const crash_suspect& each : Suspects()) {
    list.push_back({{"traits", each.traits},
                    {"crashes", each.crashes},
                    {"started_crashes", each.started_crashes},
                    {"only_cause", each.is_only_cause},
                    {"proven", each.is_proven},
                    {"refused", PermissionOf(each, false, now) == crash_permission::kRefused},
                    {"age_ms", AgeMs(each.last_crash, now)}});
  }
  return list;
}

std::uint64_t RequestFingerprint(std::string_view method, std::string_view target,
                                 std::string_view account, std::string_view body) {
  const auto hash = [](std::uint64_t seed, std::string_view text) {
    return XXH64(text.data(), text.size(), seed);
  };
  return hash(hash(hash(hash(1, method), target), account), body);
}

}  // namespace berylbarrow
