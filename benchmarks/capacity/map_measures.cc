#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <memory>
#include <sstream>

#include "allocation.h"
#include "berylbarrow/version/expert/group_coordinator.h"
#include "berylbarrow/version/expert/group_member.h"
#include "measures.h"

namespace berylbarrow::bench {
namespace {

constexpr double kKilobyte = 1000;
constexpr std::uint32_t kLayers = 58;
// Above the steps from a proposal to its activation.
constexpr std::uint64_t kStepsAhead = 32;

std::size_t WireBytes(const expert_message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return out.str().size();
}

double Live() { return static_cast<double>(LiveBytes()); }

/// A member that keeps the map in use and the committed one.
double MemberBytes(const expert_map& map) {
  group_member member(0, 1);
  const scheduled_map scheduled{map, 1};
  const double copy = Live();
  (void)member.Handle(map_decision{.token = {.term = 1, .rank = 0},
                                   .incarnation = 1,
                                   .previous = std::nullopt,
                                   .decided = scheduled,
                                   .committed = true});
  return Live() - copy + static_cast<double>(sizeof(group_member));
}

/// A coordinator and its ranks; messages are delivered at once.
struct group {
  group_coordinator coordinator;
  std::vector<group_member> ranks;
  time_point now;
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::uint64_t step = 0;

  explicit group(const group_shape& shape) : coordinator({.rank = 0, .shape = shape}) {
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      ranks.emplace_back(rank, rank + 1);
    }
  }

  void Reply(const expert_message& reply, std::vector<rank_send>& sends) {
    Count(reply);
    coordinator.Handle(reply, now, sends);
  }
  void Deliver(std::vector<rank_send> sends) {
    while (!sends.empty()) {
      std::vector<rank_send> next;
      for (const rank_send& send : sends) {
        Count(send.message);
        group_member& rank = ranks[send.rank];
        if (const auto reply = rank.Handle(send.message)) {
          Reply(*reply, next);
        }
        if (rank.IsLoading()) {
          if (const auto loaded = rank.WeightsLoaded()) {
            Reply(*loaded, next);
          }
        }
      }
      sends = std::move(next);
    }
  }
  void Start() {
    std::vector<rank_send> sends;
    coordinator.Start(now, sends);
    Deliver(std::move(sends));
  }
  bool Propose(const expert_map& map) {
    std::vector<rank_send> sends;
    const bool is_taken = coordinator.Propose(map, now, sends);
    Deliver(std::move(sends));
    return is_taken;
  }
  /// Every rank begins a step behind the activation of the last proposal.
  void Step() {
    step += kStepsAhead;
    for (group_member& rank : ranks) {
      (void)rank.MapForStep(step);
    }
    coordinator.ObserveStep(step);
  }
  void Count(const expert_message& message) {
    if (is_counted) {
      ++messages;
      bytes += WireBytes(message);
    }
  }
  bool is_counted = false;
};

}  // namespace

void MeasureMaps(const measure_options& options, slopes& result) {
  table rows("Expert map of " + std::to_string(kLayers) + " layers, one spare slot per rank",
             {"ranks", "experts", "map KB", "proposal KB", "messages of a change", "KB of a change",
              "CPU ms of a change", "coordinator KB", "member KB"});
  std::vector<double> slots;
  std::vector<double> memory;
  for (const std::uint32_t ranks : {16U, 32U, 64U, 128U}) {
    const group_shape shape{
        .ranks = ranks, .layers = kLayers, .experts = ranks, .slots_per_rank = 2};
    const expert_map map = expert_map::Initial(shape);
    const double before = Live();
    auto copy = std::make_unique<expert_map>(map);
    const double map_bytes = Live() - before;
    slots.push_back(static_cast<double>(map.Slots().size()));
    memory.push_back(map_bytes);

    const double empty = Live();
    auto measured = std::make_unique<group>(shape);
    measured->Start();
    measured->Step();
    (void)measured->Propose(map);
    measured->Step();
    const double all = Live() - empty;
    const double member = MemberBytes(map);
    result.coordinator_memory = all - member * ranks;
    const double begin = CpuMicroseconds();
    const bool is_taken = measured->Propose(map);
    result.coordinator_round = CpuMicroseconds() - begin;
    measured->Step();
    measured->is_counted = true;
    (void)measured->Propose(map);
    result.coordinator_messages = static_cast<double>(measured->messages);
    result.coordinator_wire = static_cast<double>(measured->bytes);
    result.map_bytes = static_cast<double>(
        WireBytes(map_proposal{.token = {}, .incarnation = 1, .proposed = {map, 1}}));
    rows.Add({std::to_string(ranks), std::to_string(ranks), Fixed(map_bytes / kKilobyte, 1),
              Fixed(result.map_bytes / kKilobyte, 1), Fixed(result.coordinator_messages, 0),
              Fixed(result.coordinator_wire / kKilobyte, 0),
              is_taken ? Fixed(result.coordinator_round / kKilobyte, 2) : "not taken",
              Fixed(result.coordinator_memory / kKilobyte, 0), Fixed(member / kKilobyte, 1)});
  }
  result.map_memory = Fit(slots, memory).slope;
  rows.Add({"bytes per slot", "", Fixed(result.map_memory, 2), "", "", "", "", "", ""});
  Publish(rows, options, "maps");
}

}  // namespace berylbarrow::bench
