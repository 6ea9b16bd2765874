#include "process/entry/peers.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

#include "berylbarrow/process/membership/rendezvous.h"

namespace berylbarrow {
namespace {

// Each one is asked for its document; more than one may be gone before it answers.
constexpr std::size_t kMaxInformedPeers = 3;

}  // namespace

void entry_peers::Start() {
  if (seeds_connected_ || context_.index.IsKnown()) {
    return;
  }
  seeds_connected_ = true;
  for (const std::string& seed : context_.options.seeds) {
    context_.Emit(peer_connect{.name = seed, .address = seed});
  }
}

void entry_peers::OnInformedPeer(const std::string& address) {
  const std::vector<std::string>& seeds = context_.options.seeds;
  const bool is_seed = std::find(seeds.begin(), seeds.end(), address) != seeds.end();
  if (!seeds_connected_ || is_seed || informed_peers_.size() >= kMaxInformedPeers) {
    return;
  }
  if (informed_peers_.insert(address).second) {
    context_.Emit(peer_connect{.name = address, .address = address});
  }
}

void entry_peers::Connect(const std::string& name, agent_link& link, const std::string& address) {
  link.address = address;
  link.last_used = context_.Now();
  context_.Emit(peer_connect{.name = name, .address = address});
}

void entry_peers::Disconnect(const std::string& name, agent_link& link) {
  if (link.connection) {
    connections_.erase(*link.connection);
    link.connection.reset();
  }
  context_.Emit(peer_disconnect{.name = name});
}

void entry_peers::OnVersion() {
  const configuration& document = context_.index.Document();
  for (auto& [name, link] : links_) {
    link.in_subset = false;
    const upstream_options* upstream = context_.index.Upstream(name);
    if (upstream != nullptr && upstream->agent_address != link.address) {
      Disconnect(name, link);
      Connect(name, link, upstream->agent_address);
    }
  }
  for (const service_options& service : document.services) {
    if (!context_.services.Serves(service.name)) {
      continue;
    }
    for (const upstream_options* upstream : context_.index.Subset(service.name)) {
      const auto [place, is_new] = links_.try_emplace(upstream->name);
      place->second.in_subset = true;
      if (is_new) {
        Connect(upstream->name, place->second, upstream->agent_address);
      }
    }
  }
  Sweep();
  if (seeds_connected_) {
    seeds_connected_ = false;
    for (const std::string& seed : context_.options.seeds) {
      context_.Emit(peer_disconnect{.name = seed});
    }
    for (const std::string& address : informed_peers_) {
      context_.Emit(peer_disconnect{.name = address});
    }
    informed_peers_.clear();
  }
  ChooseEntries();
}

void entry_peers::ChooseEntries() {
  const std::string& self = context_.options.identity.name;
  const std::size_t count = context_.options.heartbeat_entries;
  std::vector<std::string> names;
  std::map<std::string, std::string> addresses;
  for (const entry_options& entry : context_.index.Document().entries) {
    names.push_back(entry.name);
    addresses.emplace(entry.name, entry.peer_address);
  }
  const auto others = [&names](const std::string& name) {
    std::vector<std::string> result;
    std::copy_if(names.begin(), names.end(), std::back_inserter(result),
                 [&name](const std::string& other) { return other != name; });
    return result;
  };
  entry_addresses_.clear();
  heard_entries_.clear();
  for (const std::string& name : RendezvousPick(self, others(self), count)) {
    entry_addresses_.push_back(addresses.at(name));
  }
  for (const std::string& name : others(self)) {
    if (IsRendezvousPick(name, others(name), count, self)) {
      heard_entries_.insert(name);
    }
  }
}

std::string entry_peers::OnOpened(const peer_opened& event) {
  const std::string& name = event.greeting.sender.name;
  const auto place = links_.find(name);
  const member* known = context_.fleet.Members().FindByConnection(event.connection);
  if (place == links_.end() || known == nullptr) {
    return {};
  }
  agent_link& link = place->second;
  if (link.connection) {
    connections_.erase(*link.connection);
  }
  link.connection = event.connection;
  link.incarnation = event.greeting.sender.incarnation;
  connections_[event.connection] = name;
  return name;
}

std::string entry_peers::OnClosed(connection_id connection) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) {
    return {};
  }
  std::string name = place->second;
  connections_.erase(place);
  if (agent_link* link = Find(name)) {
    link->connection.reset();
  }
  return name;
}

void entry_peers::OnLoad(const std::string& agent) {
  if (agent_link* link = Find(agent)) {
    link->sent_since = 0;
  }
}

void entry_peers::OnSuspects(const std::vector<suspect_report>& reports) {
  // Passed on at once: the caller may send the request again through another entry, whose subset
  // lacks the agent, before the next regular heartbeat.
  if (context_.suspects.Merge(reports, context_.Now())) {
    SendHeartbeats();
  }
}

