#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {
namespace {

group_shape ShapeOf(const expert_group_options& group) {
  const auto ranks = static_cast<std::uint32_t>(group.members.size());
  const std::uint32_t needed = (group.experts_per_layer + ranks - 1) / ranks;
  return {.ranks = ranks,
          .layers = group.layers,
          .experts = group.experts_per_layer,
          .slots_per_rank = needed + group.spare_slots_per_rank};
}

}  // namespace

void agent_core::ApplyGroup() {
  const auto current = fleet_.Current();
  const auto& groups = current->value.expert_groups;
  const auto& self = options_.identity.name;
  const auto place = std::find_if(groups.begin(), groups.end(), [&self](const auto& group) {
    return std::find(group.members.begin(), group.members.end(), self) != group.members.end();
  });
  const expert_group_options* group = place == groups.end() ? nullptr : &*place;
  const bool had_group = group_ != nullptr;
  if (group == nullptr) {
    group_.reset();
    group_options_ = {};
  } else if (*group != group_options_) {
    const auto& members = group->members;
    group_options_ = *group;
    group_rank_ = static_cast<std::uint32_t>(
        std::distance(members.begin(), std::find(members.begin(), members.end(), self)));
    group_ = std::make_unique<group_agent>(
        group_agent_options{.group = group->name,
                            .rank = group_rank_,
                            .shape = ShapeOf(*group),
                            .incarnation = options_.identity.incarnation},
        Now());
  }
  ConnectCandidates(group);
  if (had_group != (group_ != nullptr)) {
    Emit(engine_watch{.enabled = group_ != nullptr});
  }
}

/// Keeps connections to the candidates of lower rank; the higher ones connect to this agent.
void agent_core::ConnectCandidates(const expert_group_options* group) {
  std::map<std::string, std::string> wanted;
  std::map<std::string, std::string> addresses;
  for (const service_options& service : fleet_.Current()->value.services) {
    for (const upstream_options& upstream : service.upstreams) {
      addresses.emplace(upstream.name, upstream.agent_address);
    }
  }
  const std::size_t members = group == nullptr ? 0 : group->members.size();
  for (std::uint32_t rank = 0; rank < std::min<std::size_t>(kGroupCandidates, members); ++rank) {
    if (rank != group_rank_) {
      wanted.emplace(group->members[rank], addresses[group->members[rank]]);
    }
  }
  for (const auto& [name, address] : candidates_) {
    if (!wanted.contains(name)) {
      Emit(peer_disconnect{.name = name});
    }
  }
  candidates_ = std::move(wanted);
  for (std::uint32_t rank = 0; group != nullptr && rank < std::min(kGroupCandidates, group_rank_);
       ++rank) {
    const std::string& name = group->members[rank];
    Emit(peer_connect{.name = name, .address = candidates_.at(name)});
  }
}

void agent_core::OnGroupMessage(const group_message& message, connection_id connection) {
  const member* sender = fleet_.Members().FindByConnection(connection);
  const bool is_member = group_ && message.group == group_options_.name &&
                         message.sender < group_options_.members.size() && sender != nullptr &&
                         sender->identity.name == group_options_.members[message.sender];
  if (!is_member) {
    ++counters_.unexpected;
    return;
  }
  group_actions actions;
  group_->On(message.sender, message.content, Now(), actions);
  Perform(actions);
}

void agent_core::On(const engine_state& event) {
  if (!group_) {
    return;
  }
  group_actions actions;
  group_->On(event, Now(), actions);
  Perform(actions);
}

bool agent_core::HearsLowerCandidate() const {
  for (std::uint32_t rank = 0; rank < std::min(kGroupCandidates, group_rank_); ++rank) {
    const std::string& name = group_options_.members[rank];
    const liveness heard = fleet_.Members().Liveness(name, Now());
    const bool is_alive = heard == liveness::kAlive || heard == liveness::kSuspect;
    if (is_alive && fleet_.Members().Find(name)->state != process_state::kLeaving) {
      return true;
    }
  }
  return false;
}

void agent_core::AdvanceGroup() {
  if (!group_) {
    return;
  }
  group_actions actions;
  group_->Advance(!leaving_since_ && !HearsLowerCandidate(), Now(), actions);
  Perform(actions);
}

void agent_core::Perform(group_actions& actions) {
  for (rank_send& send : actions.sends) {
    const member* target = fleet_.Members().Find(group_options_.members[send.rank]);
    // What cannot be sent now is sent again by the agreement.
    if (target != nullptr && target->connection) {
      Send(*target->connection, group_message{.group = group_options_.name,
                                              .sender = group_rank_,
                                              .content = std::move(send.message)});
    }
  }
  for (engine_order& order : actions.orders) {
    Emit(std::move(order));
  }
  for (log_event& event : actions.events) {
    Emit(std::move(event));
  }
}

std::string agent_core::GroupMetrics() const {
  if (!group_) {
    return {};
  }
  std::ostringstream text;
  text << "berylbarrow_agent_group_rank " << group_rank_ << '\n'
       << "berylbarrow_agent_group_leads " << (group_->Leads() ? 1 : 0) << '\n'
       << "berylbarrow_agent_group_term " << group_->Token().term << '\n'
       << "berylbarrow_agent_group_committed_version " << group_->CommittedVersion() << '\n'
       << "berylbarrow_agent_group_pending_version " << group_->PendingVersion() << '\n'
       << "berylbarrow_agent_group_next_step " << group_->NextStep() << '\n';
  return text.str();
}

}  // namespace berylbarrow
