// Which layout the group gets next, and which layouts the orders of this process carry.

#include <algorithm>
#include <numeric>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "process/companion/companion.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kEvaluationInterval = milliseconds(150);
// Planning takes longer for a larger group. It is done less often there, so that the instance of
// the coordinator has time left for the messages of the group.
constexpr std::uint32_t kRanksPerEvaluationInterval = 32;
constexpr duration kMaxLoadAge = std::chrono::seconds(2);
// Weight of a new observation in the long-term average of the group's load.
constexpr double kLongTermLoadWeight = 0.02;
// Share of the long-term average that is added to the current load when a layout is planned.
constexpr double kLongTermLoadShare = 0.25;
// A long-term average below this share of the current load dates from before the first measured
// rates, when the demand was given in shares, and is replaced by the current load.
constexpr double kMinLongTermLoadShare = 0.01;
// Time for which a layout is expected to fit the load of a busy group. The horizon is shorter, down
// to kMinHorizonShare of it, while less than kBusySlotUsage of the slots are in use.
constexpr double kMaxHorizonSeconds = 3.0;
constexpr double kBusySlotUsage = 0.5;
constexpr double kMinHorizonShare = 0.55;
constexpr double kSlotUsageWeight = 0.2;  // of a new observation in the average

}  // namespace

std::optional<group_shape> companion::Shape() const {
  if (!profile_ || !status_ || status_->rank.size == 0) return std::nullopt;
  return group_shape{.ranks = status_->rank.size,
                     .layers = profile_->expert_layers,
                     .experts = profile_->experts,
                     .slots_per_rank = profile_->expert_slots};
}

std::optional<rank_layout> companion::CurrentLayout() const {
  const auto shape = Shape();
  if (shape && in_use_ && in_use_->version == status_->rank.mapping && in_use_->IsComplete()) {
    return in_use_->layout;
  }
  if (!shape || !own_lists_ || own_lists_->version != status_->rank.mapping) return std::nullopt;
  if (own_lists_->experts.size() != shape->layers) return std::nullopt;
  rank_layout layout(*shape);
  for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
    layout.Set(layer, 0, own_lists_->experts[layer]);
    for (const auto& [rank, peer] : ranks_) {
      if (rank >= shape->ranks || !peer.lists || peer.layers.size() != shape->layers) {
        return std::nullopt;
      }
      if (peer.lists_version != status_->rank.mapping) return std::nullopt;
      layout.Set(layer, rank, peer.lists->At(layer, 0));
    }
  }
  return layout.IsSound() ? std::optional(std::move(layout)) : std::nullopt;
}

std::optional<rank_layout> companion::FenceLayout() const {
  // The switch keeps the status of a rank whose engine does not answer at the moment.
  const auto& rank = switch_.Status();
  const bool are_lists_known = rank && own_lists_ && own_lists_->epoch == rank->epoch &&
                               own_lists_->version == rank->mapping;
  if (!are_lists_known || own_lists_->experts.empty() || rank->rank >= rank->size) {
    return std::nullopt;
  }
  // Not from the profile: the store may be away while the group waits.
  const auto layers = static_cast<std::uint32_t>(own_lists_->experts.size());
  const auto experts = static_cast<std::uint32_t>(expert_rates_.PerSecond().size() / layers);
  const group_shape shape{
      .ranks = rank->size, .layers = layers, .experts = experts, .slots_per_rank = experts};
  rank_layout layout = LayoutAround(shape, rank->rank, own_lists_->experts);
  return layout.IsSound() ? std::optional(std::move(layout)) : std::nullopt;
}

std::optional<rank_layout> companion::MixedLayout() const {
  const auto shape = Shape();
  if (!shape || !own_lists_ || own_lists_->version != status_->rank.mapping) return std::nullopt;
  if (own_lists_->experts.size() != shape->layers) return std::nullopt;
  const std::vector<std::uint64_t> versions = switch_.MapsInUse();
  rank_layout layout(*shape);
  for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
    layout.Set(layer, 0, own_lists_->experts[layer]);
  }
  for (std::uint32_t rank = 1; rank < shape->ranks; ++rank) {
    const auto found = ranks_.find(rank);
    if (found == ranks_.end()) return std::nullopt;
    const peer_rank& peer = found->second;
    const bool are_lists_known =
        peer.lists && peer.lists_version == versions[rank] && peer.layers.size() == shape->layers;
    if (!are_lists_known) return std::nullopt;
    for (std::uint32_t layer = 0; layer < shape->layers; ++layer) {
      layout.Set(layer, rank, peer.lists->At(layer, 0));
    }
  }
  return CompleteLayout(std::move(layout), profile_->max_new_experts);
}

