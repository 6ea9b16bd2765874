#ifndef BERYLBARROW_REQUEST_DISPATCH_HOME_RANKS_H_
#define BERYLBARROW_REQUEST_DISPATCH_HOME_RANKS_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// The gateways of one failure domain, by the hashes of their names.
struct near_gateways {
  std::string domain;
  std::uint32_t self = 0;
  std::vector<std::uint32_t> others;  // the live ones
  auto operator<=>(const near_gateways&) const = default;
};

/// Whether reading a chunk of a prompt takes an engine longer in a step than all other requests of
/// a full rank. Many short requests then fill the ranks, and a prompt that comes to a full rank
/// waits there for a long time although other ranks could read it at once.
bool ReadingDominates(const engine_profile& engine);

/// The ranks that a gateway prefers.
///
/// Gateways learn of each other's requests with a delay. If all of them choose the rank with the
/// lowest known load, the prompts of a moment meet at the same few ranks, fill their slots and wait
/// there. So each gateway prefers ranks of its own, whose load it knows exactly: the ranks of a
/// failure domain are dealt to the gateways there in turn. The deal follows from the list of
/// upstreams and the live gateways, which all gateways know, and needs no messages of its own.
/// While gateways differ about these, a rank may have two of them, or none.
///
/// `ranks`: ids of the ranks in the gateways' failure domain.
std::set<std::string> HomeRanks(const std::set<std::string>& ranks, const near_gateways& gateways);

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_DISPATCH_HOME_RANKS_H_
