#include "process/companion/rank_message.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

constexpr std::uint32_t kRankMessageMagic = 0x62620008;
constexpr std::size_t kMaxPartBytes = 900;
constexpr std::uint32_t kMaxByte = 255;

std::string EncodeLayer(const rank_layout& layout, std::uint32_t layer) {
  std::string lists;
  for (std::uint32_t rank = 0; rank < layout.Shape().ranks; ++rank) {
    const auto& experts = layout.At(layer, rank);
    lists += static_cast<char>(experts.size());
    for (const expert_index expert : experts) lists += static_cast<char>(expert);
  }
  return lists;
}

}  // namespace

std::string EncodeRankMessage(const rank_message& message) {
  return EncodeDatagram(kRankMessageMagic, message);
}

std::optional<rank_message> DecodeRankMessage(std::string_view datagram) {
  return DecodeDatagram<rank_message>(kRankMessageMagic, datagram);
}

std::vector<layout_part> SplitLayout(const rank_layout& layout, std::uint64_t version) {
  std::vector<layout_part> parts;
  for (std::uint32_t layer = 0; layer < layout.Shape().layers; ++layer) {
    const std::string lists = EncodeLayer(layout, layer);
    if (parts.empty() || parts.back().lists.size() + lists.size() > kMaxPartBytes) {
      parts.push_back({.version = version, .first_layer = layer});
    }
    ++parts.back().layers;
    parts.back().lists += lists;
  }
  return parts;
}

bool MergePart(const layout_part& part, rank_layout& layout) {
  const group_shape& shape = layout.Shape();
  if (std::uint64_t{part.first_layer} + part.layers > shape.layers) return false;
  std::size_t at = 0;
  for (std::uint32_t layer = part.first_layer; layer < part.first_layer + part.layers; ++layer) {
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      if (at >= part.lists.size()) return false;
      const auto length = static_cast<unsigned char>(part.lists[at++]);
      if (length > shape.slots_per_rank || at + length > part.lists.size()) return false;
      std::vector<expert_index> experts;
      for (std::size_t i = 0; i < length; ++i) {
        experts.push_back(static_cast<unsigned char>(part.lists[at++]));
      }
      layout.Set(layer, rank, std::move(experts));
    }
  }
  return at == part.lists.size();
}

std::uint64_t LayoutDigest(const rank_layout& layout) {
  std::string lists;
  for (std::uint32_t layer = 0; layer < layout.Shape().layers; ++layer) {
    lists += EncodeLayer(layout, layer);
  }
  return XXH64(lists.data(), lists.size(), 0);
}

rank_layout InitialLayout(const group_shape& shape) {
  rank_layout layout(shape);
  for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
    std::vector<expert_index> experts;
    for (std::uint32_t expert = rank; expert < shape.experts; expert += shape.ranks) {
      experts.push_back(static_cast<expert_index>(expert));
    }
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer) layout.Set(layer, rank, experts);
  }
  return layout;
}

std::vector<layout_delta> SplitDelta(const rank_layout& from, std::uint64_t base,
                                     const rank_layout& to, std::uint64_t version) {
  const group_shape& shape = to.Shape();
  if (shape.layers > kMaxByte || shape.ranks > kMaxByte) return {};
  const layout_delta empty{.version = version, .base = base, .digest = LayoutDigest(to)};
  std::vector<layout_delta> parts{empty};
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      const auto& experts = to.At(layer, rank);
      if (experts == from.At(layer, rank)) continue;
      std::string entry{static_cast<char>(layer), static_cast<char>(rank),
                        static_cast<char>(experts.size())};
      for (const expert_index expert : experts) entry += static_cast<char>(expert);
      if (parts.back().entries.size() + entry.size() > kMaxPartBytes) parts.push_back(empty);
      parts.back().entries += entry;
    }
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

bool ApplyDelta(const std::vector<layout_delta>& parts, rank_layout& layout) {
  const group_shape& shape = layout.Shape();
  for (const layout_delta& part : parts) {
    std::size_t at = 0;
    const auto next = [&] { return static_cast<unsigned char>(part.entries[at++]); };
    while (at + 3 <= part.entries.size()) {
      const std::uint32_t layer = next();
      const std::uint32_t rank = next();
      const std::size_t length = next();
      const bool is_sound = layer < shape.layers && rank < shape.ranks &&
                            length <= shape.slots_per_rank && at + length <= part.entries.size();
      if (!is_sound) return false;
      std::vector<expert_index> experts;
      for (std::size_t i = 0; i < length; ++i) experts.push_back(next());
      layout.Set(layer, rank, std::move(experts));
    }
  }
  return !parts.empty() && LayoutDigest(layout) == parts.front().digest;
}

std::vector<load_part> SplitLoad(const std::vector<double>& load) {
  std::vector<load_part> parts;
  const double max_load = load.empty() ? 0 : *std::max_element(load.begin(), load.end());
  for (std::size_t first = 0; first < load.size(); first += kMaxPartBytes) {
    load_part part{.offset = static_cast<std::uint32_t>(first), .max_load = max_load};
    const std::size_t end = std::min(load.size(), first + kMaxPartBytes);
    for (std::size_t i = first; i < end; ++i) {
      const double share = max_load > 0 ? std::sqrt(std::max(0.0, load[i] / max_load)) : 0;
      part.values += static_cast<char>(static_cast<unsigned char>(std::lround(255 * share)));
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

bool MergePart(const load_part& part, std::vector<double>& load) {
  if (std::uint64_t{part.offset} + part.values.size() > load.size()) return false;
  for (std::size_t i = 0; i < part.values.size(); ++i) {
    const double share = static_cast<unsigned char>(part.values[i]) / 255.0;
    load[part.offset + i] = share * share * part.max_load;
  }
  return true;
}

}  // namespace berylbarrow
