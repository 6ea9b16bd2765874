#include "support/fleet_run.h"

#include <algorithm>
#include <ostream>

#include "support/fleet_trace.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kCallers = 10;
constexpr duration kDrainAt = seconds(3);
constexpr duration kReturnAt = seconds(12);
constexpr duration kLastOperation = seconds(15);
constexpr duration kEnd = seconds(22);
// A plan that comes into force at the end of the last fault takes 8 s.
constexpr duration kLastPlannedOperation = seconds(20);
constexpr duration kPlannedEnd = seconds(30);
constexpr duration kSampleInterval = milliseconds(100);
constexpr duration kMostExtraDelay = milliseconds(700);
constexpr duration kLeastDowntime = milliseconds(100);
constexpr duration kLeastTakenOut = seconds(6);  // the drain takes at most 5 s
constexpr duration kLeastPartition = seconds(3);

bool AffectsEntry(fault_kind kind) {
  return kind == fault_kind::kEntryDeath || kind == fault_kind::kEntryPause ||
         kind == fault_kind::kEntryShutdown;
}

bool AffectsAgent(fault_kind kind) {
  return kind == fault_kind::kAgentDeath || kind == fault_kind::kAgentPause ||
         kind == fault_kind::kAgentShutdown || kind == fault_kind::kListedLeaving ||
         kind == fault_kind::kUpstreamDeath || kind == fault_kind::kUpstreamCold;
}

}  // namespace

fleet_run::fleet_run(const fault_schedule& schedule, const fleet_parts& parts)
    : schedule_(schedule),
      context_(schedule.seed),
      processes_(context_, parts),
      network_(context_, processes_),
      platform_(context_, processes_),
      callers_(context_, processes_, kCallers) {
  processes_.OnOutput([this](fleet_process& from, const fleet_output& output) {
    if (trace_ != nullptr) {
      Trace(from, "->", Describe(output));
    }
    std::visit([&](const auto& item) { On(from, item); }, output);
  });
  processes_.OnInput(
      [this](fleet_process& target, const fleet_input& input) { OnInput(target, input); });
}

void fleet_run::Trace(const fleet_process& process, const char* direction,
                      const std::string& text) {
  if (!text.empty()) {
    const auto since = std::chrono::duration<double, std::milli>(context_.Now() - start_);
    *trace_ << since.count() << ' ' << process.place.name << ' ' << direction << ' ' << text
            << '\n';
  }
}

history fleet_run::Run(std::ostream* trace) {
  trace_ = trace;
  start_ = context_.Now();
  for (const fleet_place& place : FleetPlaces()) {
    if (!place.service.empty()) {
      upstreams_[place.name] = std::make_unique<fleet_upstream>(context_, processes_, place);
    }
  }
  // The conditions of a plan need an entry that hears all upstreams.
  const bool is_planned = schedule_.Has(fault_kind::kMovePlan);
  if (!is_planned && schedule_.seed % 3 == 0) {
    wanted_.subset_size = 2;
  }
  Publish();
  for (const fleet_place& place : FleetPlaces()) {
    Start(place.name);
  }
  // Without the payment agent in "a", the two in "b" must stay.
  const bool is_replica_gone = schedule_.Has(fault_kind::kReplicaGone);
  drained_ = schedule_.seed % 2 == 0 || is_replica_gone ? "a" : "b";
  if (!is_planned) {
    PublishDrain();
  }
  context_.log.only_shutdowns =
      std::all_of(schedule_.faults.begin(), schedule_.faults.end(), [](const fault& item) {
        return item.kind == fault_kind::kEntryShutdown || item.kind == fault_kind::kAgentShutdown ||
               item.kind == fault_kind::kListedLeaving;
      });
  for (const fault& item : schedule_.faults) {
    context_.After(item.at, [this, item] { Inject(item); });
  }
  Sample();
  callers_.StopAt(start_ + (is_planned ? kLastPlannedOperation : kLastOperation));
  context_.RunUntil(start_ + (is_planned ? kPlannedEnd : kEnd));
  for (request_record& item : context_.log.requests) {
    if (item.end == request_end::kPending) {
      item.ended = context_.Now();
    }
  }
  return std::move(context_.log);
}

void fleet_run::Publish() { platform_.Publish(wanted_); }

void fleet_run::PublishDrain() {
  context_.After(kDrainAt, [this] {
    wanted_.out.insert(drained_);
    Publish();
  });
  context_.After(kReturnAt, [this] {
    wanted_.out.erase(drained_);
    Publish();
  });
}

void fleet_run::On(fleet_process& from, const heartbeat_send& output) {
  NoteRevision(from, output.content.in_force, output.content.plan_step);
  network_.Send(from, output);
}

