#include "berylbarrow/process/membership/ring_neighbours.h"

#include <algorithm>
#include <tuple>

namespace berylbarrow {

std::vector<std::string> RingNeighbours(const std::vector<fleet_member>& members,
                                        const fleet_member& self, std::size_t each_side) {
  const auto is_before = [](const fleet_member* left, const fleet_member* right) {
    return std::tie(left->domain, left->name) < std::tie(right->domain, right->name);
  };
  std::vector<const fleet_member*> others;
  for (const fleet_member& each : members) {
    if (each.role == member_role::kGateway && each.name != self.name) others.push_back(&each);
  }
  std::sort(others.begin(), others.end(), is_before);
  const auto place = std::lower_bound(others.begin(), others.end(), &self, is_before);
  const auto after = static_cast<std::size_t>(place - others.begin());
  const std::size_t count = std::min(others.size(), 2 * each_side);
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    // `each_side` places back from the first one after `self`, around the ring.
    const std::size_t index = (after + others.size() - each_side % others.size() + i);
    addresses.push_back(others[index % others.size()]->peers_address);
  }
  return addresses;
}

}  // namespace berylbarrow
