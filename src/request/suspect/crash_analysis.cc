#include "berylbarrow/request/suspect/crash_analysis.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

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
trait_list Intersection(const trait_list& left, const trait_list& right) {
  trait_list common;
  std::set_intersection(left.begin(), left.end(), right.begin(), right.end(),
                        std::back_inserter(common));
  return common;
}

std::uint64_t HashOf(const trait_list& traits) {
  return XXH64(traits.data(), traits.size() * sizeof(traits.front()), 0);
}

constexpr std::size_t kAnswerBytes = 12;

/// Encoded size, without the few bytes of the digest itself.
std::size_t EncodedBytes(const crash_report& report) {
  std::size_t bytes = 36;
  for (const auto* requests : {&report.started, &report.unanswered}) {
    for (const trait_list& traits : *requests) bytes += 8 + 8 * traits.size();
  }
  return bytes;
}

}  // namespace

crash_analysis::observation* crash_analysis::AddObservation(const observation_id& id,
                                                            std::uint32_t unit, time_point at) {
  if (const auto known = observations_.find(id); known != observations_.end()) {
    // Delays only make an observation look later than it was.
    known->second.at = std::min(known->second.at, at);
    return &known->second;
  }
  if (observations_.size() >= options_.max_observations) {
    const auto oldest = std::min_element(
        observations_.begin(), observations_.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; });
    if (oldest->second.at >= at) return nullptr;
    observations_.erase(oldest);
    ForgetOldAccusations();
  }
  return &observations_.try_emplace(id, observation{.unit = unit, .at = at}).first->second;
}

void crash_analysis::ForgetOldAccusations() {
  time_point oldest = time_point::max();
  for (const auto& [id, each] : observations_) oldest = std::min(oldest, each.at);
  std::erase_if(accused_, [&](const auto& entry) { return entry.second < oldest; });
}

bool crash_analysis::AddRequest(std::vector<trait_list>& requests, const trait_list& traits,
                                time_point at) {
  if (requests.size() >= options_.max_requests_per_observation) return false;
  if (std::find(requests.begin(), requests.end(), traits) != requests.end()) return false;
  requests.push_back(traits);
  for (const std::uint64_t trait : traits) Accuse(trait, at);
  return true;
}

void crash_analysis::Accuse(std::uint64_t trait, time_point at) {
  time_point& last_crash = accused_.try_emplace(trait, at).first->second;
  last_crash = std::max(last_crash, at);
  const auto answer = answered_.find(trait);
  if (answer != answered_.end() && answer->second.last <= last_crash) {
    answer->second.before_crash = answer->second.last;
  }
}

void crash_analysis::OnCrash(const trait_list& traits, std::uint32_t unit, answer_progress progress,
                             time_point now) {
  observation* current = nullptr;
  for (auto& [id, known] : observations_) {
    const bool is_own = id.first == options_.observer && known.unit == unit;
    if (is_own && now - known.at <= options_.same_cause) current = &known;
  }
  if (current == nullptr) {
    current = AddObservation({options_.observer, next_sequence_++}, unit, now);
  }
  if (current == nullptr) return;
  auto& requests = progress == answer_progress::kStarted ? current->started : current->unanswered;
  if (!AddRequest(requests, traits, current->at)) return;
  has_news_ = true;
  UpdateSuspects();
}

bool crash_analysis::RecordAnswer(std::uint64_t trait, time_point at) {
  const auto accused = accused_.find(trait);
  const auto [entry, is_new] = answered_.try_emplace(trait, answer_times{.last = at});
  answer_times& answer = entry->second;
  const time_point last_before = answer.last;
  answer.last = std::max(answer.last, at);
  if (answered_.size() > options_.max_answered) ForgetOldAnswers();
  if (accused == accused_.end()) return false;
  if (at <= accused->second) {
    const bool is_later = !answer.before_crash || at > *answer.before_crash;
    if (is_later) answer.before_crash = at;
    return is_later;
  }
  return is_new || last_before <= accused->second;
}

void crash_analysis::ForgetOldAnswers() {
  std::vector<time_point> times;
  for (const auto& [trait, answer] : answered_) times.push_back(answer.last);
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(answered_, [&](const auto& entry) {
    return entry.second.last <= *middle && accused_.count(entry.first) == 0;
  });
}

void crash_analysis::OnAnswered(const trait_list& traits, time_point now) {
  bool clears = false;
  for (std::size_t i = 0; i < traits.size(); ++i) {
    // The first trait is the fingerprint, which few requests share.
    if (i == 0 && accused_.count(traits[i]) == 0) continue;
    clears = RecordAnswer(traits[i], now) || clears;
  }
  if (!clears) return;
  has_news_ = true;
  UpdateSuspects();
}

std::optional<time_point> crash_analysis::AnsweredBeforeCrash(std::uint64_t trait) const {
  const auto answer = answered_.find(trait);
  return answer == answered_.end() ? std::nullopt : answer->second.before_crash;
}