void fleet_run::On(fleet_process& from, const configuration_watch& output) {
  NoteRevision(from, output.in_force, output.in_force == from.in_force ? from.step : 0);
  platform_.OnWatch(from, output);
}

void fleet_run::NoteRevision(fleet_process& from, revision number, std::uint32_t step) {
  if (number == from.in_force && step == from.step) {
    return;
  }
  from.in_force = number;
  from.step = step;
  platform_.OnStep(number, step);
  context_.log.in_force.push_back({.at = context_.Now(),
                                   .process = from.place.name,
                                   .incarnation = from.identity.incarnation,
                                   .number = number,
                                   .step = step});
}

void fleet_run::On(fleet_process& from, const process_finished& /*output*/) {
  const std::string& name = from.place.name;
  const std::size_t open = from.IsEntry() ? callers_.OpenAt(name) : upstreams_.at(name)->Running();
  context_.log.finishes.push_back(
      {.at = context_.Now(), .process = name, .open_requests = static_cast<std::uint32_t>(open)});
  from.has_left = true;
  Stop(name, true);
  context_.After(context_.Between(kLeastDowntime, seconds(2)), [this, name] { Start(name); });
}

void fleet_run::OnInput(fleet_process& target, const fleet_input& input) {
  if (trace_ != nullptr) {
    Trace(target, "<-", Describe(input));
  }
  if (!target.IsEntry()) {
    upstreams_.at(target.place.name)->OnAgentInput(input);
  }
  const auto* list = std::get_if<instances_received>(&input);
  const bool is_listed =
      list != nullptr && std::any_of(list->instances.begin(), list->instances.end(),
                                     [&target](const instance_record& item) {
                                       return item.leaving && item.name == target.place.name;
                                     });
  const bool leaves = is_listed || std::holds_alternative<shutdown_requested>(input);
  if (leaves && !target.is_leaving) {
    target.is_leaving = true;
    context_.log.leavings.push_back({.at = context_.Now(),
                                     .agent = target.place.name,
                                     .incarnation = target.identity.incarnation});
  }
}

void fleet_run::Start(const std::string& name) {
  const fleet_process& process = processes_.At(name);
  if (process.is_up || gone_.contains(name)) {
    return;
  }
  if (!process.IsEntry()) {
    upstreams_.at(name)->OnAgentStarted();
  }
  processes_.Start(name);
  platform_.OnStarted(name);
}

void fleet_run::Stop(const std::string& name, bool is_graceful) {
  const bool is_entry = processes_.At(name).IsEntry();
  context_.log.disruptions.push_back({.from = context_.Now(), .until = context_.Now()});
  processes_.Stop(name);
  network_.OnStopped(name, is_graceful);
  if (is_entry) {
    callers_.OnEntryStopped(name);
  } else {
    upstreams_.at(name)->OnAgentStopped();
  }
}

void fleet_run::Kill(const std::string& name, duration downtime) {
  if (!processes_.At(name).is_up) {
    return;
  }
  Stop(name, false);
  context_.After(downtime, [this, name] { Start(name); });
}

void fleet_run::Pause(const std::string& name, duration lasts) {
  processes_.Pause(name);
  context_.log.pauses.push_back(
      {.from = context_.Now(), .until = context_.Now() + lasts, .process = name});
  callers_.OnEntrySlow(name);
  network_.OnPaused(name);
  context_.After(lasts, [this, name] { processes_.Resume(name); });
}

void fleet_run::Shutdown(const std::string& name) {
  processes_.Give(name, processes_.At(name).life, shutdown_requested{});
}

std::string fleet_run::Target(const fault& item) const {
  std::vector<std::string> names;
  for (const fleet_place& place : FleetPlaces()) {
    const bool is_entry = place.service.empty();
    if (is_entry ? !AffectsAgent(item.kind) : !AffectsEntry(item.kind)) {
      names.push_back(place.name);
    }
  }
  return names.at(item.target % names.size());
}

void fleet_run::Inject(const fault& item) {
  InjectProcessFault(item);
  InjectNetworkFault(item);
  InjectServiceFault(item);
}

void fleet_run::InjectProcessFault(const fault& item) {
  const std::string name = Target(item);
  switch (item.kind) {
    case fault_kind::kUpstreamDeath:
      upstreams_.at(name)->Die(item.lasts / 2);
      break;
    case fault_kind::kUpstreamCold:
      upstreams_.at(name)->TurnCold();
      break;
    case fault_kind::kPoison:
      callers_.Poison(1 + item.target % 2);
      break;
    case fault_kind::kEntryDeath:
    case fault_kind::kAgentDeath:
      Kill(name, kLeastDowntime + item.lasts / 2);
      break;
    case fault_kind::kEntryPause:
    case fault_kind::kAgentPause:
      Pause(name, item.lasts);
      break;
    case fault_kind::kEntryShutdown:
    case fault_kind::kAgentShutdown:
      Shutdown(name);
      break;
    case fault_kind::kReplicaGone:
      gone_.insert("pay-1");
      Kill("pay-1", kPlannedEnd);
      platform_.MarkGone("pay-1");
      break;
    default:
      break;
  }
}

