#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_RING_NEIGHBOURS_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_RING_NEIGHBOURS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "berylbarrow/process/membership/fleet_beat.h"

namespace berylbarrow {

/// Peers addresses of the gateways next to `self` in the ring of all gateways in `members`, ordered
/// by failure domain and name: up to `each_side` before it and as many after it. Gateways that know
/// the same members choose each other, and most neighbours are of the same failure domain.
std::vector<std::string> RingNeighbours(const std::vector<fleet_member>& members,
                                        const fleet_member& self, std::size_t each_side);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_RING_NEIGHBOURS_H_
