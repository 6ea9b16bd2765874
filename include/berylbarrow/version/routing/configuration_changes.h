#ifndef BERYLBARROW_VERSION_ROUTING_CONFIGURATION_CHANGES_H_
#define BERYLBARROW_VERSION_ROUTING_CONFIGURATION_CHANGES_H_

#include <compare>
#include <string>
#include <vector>

#include "berylbarrow/version/routing/configuration_review.h"

namespace berylbarrow {

/// A field that differs between two configurations. For a whole entry (kEntry), `before` or `after`
/// is empty: it was added or removed.
struct configuration_change {
  configuration_place place;  // its index is that of the later configuration, if the entry is in it
  std::string before;
  std::string after;
  auto operator<=>(const configuration_change&) const = default;
};

/// Entries are compared by name. Keys of accounts are counted, never shown.
std::vector<configuration_change> CompareConfigurations(const routing_content& in_force,
                                                        const routing_content& next);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_ROUTING_CONFIGURATION_CHANGES_H_
