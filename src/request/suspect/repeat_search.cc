#include "request/suspect/repeat_search.h"

#include <algorithm>

namespace berylbarrow {

std::unordered_map<std::uint64_t, repeat_search::accusation> repeat_search::AccusationsOf(
    const observed_crash& crash) {
  std::unordered_map<std::uint64_t, accusation> accused;
  for (const accused_request* request : crash.Accused()) {
    if (request->traits.empty()) continue;
    accusation& known = accused[request->traits.front()];
    known.traits = &request->traits;
    known.ran = std::max<duration>(known.ran, std::chrono::milliseconds(request->ran_ms));
  }
  return accused;
}

void repeat_search::Add(const observed_crash& crash) {
  ++crash_count_;
  const auto accused = AccusationsOf(crash);
  const bool is_only_cause = !crash.started.empty() && accused.size() == 1;
  for (const auto& [fingerprint, accusation] : accused) Accuse(accusation, crash, is_only_cause);
}

bool repeat_search::IsIndependent(const repeated_request& request, const accusation& accused,
                                  time_point crashed_at) const {
  const duration since = crashed_at - request.last_counted;
  if (since > options_.same_cause) return true;
  if (since <= options_.same_moment || accused.ran < options_.min_run) return false;
  const bool was_sent_on = accused.ran <= since;
  return !request.is_explanation_partial && (was_sent_on || !request.suspect.is_proven);
}

void repeat_search::Accuse(const accusation& accused, const observed_crash& crash,
                           bool is_only_cause) {
  const std::uint64_t fingerprint = accused.traits->front();
  const auto answered = answers_.LastBeforeCrash(fingerprint);
  if (answered && *answered > crash.at) return;
  repeated_request& request = requests_[fingerprint];
  crash_suspect& suspect = request.suspect;
  if (suspect.crashes == 0) {
    suspect.traits = {fingerprint};
    suspect.is_proven = answered.has_value();
    request.has_parts = accused.traits->size() > 1;
  } else if (crash_count_ > request.last_accused + 1) {
    request.is_explanation_partial = true;
  }
  if (suspect.crashes == 0 || IsIndependent(request, accused, crash.at)) {
    ++suspect.crashes;
    if (!crash.started.empty()) ++suspect.started_crashes;
    request.last_counted = crash.at;
    request.is_explanation_partial = false;
  }
  suspect.is_only_cause = suspect.is_only_cause || is_only_cause;
  suspect.unit = crash.unit;
  suspect.last_crash = crash.at;
  request.last_accused = crash_count_;
}

std::vector<crash_suspect> repeat_search::TakeSuspects() {
  std::vector<crash_suspect> suspects;
  for (const auto& [fingerprint, request] : requests_) {
    const answer_times* const answer = answers_.Find(fingerprint);
    if (answer != nullptr && answer->last > request.suspect.last_crash) continue;
    if (!request.has_parts || request.suspect.crashes > 1) suspects.push_back(request.suspect);
  }
  requests_.clear();
  std::sort(suspects.begin(), suspects.end());
  return suspects;
}

}  // namespace berylbarrow
