#include "berylbarrow/process/agent/group_agent.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylbarrow {
namespace {

constexpr duration kTick = std::chrono::milliseconds(100);
constexpr duration kAnnouncementInterval = std::chrono::milliseconds(500);
// Two candidates that do not hear each other would otherwise fence each other at once.
constexpr duration kFencedWait = std::chrono::milliseconds(500);
// An order that was not answered by then is decided anew.
constexpr duration kOrderWait = std::chrono::seconds(1);

std::uint64_t VersionOf(const std::optional<scheduled_map>& map) {
  return map ? map->map.Version() : 0;
}

bool IsForMember(const expert_message& message) {
  return std::holds_alternative<map_query>(message) ||
         std::holds_alternative<map_proposal>(message) ||
         std::holds_alternative<map_decision>(message);
}

}  // namespace

group_agent::group_agent(const group_agent_options& options, time_point now)
    : options_(options),
      policy_(incremental_options{}),
      rebalancer_(options.rebalance, policy_),
      eligible_at_(options.rank == 0 ? now : now + options.takeover_after),
      next_advance_(now) {
  if (options.rank < kGroupCandidates) {
    coordinator_.emplace(coordinator_options{
        .rank = options.rank, .shape = options.shape, .lead_steps = options.lead_steps});
  }
}

bool group_agent::Fits(const std::optional<scheduled_map>& map) const {
  if (!map) {
    return true;
  }
  const auto& slots = map->map.Slots();
  return map->map.Shape() == options_.shape &&
         slots.size() == options_.shape.layers * options_.shape.SlotsPerLayer() &&
         std::all_of(slots.begin(), slots.end(),
                     [this](expert_index expert) { return expert < options_.shape.experts; });
}

/// Whether the maps in the message are maps of this group. A peer may have another document.
bool group_agent::Fits(const expert_message& message) const {
  if (const auto* report = std::get_if<map_report>(&message)) {
    return report->rank < options_.shape.ranks && Fits(report->previous) &&
           Fits(report->committed) && Fits(report->pending);
  }
  if (const auto* reply = std::get_if<map_acknowledgement>(&message)) {
    return reply->rank < options_.shape.ranks;
  }
  if (const auto* proposal = std::get_if<map_proposal>(&message)) {
    return Fits(std::optional(proposal->proposed));
  }
  if (const auto* decision = std::get_if<map_decision>(&message)) {
    return Fits(decision->previous) && Fits(std::optional(decision->decided));
  }
  return true;
}

/// Whether the engine has restarted, or has taken orders that this object did not give.
bool group_agent::IsOutdated(const engine_state& state) const {
  if (!member_ || state.instance != engine_.instance || state.token > member_->Token()) {
    return true;
  }
  return VersionOf(state.committed) > VersionOf(member_->Committed()) ||
         (member_->IsAcknowledged() && state.pending != member_->Pending());
}

/// Begins another run of the rank. Its incarnation differs from those of earlier processes too, so
/// that no message to an earlier run, whose promises may be forgotten, is taken for this one.
void group_agent::Renew(const engine_state& state, time_point now) {
  const std::array<std::uint64_t, 3> parts{options_.incarnation, ++renewals_,
                                           XXH64(state.instance.data(), state.instance.size(), 0)};
  incarnation_ = XXH64(parts.data(), sizeof(parts), 0);
  member_.emplace(options_.rank, incarnation_);
  // What is still being loaded was not acknowledged; it is taken back.
  member_->Restore({.token = state.token,
                    .step = state.next_step,
                    .previous = state.previous,
                    .committed = state.committed,
                    .pending = state.loading ? std::nullopt : state.pending});
  awaits_decision_ = true;
  next_announcement_ = now;
  decision_from_.reset();
}

void group_agent::On(const engine_state& state, time_point now, group_actions& actions) {
  if (state.order == last_order_) {
    order_sent_.reset();
  }
  const bool is_usable =
      state.reachable && Fits(state.previous) && Fits(state.committed) && Fits(state.pending);
  if (!is_usable) {
    engine_.reachable = false;
    return;
  }
  if (IsOutdated(state)) {
    Renew(state, now);
  }
  const bool is_new_step = state.next_step > engine_.next_step;
  engine_ = state;
  member_->ObserveStep(state.next_step);
  Rebalance(is_new_step, now, actions);
  Settle(now, actions);
}

