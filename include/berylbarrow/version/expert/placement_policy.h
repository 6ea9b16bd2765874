#ifndef BERYLBARROW_VERSION_EXPERT_PLACEMENT_POLICY_H_
#define BERYLBARROW_VERSION_EXPERT_PLACEMENT_POLICY_H_

#include <cstddef>

#include "berylbarrow/version/expert/expert_map.h"

namespace berylbarrow {

/// Decides where the experts of a group should be.
class placement_policy {
 public:
  virtual ~placement_policy() = default;

  /// Returns the map wanted for `predicted`, loading at most `max_moves` experts. The version of
  /// the result is the one of `current` if nothing changes and one more otherwise.
  virtual expert_map Propose(const expert_map& current, const expert_load& predicted,
                             std::size_t max_moves) const = 0;
};

/// Baseline: never changes the map.
class static_placement final : public placement_policy {
 public:
  expert_map Propose(const expert_map& current, const expert_load& predicted,
                     std::size_t max_moves) const override;
};

/// Baseline: places everything anew, whatever it costs; ignores `max_moves`. Replicas go to the
/// expert with the highest load per replica; replicas are placed in order of falling load on the
/// least loaded rank with a free slot (longest processing time first, Graham 1969).
class greedy_placement final : public placement_policy {
 public:
  expert_map Propose(const expert_map& current, const expert_load& predicted,
                     std::size_t max_moves) const override;
};

struct incremental_options {
  /// Share of a layer's mean rank load that one loaded expert must save.
  double min_gain_per_move = 0.0006;
};

/// Improves the current map by single changes, best first: a further replica for an expert of the
/// most loaded rank in the slot of an expert that has others, or a swap of two slots. If none is
/// worthwhile, an only replica first moves to a spare slot and makes place.
class incremental_placement final : public placement_policy {
 public:
  explicit incremental_placement(const incremental_options& options) : options_(options) {}
  expert_map Propose(const expert_map& current, const expert_load& predicted,
                     std::size_t max_moves) const override;

 private:
  incremental_options options_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_PLACEMENT_POLICY_H_
