#include "berylbarrow/process/entry/entry_core.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "berylbarrow/process/membership/member_names.h"
#include "berylbarrow/request/routing/cold_share_policy.h"
#include "process/entry/addresses.h"
#include "process/entry/entry_context.h"
#include "process/entry/peers.h"
#include "process/entry/requests.h"
#include "process/entry/status.h"

namespace berylbarrow {
namespace {

// A longer time between two inputs means that the process was paused, because the daemon calls the
// core at least at every heartbeat.
constexpr duration kPauseThreshold = std::chrono::seconds(1);

// Requests that were read from their connections before accepting stopped reach the core within
// this time.
constexpr duration kLastRequests = std::chrono::milliseconds(250);

}  // namespace

class entry_core::parts {
 public:
  parts(const entry_core_options& options, const configuration_parser& parser,
        std::unique_ptr<routing_policy> policy, std::unique_ptr<key_routing> keys)
      : policy_(std::move(policy)),
        keys_(std::move(keys)),
        context_(options, parser),
        peers_(context_),
        addresses_(context_, peers_, *policy_),
        requests_(context_, peers_, addresses_, *policy_, *keys_) {}

  void Begin(const moment& at, std::vector<entry_output>& outputs);
  void End();

  void On(const peer_opened& event);
  void On(const peer_closed& event);
  void On(const peer_received& event);
  void On(const heartbeat_received& event);
  void On(const document_received& event) { Apply(context_.fleet.On(event, context_.at)); }
  void On(const instances_received& event) { Apply(context_.fleet.On(event, context_.at)); }
  void On(const shutdown_requested& event);
  void On(const operator_query& event);
  void On(const caller_request& event) { requests_.Add(event); }
  void On(const caller_closed& event) { requests_.OnCallerClosed(event.caller); }
  void On(const address_query& event) { addresses_.Answer(event); }

  time_point NextDeadline() const;
  nlohmann::json State() const;

 private:
  void Apply(const fleet_changes& changes);
  void OnVersion();
  void UpdateIndex();
  void Leave();
  time_point FinishAt() const;

