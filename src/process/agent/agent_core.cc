#include "berylbarrow/process/agent/agent_core.h"

#include <algorithm>
#include <utility>

namespace berylbarrow {
namespace {

// Entries hear of the departure within this time, at two heartbeats per second.
constexpr duration kAnnouncement = std::chrono::seconds(1);
// Entries that have not acknowledged by then have died or given up.
constexpr duration kAcknowledgementWait = std::chrono::seconds(10);

fleet_options FleetOptions(const agent_core_options& options) {
  return {.self = options.identity,
          .members = options.members,
          .follower = options.follower,
          .seeds = options.seeds};
}

execution_limits TableLimits(const process_limits& limits) {
  return {.max_records = limits.max_executions,
          .max_answer_bytes = limits.max_answer_bytes,
          .max_total_bytes = limits.max_buffered_bytes};
}

}  // namespace

std::unique_ptr<agent_decisions> MakeAgentCore(const agent_core_options& options,
                                               const configuration_parser& parser) {
  return std::make_unique<agent_core>(options, parser, std::make_unique<grant_key_policy>(),
                                      std::make_unique<cold_start_limit>());
}

agent_core::agent_core(const agent_core_options& options, const configuration_parser& parser,
                       std::unique_ptr<key_policy> policy, std::unique_ptr<admission_limit> limit)
    : options_(options),
      fleet_(FleetOptions(options), parser),
      policy_(std::move(policy)),
      limit_(std::move(limit)),
      table_(TableLimits(options.limits)),
      queue_(0),
      random_(options.seed) {}

void agent_core::Handle(const agent_input& input, const moment& at,
                        std::vector<agent_output>& outputs) {
  Begin(at, outputs);
  std::visit([this](const auto& event) { On(event); }, input);
  Settle();
}

void agent_core::Advance(const moment& at, std::vector<agent_output>& outputs) {
  Begin(at, outputs);
  Settle();
}

void agent_core::Begin(const moment& at, std::vector<agent_output>& outputs) {
  // Heartbeats make a deadline every half second, so a longer gap is a pause.
  if (epoch_ != 0 && at.now - at_.now > options_.follower.pause_threshold) {
    paused_ += at.now - at_.now;
  }
  at_ = at;
  outputs_ = &outputs;
  Apply(fleet_.OnTime(at));
  AdvanceEpoch();
}

/// Does everything that has become possible or due.
void agent_core::Settle() {
  ReleaseHeld();
  ReleaseCancelled();
  CancelOrphans();
  EndUnconfirmed(Now() - kConfirmWait);
  RecheckQueue();
  Pump();
  AdvanceGroup();
  table_.ExpireEndedRecords(ActiveNow());
  if (heartbeat_due_) {
    SendHeartbeats();
  }
  LogUpstreamEvents();
  FinishIfDone();
  outputs_ = nullptr;
}

namespace {

/// Empty if the document does not list the entry.
std::string PeerAddress(const configuration& document, const std::string& entry) {
  const auto place = std::find_if(document.entries.begin(), document.entries.end(),
                                  [&entry](const auto& item) { return item.name == entry; });
  return place == document.entries.end() ? std::string() : place->peer_address;
}

}  // namespace

void agent_core::Apply(const fleet_changes& changes) {
  AppendTo(*outputs_, changes);
  heartbeat_due_ = heartbeat_due_ || changes.heartbeat_due;
  if (changes.version_changed) {
    ApplyVersion();
  }
}

void agent_core::ApplyVersion() {
  epoch_due_ = std::min(epoch_due_, ActiveNow() + Grant().epoch);
  if (const service_options* service = Service(); service != nullptr) {
    limit_->Configure(service->cold_start, service->limits);
  }
  ApplyGroup();
}

const service_options* agent_core::Service() const {
  const auto current = fleet_.Current();
  if (!current) {
    return nullptr;
  }
  const auto& services = current->value.services;
  const auto place = std::find_if(services.begin(), services.end(), [this](const auto& item) {
    return item.name == options_.service;
  });
  return place == services.end() ? nullptr : &*place;
}

grant_options agent_core::Grant() const {
  const auto current = fleet_.Current();
  return current ? current->value.grant : grant_options{};
}

/// Epochs advance in active time: copies of keys may wait in socket buffers during a pause, and
/// must find the records when the process goes on.
void agent_core::AdvanceEpoch() {
  const grant_options grant = Grant();
  const bool is_due = epoch_ == 0 || ActiveNow() >= epoch_due_;
  if (is_due) {
    ++epoch_;
    epoch_due_ = ActiveNow() + grant.epoch;
  }
  // Never lowered: a document that keeps more epochs does not bring dropped records back.
  oldest_epoch_ =
      std::max(oldest_epoch_, epoch_ > grant.epochs_kept ? epoch_ - grant.epochs_kept : 0);
  // Records outlive the acceptance of their keys by an epoch, so that the last copies are answered
  // from the record.
  if (is_due && oldest_epoch_ > 1) {
    table_.ExpireEpochs(oldest_epoch_ - 1, Now());
  }
}

upstream_load agent_core::Load() const {
  return {.in_flight = static_cast<std::uint32_t>(running_.size()),
          .queued = static_cast<std::uint32_t>(queue_.Size()),
          .limit = limit_->Limit(),
          .warm = limit_->IsWarm()};
}

void agent_core::SendHeartbeats() {
  heartbeat_due_ = false;
  suspects_.Expire(Now());
  const auto current = fleet_.Current();
  process_state state = current ? process_state::kServing : process_state::kStarting;
  if (leaving_since_) {
    state = process_state::kLeaving;
  }
  heartbeat content = fleet_.NextHeartbeat(state);
  content.load = Load();
  content.grant_epoch = epoch_;
  content.suspects = suspects_.Reports(Now());

  std::set<std::string> targets = HeartbeatTargets();
  if (!current) {
    targets.insert(options_.seeds.begin(), options_.seeds.end());
  }
  // An entry that has just started knows its seeds only, which may all be behind a partition.
  targets.insert(NextSilentEntry());
  targets.erase("");
  for (const std::string& target : targets) {
    Emit(heartbeat_send{.to = target, .content = content});
  }
  fleet_.Members().Retain([this](const member& known) {
    return fleet_.Members().Liveness(known.identity.name, Now()) != liveness::kDead;
  });
}

std::string agent_core::NextSilentEntry() {
  const auto current = fleet_.Current();
  if (!current) {
    return {};
  }
  const std::vector<entry_options>& entries = current->value.entries;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const entry_options& entry = entries[next_silent_entry_++ % entries.size()];
    const liveness known = fleet_.Members().Liveness(entry.name, Now());
    if (known == liveness::kUnknown || known == liveness::kDead) {
      return entry.peer_address;
    }
  }
  return {};
}

