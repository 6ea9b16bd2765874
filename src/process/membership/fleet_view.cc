#include "berylbarrow/process/membership/fleet_view.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylbarrow {
namespace {

// An older list may arrive after a newer one; it must not bring a leaving instance back. Longer
// than lists lag.
constexpr duration kLeavingHold = std::chrono::seconds(30);

follower_options FollowerOptions(const fleet_options& options) {
  follower_options result = options.follower;
  result.self = options.self;
  return result;
}

}  // namespace

fleet_view::fleet_view(const fleet_options& options, const configuration_parser& parser)
    : options_(options),
      members_(options.members),
      follower_(FollowerOptions(options), parser, members_) {}

void fleet_view::Merge(follower_actions actions, const moment& at, fleet_changes& changes) {
  for (peer_send& send : actions.sends) {
    changes.sends.push_back(std::move(send));
  }
  if (actions.watch) {
    changes.watches.push_back(*actions.watch);
  }
  ReportRefusals(changes);
  if (!actions.version_changed) {
    return;
  }
  changes.version_changed = true;
  changes.events.push_back({.module = "configuration",
                            .name = "revision_in_force",
                            .fields = {{"revision", std::to_string(follower_.Revision())}}});
  plan_.Restart(*follower_.Current(), at);
  // Peers must not wait for the next interval to hear of the new revision.
  next_heartbeat_ = at.now;
}

void fleet_view::ReportRefusals(fleet_changes& changes) {
  const std::string refused = std::to_string(follower_.LastRefused());
  if (std::exchange(reported_refusal_, follower_.LastRefused()) == follower_.LastRefused()) {
    return;
  }
  for (const finding& item : follower_.LastFindings()) {
    changes.events.push_back({.level = log_level::kError,
                              .module = "configuration",
                              .name = "document_refused",
                              .fields = {{"revision", refused},
                                         {"line", std::to_string(item.line)},
                                         {"column", std::to_string(item.column)},
                                         {"finding", item.message}}});
  }
}

fleet_changes fleet_view::OnTime(const moment& at) {
  fleet_changes changes;
  Merge(follower_.OnTime(at), at, changes);
  if (at.now < next_heartbeat_) {
    return changes;
  }
  next_heartbeat_ = at.now + options_.heartbeat_interval;
  changes.heartbeat_due = true;
  // Only entries hear the load of the upstreams; agents take the step from heartbeats.
  const bool evaluates = options_.self.role == process_role::kEntry && follower_.Current();
  if (evaluates && follower_.View(at.now) == view_state::kCurrent) {
    changes.plan_changed = plan_.Evaluate(Observe(at.now), at);
  }
  return changes;
}

fleet_changes fleet_view::On(const peer_opened& event, const moment& at) {
  fleet_changes changes;
  // A process is among its own seeds; it is not its own peer.
  if (event.greeting.sender.name == options_.self.name) {
    return changes;
  }
  const heard_as effect = members_.OnOpened(event, at.now);
  if (effect == heard_as::kOutdated) {
    return changes;
  }
  if (effect == heard_as::kRestarted) {
    changes.restarted_peer = event.greeting.sender.name;
  }
  Merge(follower_.OnPeerRevision(event.greeting.in_force, event.connection, at), at, changes);
  return changes;
}

fleet_changes fleet_view::On(const peer_closed& event, const moment& /*at*/) {
  fleet_changes changes;
  changes.closed_peer = members_.OnClosed(event.connection);
  if (!changes.closed_peer.empty()) {
    changes.events.push_back({.level = log_level::kWarning,
                              .module = "peers",
                              .name = "connection_lost",
                              .fields = {{"peer", changes.closed_peer}}});
  }
  return changes;
}

fleet_changes fleet_view::On(const peer_received& event, const moment& at) {
  fleet_changes changes;
  members_.OnMessage(event.connection, at.now);
  if (const auto* request = std::get_if<configuration_request>(&event.message)) {
    Merge(follower_.OnRequest(*request, event.connection), at, changes);
  } else if (const auto* reply = std::get_if<configuration_reply>(&event.message)) {
    Merge(follower_.OnReply(*reply, event.connection, at), at, changes);
  } else if (const auto* work = std::get_if<dispatch>(&event.message)) {
    Merge(follower_.OnPeerRevision(work->sender_revision, event.connection, at), at, changes);
    // Datagrams may fail where connections work, and an agent evaluates no plan itself.
    changes.plan_changed = plan_.Hear(work->sender_revision, work->sender_plan_step, at);
  }
  return changes;
}