trait_list crash_analysis::UnansweredTraits(const trait_list& request,
                                            time_point crashed_at) const {
  trait_list traits;
  for (const std::uint64_t trait : request) {
    const auto answer = AnsweredBeforeCrash(trait);
    if (!answer || *answer <= crashed_at) traits.push_back(trait);
  }
  return traits;
}

bool crash_analysis::IsAnyAnsweredBeforeCrash(const trait_list& traits) const {
  return std::any_of(traits.begin(), traits.end(),
                     [&](std::uint64_t trait) { return AnsweredBeforeCrash(trait).has_value(); });
}

trait_list crash_analysis::InitialTraits(const trait_list& request, time_point crashed_at) const {
  trait_list parts;
  for (std::size_t i = 1; i < request.size(); ++i) {
    if (!AnsweredBeforeCrash(request[i])) parts.push_back(request[i]);
  }
  return parts.empty() ? UnansweredTraits(request, crashed_at) : parts;
}

std::vector<crash_analysis::crash> crash_analysis::FindCrashes() const {
  std::vector<const observation*> by_time;
  for (const auto& [id, each] : observations_) by_time.push_back(&each);
  std::sort(by_time.begin(), by_time.end(),
            [](const auto* left, const auto* right) { return left->at < right->at; });
  std::vector<crash> crashes;
  std::map<std::uint32_t, std::size_t> latest;  // index in `crashes` by unit
  for (const observation* each : by_time) {
    const auto known = latest.find(each->unit);
    const duration since =
        known == latest.end() ? duration::max() : each->at - crashes[known->second].at;
    if (since > options_.aftermath) {
      latest[each->unit] = crashes.size();
      crashes.push_back({.unit = each->unit, .at = each->at});
    } else if (since > options_.same_cause) {
      continue;
    }
    crash& joined = crashes[latest[each->unit]];
    joined.started.insert(joined.started.end(), each->started.begin(), each->started.end());
    joined.unanswered.insert(joined.unanswered.end(), each->unanswered.begin(),
                             each->unanswered.end());
  }
  return crashes;
}

bool crash_analysis::ExtendSuspect(const std::vector<trait_list>& accused, const crash& crash) {
  const bool has_started = !crash.started.empty();
  suspect* best = nullptr;
  trait_list best_traits;
  for (suspect& each : suspects_) {
    for (const trait_list& request : accused) {
      trait_list common = Intersection(each.traits, Sorted(UnansweredTraits(request, crash.at)));
      const bool is_better = best == nullptr || std::pair(each.crashes, common.size()) >
                                                    std::pair(best->crashes, best_traits.size());
      if (common.empty() || !is_better) continue;
      best = &each;
      best_traits = std::move(common);
    }
  }
  if (best == nullptr) return false;
  // Several units that crash at the same moment are no independent evidence.
  if (crash.at - best->last_crash > options_.same_cause) {
    ++best->crashes;
    if (has_started) ++best->started_crashes;
  }
  best->is_only_cause = best->is_only_cause || IsOnlyCause(crash);
  best->traits = std::move(best_traits);
  best->is_proven = IsAnyAnsweredBeforeCrash(best->traits);
  best->unit = crash.unit;
  best->last_crash = crash.at;
  return true;
}

bool crash_analysis::IsOnlyCause(const crash& crash) {
  return !crash.started.empty() &&
         std::all_of(crash.started.begin(), crash.started.end(),
                     [&](const trait_list& request) { return request == crash.started.front(); });
}

void crash_analysis::AddCrash(const crash& crash) {
  const bool has_started = !crash.started.empty();
  const std::vector<trait_list>& accused = has_started ? crash.started : crash.unanswered;
  if (ExtendSuspect(accused, crash)) return;
  for (const trait_list& request : accused) {
    if (suspects_.size() >= options_.max_suspects) return;
    trait_list traits = Sorted(InitialTraits(request, crash.at));
    if (traits.empty()) continue;
    const bool is_proven = IsAnyAnsweredBeforeCrash(traits);
    suspects_.push_back({.traits = std::move(traits),
                         .crashes = 1,
                         .started_crashes = has_started ? 1U : 0U,
                         .is_only_cause = IsOnlyCause(crash),
                         .is_proven = is_proven,
                         .unit = crash.unit,
                         .last_crash = crash.at});
  }
}

void crash_analysis::ClearAnsweredTraits() {
  for (suspect& each : suspects_) {
    std::erase_if(each.traits, [&](std::uint64_t trait) {
      const auto answer = answered_.find(trait);
      return answer != answered_.end() && answer->second.last > each.last_crash;
    });
  }
  std::erase_if(suspects_, [](const suspect& each) { return each.traits.empty(); });
}

void crash_analysis::UpdateSuspects() {
  ++revision_;
  suspects_.clear();
  for (const crash& each : FindCrashes()) AddCrash(each);
  ClearAnsweredTraits();
  std::erase_if(trials_, [&](const auto& trial) {
    return std::none_of(suspects_.begin(), suspects_.end(),
                        [&](const suspect& each) { return HashOf(each.traits) == trial.first; });
  });
}

bool crash_analysis::IsRefused(const suspect& suspect) const {
  return suspect.crashes >= options_.refusal_threshold ||
         suspect.started_crashes >= options_.started_refusal_threshold ||
         (!suspect.is_proven && suspect.is_only_cause);
}