void entry_peers::SendHeartbeats() {
  heartbeat content = context_.fleet.NextHeartbeat(context_.state);
  context_.suspects.Expire(context_.Now());
  content.suspects = context_.suspects.Reports(context_.Now());
  if (!context_.index.IsKnown()) {
    for (const std::string& seed : context_.options.seeds) {
      context_.Emit(heartbeat_send{.to = seed, .content = content});
    }
    return;
  }
  for (const auto& [name, link] : links_) {
    context_.Emit(heartbeat_send{.to = link.address, .content = content});
  }
  if (context_.state != process_state::kLeaving) {
    for (const std::string& address : entry_addresses_) {
      context_.Emit(heartbeat_send{.to = address, .content = content});
    }
    return;
  }
  // Every entry may name this one in address responses, also those that do not hear it otherwise.
  for (const entry_options& entry : context_.index.Document().entries) {
    if (entry.name != context_.options.identity.name) {
      context_.Emit(heartbeat_send{.to = entry.peer_address, .content = content});
    }
  }
}

void entry_peers::Sweep() {
  if (context_.services.Expire(context_.Now())) {
    OnVersion();
    return;
  }
  for (auto place = links_.begin(); place != links_.end();) {
    agent_link& link = place->second;
    const bool lingers =
        link.on_demand && context_.Now() - link.last_used < context_.options.idle_link;
    // A link that left the subset stays until its requests are done.
    if (link.in_subset || lingers || !link.requests.empty()) {
      ++place;
      continue;
    }
    Disconnect(place->first, link);
    place = links_.erase(place);
  }
  context_.fleet.Members().Retain([this](const member& known) {
    const time_point heard = std::max(known.last_heard, context_.awake_since);
    return context_.Now() - heard < context_.options.forget_member;
  });
}

agent_link* entry_peers::Find(const std::string& agent) {
  const auto place = links_.find(agent);
  return place == links_.end() ? nullptr : &place->second;
}

void entry_peers::Demand(const upstream_options& upstream) {
  auto [place, is_new] = links_.try_emplace(upstream.name);
  if (is_new) {
    place->second.on_demand = true;
    Connect(upstream.name, place->second, upstream.agent_address);
  }
}

bool entry_peers::IsConnectedTo(const agent_run& run) const {
  const auto link = links_.find(run.name);
  if (link == links_.end() || !link->second.connection) {
    return false;
  }
  const member* known = context_.fleet.Members().Find(run.name);
  return known != nullptr && known->identity.incarnation == run.incarnation &&
         link->second.incarnation == run.incarnation;
}

void entry_peers::Attach(const std::string& agent, caller_id caller) {
  if (agent_link* link = Find(agent)) {
    link->requests.insert(caller);
    link->last_used = context_.Now();
  }
}

void entry_peers::Detach(const std::string& agent, caller_id caller) {
  if (agent_link* link = Find(agent)) {
    link->requests.erase(caller);
    link->last_used = context_.Now();
  }
}

void entry_peers::OnSent(const std::string& agent) {
  if (agent_link* link = Find(agent)) {
    ++link->sent_since;
  }
}

bool entry_peers::MayTakeWork(const upstream_options& upstream) const {
  const member* known = context_.fleet.Members().Find(upstream.name);
  return known != nullptr && known->state == process_state::kServing &&
         IsConnectedTo({.name = upstream.name, .incarnation = known->identity.incarnation}) &&
         context_.Liveness(upstream.name) == liveness::kAlive &&
         context_.fleet.UpstreamInService(upstream);
}

std::vector<routing_candidate> entry_peers::Candidates(const service_options& service,
                                                       const std::set<agent_run>& excluded) const {
  std::vector<routing_candidate> result;
  for (const upstream_options* upstream : context_.index.Subset(service.name)) {
    if (!MayTakeWork(*upstream) ||
        excluded.contains({upstream->name, links_.at(upstream->name).incarnation})) {
      continue;
    }
    result.push_back({.name = upstream->name,
                      .load = context_.fleet.Members().Find(upstream->name)->load,
                      .sent_since_report = links_.at(upstream->name).sent_since});
  }
  return result;
}

std::vector<agent_run> entry_peers::ConnectedRuns(const service_options& service) const {
  std::vector<agent_run> result;
  for (const upstream_options& upstream : service.upstreams) {
    const auto link = links_.find(upstream.name);
    if (link != links_.end() && link->second.connection) {
      result.push_back({.name = upstream.name, .incarnation = link->second.incarnation});
    }
  }
  return result;
}

nlohmann::json entry_peers::State() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, link] : links_) {
    list.push_back({{"name", name},
                    {"address", link.address},
                    {"in_subset", link.in_subset},
                    {"connected", link.connection.has_value()},
                    {"incarnation", link.incarnation},
                    {"sent_since_report", link.sent_since},
                    {"requests", link.requests.size()}});
  }
  return {{"agents", list}, {"heartbeat_entries", entry_addresses_}};
}

}  // namespace berylbarrow
