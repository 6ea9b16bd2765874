#include "berylbarrow/request/dispatch/home_ranks.h"

#include <algorithm>

namespace berylbarrow {

bool ReadingDominates(const engine_profile& engine) {
  if (engine.read_tokens_per_ms <= 0) return false;
  const double chunk_ms = engine.chunk_tokens / engine.read_tokens_per_ms;
  return chunk_ms > engine.slots * engine.per_sequence_ms;
}

std::set<std::string> HomeRanks(const std::set<std::string>& ranks, const near_gateways& gateways) {
  const auto before = std::count_if(gateways.others.begin(), gateways.others.end(),
                                    [&](std::uint32_t other) { return other < gateways.self; });
  const auto own_turn = static_cast<std::size_t>(before);
  std::set<std::string> homes;
  std::size_t turn = 0;
  for (const std::string& rank : ranks) {
    if (turn == own_turn) homes.insert(homes.end(), rank);
    turn = turn == gateways.others.size() ? 0 : turn + 1;
  }
  return homes;
}

}  // namespace berylbarrow
