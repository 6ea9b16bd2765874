#include "berylbarrow/process/membership/fleet_members.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace berylbarrow {
namespace {

constexpr duration kCompanionInterval = std::chrono::seconds(1);
constexpr duration kHintLifetime = std::chrono::seconds(10);
constexpr int kSeedTurns = 3;
// All hints and the sender fit into one datagram.
constexpr std::size_t kMaxHintsForCompanions = 16;
// Gateways among the hints for companions.
constexpr std::size_t kGatewayHints = 4;
// Gateways to which a companion without a near gateway sends a beat.
constexpr std::size_t kCompanionContacts = 8;
constexpr std::size_t kEnoughNearGateways = 3;
// Beats of a gateway until one goes to a companion of another failure domain.
constexpr std::size_t kFarCompanionTurns = 20;

}  // namespace

fleet_members::fleet_members(const fleet_members_options& options, const fleet_member& self)
    : options_(options), self_(self), random_(self.incarnation) {}

void fleet_members::Learn(const member_hint& hint, time_point now) {
  if (hint.name == self_.name) return;
  if (hint.role == member_role::kCompanion) groups_[hint.peers_address] = hint.group;
  if (hint.coordinates) coordinators_[hint.group] = hint.peers_address;
  if (members_.count(hint.name) > 0) return;
  if (hint.role == member_role::kGateway || self_.role == member_role::kGateway) {
    hinted_.emplace(hint.peers_address, hinted_member{.role = hint.role, .learned_at = now});
  }
}

bool fleet_members::OnBeat(const fleet_beat& beat, time_point now) {
  if (beat.self.name == self_.name) return false;
  known_member& known = members_[beat.self.name];
  const bool same_run = known.member.incarnation == beat.self.incarnation;
  // A datagram that was overtaken by a newer one.
  if (same_run && beat.sequence <= known.sequence && known.heard != time_point::min()) return false;
  const bool is_new = known.heard == time_point::min() || !IsLive(known, now) || !same_run;
  known = {.member = beat.self, .sequence = beat.sequence, .heard = now, .was_live = true};
  hinted_.erase(beat.self.peers_address);
  for (const member_hint& hint : beat.hints) Learn(hint, now);
  return is_new;
}

std::vector<std::string> fleet_members::TakeLost(time_point now) {
  std::vector<std::string> lost;
  for (auto& [name, known] : members_) {
    if (!known.was_live || IsLive(known, now)) continue;
    known.was_live = false;
    lost.push_back(name);
  }
  return lost;
}

duration fleet_members::LifetimeOf(const fleet_member& member) const {
  if (!is_large_) return options_.lifetime;
  if (member.role == member_role::kCompanion) return options_.companion_lifetime;
  return IsNear(member) ? options_.lifetime : options_.far_lifetime;
}

bool fleet_members::IsLive(const known_member& known, time_point now) const {
  return now - known.heard <= LifetimeOf(known.member);
}

void fleet_members::Forget(time_point now) {
  std::erase_if(members_, [&](const auto& entry) {
    return now - entry.second.heard > options_.forget_after;
  });
  std::erase_if(hinted_,
                [&](const auto& entry) { return now - entry.second.learned_at > kHintLifetime; });
}

void fleet_members::UpdateSize() {
  // A fleet that has shrunk may grow again, so the way of its beats does not change back.
  const auto known = std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
    return entry.second.member.role == member_role::kGateway;
  });
  const auto hinted = std::count_if(hinted_.begin(), hinted_.end(), [](const auto& entry) {
    return entry.second.role == member_role::kGateway;
  });
  is_large_ = is_large_ || known + hinted >= options_.flat_gateways;
}

beat_targets fleet_members::Targets(time_point now) {
  Forget(now);
  UpdateSize();
  beat_targets targets;
  if (is_large_) {
    AddLargeFleetTargets(now, targets);
  } else {
    const bool is_companions_turn = self_.role == member_role::kGateway && now >= next_companions_;
    if (is_companions_turn) next_companions_ = now + kCompanionInterval;
    for (const auto& [name, known] : members_) {
      if (known.member.role == member_role::kGateway || is_companions_turn) {
        targets.direct.push_back(known.member.peers_address);
      }
    }
    // Gateways send to companions now and then, but to each other with every beat.
    const bool is_companion = self_.role == member_role::kCompanion;
    for (const auto& [address, hinted] : hinted_) {
      (is_companion ? targets.unknown : targets.direct).push_back(address);
    }
  }
  if (now >= next_seeds_ && !options_.seeds.empty()) {
    next_seeds_ = now + options_.seed_interval;
    // The seeds of a large fleet would receive a beat of every process.
    const bool is_lone_companion = self_.role == member_role::kCompanion && LiveGateways(now) == 0;
    if (is_lone_companion) {
      targets.unknown.insert(targets.unknown.end(), options_.seeds.begin(), options_.seeds.end());
    } else if (is_large_) {
      next_seeds_ = now + kSeedTurns * options_.seed_interval;
      targets.direct.push_back(AnyOf(options_.seeds));
    } else {
      targets.direct.insert(targets.direct.end(), options_.seeds.begin(), options_.seeds.end());
    }
  }
  std::set<std::string> direct(targets.direct.begin(), targets.direct.end());
  direct.erase(self_.peers_address);
  for (const std::string& address : targets.remote) direct.erase(address);
  targets.direct.assign(direct.begin(), direct.end());
  return targets;
}