std::optional<group_work> companion::GroupWork(time_point now) {
  expert_load sum = expert_rates_.Demand();
  std::vector<double> pace(status_->rank.size, 1.0);
  pace[0] = std::max(1.0, status_->pace);
  for (const auto& [rank, peer] : ranks_) {
    if (peer.IsLoadStale(now, kMaxLoadAge)) return std::nullopt;
    if (!peer.load.empty() && peer.load.size() != sum.size()) return std::nullopt;
    for (std::size_t i = 0; i < peer.load.size(); ++i) sum[i] += peer.load[i];
    if (rank < pace.size()) pace[rank] = std::max(1.0, peer.pace);
  }
  const double total = std::accumulate(sum.begin(), sum.end(), 0.0);
  if (total <= 0) return std::nullopt;
  // Earlier demand may return, so the plan keeps experts for it in slots that are of no use to the
  // current load.
  const double long_term_total =
      std::accumulate(long_term_load_.begin(), long_term_load_.end(), 0.0);
  if (long_term_total < kMinLongTermLoadShare * total) long_term_load_ = sum;
  for (std::size_t i = 0; i < sum.size(); ++i) {
    long_term_load_[i] += kLongTermLoadWeight * (sum[i] - long_term_load_[i]);
    sum[i] += kLongTermLoadShare * long_term_load_[i];
  }
  return group_work{.load = std::move(sum), .pace = std::move(pace)};
}

double companion::UpdateHorizonSeconds() {
  // While ranks have free slots, a shorter pass gains callers little, but expert copies cost as
  // much as under full load.
  const double slot_usage =
      static_cast<double>(status_->running + status_->waiting) / std::max(1U, profile_->slots);
  average_slot_usage_ += kSlotUsageWeight * (slot_usage - average_slot_usage_);
  return kMaxHorizonSeconds *
         std::clamp(average_slot_usage_ / kBusySlotUsage, kMinHorizonShare, 1.0);
}

void companion::EvaluateLayout(time_point now) {
  if (shutting_down_ || !status_ || now < next_evaluation_) return;
  const bool can_repair = switch_.CanRepair(now);
  if (!can_repair && !switch_.CanBegin(now)) return;
  next_evaluation_ =
      now + kEvaluationInterval * std::max(1U, status_->rank.size / kRanksPerEvaluationInterval);
  if (can_repair) return RepairMaps(now);
  const auto layout = CurrentLayout();
  const auto work = GroupWork(now);
  if (!layout || !work ||
      work->load.size() != std::size_t{profile_->expert_layers} * profile_->experts) {
    return;
  }
  const double copy_seconds =
      profile_->expert_link_mbps > 0 ? profile_->expert_mb * 8 / profile_->expert_link_mbps : 0.1;
  const auto chosen = ChooseLayout(*layout, *work,
                                   {.copy_seconds = copy_seconds,
                                    .max_new_per_layer = profile_->max_new_experts,
                                    .horizon_seconds = UpdateHorizonSeconds()});
  if (!chosen) return;
  const std::uint64_t version = switch_.NextVersion(random_());
  logger::Event(
      log_level::kInfo, "engine", "switch_begins",
      {{"version", std::to_string(version)},
       {"skew", std::to_string(chosen->skew_before)},
       {"planned_skew", std::to_string(chosen->skew_after)},
       {"slowest_pace", std::to_string(*std::max_element(work->pace.begin(), work->pace.end()))},
       {"running", std::to_string(status_->running)},
       {"waiting", std::to_string(status_->waiting)},
       {"longest_copy", std::to_string(chosen->longest_copy)},
       {"copies", std::to_string(chosen->copies)}});
  target_delta_ = SplitDelta(*layout, status_->rank.mapping, chosen->layout, version);
  BeginSwitch(version, chosen->layout, now);
}

void companion::BeginSwitch(std::uint64_t version, const rank_layout& layout, time_point now) {
  target_ = versioned_layout{.version = version, .layout = layout};
  for (std::uint32_t i = 0; i < layout.Shape().layers; ++i) target_->layers.insert(i);
  switch_.OnLayoutKnown(version);
  switch_.Begin(version, now);
  spread_.Begin(now);
  delta_ranks_.clear();
}

void companion::RepairMaps(time_point now) {
  const auto layout = MixedLayout();
  const std::uint64_t version = switch_.NextVersion(random_());
  metrics_.Count("map_differences", {});
  std::string maps;
  for (const std::uint64_t each : switch_.MapsInUse()) maps += std::to_string(each) + " ";
  logger::Event(log_level::kError, "engine", "maps_differ",
                {{"group", status_->rank.group},
                 {"epoch", std::to_string(status_->rank.epoch)},
                 {"step", std::to_string(status_->rank.step)},
                 {"maps_by_rank", maps},
                 {"repaired_by", layout ? std::to_string(version) : "unknown"}});
  if (!layout) return;
  // The ranks have no layout in common that the target could be a difference from.
  target_delta_.clear();
  BeginSwitch(version, *layout, now);
}

}  // namespace berylbarrow
