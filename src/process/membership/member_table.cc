#include "berylbarrow/process/membership/member_table.h"

#include <nlohmann/json.hpp>

#include "berylbarrow/process/membership/member_names.h"

namespace berylbarrow {
namespace {

constexpr double kSecondsPerNanosecond = 1e-9;

}  // namespace

heard_as member_table::Admit(const process_identity& identity, time_point now) {
  last_heard_ = now;
  auto [place, is_new] = members_.try_emplace(identity.name);
  member& known = place->second;
  if (is_new) {
    known.identity = identity;
    known.last_heard = now;
    return heard_as::kNew;
  }
  if (identity.incarnation == known.identity.incarnation) {
    known.last_heard = now;
    return heard_as::kKnown;
  }
  // A wall clock that was set back must not shut a replacement out once the earlier run is silent.
  const bool is_dead = now - known.last_heard >= options_.dead_after;
  if (identity.generation < known.identity.generation && !is_dead) {
    return heard_as::kOutdated;
  }
  std::erase_if(connections_,
                [&identity](const auto& item) { return item.second == identity.name; });
  known = member{.identity = identity, .last_heard = now};
  return heard_as::kRestarted;
}

heard_as member_table::OnHeartbeat(const heartbeat& content, const std::string& from,
                                   time_point now) {
  const heard_as effect = Admit(content.sender, now);
  if (effect == heard_as::kOutdated) {
    return effect;
  }
  member& known = members_.at(content.sender.name);
  if (effect == heard_as::kKnown && content.sequence <= known.last_sequence) {
    return heard_as::kOutdated;
  }
  known.last_sequence = content.sequence;
  known.heartbeat_address = from;
  known.state = content.state;
  known.load = content.load;
  known.load_heard = now;
  known.grant_epoch = content.grant_epoch;
  known.in_force = content.in_force;
  known.digest = content.digest;
  known.plan_step = content.plan_step;
  return effect;
}

heard_as member_table::OnOpened(const peer_opened& event, time_point now) {
  const heard_as effect = Admit(event.greeting.sender, now);
  if (effect == heard_as::kOutdated) {
    return effect;
  }
  member& known = members_.at(event.greeting.sender.name);
  known.connection = event.connection;
  known.in_force = event.greeting.in_force;
  connections_[event.connection] = event.greeting.sender.name;
  return effect;
}

std::string member_table::OnClosed(connection_id connection) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) {
    return {};
  }
  std::string name = place->second;
  connections_.erase(place);
  member& known = members_.at(name);
  if (known.connection != connection) {
    return {};
  }
  known.connection.reset();
  // The hello of an older connection may have arrived after that of a newer one, which is open.
  for (const auto& [other, owner] : connections_) {
    if (owner == name) {
      known.connection = other;
    }
  }
  return known.connection ? std::string() : name;
}

void member_table::OnMessage(connection_id connection, time_point now) {
  const auto place = connections_.find(connection);
  if (place == connections_.end()) {
    return;
  }
  members_.at(place->second).last_heard = now;
  last_heard_ = now;
}

void member_table::OnLoad(const std::string& name, const upstream_load& load, time_point now) {
  const auto place = members_.find(name);
  if (place == members_.end()) {
    return;
  }
  place->second.load = load;
  place->second.load_heard = now;
}

void member_table::OnConfiguration(const std::string& name, revision in_force) {
  const auto place = members_.find(name);
  if (place != members_.end()) {
    place->second.in_force = in_force;
  }
}

const member* member_table::Find(const std::string& name) const {
  const auto place = members_.find(name);
  return place == members_.end() ? nullptr : &place->second;
}

const member* member_table::FindByConnection(connection_id connection) const {
  const auto place = connections_.find(connection);
  return place == connections_.end() ? nullptr : Find(place->second);
}

liveness member_table::Liveness(const std::string& name, time_point now) const {
  const member* known = Find(name);
  if (known == nullptr) {
    return liveness::kUnknown;
  }
  const duration silence = now - known->last_heard;
  if (silence >= options_.dead_after) {
    return liveness::kDead;
  }
  return silence >= options_.suspect_after ? liveness::kSuspect : liveness::kAlive;
}

void member_table::Retain(const std::function<bool(const member&)>& keep) {
  std::erase_if(members_, [&keep](const auto& item) {
    return !item.second.connection && !keep(item.second);
  });
}

nlohmann::json member_table::State(time_point now) const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, known] : members_) {
    list.push_back({{"name", name},
                    {"role", known.identity.role == process_role::kEntry ? "entry" : "agent"},
                    {"domain", known.identity.domain},
                    {"incarnation", known.identity.incarnation},
                    {"liveness", LivenessName(Liveness(name, now))},
                    {"state", StateName(known.state)},
                    {"silence_s",
                     static_cast<double>((now - known.last_heard).count()) * kSecondsPerNanosecond},
                    {"connected", known.connection.has_value()},
                    {"revision", known.in_force},
                    {"plan_step", known.plan_step},
                    {"grant_epoch", known.grant_epoch},
                    {"in_flight", known.load.in_flight},
                    {"queued", known.load.queued},
                    {"limit", known.load.limit},
                    {"warm", known.load.warm}});
  }
  return list;
}

}  // namespace berylbarrow
