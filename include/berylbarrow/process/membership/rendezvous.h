#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_RENDEZVOUS_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylbarrow {

/// The `count` names with the highest hash of (key, name), best first: the same everywhere, and a
/// name that comes or goes changes only its own place. Source: highest random weight hashing,
/// Thaler and Ravishankar 1998, over XXH64.
std::vector<std::string> RendezvousPick(std::string_view key, const std::vector<std::string>& names,
                                        std::size_t count);

/// Whether RendezvousPick(key, names, count) has `name`, which is one of `names`.
bool IsRendezvousPick(std::string_view key, const std::vector<std::string>& names,
                      std::size_t count, std::string_view name);

/// Chooses `count` names in rounds: of each group the best, then of each the second best, and so
/// on. A group that goes away leaves the places of the other groups' names as they are and only
/// adds further ones.
std::vector<std::string> SpreadPick(std::string_view key,
                                    const std::map<std::string, std::vector<std::string>>& groups,
                                    std::size_t count);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_RENDEZVOUS_H_
