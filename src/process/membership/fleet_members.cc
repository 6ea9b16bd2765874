#include "berylbarrow/process/membership/fleet_members.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace berylbarrow {
namespace {

constexpr duration kCompanionInterval = std::chrono::seconds(1);
constexpr duration kHintLifetime = std::chrono::seconds(10);

}  // namespace

fleet_members::fleet_members(const fleet_members_options& options, const fleet_member& self)
    : options_(options), self_(self), random_(self.incarnation) {}

void fleet_members::Learn(const member_hint& hint, time_point now) {
  if (hint.name == self_.name) return;
  if (hint.role == member_role::kCompanion) groups_[hint.peers_address] = hint.group;
  if (members_.count(hint.name) > 0) return;
  if (hint.role == member_role::kGateway || self_.role == member_role::kGateway) {
    hinted_.emplace(hint.peers_address, now);
  }
}

bool fleet_members::OnBeat(const fleet_beat& beat, time_point now) {
  if (beat.self.name == self_.name) return false;
  known_member& known = members_[beat.self.name];
  const bool same_run = known.member.incarnation == beat.self.incarnation;
  // A datagram that was overtaken by a newer one.
  if (same_run && beat.sequence <= known.sequence && known.heard != time_point::min()) return false;
  const bool is_new =
      known.heard == time_point::min() || now - known.heard > options_.lifetime || !same_run;
  known = {.member = beat.self, .sequence = beat.sequence, .heard = now, .was_live = true};
  hinted_.erase(beat.self.peers_address);
  for (const member_hint& hint : beat.hints) Learn(hint, now);
  return is_new;
}

std::vector<std::string> fleet_members::TakeLost(time_point now) {
  std::vector<std::string> lost;
  for (auto& [name, known] : members_) {
    if (!known.was_live || now - known.heard <= options_.lifetime) continue;
    known.was_live = false;
    lost.push_back(name);
  }
  return lost;
}

std::vector<std::string> fleet_members::Targets(time_point now) {
  std::set<std::string> targets;
  const bool tell_companions = self_.role == member_role::kGateway && now >= next_companions_;
  if (tell_companions) next_companions_ = now + kCompanionInterval;
  for (auto each = members_.begin(); each != members_.end();) {
    const known_member& known = each->second;
    if (now - known.heard > options_.forget_after) {
      each = members_.erase(each);
      continue;
    }
    if (known.member.role == member_role::kGateway || tell_companions) {
      targets.insert(known.member.peers_address);
    }
    ++each;
  }
  for (auto each = hinted_.begin(); each != hinted_.end();) {
    if (now - each->second > kHintLifetime) {
      each = hinted_.erase(each);
      continue;
    }
    targets.insert(each->first);
    ++each;
  }
  if (now >= next_seeds_) {
    next_seeds_ = now + options_.seed_interval;
    targets.insert(options_.seeds.begin(), options_.seeds.end());
  }
  targets.erase(self_.peers_address);
  return {targets.begin(), targets.end()};
}

std::vector<member_hint> fleet_members::RandomHints() {
  std::vector<member_hint> live;
  for (const auto& [name, known] : members_) {
    if (!known.was_live) continue;
    const fleet_member& member = known.member;
    live.push_back({.name = member.name,
                    .role = member.role,
                    .peers_address = member.peers_address,
                    .group = member.group});
  }
  // Turns of a fixed length may fall in step with the interval at which a receiver is told.
  std::vector<member_hint> hints;
  std::sample(live.begin(), live.end(), std::back_inserter(hints), options_.hints_per_beat,
              random_);
  return hints;
}

std::vector<fleet_member> fleet_members::Live(time_point now) const {
  std::vector<fleet_member> live;
  for (const auto& [name, known] : members_) {
    if (now - known.heard <= options_.lifetime) live.push_back(known.member);
  }
  return live;
}

std::vector<std::string> fleet_members::GroupAddresses(const std::string& group) const {
  std::vector<std::string> addresses;
  for (const auto& [address, of] : groups_) {
    if (of == group && !group.empty()) addresses.push_back(address);
  }
  return addresses;
}

std::uint32_t fleet_members::LiveGateways(time_point now) const {
  std::uint32_t count = self_.role == member_role::kGateway ? 1 : 0;
  for (const auto& [name, known] : members_) {
    const bool live = now - known.heard <= options_.lifetime;
    if (live && known.member.role == member_role::kGateway) ++count;
  }
  return count;
}

bool fleet_members::IsLowestGateway(time_point now) const {
  return std::none_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const known_member& known = entry.second;
    return now - known.heard <= options_.lifetime && known.member.role == member_role::kGateway &&
           known.member.incarnation < self_.incarnation;
  });
}

std::vector<std::string> fleet_members::GatewayNames(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, known] : members_) {
    const bool live = now - known.heard <= options_.lifetime;
    if (live && known.member.role == member_role::kGateway) names.push_back(name);
  }
  return names;
}

std::vector<std::string> fleet_members::AddressesOf(member_role role, time_point now) const {
  std::vector<std::string> addresses;
  for (const auto& [name, known] : members_) {
    const bool live = now - known.heard <= options_.lifetime;
    if (live && known.member.role == role) addresses.push_back(known.member.peers_address);
  }
  return addresses;
}

std::vector<std::string> fleet_members::GatewayAddresses(time_point now) const {
  return AddressesOf(member_role::kGateway, now);
}

std::vector<std::string> fleet_members::CompanionAddresses(time_point now) const {
  return AddressesOf(member_role::kCompanion, now);
}

std::vector<std::string> fleet_members::ReadyAddresses(const std::string& domain,
                                                       std::size_t enough, time_point now) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  const auto add = [&](const fleet_member& member) {
    if (member.role != member_role::kGateway || !member.ready) return;
    (member.domain == domain ? near : far).push_back(member.callers_address);
  };
  add(self_);
  for (const auto& [name, known] : members_) {
    if (now - known.heard <= options_.lifetime) add(known.member);
  }
  if (near.size() < enough) near.insert(near.end(), far.begin(), far.end());
  return near;
}

}  // namespace berylbarrow
