#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

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
};

/// Which processes of the fleet exist and live, as far as their beats show. Every process that
/// hears a beat answers with its own, so that two live seeds, or one, are enough to find all.
class fleet_members {
 public:
  fleet_members(const fleet_members_options& options, const fleet_member& self);

  fleet_member& Self() { return self_; }
  const fleet_member& Self() const { return self_; }

  /// Returns whether the member was not live before.
  bool OnBeat(const fleet_beat& beat, time_point now);
  /// Names of members that were live and have not been heard since; each is returned once.
  std::vector<std::string> TakeLost(time_point now);
  /// Where to send a beat now. Companions beat to gateways only; gateways to all gateways, and now
  /// and then to companions, so that these learn of new gateways.
  std::vector<std::string> Targets(time_point now);
  /// Some of the live members.
  std::vector<member_hint> RandomHints();

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

 private:
  struct known_member {
    fleet_member member;
    std::uint64_t sequence = 0;
    time_point heard = time_point::min();
    bool was_live = false;
  };

  void Learn(const member_hint& hint, time_point now);
  /// Peers addresses of the live members of the role without this one.
  std::vector<std::string> AddressesOf(member_role role, time_point now) const;

  fleet_members_options options_;
  fleet_member self_;
  std::map<std::string, known_member> members_;  // by name
  std::map<std::string, time_point> hinted_;     // addresses never heard from
  std::map<std::string, std::string> groups_;    // of companions, by address
  time_point next_seeds_ = time_point::min();
  time_point next_companions_ = time_point::min();
  std::mt19937_64 random_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_MEMBERS_H_
