#ifndef BERYLBARROW_TOOLS_RANKS_RANK_GROUP_H_
#define BERYLBARROW_TOOLS_RANKS_RANK_GROUP_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"

namespace berylbarrow::tools {

struct rank_group_options {
  group_shape shape;
  bool checks_fencing = true;
  duration load_time = std::chrono::milliseconds(20);  // of the weights of a map
  std::uint64_t drift_steps = 200;  // until the most popular expert is another one; 0: never
};

/// Stand-in for the engines of one group: ranks that run every step together. Has no clock and no
/// sockets.
class rank_group {
 public:
  explicit rank_group(const rank_group_options& options);

  /// Every rank that can begins the current step; the step ends when all have begun it.
  void Tick(time_point now);

  engine_state State(std::uint32_t rank, time_point now) const;
  /// Returns false if the engine refuses the order.
  bool Apply(std::uint32_t rank, const engine_order& order, time_point now);

  void SetStalled(std::uint32_t rank, bool stalled) { ranks_[rank].stalled = stalled; }
  /// The rank forgets everything and begins the current step anew.
  void Restart(std::uint32_t rank);

  std::uint64_t Step() const { return step_; }
  /// Orders that carried a token below one the rank had been given.
  std::uint64_t StaleOrders() const { return stale_orders_; }
  /// Runs of consecutive steps with the map version that each rank used.
  nlohmann::json Ledger() const;
  /// Whether all ranks used one version in every step that has ended.
  bool IsConsistent() const;
  /// The version used in the last step; 0 before the first.
  std::uint64_t LastVersion() const;

 private:
  struct rank_state {
    std::uint64_t run = 1;
    std::optional<scheduled_map> previous;
    std::optional<scheduled_map> committed;
    std::optional<scheduled_map> pending;
    fencing_token token;
    time_point loaded_at;
    std::optional<std::uint64_t> begun;  // map version of the current step
    bool stalled = false;
  };
  struct step_run {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<std::uint64_t> versions;  // per rank
  };

  bool Prepare(rank_state& rank, const engine_order& order, time_point now) const;
  void Commit(rank_state& rank, const engine_order& order, time_point now) const;
  std::uint64_t NextStep(const rank_state& rank) const { return step_ + (rank.begun ? 1 : 0); }
  std::optional<std::uint64_t> VersionForStep(const rank_state& rank, time_point now) const;
  expert_load Load() const;

  rank_group_options options_;
  std::vector<rank_state> ranks_;
  std::vector<step_run> ledger_;
  std::uint64_t step_ = 1;
  std::uint64_t stale_orders_ = 0;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_RANKS_RANK_GROUP_H_