  std::unique_ptr<routing_policy> policy_;
  std::unique_ptr<key_routing> keys_;
  entry_context context_;
  entry_peers peers_;
  address_book addresses_;
  entry_requests requests_;
  time_point next_sweep_;
  std::optional<time_point> stop_accepting_at_;  // set when the process leaves
  std::optional<time_point> stopped_accepting_;
};

void entry_core::parts::Begin(const moment& at, std::vector<entry_output>& outputs) {
  const bool is_first = context_.last_input == time_point::min();
  context_.at = at;
  context_.outputs = &outputs;
  if (!is_first && at.now - context_.last_input > kPauseThreshold) {
    context_.awake_since = at.now;
  }
  context_.last_input = at.now;
  peers_.Start();
  Apply(context_.fleet.OnTime(at));
  addresses_.OnTime();
  requests_.FireDue();
  if (at.now >= next_sweep_) {
    next_sweep_ = at.now + context_.options.sweep_interval;
    requests_.Sweep();
    peers_.Sweep();
  }
}

void entry_core::parts::End() {
  addresses_.OnTime();
  requests_.StartWaiting();
  Leave();
  context_.outputs = nullptr;
}

void entry_core::parts::Apply(const fleet_changes& changes) {
  AppendTo(*context_.outputs, changes);
  if (changes.version_changed) {
    OnVersion();
  } else if (changes.plan_changed) {
    UpdateIndex();
  }
  if (!changes.restarted_peer.empty()) {
    requests_.OnAgentRestarted(changes.restarted_peer);
  }
  if (changes.heartbeat_due) {
    peers_.SendHeartbeats();
  }
}

void entry_core::parts::OnVersion() {
  if (context_.state == process_state::kStarting) {
    context_.state = process_state::kServing;
  }
  UpdateIndex();
  requests_.OnVersion();
}

void entry_core::parts::UpdateIndex() {
  const std::string& self = context_.options.identity.name;
  context_.index = directory(context_.fleet.Current(), self, [this](const std::string& domain) {
    return context_.fleet.DomainInService(domain);
  });
  context_.services.Update(context_.index, self, context_.Now());
  peers_.OnVersion();
}

void entry_core::parts::On(const peer_opened& event) {
  Apply(context_.fleet.On(event, context_.at));
  const std::string agent = peers_.OnOpened(event);
  if (!agent.empty()) {
    requests_.OnAgentOpened(agent);
  }
}

void entry_core::parts::On(const peer_closed& event) {
  Apply(context_.fleet.On(event, context_.at));
  const std::string agent = peers_.OnClosed(event.connection);
  if (!agent.empty()) {
    requests_.OnAgentClosed(agent);
  }
}

void entry_core::parts::On(const peer_received& event) {
  Apply(context_.fleet.On(event, context_.at));
  if (const auto* head = std::get_if<answer_head>(&event.message)) {
    requests_.OnHead(event.connection, *head);
  } else if (const auto* part = std::get_if<answer_part>(&event.message)) {
    requests_.OnPart(event.connection, *part);
  } else if (const auto* content = std::get_if<refusal>(&event.message)) {
    requests_.OnRefusal(event.connection, *content);
  } else if (std::holds_alternative<dispatch>(event.message) ||
             std::holds_alternative<cancel>(event.message) ||
             std::holds_alternative<acknowledgement>(event.message)) {
    ++context_.counters.unexpected_messages;
  }
}

void entry_core::parts::On(const heartbeat_received& event) {
  const std::string& name = event.content.sender.name;
  const member_table& members = context_.fleet.Members();
  const bool is_agent = event.content.sender.role == process_role::kAgent;
  if (is_agent && !context_.index.IsKnown() && event.content.in_force > 0) {
    peers_.OnInformedPeer(event.from);
  }
  const bool is_needed = !is_agent || !context_.index.IsKnown() || peers_.Find(name) != nullptr;
  if (members.Find(name) == nullptr && !is_needed) {
    // It tells entries that may lack a document. Its news of deaths is good for all.
    peers_.OnSuspects(event.content.suspects);
    return;
  }
  if (members.Find(name) == nullptr && members.Members().size() >= context_.options.max_members) {
    ++context_.counters.ignored_heartbeats;
    return;
  }
  Apply(context_.fleet.On(event, context_.at));
  peers_.OnSuspects(event.content.suspects);
  const member* known = members.Find(name);
  const bool is_taken = known != nullptr &&
                        known->identity.incarnation == event.content.sender.incarnation &&
                        known->last_sequence == event.content.sequence;
  if (is_taken) {
    peers_.OnLoad(name);
  }
}

void entry_core::parts::On(const shutdown_requested& /*event*/) {
  if (stop_accepting_at_) {
    return;
  }
  context_.state = process_state::kLeaving;
  context_.Emit(log_event{.module = "process", .name = "shutdown_requested", .fields = {}});
  // Without a document no address response has named this entry.
  if (context_.index.IsKnown()) {
    // Other entries name this one until they hear that it leaves or until they hear nothing more.
    stop_accepting_at_ = context_.Now() + context_.options.members.dead_after +
                         context_.index.Document().address_lifetime;
  } else {
    stop_accepting_at_ = context_.Now();
  }
  peers_.SendHeartbeats();
}

void entry_core::parts::Leave() {
  if (!stop_accepting_at_ || context_.Now() < *stop_accepting_at_) {
    return;
  }
  if (!stopped_accepting_) {
    stopped_accepting_ = context_.Now();
    context_.Emit(callers_stop_accepting{});
  }
  if (!context_.is_finished && requests_.Count() == 0 && context_.Now() >= FinishAt()) {
    context_.is_finished = true;
    context_.Emit(process_finished{});
  }
}

time_point entry_core::parts::FinishAt() const {
  // After a pause, what arrived before it has not been handled yet.
  return std::max(*stopped_accepting_, context_.awake_since) + kLastRequests;
}

void entry_core::parts::On(const operator_query& event) {
  operator_reply reply{
      .query = event.query, .kind = event.kind, .content_type = "application/json"};
  switch (event.kind) {
    case operator_query_kind::kState:
      reply.body = Dump(State());
      break;
    case operator_query_kind::kStatus:
      reply.body = Dump(FleetStatus(context_));
      break;
    case operator_query_kind::kMetrics:
      reply.content_type = "text/plain; version=0.0.4";
      reply.body =
          CountersText(context_.counters, requests_.Count()) + context_.latencies.Exposition();
      break;
  }
  context_.Emit(std::move(reply));
}

time_point entry_core::parts::NextDeadline() const {
  time_point next = std::min(context_.fleet.NextDeadline(), requests_.NextDeadline());
  if (requests_.Count() > 0) {
    next = std::min(next, next_sweep_);
  }
  if (stop_accepting_at_ && !stopped_accepting_) {
    next = std::min(next, *stop_accepting_at_);
  } else if (stopped_accepting_ && !context_.is_finished && context_.Now() < FinishAt()) {
    next = std::min(next, FinishAt());
  }
  return next;
}

nlohmann::json entry_core::parts::State() const {
  return {{"name", context_.options.identity.name},
          {"domain", context_.options.identity.domain},
          {"incarnation", context_.options.identity.incarnation},
          {"state", StateName(context_.state)},
          {"domain_out", addresses_.OutSince().has_value()},
          {"retired", addresses_.IsRetired()},
          {"stopped_accepting", stopped_accepting_.has_value()},
          {"fleet", context_.fleet.State(context_.at)},
          {"peers", peers_.State()},
          {"suspects", context_.suspects.State(context_.Now())},
          {"work", requests_.State()},
          {"counters", CountersJson(context_.counters)},
          {"latencies", context_.latencies.Json().at("latencies")}};
}

entry_core::entry_core(const entry_core_options& options, const configuration_parser& parser,
                       std::unique_ptr<routing_policy> policy, std::unique_ptr<key_routing> keys)
    : parts_(std::make_unique<parts>(options, parser, std::move(policy), std::move(keys))) {}

entry_core::~entry_core() = default;

void entry_core::Handle(const entry_input& input, const moment& at,
                        std::vector<entry_output>& outputs) {
  parts_->Begin(at, outputs);
  std::visit([this](const auto& event) { parts_->On(event); }, input);
  parts_->End();
}

void entry_core::Advance(const moment& at, std::vector<entry_output>& outputs) {
  parts_->Begin(at, outputs);
  parts_->End();
}

time_point entry_core::NextDeadline() const { return parts_->NextDeadline(); }

nlohmann::json entry_core::State() const { return parts_->State(); }

std::unique_ptr<entry_decisions> MakeEntryCore(const entry_core_options& options,
                                               const configuration_parser& parser,
                                               std::unique_ptr<routing_policy> policy,
                                               std::unique_ptr<key_routing> keys) {
  if (!policy) {
    policy = std::make_unique<cold_share_policy>(
        std::make_unique<power_of_two_policy>(power_of_two_options{.prefix_affinity = true}),
        cold_share_options{});
  }
  if (!keys) {
    keys = std::make_unique<grant_key_routing>();
  }
  return std::make_unique<entry_core>(options, parser, std::move(policy), std::move(keys));
}

}  // namespace berylbarrow
