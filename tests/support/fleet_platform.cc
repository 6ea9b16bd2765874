#include "support/fleet_platform.h"

#include <algorithm>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kWatchWait = seconds(1);
constexpr duration kPollInterval = seconds(30);
constexpr duration kLeastAnswer = milliseconds(1);
constexpr duration kMostAnswer = milliseconds(5);
// Reads of the instance list after a change; every other one is answered with the list before it.
constexpr duration kInstanceInterval = milliseconds(1400);
constexpr int kOlderLists = 4;

}  // namespace

void fleet_platform::Publish(const fleet_state& wanted) {
  Add(FleetDocument(wanted, documents_.size()), true, wanted);
}

void fleet_platform::PublishInvalid() {
  Add("domains: none # " + std::to_string(documents_.size()), false, {});
}

void fleet_platform::Add(const std::string& text, bool is_valid, const fleet_state& wanted) {
  const revision number = documents_.size() + 1;
  documents_.push_back({.number = number, .text = text, .is_valid = is_valid, .wanted = wanted});
  context_.log.publications.push_back({.at = context_.Now(),
                                       .number = number,
                                       .steps = wanted.planned.empty() ? 0 : kPlanSteps,
                                       .is_valid = is_valid,
                                       .out = OutAt(wanted, 0)});
  for (auto& [name, process] : processes_.All()) {
    if (process.is_up && process.watch.mode == watch_mode::kWatch) {
      Answer(process, process.watch);
    }
  }
}

void fleet_platform::OnStep(revision number, std::uint32_t step) {
  if (number == 0 || step <= documents_[number - 1].last_step) {
    return;
  }
  documents_[number - 1].last_step = step;
  context_.log.publications.push_back({.at = context_.Now(),
                                       .number = number,
                                       .step = step,
                                       .steps = kPlanSteps,
                                       .out = OutAt(documents_[number - 1].wanted, step)});
}

void fleet_platform::SetCondition(condition next) {
  condition_ = next;
  frozen_ = documents_.size();
}

const fleet_platform::document* fleet_platform::Visible() const {
  std::size_t known = documents_.size();
  if (condition_ == condition::kStale) {
    known = frozen_;
  } else if (condition_ == condition::kOlder && known > 1) {
    --known;
  }
  return known == 0 ? nullptr : &documents_[known - 1];
}

bool fleet_platform::IsReachableFrom(const std::string& name) const {
  return condition_ != condition::kDown && !cut_off_.contains(name);
}

revision fleet_platform::OfferedTo(const std::string& name) const {
  const document* visible = Visible();
  const bool is_readable = IsReachableFrom(name) && visible != nullptr && visible->is_valid;
  return is_readable ? visible->number : 0;
}

revision fleet_platform::LastValid() const {
  const auto place = std::find_if(documents_.rbegin(), documents_.rend(),
                                  [](const document& item) { return item.is_valid; });
  return place == documents_.rend() ? 0 : place->number;
}

void fleet_platform::OnWatch(fleet_process& process, const configuration_watch& watch) {
  if (watch.mode == watch_mode::kRefresh) {
    Answer(process, watch);
    return;
  }
  process.watch = watch;
  const std::uint64_t number = ++process.watch_number;
  if (watch.mode == watch_mode::kWatch) {
    Tick(process.place.name, process.life, number);
    return;
  }
  context_.After(
      context_.Between(duration::zero(), kPollInterval),
      [this, name = process.place.name, life = process.life, number] { Tick(name, life, number); });
}

void fleet_platform::Tick(const std::string& name, std::uint64_t life, std::uint64_t number) {
  fleet_process& process = processes_.At(name);
  if (process.life != life || process.watch_number != number) {
    return;
  }
  Answer(process, process.watch);
  const duration wait = process.watch.mode == watch_mode::kWatch ? kWatchWait : kPollInterval;
  context_.After(wait, [this, name, life, number] { Tick(name, life, number); });
}

void fleet_platform::Answer(fleet_process& process, const configuration_watch& watch) {
  const document* visible = Visible();
  if (!IsReachableFrom(process.place.name) || visible == nullptr) {
    return;
  }
  const bool is_told = visible->number > watch.in_force || condition_ == condition::kOlder;
  const document_received answer{
      .number = visible->number, .text = is_told ? visible->text : "", .nonce = watch.nonce};
  context_.After(context_.Between(kLeastAnswer, kMostAnswer),
                 [this, name = process.place.name, life = process.life, answer] {
                   if (!cut_off_.contains(name)) {
                     processes_.Give(name, life, answer);
                   }
                 });
}

void fleet_platform::MarkLeaving(const std::string& name, duration lag) {
  const instances_received older = Instances();
  leaving_.insert(name);
  for (auto& [other, process] : processes_.All()) {
    SendInstances(other, lag);
    for (int i = 0; i < kOlderLists; ++i) {
      const duration read = lag + (2 * i + 1) * kInstanceInterval;
      context_.After(read, [this, other = other, older] {
        processes_.Give(other, processes_.At(other).life, older);
      });
      SendInstances(other, read + kInstanceInterval);
    }
  }
}

void fleet_platform::MarkGone(const std::string& name) {
  gone_.insert(name);
  for (auto& [other, process] : processes_.All()) {
    SendInstances(other, duration::zero());
  }
}

instances_received fleet_platform::Instances() const {
  instances_received list;
  for (const auto& [other, process] : processes_.All()) {
    if (gone_.contains(other)) {
      continue;
    }
    list.instances.push_back({.name = other,
                              .address = process.place.address,
                              .domain = process.place.domain,
                              .leaving = leaving_.contains(other)});
  }
  return list;
}

void fleet_platform::SendInstances(const std::string& name, duration lag) {
  const std::size_t count = leaving_.size() + gone_.size();
  context_.After(lag + context_.Between(kLeastAnswer, kMostAnswer),
                 [this, name, list = Instances(), count] {
                   // The list lags, but a process reads it in order.
                   if (count >= listed_[name]) {
                     listed_[name] = count;
                     processes_.Give(name, processes_.At(name).life, list);
                   }
                 });
}

}  // namespace berylbarrow
