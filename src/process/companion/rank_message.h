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

/// Consecutive layers of a layout, or of the expert lists of one rank. `lists` holds, for each
/// layer and rank, one byte for the length of the list and one byte for each expert.
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

/// Consecutive values of the load per expert of a rank. Each byte of `values` is 255 times the
/// square root of the load divided by `max_load`; the square root keeps small loads precise.
struct load_part {
  std::uint32_t offset = 0;  // index of the first value
  double max_load = 0;       // tokens per second, over all parts
  double pace = 1;           // of the rank: pass time divided by the normal pass time
  std::string values;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, max_load, pace, values);
  }
  auto operator<=>(const load_part&) const = default;
};

/// One datagram between the companions of a rank group. Each list holds at most one item.
struct rank_message {
  std::vector<member_state> state;
  std::vector<switch_plan> plan;
  std::vector<layout_part> target_layout;  // of the plan's target
  std::vector<layout_part> sender_lists;   // expert lists of the sender's rank in the map in use
  std::vector<load_part> sender_load;      // load of the sender's rank
  std::string engine_address;              // engine of the sender's rank; may be empty
  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, plan, target_layout, sender_lists, sender_load, engine_address);
  }
  auto operator<=>(const rank_message&) const = default;
};

std::string EncodeRankMessage(const rank_message& message);
/// Returns std::nullopt if the datagram is not a complete rank message.
std::optional<rank_message> DecodeRankMessage(std::string_view datagram);

/// Splits the layout into parts that fit into one datagram each.
std::vector<layout_part> SplitLayout(const rank_layout& layout, std::uint64_t version);
/// Copies the lists of the part into `layout`. Returns false if they do not fit its shape; lists
/// before the first that does not fit have been copied then.
bool MergePart(const layout_part& part, rank_layout& layout);

/// Splits the load into parts that fit into one datagram each.
std::vector<load_part> SplitLoad(const std::vector<double>& load);
/// Copies the values of the part into `load`. Returns false, without a change, if they exceed it.
bool MergePart(const load_part& part, std::vector<double>& load);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_COMPANION_RANK_MESSAGE_H_
