#include "support/history.h"

#include <algorithm>
#include <deque>
#include <map>
#include <sstream>

namespace berylbarrow {
namespace {

constexpr duration kDrainTime = std::chrono::seconds(5);
constexpr duration kConfigurationTime = std::chrono::seconds(7);
// Allows for the resolution of the entry's timers.
constexpr duration kDeadlineSlack = std::chrono::milliseconds(500);
constexpr std::size_t kMostCrashes = 2;

std::string Time(time_point at) {
  std::ostringstream text;
  const duration since = at - manual_clock().Now();
  text << "at " << std::chrono::duration_cast<std::chrono::milliseconds>(since).count() << " ms: ";
  return text.str();
}

std::string Name(const request_record& item) {
  std::ostringstream text;
  text << "request " << item.request << " of operation " << item.operation << " at " << item.entry
       << " (attempt " << item.attempt << ", key \"" << item.key << "\")";
  return text.str();
}

std::string Name(const start_record& item) {
  std::ostringstream text;
  text << "request " << item.request << " of operation " << item.operation << " (key \"" << item.key
       << "\") started by " << item.agent;
  return text.str();
}

/// Whether the process was offered the revision and the step of `change` during all of the time
/// before `end`.
bool WasInContact(const history& log, const std::string& process, time_point end, duration time,
                  const publication_record& change) {
  return std::none_of(log.samples.begin(), log.samples.end(), [&](const sample_record& item) {
    return item.process == process && item.at >= end - time && item.at <= end &&
           std::pair(item.offered, item.offered_step) < std::pair(change.number, change.step);
  });
}

void CheckEnd(const request_record& item, violations& found) {
  const std::string name = Time(item.sent) + Name(item);
  if (item.ends > 1) {
    found.push_back(name + " ended " + std::to_string(item.ends) + " times");
  }
  const bool is_whole = item.end == request_end::kWhole;
  if (is_whole && item.received != item.expected) {
    found.push_back(name + " was completed with other bytes than expected");
  }
  if (!is_whole && item.expected.compare(0, item.received.size(), item.received) != 0) {
    found.push_back(name + " got bytes that are no part of its answer");
  }
  const bool has_no_end = item.end == request_end::kPending || item.end == request_end::kGivenUp;
  const bool is_late = has_no_end && item.ended > item.due + kDeadlineSlack;
  if (is_late && !item.entry_was_slow) {
    found.push_back(name + " had no end by its deadline");
  }
}

}  // namespace

const char* EndName(request_end end) {
  switch (end) {
    case request_end::kPending:
      return "pending";
    case request_end::kWhole:
      return "whole";
    case request_end::kNotRun:
      return "not run";
    case request_end::kUnknown:
      return "unknown";
    case request_end::kCut:
      return "cut";
    case request_end::kBroken:
      return "broken";
    case request_end::kGivenUp:
      return "given up";
  }
  return "";
}

violations CheckColdStart(const history& log) {
  violations found;
  for (const start_record& item : log.starts) {
    if (item.was_warned && item.running > item.bearable) {
      found.push_back(Time(item.sent) + Name(item) + " is number " + std::to_string(item.running) +
                      " at an upstream that bears " + std::to_string(item.bearable));
    }
  }
  return found;
}

violations CheckDrain(const history& log) {
  violations found;
  // Processes that know only an older revision may begin its steps after a newer one is published.
  std::vector<publication_record> ordered = log.publications;
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) {
    return std::pair(left.number, left.step) < std::pair(right.number, right.step);
  });
  for (const start_record& item : log.starts) {
    const publication_record* taken_out = nullptr;
    for (const publication_record& next : ordered) {
      if (next.at > item.sent || !next.is_valid) {
        continue;
      }
      if (!next.out.contains(item.domain) && !next.out.contains(item.agent)) {
        taken_out = nullptr;
      } else if (taken_out == nullptr) {
        taken_out = &next;
      }
    }
    if (taken_out != nullptr && item.sent > taken_out->at + kDrainTime &&
        WasInContact(log, item.agent, item.sent, kDrainTime, *taken_out)) {
      found.push_back(Time(item.sent) + Name(item) + " although revision " +
                      std::to_string(taken_out->number) + " takes it out at step " +
                      std::to_string(taken_out->step));
    }
  }
  return found;
}

