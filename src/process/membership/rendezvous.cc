#include "berylbarrow/process/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace berylbarrow {

std::vector<std::string> RendezvousPick(std::string_view key, const std::vector<std::string>& names,
                                        std::size_t count) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(names.size());
  for (const std::string& name : names) {
    weighted.emplace_back(XXH64(name.data(), name.size(), seed), name);
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<std::string> picked;
  for (std::size_t i = 0; i < std::min(count, weighted.size()); ++i) {
    picked.push_back(std::move(weighted[i].second));
  }
  return picked;
}

bool IsRendezvousPick(std::string_view key, const std::vector<std::string>& names,
                      std::size_t count, std::string_view name) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  const auto weight = [seed](std::string_view text) {
    return std::pair(XXH64(text.data(), text.size(), seed), text);
  };
  const auto own = weight(name);
  const auto better = std::count_if(names.begin(), names.end(),
                                    [&](const std::string& other) { return weight(other) > own; });
  return static_cast<std::size_t>(better) < count;
}

std::vector<std::string> SpreadPick(std::string_view key,
                                    const std::map<std::string, std::vector<std::string>>& groups,
                                    std::size_t count) {
  std::vector<std::string> order;
  std::map<std::string, std::vector<std::string>> ranked;
  std::size_t longest = 0;
  for (const auto& [group, names] : groups) {
    order.push_back(group);
    ranked[group] = RendezvousPick(key, names, count);
    longest = std::max(longest, ranked[group].size());
  }
  order = RendezvousPick(key, order, order.size());
  std::vector<std::string> picked;
  for (std::size_t round = 0; round < longest; ++round) {
    for (const std::string& group : order) {
      if (round < ranked[group].size() && picked.size() < count) {
        picked.push_back(ranked[group][round]);
      }
    }
  }
  return picked;
}

}  // namespace berylbarrow
