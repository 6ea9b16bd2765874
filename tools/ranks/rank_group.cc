#include "ranks/rank_group.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylbarrow::tools {

rank_group::rank_group(const rank_group_options& options)
    : options_(options), ranks_(options.shape.ranks) {}

void rank_group::Restart(std::uint32_t rank) {
  const std::uint64_t run = ranks_[rank].run + 1;
  ranks_[rank] = {};
  ranks_[rank].run = run;
}

std::optional<std::uint64_t> rank_group::VersionForStep(const rank_state& rank,
                                                        time_point now) const {
  const bool waits = rank.pending && step_ >= rank.pending->activation_step;
  if (waits || !rank.committed) {
    return std::nullopt;
  }
  if (step_ < rank.committed->activation_step) {
    return rank.previous ? std::optional(rank.previous->map.Version()) : std::nullopt;
  }
  const bool is_loading = !rank.pending && now < rank.loaded_at;
  return is_loading ? std::nullopt : std::optional(rank.committed->map.Version());
}

void rank_group::Tick(time_point now) {
  for (rank_state& rank : ranks_) {
    if (!rank.stalled && !rank.begun) {
      rank.begun = VersionForStep(rank, now);
    }
  }
  std::vector<std::uint64_t> versions;
  for (const rank_state& rank : ranks_) {
    if (!rank.begun) {
      return;
    }
    versions.push_back(*rank.begun);
  }
  if (ledger_.empty() || ledger_.back().versions != versions) {
    ledger_.push_back({.from = step_, .to = step_, .versions = versions});
  }
  ledger_.back().to = step_++;
  for (rank_state& rank : ranks_) {
    rank.begun.reset();
  }
}

engine_state rank_group::State(std::uint32_t rank, time_point now) const {
  const rank_state& state = ranks_[rank];
  return {.reachable = true,
          .instance = "rank-" + std::to_string(rank) + "-" + std::to_string(state.run),
          .next_step = NextStep(state),
          .token = state.token,
          .loading = now < state.loaded_at,
          .previous = state.previous,
          .committed = state.committed,
          .pending = state.pending,
          .load = Load()};
}

bool rank_group::Apply(std::uint32_t rank, const engine_order& order, time_point now) {
  rank_state& state = ranks_[rank];
  if (order.token < state.token) {
    ++stale_orders_;
    if (options_.checks_fencing) {
      return false;
    }
  }
  state.token = std::max(state.token, order.token);
  switch (order.action) {
    case engine_action::kPrepare:
      return Prepare(state, order, now);
    case engine_action::kCommit:
      Commit(state, order, now);
      return true;
    case engine_action::kAbort:
      if (state.pending && state.pending->map.Version() == order.version) {
        state.pending.reset();
        state.loaded_at = now;
      }
      return true;
  }
  return false;
}

bool rank_group::Prepare(rank_state& rank, const engine_order& order, time_point now) const {
  if (!order.map || !rank.committed || NextStep(rank) >= order.map->activation_step) {
    return false;
  }
  if (rank.pending) {
    return rank.pending == order.map;
  }
  rank.pending = order.map;
  rank.loaded_at = now + options_.load_time;
  return true;
}

void rank_group::Commit(rank_state& rank, const engine_order& order, time_point now) const {
  if (rank.committed && rank.committed->map.Version() >= order.version) {
    return;
  }
  if (rank.pending && rank.pending->map.Version() == order.version) {
    rank.previous = rank.committed;
    rank.committed = rank.pending;
    rank.pending.reset();
    return;
  }
  if (order.map) {
    rank.previous = rank.committed ? rank.committed : order.previous;
    rank.committed = order.map;
    rank.loaded_at = now + options_.load_time;
  }
}

expert_load rank_group::Load() const {
  constexpr double kTokens = 1000;
  const group_shape& shape = options_.shape;
  const std::uint64_t shift = options_.drift_steps == 0 ? 0 : step_ / options_.drift_steps;
  expert_load load;
  for (std::uint32_t layer = 0; layer < shape.layers; ++layer) {
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert) {
      // The popularity of rank k in a Zipf distribution of exponent 1.
      load.push_back(kTokens / static_cast<double>(1 + (expert + layer + shift) % shape.experts));
    }
  }
  return load;
}

nlohmann::json rank_group::Ledger() const {
  nlohmann::json rows = nlohmann::json::array();
  for (const step_run& run : ledger_) {
    rows.push_back({{"from", run.from}, {"to", run.to}, {"versions", run.versions}});
  }
  return {{"step", step_},
          {"consistent", IsConsistent()},
          {"last_version", LastVersion()},
          {"stale_orders", stale_orders_},
          {"runs", rows}};
}

bool rank_group::IsConsistent() const {
  return std::all_of(ledger_.begin(), ledger_.end(), [](const step_run& run) {
    return std::all_of(run.versions.begin(), run.versions.end(),
                       [&run](std::uint64_t version) { return version == run.versions.front(); });
  });
}

std::uint64_t rank_group::LastVersion() const {
  return ledger_.empty() ? 0 : ledger_.back().versions.front();
}

}  // namespace berylbarrow::tools