void group_agent::Rebalance(bool is_new_step, time_point now, group_actions& actions) {
  const std::size_t cells = std::size_t{options_.shape.layers} * options_.shape.experts;
  if (!coordinator_ || !is_new_step || engine_.load.size() != cells) {
    return;
  }
  rebalancer_.Observe(engine_.load);
  if (!leads_ || !coordinator_->IsIdle()) {
    return;
  }
  coordinator_->ObserveStep(engine_.next_step);
  const auto& committed = member_->Committed();
  const bool is_settled = committed && engine_.next_step > committed->activation_step &&
                          coordinator_->Current() != nullptr &&
                          *coordinator_->Current() == committed->map;
  if (!is_settled) {
    return;
  }
  const auto wanted = rebalancer_.Consider(committed->map, now);
  if (!wanted) {
    return;
  }
  std::vector<rank_send> sends;
  coordinator_->Propose(*wanted, now, sends);
  PostAll(sends, actions);
}

void group_agent::On(std::uint32_t sender, const expert_message& message, time_point now,
                     group_actions& actions) {
  if (sender >= options_.shape.ranks || !Fits(message)) {
    return;
  }
  Receive(sender, message, now, actions);
  Settle(now, actions);
}

void group_agent::Receive(std::uint32_t sender, const expert_message& message, time_point now,
                          group_actions& actions) {
  if (IsForMember(message)) {
    ReceiveAsMember(sender, message, now, actions);
    return;
  }
  if (leads_) {
    std::vector<rank_send> sends;
    coordinator_->Handle(message, now, sends);
    PostAll(sends, actions);
  }
}

void group_agent::ReceiveAsMember(std::uint32_t sender, const expert_message& message,
                                  time_point now, group_actions& actions) {
  if (!member_) {
    return;
  }
  if (const auto* query = std::get_if<map_query>(&message);
      query != nullptr && query->token > member_->Token()) {
    awaits_decision_ = true;
    next_announcement_ = now + kAnnouncementInterval;
  } else if (const auto* decision = std::get_if<map_decision>(&message)) {
    const bool is_followed =
        decision->token >= member_->Token() && decision->incarnation == incarnation_;
    awaits_decision_ = awaits_decision_ && !is_followed;
  }
  if (std::holds_alternative<map_proposal>(message)) {
    proposer_ = sender;
  }
  auto reply = member_->Handle(message);
  // A decision is answered once the engine has carried it out.
  if (std::holds_alternative<map_decision>(message)) {
    decision_from_ = sender;
  } else if (reply) {
    Post(sender, std::move(*reply), actions);
  }
}

void group_agent::Post(std::uint32_t rank, expert_message message, group_actions& actions) {
  if (rank == options_.rank) {
    local_.push_back(std::move(message));
  } else {
    actions.sends.push_back({.rank = rank, .message = std::move(message)});
  }
}

void group_agent::PostAll(std::vector<rank_send>& sends, group_actions& actions) {
  for (rank_send& send : sends) {
    Post(send.rank, std::move(send.message), actions);
  }
}

void group_agent::TakeOver(time_point now, group_actions& actions) {
  fenced_since_.reset();
  // Saves a round in which every rank refuses a token that is too low.
  if (member_ && member_->Token() > coordinator_->Token()) {
    std::vector<rank_send> none;
    coordinator_->Handle(member_->Report(), now, none);
  }
  std::vector<rank_send> sends;
  coordinator_->Start(now, sends);
  PostAll(sends, actions);
  actions.events.push_back({.module = "expert",
                            .name = "coordination_begun",
                            .fields = {{"group", options_.group},
                                       {"term", std::to_string(coordinator_->Token().term)}}});
}

void group_agent::Advance(bool may_lead, time_point now, group_actions& actions) {
  const bool leads = coordinator_ && may_lead && now >= eligible_at_;
  if (leads && !std::exchange(leads_, true)) {
    TakeOver(now, actions);
  }
  leads_ = leads;
  if (now >= next_advance_) {
    next_advance_ = now + kTick;
    Announce(now, actions);
  }
  if (leads_ && coordinator_->IsFenced()) {
    fenced_since_ = fenced_since_.value_or(now);
    if (now - *fenced_since_ >= kFencedWait) {
      TakeOver(now, actions);
    }
  } else if (leads_) {
    std::vector<rank_send> sends;
    coordinator_->Advance(now, sends);
    PostAll(sends, actions);
  }
  Settle(now, actions);
}