/// Addresses of the entries that chose this agent, which are heard or connected, and of the other
/// candidates of its group. Heartbeats to all 340 entries of the planned size would take 115 KB/s
/// of the 9 KB/s that a node may spend.
std::set<std::string> agent_core::HeartbeatTargets() const {
  const auto current = fleet_.Current();
  std::set<std::string> addresses;
  for (const auto& [name, known] : fleet_.Members().Members()) {
    const bool is_entry = known.identity.role == process_role::kEntry;
    if (!is_entry || fleet_.Members().Liveness(name, Now()) == liveness::kDead) {
      continue;
    }
    if (!known.heartbeat_address.empty()) {
      addresses.insert(known.heartbeat_address);
    } else if (known.connection && current) {
      addresses.insert(PeerAddress(current->value, name));
    }
  }
  // Only candidates need to know of each other whether they are alive.
  if (group_ && group_rank_ < kGroupCandidates) {
    for (const auto& [name, address] : candidates_) {
      addresses.insert(address);
    }
  }
  addresses.erase("");
  return addresses;
}

void agent_core::FinishIfDone() {
  const bool has_work =
      !running_.empty() || queue_.Size() > 0 || !held_.empty() || !unconfirmed_.empty();
  if (has_work) {
    last_work_ = Now();
  }
  if (!leaving_since_ || is_finished_ || has_work) {
    return;
  }
  const bool is_announced = Now() - *leaving_since_ >= kAnnouncement;
  const bool is_late = Now() - std::max(last_work_, *leaving_since_) >= kAcknowledgementWait;
  if (is_late || (is_announced && table_.PendingSubscribers() == 0)) {
    is_finished_ = true;
    Emit(process_finished{});
  }
}