fleet_changes fleet_view::On(const heartbeat_received& event, const moment& at) {
  fleet_changes changes;
  const heartbeat& content = event.content;
  if (content.sender.name == options_.self.name) {
    return changes;
  }
  const heard_as effect = members_.OnHeartbeat(content, event.from, at.now);
  if (effect == heard_as::kOutdated) {
    return changes;
  }
  if (effect == heard_as::kRestarted) {
    changes.restarted_peer = content.sender.name;
  }
  const member* known = members_.Find(content.sender.name);
  Merge(follower_.OnPeerRevision(content.in_force, known->connection, at), at, changes);
  changes.plan_changed = plan_.Hear(content.in_force, content.plan_step, at);
  return changes;
}

fleet_changes fleet_view::On(const document_received& event, const moment& at) {
  fleet_changes changes;
  Merge(follower_.OnDocument(event, at), at, changes);
  return changes;
}

fleet_changes fleet_view::On(const instances_received& event, const moment& at) {
  instances_.clear();
  std::erase_if(leaving_marks_, [&at](const auto& item) { return item.second.until <= at.now; });
  for (const instance_record& record : event.instances) {
    instances_.emplace(record.name, record);
    if (record.leaving) {
      const member* known = members_.Find(record.name);
      leaving_marks_[record.name] = {
          .until = at.now + kLeavingHold,
          .incarnation = known == nullptr ? 0 : known->identity.incarnation};
    }
  }
  return {};
}

bool fleet_view::IsListedLeaving(const std::string& name) const {
  const auto listed = instances_.find(name);
  if (listed != instances_.end() && listed->second.leaving) {
    return true;
  }
  const auto mark = leaving_marks_.find(name);
  if (mark == leaving_marks_.end()) {
    return false;
  }
  const member* known = members_.Find(name);
  return known == nullptr || mark->second.incarnation == 0 ||
         known->identity.incarnation == mark->second.incarnation;
}

heartbeat fleet_view::NextHeartbeat(process_state state) {
  const auto current = follower_.Current();
  return {.sender = options_.self,
          .sequence = ++heartbeat_sequence_,
          .state = state,
          .in_force = follower_.Revision(),
          .digest = current ? current->digest : 0,
          .plan_step = plan_.Step()};
}

bool fleet_view::DomainInService(const std::string& domain) const {
  return plan_.StateOf(domain) == service_state::kIn;
}

bool fleet_view::UpstreamInService(const upstream_options& upstream) const {
  if (upstream.state == service_state::kOut || !DomainInService(upstream.domain)) {
    return false;
  }
  const member* known = members_.Find(upstream.name);
  if (known != nullptr && known->state == process_state::kLeaving) {
    return false;
  }
  // The list lags, so it can only mark a further instance as leaving, never bring one back.
  return !IsListedLeaving(upstream.name);
}

domain_observations fleet_view::Observe(time_point now) const {
  domain_observations result;
  const auto current = follower_.Current();
  if (!current) {
    return result;
  }
  for (const service_options& service : current->value.services) {
    for (const upstream_options& upstream : service.upstreams) {
      domain_observation& sum = result[upstream.domain];
      sum.upstreams += upstream.state == service_state::kIn ? 1 : 0;
      const member* known = members_.Find(upstream.name);
      const bool is_heard =
          known != nullptr && members_.Liveness(upstream.name, now) != liveness::kDead;
      if (!is_heard) {
        sum.unknown += instances_.contains(upstream.name) ? 1 : 0;
        continue;
      }
      sum.in_flight += known->load.in_flight + known->load.queued;
      sum.warm += known->load.warm && upstream.state == service_state::kIn ? 1 : 0;
    }
  }
  return result;
}

time_point fleet_view::NextDeadline() const {
  return std::min(next_heartbeat_, follower_.NextDeadline());
}

nlohmann::json fleet_view::State(const moment& at) const {
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [name, record] : instances_) {
    instances.push_back({{"name", name}, {"leaving", IsListedLeaving(name)}});
  }
  const auto observed = Observe(at.now);
  nlohmann::json domains = nlohmann::json::array();
  for (const auto& [name, seen] : observed) {
    domains.push_back({{"name", name},
                       {"state", DomainInService(name) ? "in" : "out"},
                       {"upstreams", seen.upstreams},
                       {"warm", seen.warm},
                       {"in_flight", seen.in_flight},
                       {"unknown", seen.unknown}});
  }
  return {{"configuration", follower_.State(at)},
          {"domains", domains},
          {"plan_step", plan_.Step()},
          {"plan", plan_.State(observed, at)},
          {"members", members_.State(at.now)},
          {"instances", instances}};
}

}  // namespace berylbarrow