/// Tells the candidates of a new run of the rank, or of a token whose coordinator has not decided.
/// A coordinator that has nothing to decide would not ask, and a rank without a map, or with one
/// whose decision it missed, would wait for ever.
void group_agent::Announce(time_point now, group_actions& actions) {
  if (!member_ || !awaits_decision_ || now < next_announcement_) {
    return;
  }
  next_announcement_ = now + kAnnouncementInterval;
  for (std::uint32_t rank = 0; rank < std::min(kGroupCandidates, options_.shape.ranks); ++rank) {
    Post(rank, member_->Report(), actions);
  }
}

void group_agent::Settle(time_point now, group_actions& actions) {
  do {
    while (!local_.empty()) {
      const expert_message message = std::move(local_.front());
      local_.pop_front();
      Receive(options_.rank, message, now, actions);
    }
    NoteLoaded(actions);
    if (decision_from_ && IsInStep()) {
      Post(*std::exchange(decision_from_, std::nullopt), member_->Report(), actions);
    }
  } while (!local_.empty());
  SendOrder(now, actions);
}

/// Acknowledges what the engine has loaded, or refuses it if its activation step is over.
void group_agent::NoteLoaded(group_actions& actions) {
  if (!member_ || !member_->IsLoading() || !engine_.reachable) {
    return;
  }
  const bool has_committed = engine_.committed &&
                             VersionOf(engine_.committed) == VersionOf(member_->Committed()) &&
                             (!engine_.loading || engine_.pending);
  const auto& pending = member_->Pending();
  const bool is_open = pending && !member_->IsAcknowledged();
  const bool is_late = is_open && engine_.next_step >= pending->activation_step;
  const bool is_prepared = is_open && !engine_.loading && engine_.pending == pending;
  if (!has_committed || (is_open && !is_late && !is_prepared)) {
    return;
  }
  if (const auto loaded = member_->WeightsLoaded()) {
    Post(proposer_, *loaded, actions);
  }
}

/// Whether the engine has carried out what the rank has promised.
bool group_agent::IsInStep() const {
  return member_ && engine_.reachable &&
         engine_.committed.has_value() == member_->Committed().has_value() &&
         VersionOf(engine_.committed) == VersionOf(member_->Committed()) &&
         (!engine_.pending || engine_.pending == member_->Pending());
}

std::optional<engine_order> group_agent::WantedOrder() const {
  const auto& committed = member_->Committed();
  const auto& pending = member_->Pending();
  const bool lacks_commit =
      committed && (!engine_.committed || VersionOf(engine_.committed) < VersionOf(committed));
  if (lacks_commit) {
    return engine_order{.action = engine_action::kCommit,
                        .version = VersionOf(committed),
                        .map = committed,
                        .previous = member_->Previous()};
  }
  if (engine_.pending && engine_.pending != pending) {
    return engine_order{.action = engine_action::kAbort, .version = VersionOf(engine_.pending)};
  }
  if (pending && !engine_.pending) {
    return engine_order{
        .action = engine_action::kPrepare, .version = VersionOf(pending), .map = pending};
  }
  return std::nullopt;
}

void group_agent::SendOrder(time_point now, group_actions& actions) {
  const bool is_waiting = order_sent_ && now - *order_sent_ < kOrderWait;
  if (!member_ || !engine_.reachable || is_waiting) {
    return;
  }
  auto wanted = WantedOrder();
  if (!wanted) {
    return;
  }
  wanted->order = ++last_order_;
  wanted->token = member_->Token();
  wanted->not_after = now + kOrderWait;
  order_sent_ = now;
  actions.orders.push_back(std::move(*wanted));
}

fencing_token group_agent::Token() const {
  const fencing_token promised = member_ ? member_->Token() : fencing_token{};
  return leads_ ? std::max(promised, coordinator_->Token()) : promised;
}

std::uint64_t group_agent::CommittedVersion() const {
  return member_ ? VersionOf(member_->Committed()) : 0;
}

std::uint64_t group_agent::PendingVersion() const {
  return member_ ? VersionOf(member_->Pending()) : 0;
}

nlohmann::json group_agent::State() const {
  const char* role = leads_ ? "coordinator" : coordinator_ ? "candidate" : "member";
  return {{"group", options_.group},
          {"rank", options_.rank},
          {"role", role},
          {"term", Token().term},
          {"token_rank", Token().rank},
          {"run", incarnation_},
          {"runs", renewals_},
          {"engine_reachable", engine_.reachable},
          {"has_map", member_ && member_->Committed().has_value()},
          {"committed_version", CommittedVersion()},
          {"pending_version", PendingVersion()},
          {"next_step", engine_.next_step}};
}

}  // namespace berylbarrow
