#include "request/suspect/repeat_search.h"

#include <algorithm>

namespace berylbarrow {

std::map<std::uint64_t, std::vector<accused_run>> repeat_search::RunsByRequest(
    const observed_crash& crash) {
  std::map<std::uint64_t, std::vector<accused_run>> runs;
  for (const accused_run& run : crash.Accused()) {
    std::vector<accused_run>& known = runs[run.Traits().front()];
    const auto same = std::find_if(known.begin(), known.end(), [&](const accused_run& each) {
      return each.request->upstream == run.request->upstream;
    });
    if (same == known.end()) {
      known.push_back(run);
    } else if (run.EndedAt() < same->EndedAt()) {
      *same = run;
    }
  }
  for (auto& [fingerprint, known] : runs) {
    std::sort(known.begin(), known.end(), [](const accused_run& left, const accused_run& right) {
      return left.EndedAt() < right.EndedAt();
    });
  }
  return runs;
}

void repeat_search::Add(const observed_crash& crash) {
  ++crash_count_;
  const auto runs = RunsByRequest(crash);
  const bool is_only_cause = !crash.started.empty() && runs.size() == 1;
  for (const auto& [fingerprint, known] : runs) {
    for (const accused_run& run : known) Accuse(run, crash, is_only_cause);
  }
}

bool repeat_search::IsIndependent(const repeated_request& request, const accused_run& run) const {
  const duration since = run.EndedAt() - request.last_counted;
  if (since > options_.same_cause) return true;
  if (since <= options_.same_moment || run.Duration() < options_.min_run) return false;
  const bool was_sent_on = run.Duration() <= since;
  return !request.is_explanation_partial && (was_sent_on || !request.suspect.is_proven);
}

void repeat_search::Accuse(const accused_run& run, const observed_crash& crash,
                           bool is_only_cause) {
  const std::uint64_t fingerprint = run.Traits().front();
  const auto answered = answers_.LastBeforeCrash(fingerprint);
  if (answered && *answered > crash.at) return;
  repeated_request& request = requests_[fingerprint];
  crash_suspect& suspect = request.suspect;
  const bool is_first = suspect.crashes == 0;
  if (is_first) {
    suspect.traits = {fingerprint};
    suspect.is_proven = answered.has_value();
    request.has_parts = run.Traits().size() > 1;
  } else if (crash_count_ > request.last_accused + 1) {
    request.is_explanation_partial = true;
  }
  if (is_first || IsIndependent(request, run)) {
    ++suspect.crashes;
    if (!crash.started.empty()) ++suspect.started_crashes;
    request.last_counted = run.EndedAt();
    request.is_explanation_partial = false;
  }
  suspect.is_only_cause = suspect.is_only_cause || is_only_cause;
  suspect.unit = crash.unit;
  suspect.last_crash = std::max(suspect.last_crash, crash.at);
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
