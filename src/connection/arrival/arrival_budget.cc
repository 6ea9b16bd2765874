#include "berylbarrow/connection/arrival/arrival_budget.h"

#include <algorithm>

namespace berylbarrow {
namespace {

// Callers that send a few bytes now and then are not taken for progressing ones.
constexpr std::size_t kProgressBytes = 1024;
// Among connections that have just progressed, the number of bytes decides.
constexpr duration kMinAge = std::chrono::milliseconds(10);
constexpr double kBytesPerMebibyte = 1U << 20U;
// The answers of upstreams have a share of their own; see link_pool. What remains is for the
// process, its connections and a body that is being copied to a larger buffer.
constexpr double kMemoryShare = 0.4;

}  // namespace

arrival_budget_options ArrivalBudgetFor(double memory_mb) {
  return {.max_bytes = static_cast<std::size_t>(memory_mb * kBytesPerMebibyte * kMemoryShare)};
}

holder_id arrival_budget::Add(arrival_holder& holder, const std::string& address,
                              listener_id listener, time_point now) {
  const auto place = addresses_.try_emplace(address).first;
  ++place->second.connections[listener];
  const holder_id id = next_id_++;
  holders_.emplace(
      id, entry{.holder = &holder, .address = place, .listener = listener, .progressed_at = now});
  return id;
}

void arrival_budget::Remove(holder_id id) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return;
  SetUse(found->second, {});
  auto& connections = found->second.address->second.connections;
  const auto count = connections.find(found->second.listener);
  if (--count->second == 0) connections.erase(count);
  if (connections.empty()) addresses_.erase(found->second.address);
  holders_.erase(found);
}

void arrival_budget::SetUse(entry& changed, const holder_use& use) {
  held_bytes_ = held_bytes_ - changed.use.bytes + use.bytes;
  auto& address = changed.address->second;
  address.bytes = address.bytes - changed.use.bytes + use.bytes;
  changed.use = use;
}

bool arrival_budget::Update(holder_id id, const holder_use& use, std::size_t progress,
                            time_point now) {
  const auto found = holders_.find(id);
  if (found == holders_.end()) return false;
  entry& wanting = found->second;
  if (wanting.use.phase == holder_phase::kEnding) return false;
  const bool grows = use.bytes > wanting.use.bytes;
  if (use.phase != wanting.use.phase) wanting.progressed_at = now;
  SetUse(wanting, use);
  wanting.progress += progress;
  if (wanting.progress >= kProgressBytes) {
    wanting.progress = 0;
    wanting.progressed_at = now;
  }
  if (!grows || use.phase == holder_phase::kRunning) return true;
  std::vector<arrival_holder*> yielding;
  bool fits = true;
  while (Excess(wanting) > 0 && fits) {
    entry* const chosen = ChooseYielding(wanting, now);
    fits = chosen != nullptr;
    if (!fits) break;
    SetUse(*chosen, {.phase = holder_phase::kEnding});
    yielding.push_back(chosen->holder);
  }
  if (!fits) SetUse(wanting, {.phase = holder_phase::kEnding});
  for (arrival_holder* each : yielding) each->Yield(yield_reason::kBytes);
  return fits;
}

std::size_t arrival_budget::Excess(const entry& wanting) const {
  const auto max_bytes = static_cast<double>(options_.max_bytes);
  const auto beyond = [](std::size_t held, double limit) {
    const auto allowed = static_cast<std::size_t>(limit);
    return held > allowed ? held - allowed : 0;
  };
  if (!IsLarge(wanting)) return beyond(held_bytes_, max_bytes);
  return std::max(beyond(held_bytes_, max_bytes * (1 - options_.small_share)),
                  beyond(wanting.address->second.bytes, max_bytes * options_.address_share));
}

bool arrival_budget::CanYield(const entry& each, const entry& wanting) const {
  const bool has_phase =
      each.use.phase == holder_phase::kArriving || each.use.phase == holder_phase::kUnread;
  if (!has_phase || each.use.bytes == 0 || &each == &wanting) return false;
  // A large request must not push out many small ones.
  return !IsLarge(wanting) || IsLarge(each);
}

double arrival_budget::Weight(const entry& each, time_point now) {
  const duration age = std::max(now - each.progressed_at, kMinAge);
  return static_cast<double>(each.use.bytes) * std::chrono::duration<double>(age).count();
}

arrival_budget::entry* arrival_budget::ChooseYielding(const entry& wanting, time_point now) {
  entry* chosen = nullptr;
  double chosen_weight = 0;
  for (auto& [id, each] : holders_) {
    if (!CanYield(each, wanting)) continue;
    const double weight = Weight(each, now);
    if (chosen != nullptr) {
      const std::size_t bytes = each.address->second.bytes;
      const std::size_t chosen_bytes = chosen->address->second.bytes;
      if (bytes < chosen_bytes || (bytes == chosen_bytes && weight <= chosen_weight)) continue;
    }
    chosen = &each;
    chosen_weight = weight;
  }
  if (chosen == nullptr || !IsLarge(wanting)) return chosen;
  const std::size_t chosen_bytes = chosen->address->second.bytes;
  const std::size_t own_bytes = wanting.address->second.bytes;
  if (chosen_bytes < own_bytes) return nullptr;
  if (chosen->address == wanting.address && chosen_weight < Weight(wanting, now)) return nullptr;
  return chosen;
}

bool arrival_budget::YieldPlace(listener_id listener) {
  entry* chosen = nullptr;
  const auto connections = [listener](const entry& each) {
    return each.address->second.connections.at(listener);
  };
  for (auto& [id, each] : holders_) {
    const bool may_yield =
        each.use.phase == holder_phase::kIdle || each.use.phase == holder_phase::kArriving;
    if (each.listener != listener || !may_yield) continue;
    if (chosen != nullptr) {
      const std::size_t count = connections(each);
      const std::size_t chosen_count = connections(*chosen);
      if (count < chosen_count) continue;
      if (count == chosen_count && each.progressed_at >= chosen->progressed_at) continue;
    }
    chosen = &each;
  }
  if (chosen == nullptr) return false;
  SetUse(*chosen, {.phase = holder_phase::kEnding});
  chosen->holder->Yield(yield_reason::kPlace);
  return true;
}

}  // namespace berylbarrow