void fleet_members::AddLargeFleetTargets(time_point now, beat_targets& targets) {
  ++beat_count_;
  if (self_.role == member_role::kCompanion) return AddCompanionTargets(now, targets);
  const bool is_companions_turn = now >= next_companions_;
  if (is_companions_turn) next_companions_ = now + kCompanionInterval;
  std::map<std::string, std::vector<std::string>> far_gateways;  // addresses by failure domain
  std::vector<std::string> far_companions;
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    const bool is_near = IsNear(member);
    if (member.role == member_role::kGateway) {
      if (is_near) targets.direct.push_back(member.peers_address);
      if (!is_near && IsLive(known, now)) {
        far_gateways[member.domain].push_back(member.peers_address);
      }
    } else if (is_near && is_companions_turn) {
      targets.companions.push_back(member.peers_address);
    } else if (!is_near && IsLive(known, now)) {
      far_companions.push_back(member.peers_address);
    }
  }
  for (const auto& [domain, addresses] : far_gateways) targets.remote.push_back(AnyOf(addresses));
  // One that has no gateway in its own failure domain sends to a few of others.
  const bool is_far_turn = beat_count_ % kFarCompanionTurns == 0;
  if (is_far_turn && !far_companions.empty()) targets.companions.push_back(AnyOf(far_companions));
  targets.unknown = HintedGateways(options_.contacts_per_beat);
}

void fleet_members::AddCompanionTargets(time_point now, beat_targets& targets) {
  const std::size_t turn = beat_count_ % options_.companion_turns;
  if (self_.coordinates && turn == 0) targets.direct = AllGatewayTargets(now);
  std::size_t near_gateways = 0;
  std::size_t live_near_gateways = 0;
  std::vector<std::string> far_gateways;
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    if (member.role != member_role::kGateway) continue;
    if (!IsNear(member)) {
      far_gateways.push_back(member.peers_address);
      continue;
    }
    live_near_gateways += IsLive(known, now) ? 1U : 0U;
    if (++near_gateways % options_.companion_turns == turn) {
      targets.direct.push_back(member.peers_address);
    }
  }
  // One of the gateways that have not answered yet may be near.
  const bool has_near_gateways = live_near_gateways >= kEnoughNearGateways;
  targets.unknown =
      HintedGateways(self_.coordinates || !has_near_gateways ? kCompanionContacts : 1);
  if (live_near_gateways > 0) return;
  std::sample(far_gateways.begin(), far_gateways.end(), std::back_inserter(targets.unknown),
              kCompanionContacts - targets.unknown.size(), random_);
}

std::vector<std::string> fleet_members::HintedGateways(std::size_t count) {
  std::vector<std::string> hinted;
  for (const auto& [address, member] : hinted_) {
    if (member.role == member_role::kGateway) hinted.push_back(address);
  }
  std::vector<std::string> some;
  std::sample(hinted.begin(), hinted.end(), std::back_inserter(some), count, random_);
  return some;
}

std::vector<std::string> fleet_members::AllGatewayTargets(time_point now) const {
  std::set<std::string> targets;
  for (const auto& [name, known] : members_) {
    if (known.member.role != member_role::kGateway) continue;
    if (now - known.heard <= options_.forget_after) targets.insert(known.member.peers_address);
  }
  for (const auto& [address, hinted] : hinted_) {
    if (hinted.role == member_role::kGateway) targets.insert(address);
  }
  targets.erase(self_.peers_address);
  return {targets.begin(), targets.end()};
}

