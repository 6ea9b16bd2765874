#include "berylbarrow/version/expert/group_member.h"

#include <algorithm>

namespace berylbarrow {

std::optional<expert_message> group_member::Handle(const expert_message& message) {
  if (const auto* query = std::get_if<map_query>(&message)) {
    return On(*query);
  }
  if (const auto* proposal = std::get_if<map_proposal>(&message)) {
    return On(*proposal);
  }
  if (const auto* decision = std::get_if<map_decision>(&message)) {
    return On(*decision);
  }
  return std::nullopt;
}

map_report group_member::Report() const {
  // Only an acknowledged proposal binds the rank; one that is still loading can be dropped.
  return {.token = token_,
          .rank = rank_,
          .incarnation = incarnation_,
          .step = next_step_,
          .previous = previous_,
          .committed = committed_,
          .pending = pending_loaded_ ? pending_ : std::nullopt};
}

void group_member::Restore(const map_report& known) {
  token_ = known.token;
  next_step_ = known.step;
  previous_ = known.previous;
  committed_ = known.committed;
  committed_loaded_ = false;  // until WeightsLoaded
  pending_ = known.pending;
  pending_loaded_ = pending_.has_value();
}

map_acknowledgement group_member::Acknowledge(std::uint64_t version, bool accepted) const {
  return {.token = token_,
          .rank = rank_,
          .incarnation = incarnation_,
          .version = version,
          .accepted = accepted,
          .step = next_step_};
}

std::optional<expert_message> group_member::On(const map_query& query) {
  if (query.token > token_) {
    token_ = query.token;
    if (!pending_loaded_) {
      pending_.reset();
    }
  }
  return Report();
}

std::optional<expert_message> group_member::On(const map_proposal& proposal) {
  if (proposal.token < token_ || proposal.incarnation != incarnation_) {
    return Report();
  }
  token_ = proposal.token;
  const scheduled_map& proposed = proposal.proposed;
  if (pending_ == proposed) {
    return pending_loaded_
               ? std::optional<expert_message>(Acknowledge(proposed.map.Version(), true))
               : std::nullopt;
  }
  // A restarted rank may repeat the current step. It is given two maps, so a third is accepted only
  // after the step before the last activation is over everywhere.
  const bool is_switching = committed_ && next_step_ <= committed_->activation_step;
  const bool is_decided = committed_ && committed_->map.Version() >= proposed.map.Version();
  const bool is_late = next_step_ >= proposed.activation_step;
  if (!committed_ || !committed_loaded_ || pending_ || is_switching || is_decided || is_late) {
    return Acknowledge(proposed.map.Version(), false);
  }
  pending_ = proposed;
  pending_loaded_ = false;
  return std::nullopt;
}

std::optional<map_acknowledgement> group_member::WeightsLoaded() {
  if (committed_ && !committed_loaded_) {
    committed_loaded_ = true;
    return std::nullopt;
  }
  if (!pending_ || pending_loaded_) {
    return std::nullopt;
  }
  const std::uint64_t version = pending_->map.Version();
  pending_loaded_ = next_step_ < pending_->activation_step;
  if (!pending_loaded_) {
    pending_.reset();
  }
  return Acknowledge(version, pending_loaded_);
}

std::optional<expert_message> group_member::On(const map_decision& decision) {
  if (decision.token < token_ || decision.incarnation != incarnation_) {
    return Report();
  }
  token_ = decision.token;
  const std::uint64_t version = decision.decided.map.Version();
  if (decision.committed) {
    Commit(decision);
  }
  if (pending_ && pending_->map.Version() <= version) {
    pending_.reset();
    pending_loaded_ = false;
  }
  return Report();
}

void group_member::Commit(const map_decision& decision) {
  if (committed_ && committed_->map.Version() >= decision.decided.map.Version()) {
    return;
  }
  const bool has_weights = pending_loaded_ && pending_ == decision.decided;
  previous_ = committed_ ? committed_ : decision.previous;
  committed_ = decision.decided;
  committed_loaded_ = has_weights;
}

const expert_map* group_member::MapForStep(std::uint64_t step) {
  next_step_ = std::max(next_step_, step);
  const bool waits_for_decision = pending_loaded_ && step >= pending_->activation_step;
  if (waits_for_decision || !committed_) {
    return nullptr;
  }
  const bool is_switched = step >= committed_->activation_step;
  const bool has_weights = is_switched ? committed_loaded_ : previous_.has_value();
  if (!has_weights) {
    return nullptr;
  }
  next_step_ = std::max(next_step_, step + 1);
  return is_switched ? &committed_->map : &previous_->map;
}

}  // namespace berylbarrow
