#include "berylbarrow/version/expert/group_coordinator.h"

#include <algorithm>
#include <cassert>

namespace berylbarrow {

group_coordinator::group_coordinator(const coordinator_options& options) : options_(options) {}

void group_coordinator::Start(time_point now, std::vector<rank_send>& sends) {
  token_ = {.term = token_.term + 1, .rank = options_.rank};
  reports_.clear();
  subject_.reset();
  Enter(phase::kQuerying, now, sends);
}

void group_coordinator::Enter(phase next, time_point now, std::vector<rank_send>& sends) {
  phase_ = next;
  phase_begun_ = now;
  answered_.clear();
  SendToMissing(now, sends);
}

void group_coordinator::ObserveStep(std::uint64_t step) {
  highest_step_ = std::max(highest_step_, step);
}

expert_message group_coordinator::CurrentMessage(std::uint32_t rank) const {
  if (phase_ == phase::kQuerying) {
    return map_query{.token = token_};
  }
  const std::uint64_t incarnation = reports_.at(rank).incarnation;
  if (phase_ == phase::kProposing) {
    return map_proposal{.token = token_, .incarnation = incarnation, .proposed = *subject_};
  }
  return map_decision{.token = token_,
                      .incarnation = incarnation,
                      .previous = commits_ ? previous_ : std::nullopt,
                      .decided = *subject_,
                      .committed = commits_};
}

bool group_coordinator::IsKnownRun(std::uint32_t rank, std::uint64_t incarnation) const {
  const auto place = reports_.find(rank);
  return place != reports_.end() && place->second.incarnation == incarnation;
}

void group_coordinator::SendToMissing(time_point now, std::vector<rank_send>& sends) {
  next_send_ = now + options_.resend_interval;
  for (std::uint32_t rank = 0; rank < options_.shape.ranks; ++rank) {
    if (!answered_.contains(rank)) {
      sends.push_back({.rank = rank, .message = CurrentMessage(rank)});
    }
  }
}

void group_coordinator::Handle(const expert_message& message, time_point now,
                               std::vector<rank_send>& sends) {
  if (const auto* report = std::get_if<map_report>(&message)) {
    On(*report, now, sends);
  } else if (const auto* reply = std::get_if<map_acknowledgement>(&message)) {
    On(*reply, now, sends);
  }
}

void group_coordinator::On(const map_report& report, time_point now,
                           std::vector<rank_send>& sends) {
  if (report.token > token_) {
    token_.term = report.token.term;
    phase_ = phase::kFenced;
    return;
  }
  if (phase_ == phase::kFenced || phase_ == phase::kStopped) {
    return;
  }
  highest_step_ = std::max(highest_step_, report.step);
  NoteVersions(report);
  if (phase_ == phase::kQuerying) {
    OnQueried(report, now, sends);
    return;
  }
  if (!IsKnownRun(report.rank, report.incarnation)) {
    // The rank has restarted since it was asked; only a new query tells the state of the group.
    Start(now, sends);
    return;
  }
  const bool is_applied = phase_ == phase::kDeciding && report.token == token_ && IsApplied(report);
  if (!is_applied) {
    return;
  }
  answered_.insert(report.rank);
  if (answered_.size() == options_.shape.ranks) {
    Finish(now, sends);
  }
}

void group_coordinator::NoteVersions(const map_report& report) {
  for (const auto* known : {&report.committed, &report.pending}) {
    if (*known) {
      highest_version_ = std::max(highest_version_, (*known)->map.Version());
    }
  }
}

void group_coordinator::OnQueried(const map_report& report, time_point now,
                                  std::vector<rank_send>& sends) {
  if (report.token != token_) {
    return;
  }
  reports_[report.rank] = report;
  answered_.insert(report.rank);
  if (answered_.size() == options_.shape.ranks) {
    Recover(now, sends);
  }
}

bool group_coordinator::IsApplied(const map_report& report) const {
  if (commits_) {
    return report.committed && report.committed->map.Version() >= subject_->map.Version();
  }
  return !report.pending;
}

void group_coordinator::Finish(time_point now, std::vector<rank_send>& sends) {
  if (commits_) {
    decided_ = subject_;
  } else if (HasRestartedRank()) {
    Decide(*decided_, true, now, sends);
    return;
  }
  subject_.reset();
  phase_ = phase::kIdle;
}

bool group_coordinator::HasRestartedRank() const {
  return std::any_of(reports_.begin(), reports_.end(),
                     [](const auto& item) { return !item.second.committed; });
}

std::optional<scheduled_map> group_coordinator::FindPending() const {
  for (const auto& [rank, report] : reports_) {
    if (report.pending) {
      return report.pending;
    }
  }
  return std::nullopt;
}

/// Settles a proposal that an earlier coordinator left open. No live rank has committed it, and
/// none will, because all follow the new token. It is completed if all ranks have acknowledged it.
/// It may be taken back otherwise, even if a rank that has restarted had committed it: the other
/// ranks wait before its activation step, so no step on it has ended.
void group_coordinator::Recover(time_point now, std::vector<rank_send>& sends) {
  previous_.reset();
  decided_.reset();
  for (const auto& [rank, report] : reports_) {
    const bool is_newer = report.committed &&
                          (!decided_ || report.committed->map.Version() > decided_->map.Version());
    if (is_newer) {
      previous_ = report.previous;
      decided_ = report.committed;
    }
  }
  if (!decided_) {
    Decide({.map = expert_map::Initial(options_.shape), .activation_step = 0}, true, now, sends);
    return;
  }
  const auto pending = FindPending();
  const bool is_open = pending && pending->map.Version() > decided_->map.Version();
  const bool is_acknowledged =
      is_open && std::all_of(reports_.begin(), reports_.end(), [&pending](const auto& item) {
        return item.second.pending == pending;
      });
  if (is_acknowledged) {
    previous_ = decided_;
    Decide(*pending, true, now, sends);
    return;
  }
  if (is_open) {
    Decide(*pending, false, now, sends);
    return;
  }
  Decide(*decided_, true, now, sends);
}

void group_coordinator::Decide(const scheduled_map& subject, bool committed, time_point now,
                               std::vector<rank_send>& sends) {
  subject_ = subject;
  commits_ = committed;
  Enter(phase::kDeciding, now, sends);
}

bool group_coordinator::Propose(const expert_map& wanted, time_point now,
                                std::vector<rank_send>& sends) {
  const bool is_possible =
      phase_ == phase::kIdle && decided_ && highest_step_ > decided_->activation_step;
  if (!is_possible) {
    return false;
  }
  assert(wanted.IsComplete());
  subject_ = {.map = expert_map(++highest_version_, wanted.Shape(), wanted.Slots()),
              .activation_step = highest_step_ + options_.lead_steps};
  Enter(phase::kProposing, now, sends);
  return true;
}

void group_coordinator::On(const map_acknowledgement& reply, time_point now,
                           std::vector<rank_send>& sends) {
  const bool is_expected = phase_ == phase::kProposing && reply.token == token_ &&
                           IsKnownRun(reply.rank, reply.incarnation) &&
                           reply.version == subject_->map.Version();
  if (!is_expected) {
    return;
  }
  highest_step_ = std::max(highest_step_, reply.step);
  if (!reply.accepted) {
    Decide(*subject_, false, now, sends);
    return;
  }
  answered_.insert(reply.rank);
  if (answered_.size() < options_.shape.ranks) {
    return;
  }
  previous_ = decided_;
  Decide(*subject_, true, now, sends);
}

void group_coordinator::Advance(time_point now, std::vector<rank_send>& sends) {
  const bool is_waiting =
      phase_ == phase::kQuerying || phase_ == phase::kProposing || phase_ == phase::kDeciding;
  if (!is_waiting) {
    return;
  }
  if (phase_ == phase::kProposing && now - phase_begun_ >= options_.proposal_timeout) {
    Decide(*subject_, false, now, sends);
    return;
  }
  if (now >= next_send_) {
    SendToMissing(now, sends);
  }
}

}  // namespace berylbarrow
