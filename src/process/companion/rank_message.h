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

/// A part of the difference between two layouts. Each entry has one byte for the layer, the rank
/// and the length of the rank's new list, and one byte for each expert of it.
struct layout_delta {
  std::uint64_t version = 0;
  std::uint64_t base = 0;    // version of the layout that the entries change
  std::uint64_t digest = 0;  // LayoutDigest() of the result
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string entries;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, base, digest, part, parts, entries);
  }
  auto operator<=>(const layout_delta&) const = default;
};

/// Consecutive values of the load per expert of a rank. Each byte of `values` is 255 times the
/// square root of the load divided by `max_load`; the square root keeps small loads precise.
struct load_part {
  std::uint32_t offset = 0;  // index of the first value
  double max_load = 0;       // tokens per second, over all parts
  double pace = 1;           // of the sender's rank: pass time divided by the normal pass time
  std::string values;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(offset, max_load, pace, values);
  }
  auto operator<=>(const load_part&) const = default;
};

/// A rank whose load a relay has added to its own.
struct covered_rank {
  std::uint32_t rank = 0;
  double pace = 1;  // pass time divided by the normal pass time
  template <class Archive>
  void serialize(Archive& archive) {
    archive(rank, pace);
  }
  auto operator<=>(const covered_rank&) const = default;
};

/// Where the processes of a rank are found.
struct rank_address {
  std::uint32_t rank = 0;
  std::string companion;
  std::string engine;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(rank, companion, engine);
  }
  auto operator<=>(const rank_address&) const = default;
};

/// One datagram between the companions of a rank group. Each list but `covered` and `addresses`
/// holds at most one item.
struct rank_message {
  std::vector<member_state> state;
  std::vector<switch_plan> plan;
  std::vector<layout_part> target_layout;  // of the plan's target
  std::vector<layout_delta> target_delta;  // the same as a difference
  std::vector<layout_part> sender_lists;   // expert lists of the sender's rank in the map in use
  std::vector<load_part> sender_load;      // load of the sender's rank and of `covered`
  std::vector<covered_rank> covered;
  std::string engine_address;  // engine of the sender's rank; may be empty
  std::string relay_address;   // where the receiver is to send its load; empty: to the coordinator
  bool relayed = false;        // sent by a relay in the place of the coordinator
  std::vector<rank_address> addresses;  // for the holder, which may have to end a switch
  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, plan, target_layout, target_delta, sender_lists, sender_load, covered,
            engine_address, relay_address, relayed, addresses);
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

std::uint64_t LayoutDigest(const rank_layout& layout);
/// The layout of a group that has not switched yet: expert e is on rank e modulo the ranks.
rank_layout InitialLayout(const group_shape& shape);
/// The difference in parts that fit into one datagram each. Nothing if a layer or rank has no
/// number of one byte.
std::vector<layout_delta> SplitDelta(const rank_layout& from, std::uint64_t base,
                                     const rank_layout& to, std::uint64_t version);
/// Applies all parts of a difference. Returns false if the result is not the intended layout.
bool ApplyDelta(const std::vector<layout_delta>& parts, rank_layout& layout);

/// Splits the load into parts that fit into one datagram each.
std::vector<load_part> SplitLoad(const std::vector<double>& load);
/// Copies the values of the part into `load`. Returns false, without a change, if they exceed it.
bool MergePart(const load_part& part, std::vector<double>& load);

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_COMPANION_RANK_MESSAGE_H_