violations CheckAnswers(const history& log) {
  violations found = log.oddities;
  for (const request_record& item : log.requests) {
    CheckEnd(item, found);
  }
  return found;
}

violations CheckNotRun(const history& log) {
  std::set<std::uint64_t> requests;
  std::set<std::string> keys;
  for (const request_record& item : log.requests) {
    if (item.end != request_end::kNotRun) {
      continue;
    }
    if (item.key.empty()) {
      requests.insert(item.request);
    } else {
      keys.insert(item.key);
    }
  }
  violations found;
  for (const start_record& item : log.starts) {
    if (requests.contains(item.request) || keys.contains(item.key)) {
      found.push_back(Time(item.sent) + Name(item) + " although its caller was told \"not run\"");
    }
  }
  return found;
}

violations CheckAtMostOnce(const history& log) {
  violations found;
  std::set<std::string> keys;
  std::set<std::uint64_t> payments;
  for (const start_record& item : log.starts) {
    if (item.key.empty()) {
      continue;
    }
    if (!keys.insert(item.key).second) {
      found.push_back(Time(item.sent) + Name(item) + " although the key had reached an upstream");
    }
    if (!payments.insert(item.operation).second) {
      found.push_back(Time(item.sent) + Name(item) + ", which pays a second time");
    }
  }
  return found;
}

violations CheckLeaving(const history& log) {
  violations found;
  for (const start_record& item : log.starts) {
    for (const leaving_record& leaving : log.leavings) {
      if (leaving.incarnation == item.incarnation && item.sent > leaving.at + kDrainTime) {
        found.push_back(Time(item.sent) + Name(item) + " although it leaves");
      }
    }
  }
  return found;
}

violations CheckShutdown(const history& log) {
  violations found;
  for (const finish_record& item : log.finishes) {
    if (item.open_requests > 0) {
      found.push_back(Time(item.at) + item.process + " ended with " +
                      std::to_string(item.open_requests) + " requests open");
    }
  }
  for (const request_record& item : log.requests) {
    if (item.was_turned_away) {
      found.push_back(Time(item.sent) + Name(item) +
                      " found no entry although the address was valid");
    }
    // A caller that loses patience, or whose deadline passes, was not cut off by a shutdown.
    const bool was_impatient = item.end == request_end::kGivenUp && item.ended < item.due;
    const bool is_cut = item.end == request_end::kCut || item.end == request_end::kUnknown;
    const bool was_timed_out = is_cut && item.ended >= item.due;
    const bool is_fine = item.end == request_end::kWhole || item.end == request_end::kNotRun ||
                         was_impatient || was_timed_out;
    if (log.only_shutdowns && !is_fine) {
      found.push_back(Time(item.sent) + Name(item) + " ended as " + EndName(item.end) +
                      " although there were graceful shutdowns only");
    }
  }
  return found;
}