void fleet_members::OnSightings(const std::vector<member_sighting>& sightings, time_point now) {
  std::map<std::uint32_t, const member_sighting*> by_name;
  for (const member_sighting& each : sightings) by_name[each.name] = &each;
  for (auto& [name, known] : members_) {
    if (known.member.role != member_role::kGateway) continue;
    const auto found = by_name.find(MemberHash(name));
    if (found == by_name.end()) continue;
    const member_sighting& sighting = *found->second;
    if (static_cast<std::uint32_t>(known.member.incarnation) != sighting.incarnation) {
      // Another run of it, which only its own beat describes.
      hinted_.emplace(known.member.peers_address, hinted_member{.learned_at = now});
      continue;
    }
    const time_point heard = now - std::chrono::milliseconds(sighting.age_ms);
    if (heard <= known.heard) continue;
    known.heard = heard;
    known.was_live = true;
    known.member.ready = sighting.ready;
  }
}

std::vector<member_sighting> fleet_members::Sightings(time_point now) const {
  std::vector<member_sighting> sightings;
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    if (member.role != member_role::kGateway || !IsNear(member) || !IsLive(known, now)) continue;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.heard);
    sightings.push_back({.name = MemberHash(name),
                         .incarnation = static_cast<std::uint32_t>(member.incarnation),
                         .age_ms = static_cast<std::uint16_t>(age.count()),
                         .ready = member.ready});
  }
  return sightings;
}

std::vector<std::string> fleet_members::GatewaysOf(const std::string& domain) const {
  std::vector<std::string> names;
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    if (member.role == member_role::kGateway && member.domain == domain) names.push_back(name);
  }
  return names;
}

std::vector<member_hint> fleet_members::SampleHints(std::size_t count,
                                                    std::optional<member_role> role) {
  std::vector<member_hint> live;
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    if (!known.was_live || (role && member.role != *role)) continue;
    live.push_back({.name = member.name,
                    .role = member.role,
                    .peers_address = member.peers_address,
                    .group = member.group,
                    .coordinates = member.coordinates});
  }
  // Turns of a fixed length may fall in step with the interval at which a receiver is told.
  std::vector<member_hint> hints;
  std::sample(live.begin(), live.end(), std::back_inserter(hints), count, random_);
  return hints;
}

std::vector<member_hint> fleet_members::RandomHints() {
  // Gateways of a large fleet learn of companions by the beats of these.
  return SampleHints(options_.hints_per_beat,
                     is_large_ ? std::optional(member_role::kGateway) : std::nullopt);
}

std::vector<member_hint> fleet_members::HintsForCompanions() {
  std::vector<member_hint> hints =
      SampleHints(options_.hints_per_companion, member_role::kCompanion);
  for (member_hint& gateway : SampleHints(kGatewayHints, member_role::kGateway)) {
    hints.push_back(std::move(gateway));
  }
  for (const auto& [name, known] : members_) {
    const fleet_member& member = known.member;
    if (!known.was_live || !member.coordinates) continue;
    hints.push_back({.name = member.name,
                     .role = member.role,
                     .peers_address = member.peers_address,
                     .group = member.group,
                     .coordinates = true});
    if (hints.size() >= kMaxHintsForCompanions) break;
  }
  return hints;
}

std::vector<fleet_member> fleet_members::Live(time_point now) const {
  std::vector<fleet_member> live;
  for (const auto& [name, known] : members_) {
    if (IsLive(known, now)) live.push_back(known.member);
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

std::string fleet_members::CoordinatorAddress(const std::string& group) const {
  const auto found = coordinators_.find(group);
  return found == coordinators_.end() ? "" : found->second;
}

std::uint32_t fleet_members::LiveGateways(time_point now) const {
  std::uint32_t count = self_.role == member_role::kGateway ? 1 : 0;
  for (const auto& [name, known] : members_) {
    if (IsLive(known, now) && known.member.role == member_role::kGateway) ++count;
  }
  return count;
}

bool fleet_members::IsLowestGateway(time_point now) const {
  return std::none_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const known_member& known = entry.second;
    return IsLive(known, now) && known.member.role == member_role::kGateway &&
           known.member.incarnation < self_.incarnation;
  });
}

std::vector<std::string> fleet_members::GatewayNames(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, known] : members_) {
    if (IsLive(known, now) && known.member.role == member_role::kGateway) names.push_back(name);
  }
  return names;
}

std::vector<std::string> fleet_members::AddressesOf(member_role role, time_point now) const {
  std::vector<std::string> addresses;
  for (const auto& [name, known] : members_) {
    if (IsLive(known, now) && known.member.role == role)
      addresses.push_back(known.member.peers_address);
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
    if (IsLive(known, now)) add(known.member);
  }
  if (near.size() < enough) near.insert(near.end(), far.begin(), far.end());
  return near;
}

}  // namespace berylbarrow
