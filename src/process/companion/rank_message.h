#ifndef BERYLBARROW_SRC_PROCESS_COMPANION_RANK_MESSAGE_H_
#define BERYLBARROW_SRC_PROCESS_COMPANION_RANK_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/version/expert/map_switch.h"
#include "berylbarrow/version/expert/rank_layout.h"

namespace berylbarrow {

/// Some layers of a layout, or of one rank's lists. One byte for the length of each list, then one
/// for each expert.
struct layout_part {
  std::uint64_t version = 0;
  std::uint32_t first_layer = 0;
  std::uint32_t layers = 0;
  std::string lists;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, first_layer, layers, lists);
  }
  auto operator<=>(const layout_part&) const = default;
};

/// Part of the load per expert that a rank sees. Each byte is 255 times the square root of the
/// share of `highest`, so that small loads keep their precision.
struct load_part {
  std::uint32_t first = 0;
  double highest = 0;  // tokens per second
  double pace = 1;     // of the rank
  std::string values;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(first, highest, pace, values);
  }
  auto operator<=>(const load_part&) const = default;
};

/// One datagram between the companions of a rank group. Each list holds at most one item.
struct rank_message {
  std::vector<member_state> state;
  std::vector<switch_plan> plan;
  std::vector<layout_part> layout;  // of the plan's target
  std::vector<layout_part> lists;   // of the sender's rank, in the map in use
  std::vector<load_part> load;      // of the sender's rank
  std::string engine_address;       // of the sender's rank; may be empty
  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, plan, layout, lists, load, engine_address);
  }
  auto operator<=>(const rank_message&) const = default;
};

std::string EncodeRankMessage(const rank_message& message);
std::optional<rank_message> DecodeRankMessage(std::string_view datagram);

/// The layout in parts that fit a datagram each.
std::vector<layout_part> SplitLayout(const rank_layout& layout, std::uint64_t version);
/// Puts the part's lists into `layout`; returns false if they do not fit its shape.
bool MergePart(const layout_part& part, rank_layout& layout);

std::vector<load_part> SplitLoad(const std::vector<double>& load);
/// Returns false if the part does not fit `load`.
bool MergePart(const load_part& part, std::vector<double>& load);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_COMPANION_RANK_MESSAGE_H_
