#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "berylbarrow/process/membership/domain_digest.h"
#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct fleet_members_options {
  std::vector<std::string> seeds;  // addresses, stale ones among them
  /// A member from which nothing was heard for so long is not live.
  duration lifetime = std::chrono::milliseconds(1500);
  /// A member that is not live is still told of this process for so long.
  duration forget_after = std::chrono::seconds(60);
  /// Seeds from which nothing is heard are asked this often.
  duration seed_interval = std::chrono::seconds(1);
  std::size_t hints_per_beat = 6;
  /// Up to so many gateways send their beats to all; see fleet_members.
  std::uint32_t flat_gateways = 16;
  /// As `lifetime`, in a larger fleet: for gateways of other failure domains, which are known from
  /// digests, and for companions, which send to some gateways in turn.
  duration far_lifetime = std::chrono::seconds(3);
  duration companion_lifetime = std::chrono::milliseconds(2500);
  /// In a larger fleet: hinted members that are contacted with one beat, and turns in which a
  /// companion reaches all gateways of its failure domain.
  std::size_t contacts_per_beat = 16;
  std::size_t companion_turns = 3;
  /// In a larger fleet: hints for companions. They find their rank group by these.
  std::size_t hints_per_companion = 10;
};

/// Addresses to which a process sends its beat.
struct beat_targets {
  std::vector<std::string> direct;
  // The following are used in a large fleet only; they are in `direct` otherwise.
  std::vector<std::string> companions;
  std::vector<std::string> unknown;  // gateways that are asked for an answer
  /// Gateways of other failure domains, one of each: they also get the digest of this one.
  std::vector<std::string> remote;
};

/// Which processes of the fleet exist and live, as far as their beats show. Every process that
/// receives a beat answers with its own, so that two live seeds, or one, are enough to find all.
///
/// In a small fleet gateways send their beats to all others. In a large one they send them to the
/// gateways of their own failure domain, and a digest of that domain to one gateway of each other
/// domain, so that the messages of a process grow with the size of a domain and not of the fleet.
/// Companions then send to gateways of their own failure domain; those that coordinate a rank group
/// send to all, because the other ranks of the group may be in any failure domain.
class fleet_members {
 public:
  fleet_members(const fleet_members_options& options, const fleet_member& self);

  fleet_member& Self() { return self_; }
  const fleet_member& Self() const { return self_; }

  /// Returns whether the member was not live before.
  bool OnBeat(const fleet_beat& beat, time_point now);
  /// Names of members that were live and have not been heard since; each is returned once.
  std::vector<std::string> TakeLost(time_point now);
  /// Where to send a beat now. Companions send beats to gateways only; gateways to gateways, and
  /// now and then to companions, so that these learn of new gateways.
  beat_targets Targets(time_point now);
  /// All gateways whose address is known, for news that cannot wait.
  std::vector<std::string> AllGatewayTargets(time_point now) const;
  /// Whether the fleet is, or was, too large for beats to all.
  bool IsLarge() const { return is_large_; }
  /// Takes over what a gateway of another failure domain knows of it.
  void OnSightings(const std::vector<member_sighting>& sightings, time_point now);
  /// The live gateways of this process's failure domain without this process.
  std::vector<member_sighting> Sightings(time_point now) const;
  /// Names of the gateways of a failure domain without this process, live or not.
  std::vector<std::string> GatewaysOf(const std::string& domain) const;
  /// Some of the live members.
  std::vector<member_hint> RandomHints();
  /// Some of the live companions, and a few gateways.
  std::vector<member_hint> HintsForCompanions();

  /// Live gateways, this process included if it is one.
  std::uint32_t LiveGateways(time_point now) const;
  /// Whether no other live gateway has a lower incarnation.
  bool IsLowestGateway(time_point now) const;
  /// Names of the live gateways without this one.
  std::vector<std::string> GatewayNames(time_point now) const;
  /// Peers addresses of the live gateways without this one.
  std::vector<std::string> GatewayAddresses(time_point now) const;
  /// Peers addresses of the live companions without this one.
  std::vector<std::string> CompanionAddresses(time_point now) const;
  /// Callers' addresses of the ready gateways, this one included if it is one: first those of
  /// `domain`, as long as there are `enough` of them, otherwise all.
  std::vector<std::string> ReadyAddresses(const std::string& domain, std::size_t enough,
                                          time_point now) const;
  std::vector<fleet_member> Live(time_point now) const;
  /// Addresses of the companions of a rank group, as far as hints have told of them.
  std::vector<std::string> GroupAddresses(const std::string& group) const;
  /// Address of the companion that coordinates a rank group, by the latest hint; empty if unknown.
  std::string CoordinatorAddress(const std::string& group) const;

 private:
  struct known_member {
    fleet_member member;
    std::uint64_t sequence = 0;
    time_point heard = time_point::min();
    bool was_live = false;
  };

  void Learn(const member_hint& hint, time_point now);
  std::vector<member_hint> SampleHints(std::size_t count, std::optional<member_role> role);
  bool IsNear(const fleet_member& member) const { return member.domain == self_.domain; }
  duration LifetimeOf(const fleet_member& member) const;
  bool IsLive(const known_member& known, time_point now) const;
  void Forget(time_point now);
  void UpdateSize();
  /// Adds the targets of a process of a large fleet.
  void AddLargeFleetTargets(time_point now, beat_targets& targets);
  void AddCompanionTargets(time_point now, beat_targets& targets);
  /// Some of the gateways that are only known by hints.
  std::vector<std::string> HintedGateways(std::size_t count);
  template <typename Item>
  const Item& AnyOf(const std::vector<Item>& items) {
    return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(random_)];
  }
  /// Peers addresses of the live members of the role without this one.
  std::vector<std::string> AddressesOf(member_role role, time_point now) const;

  fleet_members_options options_;
  fleet_member self_;
  std::map<std::string, known_member> members_;  // by name
  struct hinted_member {
    member_role role = member_role::kGateway;
    time_point learned_at;
  };
  std::map<std::string, hinted_member> hinted_;      // never heard from, by address
  std::map<std::string, std::string> groups_;        // of companions, by address
  std::map<std::string, std::string> coordinators_;  // addresses, by group
  time_point next_seeds_ = time_point::min();
  time_point next_companions_ = time_point::min();
  std::size_t beat_count_ = 0;
  bool is_large_ = false;
  std::mt19937_64 random_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_