void agent_core::LogUpstreamEvents() {
  if (counters_.upstream_deaths != std::exchange(logged_deaths_, counters_.upstream_deaths)) {
    Emit(log_event{.level = log_level::kWarning,
                   .module = "upstream",
                   .name = "upstream_died",
                   .fields = {{"deaths", std::to_string(counters_.upstream_deaths)}}});
  }
  const std::uint64_t resets = limit_->ColdResets();
  if (resets != std::exchange(logged_cold_resets_, resets)) {
    Emit(log_event{.level = log_level::kWarning,
                   .module = "admission",
                   .name = "cold_reset",
                   .fields = {{"resets", std::to_string(resets)},
                              {"limit", std::to_string(limit_->Limit())}}});
  }
}

bool agent_core::IsLatest(connection_id connection) const {
  const auto open = connections_.find(connection);
  if (open == connections_.end()) {
    return false;
  }
  const auto newest = latest_.find(open->second);
  return newest != latest_.end() && newest->second == connection;
}

void agent_core::On(const peer_opened& event) {
  Apply(fleet_.On(event, at_));
  const std::uint64_t incarnation = event.greeting.sender.incarnation;
  connections_[event.connection] = incarnation;
  latest_[incarnation] = event.connection;
}

void agent_core::On(const peer_closed& event) {
  Apply(fleet_.On(event, at_));
  const auto open = connections_.find(event.connection);
  if (open == connections_.end()) {
    ++counters_.unexpected;
    return;
  }
  const std::uint64_t incarnation = open->second;
  const bool was_latest = IsLatest(event.connection);
  connections_.erase(open);
  if (was_latest) {
    latest_.erase(incarnation);
    // The hello of an older connection may have arrived after that of a newer one, which is open.
    for (const auto& [other, owner] : connections_) {
      if (owner == incarnation) {
        latest_[incarnation] = other;
      }
    }
  }
  OnDetached(event.connection);
}

void agent_core::On(const peer_received& event) {
  Apply(fleet_.On(event, at_));
  if (const auto* work = std::get_if<dispatch>(&event.message)) {
    OnDispatch(*work, event.connection);
  } else if (const auto* gone = std::get_if<cancel>(&event.message)) {
    OnCancel(*gone);
  } else if (const auto* progress = std::get_if<acknowledgement>(&event.message)) {
    OnAcknowledgement(*progress);
  } else if (const auto* agreement = std::get_if<group_message>(&event.message)) {
    OnGroupMessage(*agreement, event.connection);
  } else if (!std::holds_alternative<configuration_request>(event.message) &&
             !std::holds_alternative<configuration_reply>(event.message)) {
    ++counters_.unexpected;
  }
}

void agent_core::On(const heartbeat_received& event) {
  Apply(fleet_.On(event, at_));
  suspects_.Merge(event.content.suspects, Now());
}

void agent_core::On(const document_received& event) { Apply(fleet_.On(event, at_)); }

void agent_core::On(const instances_received& event) { Apply(fleet_.On(event, at_)); }

void agent_core::On(const shutdown_requested& /*event*/) {
  if (leaving_since_) {
    return;
  }
  leaving_since_ = Now();
  Emit(log_event{.module = "process", .name = "shutdown_requested", .fields = {}});
  heartbeat_due_ = true;
}

time_point agent_core::NextDeadline() const {
  if (epoch_ == 0) {
    return time_point::min();
  }
  time_point next =
      std::min({fleet_.NextDeadline(), epoch_due_, table_.NextDeadline(), queue_.NextDeadline()});
  if (group_) {
    next = std::min(next, group_->NextDeadline());
  }
  for (const held_dispatch& item : held_) {
    next = std::min(next, item.since + kViewWait);
  }
  if (view_lost_) {
    next = std::min(next, *view_lost_ + kViewWait);
  }
  if (!orphans_.empty()) {
    next = std::min(next, orphans_.front().first);
  }
  if (!unconfirmed_.empty()) {
    next = std::min(next, unconfirmed_.front().first + kConfirmWait);
  }
  if (!cancelled_.empty()) {
    next = std::min(next, cancelled_.front().first);
  }
  if (leaving_since_ && !is_finished_) {
    const time_point announced = *leaving_since_ + kAnnouncement;
    const time_point late = std::max(last_work_, *leaving_since_) + kAcknowledgementWait;
    next = std::min(next, at_.now < announced ? announced : late);
  }
  return next;
}

}  // namespace berylbarrow