violations CheckConfiguration(const history& log) {
  violations found;
  std::map<std::pair<std::string, std::uint64_t>, revision> highest;
  for (const in_force_record& item : log.in_force) {
    revision& before = highest[{item.process, item.incarnation}];
    if (item.number < before) {
      found.push_back(Time(item.at) + item.process + " fell from revision " +
                      std::to_string(before) + " to " + std::to_string(item.number));
    }
    before = std::max(before, item.number);
  }
  std::map<std::string, std::deque<sample_record>> recent;
  for (const sample_record& item : log.samples) {
    auto& window = recent[item.process];
    if (item.is_paused || (!window.empty() && window.back().incarnation != item.incarnation)) {
      window.clear();
    }
    if (item.is_paused) {
      continue;
    }
    window.push_back(item);
    if (item.at - window.front().at < kConfigurationTime) {
      continue;
    }
    const auto least = std::min_element(
        window.begin(), window.end(),
        [](const auto& left, const auto& right) { return left.offered < right.offered; });
    if (item.in_force < least->offered) {
      found.push_back(Time(item.at) + item.process + " has revision " +
                      std::to_string(item.in_force) + " in force although " +
                      std::to_string(least->offered) + " was in its reach for 7 s");
      window.clear();
      continue;
    }
    window.pop_front();
  }
  return found;
}

violations CheckPlan(const history& log) {
  violations found;
  std::map<std::pair<std::string, std::uint64_t>, in_force_record> before;
  for (const in_force_record& item : log.in_force) {
    in_force_record& last = before[{item.process, item.incarnation}];
    if (item.number == last.number && item.step < last.step) {
      found.push_back(Time(item.at) + item.process + " fell from step " +
                      std::to_string(last.step) + " to " + std::to_string(item.step) +
                      " of revision " + std::to_string(item.number));
    }
    last = item;
  }
  publication_record wanted;
  for (const publication_record& item : log.publications) {
    wanted = item.is_valid && item.number >= wanted.number ? item : wanted;
  }
  const time_point end = log.samples.empty() ? time_point() : log.samples.back().at;
  for (const sample_record& item : log.samples) {
    if (item.at == end && item.in_force == wanted.number && item.step < wanted.steps) {
      found.push_back(Time(item.at) + item.process + " is at step " + std::to_string(item.step) +
                      " of revision " + std::to_string(wanted.number) + " after all faults");
    }
  }
  return found;
}

/// Whether a process other than the agent of the crash could know of it at `time`, or the agent
/// could say so.
bool IsCrashKnown(const history& log, const crash_record& crash, time_point time) {
  return std::none_of(log.pauses.begin(), log.pauses.end(), [&](const pause_record& pause) {
    return pause.process == crash.agent && pause.from <= crash.at && crash.at <= pause.until &&
           time <= pause.until;
  });
}

violations CheckCrashes(const history& log) {
  violations found;
  std::map<std::uint64_t, std::vector<crash_record>> by_operation;
  for (const crash_record& item : log.crashes) {
    std::vector<crash_record>& known = by_operation[item.operation];
    const bool is_explained =
        !known.empty() && std::any_of(log.disruptions.begin(), log.disruptions.end(),
                                      [&](const disruption_record& disruption) {
                                        return disruption.from <= item.started &&
                                               disruption.until >= known.front().at;
                                      });
    if (is_explained) {
      continue;
    }
    const auto before = static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(),
        [&](const crash_record& earlier) { return IsCrashKnown(log, earlier, item.started); }));
    known.push_back(item);
    if (before >= kMostCrashes) {
      found.push_back(Time(item.at) + "operation " + std::to_string(item.operation) +
                      " crashed the upstream of " + item.agent + " after " +
                      std::to_string(before) + " others");
    }
  }
  return found;
}

violations CheckAll(const history& log) {
  violations found;
  const auto add = [&found](const char* guarantee, const violations& part) {
    for (const std::string& line : part) {
      found.push_back(std::string(guarantee) + " " + line);
    }
  };
  add("G2", CheckColdStart(log));
  add("G3", CheckDrain(log));
  add("G4", CheckAnswers(log));
  add("G5", CheckNotRun(log));
  add("G6", CheckAtMostOnce(log));
  add("G7", CheckLeaving(log));
  add("G8", CheckShutdown(log));
  add("G9", CheckConfiguration(log));
  add("plan", CheckPlan(log));
  add("crashes", CheckCrashes(log));
  return found;
}

}  // namespace berylbarrow