void fleet_run::InjectNetworkFault(const fault& item) {
  const std::string name = Target(item);
  switch (item.kind) {
    case fault_kind::kSlowLinks:
      network_.SetExtraDelay(name, kMostExtraDelay);
      context_.After(item.lasts, [this, name] { network_.SetExtraDelay(name, duration::zero()); });
      break;
    case fault_kind::kClosedLinks:
      network_.CloseLinks(name);
      break;
    case fault_kind::kSilentLinks:
      network_.SilenceLinks(name);
      break;
    case fault_kind::kBadDatagrams:
      network_.SetBadDatagrams(true);
      context_.After(item.lasts, [this] { network_.SetBadDatagrams(false); });
      break;
    case fault_kind::kPartition:
      Partition(item);
      break;
    default:
      break;
  }
}

void fleet_run::InjectServiceFault(const fault& item) {
  const auto set = [this, &item](fleet_platform::condition condition) {
    platform_.SetCondition(condition);
    context_.After(item.lasts, [this] { platform_.SetCondition(fleet_platform::condition::kUp); });
  };
  switch (item.kind) {
    case fault_kind::kServiceDown:
      set(fleet_platform::condition::kDown);
      break;
    case fault_kind::kServiceStale:
      set(fleet_platform::condition::kStale);
      break;
    case fault_kind::kServiceOlder:
      set(fleet_platform::condition::kOlder);
      break;
    case fault_kind::kTwoOperators:
      Publish();
      context_.After(context_.Between(duration::zero(), milliseconds(5)), [this] { Publish(); });
      break;
    case fault_kind::kMovePlan:
      wanted_.planned = drained_;
      Publish();
      break;
    case fault_kind::kUpstreamOut:
      TakeOut(item);
      break;
    case fault_kind::kInvalidDocument:
      platform_.PublishInvalid();
      break;
    case fault_kind::kListedLeaving:
      platform_.MarkLeaving(Target(item), item.lasts / 4);
      break;
    default:
      break;
  }
}

/// Takes one upstream out. Its service keeps another one whatever else is out.
void fleet_run::TakeOut(const fault& item) {
  const std::string name = item.target % 2 == 0 ? "draft-1" : "pay-2";
  wanted_.out.insert(name);
  Publish();
  context_.After(kLeastTakenOut + item.lasts / 4, [this, name] {
    wanted_.out.erase(name);
    Publish();
  });
}

/// Splits the processes in two. The service is on the first side, on both or on neither.
void fleet_run::Partition(const fault& item) {
  std::set<std::string> side;
  for (const fleet_place& place : FleetPlaces()) {
    const bool by_domain = item.target % 2 == 0;
    if (by_domain ? place.domain == "b" : context_.Chance(0.5)) {
      side.insert(place.name);
    }
  }
  network_.Partition(side);
  if (item.target % 4 < 3) {
    platform_.SetCutOff(side);
  }
  const duration lasts = std::max(item.lasts, kLeastPartition);
  context_.log.disruptions.push_back({.from = context_.Now(), .until = context_.Now() + lasts});
  context_.After(lasts, [this] {
    network_.Heal();
    platform_.SetCutOff({});
  });
}

std::pair<revision, std::uint32_t> fleet_run::Offered(const fleet_process& process) const {
  std::pair<revision, std::uint32_t> offered(platform_.OfferedTo(process.place.name), 0);
  for (const auto& [name, other] : processes_.All()) {
    const bool is_heard = other.is_up && !other.is_paused && other.IsEntry() != process.IsEntry() &&
                          network_.CanReach(name, process.place.name);
    if (is_heard) {
      offered = std::max(offered, {other.in_force, other.step});
    }
  }
  return offered;
}

void fleet_run::Sample() {
  for (const auto& [name, process] : processes_.All()) {
    if (process.is_up) {
      const auto [offered, offered_step] = Offered(process);
      context_.log.samples.push_back({.at = context_.Now(),
                                      .process = name,
                                      .incarnation = process.identity.incarnation,
                                      .is_paused = process.is_paused,
                                      .in_force = process.in_force,
                                      .offered = offered,
                                      .step = process.step,
                                      .offered_step = offered_step});
    }
  }
  context_.After(kSampleInterval, [this] { Sample(); });
}

history RunFleet(const fault_schedule& schedule, const fleet_parts& parts, std::ostream* trace) {
  return fleet_run(schedule, parts).Run(trace);
}

}  // namespace berylbarrow