crash_permission crash_analysis::TrialPermission(const suspect& suspect, time_point now) const {
  const auto trial = trials_.find(HashOf(suspect.traits));
  const bool is_pending = trial != trials_.end() && trial->second > suspect.last_crash &&
                          now - trial->second < options_.trial_timeout;
  return is_pending ? crash_permission::kOnHold : crash_permission::kTrial;
}

crash_permission crash_analysis::PermissionOf(const suspect& suspect, bool is_trial_owner,
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
  if (suspects_.empty()) return verdict;
  const trait_list sorted = Sorted(traits);
  for (const suspect& each : suspects_) {
    if (!std::includes(sorted.begin(), sorted.end(), each.traits.begin(), each.traits.end())) {
      continue;
    }
    const crash_permission permission = PermissionOf(each, is_trial_owner, now);
    if (permission <= verdict.permission) continue;
    verdict = {.permission = permission, .unit = each.unit, .suspect = HashOf(each.traits)};
  }
  return verdict;
}

crash_digest crash_analysis::MakeDigest(time_point now) {
  has_news_ = false;
  crash_digest digest;
  std::vector<std::pair<time_point, observation_id>> latest;
  for (const auto& [id, each] : observations_) latest.emplace_back(each.at, id);
  std::sort(latest.rbegin(), latest.rend());
  // The older half of the space goes round the observations that do not fit.
  std::size_t bytes = 0;
  std::size_t count = 0;
  std::set<std::uint64_t> traits;
  const auto add = [&](const observation_id& id, std::size_t limit) {
    const observation& each = observations_.at(id);
    const crash_report report{.observer = id.first,
                              .sequence = id.second,
                              .unit = each.unit,
                              .age_ms = AgeMs(each.at, now),
                              .started = each.started,
                              .unanswered = each.unanswered};
    std::set<std::uint64_t> answered;
    for (const auto* requests : {&report.started, &report.unanswered}) {
      for (const trait_list& request : *requests) {
        for (const std::uint64_t trait : request) {
          if (answered_.count(trait) > 0 && traits.count(trait) == 0) answered.insert(trait);
        }
      }
    }
    const std::size_t size = EncodedBytes(report) + 2 * kAnswerBytes * answered.size();
    if (bytes + size > limit) return false;
    bytes += size;
    digest.crashes.push_back(report);
    traits.insert(answered.begin(), answered.end());
    return true;
  };
  while (count < latest.size() && add(latest[count].second, options_.max_digest_bytes * 2 / 3)) {
    ++count;
  }
  const std::size_t left = latest.size() - count;
  for (std::size_t i = 0; i < left; ++i) {
    const std::size_t index = count + next_old_observation_++ % left;
    if (!add(latest[index].second, options_.max_digest_bytes)) break;
  }
  for (const std::uint64_t trait : traits) {
    const answer_times& answer = answered_.at(trait);
    digest.answers.push_back({.trait = trait, .age_ms = AgeMs(answer.last, now)});
    if (answer.before_crash && *answer.before_crash != answer.last) {
      digest.answers.push_back({.trait = trait, .age_ms = AgeMs(*answer.before_crash, now)});
    }
  }
  return digest;
}

void crash_analysis::Merge(const crash_digest& digest, time_point now) {
  bool has_changed = false;
  for (const crash_report& report : digest.crashes) {
    const time_point at = now - milliseconds(report.age_ms);
    if (now - at > options_.retention) continue;
    const bool is_known = observations_.count({report.observer, report.sequence}) > 0;
    observation* const merged = AddObservation({report.observer, report.sequence}, report.unit, at);
    if (merged == nullptr) continue;
    has_changed = has_changed || !is_known;
    for (const trait_list& request : report.started) {
      has_changed =
          (!request.empty() && AddRequest(merged->started, request, merged->at)) || has_changed;
    }
    for (const trait_list& request : report.unanswered) {
      has_changed =
          (!request.empty() && AddRequest(merged->unanswered, request, merged->at)) || has_changed;
    }
    // Answers to accused traits that the other gateways may not know of.
    for (const auto* requests : {&report.started, &report.unanswered}) {
      for (const trait_list& request : *requests) {
        has_news_ = has_news_ || (!is_known && IsAnyAnsweredBeforeCrash(request));
      }
    }
  }
  for (const answer_report& report : digest.answers) {
    const time_point at = now - milliseconds(report.age_ms);
    has_changed = RecordAnswer(report.trait, at) || has_changed;
  }
  if (has_changed) UpdateSuspects();
}

void crash_analysis::Expire(time_point now) {
  const auto removed = std::erase_if(
      observations_, [&](const auto& entry) { return now - entry.second.at > options_.retention; });
  std::erase_if(answered_,
                [&](const auto& entry) { return now - entry.second.last > options_.retention; });
  if (removed == 0) return;
  ForgetOldAccusations();
  UpdateSuspects();
}

nlohmann::json crash_analysis::State(time_point now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const suspect& each : suspects_) {
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
