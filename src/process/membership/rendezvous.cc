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

}  // namespace berylbarrow
