#include "berylbarrow/version/configuration/configuration_follower.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "berylbarrow/process/membership/rendezvous.h"

namespace berylbarrow {
namespace {

const char* ViewName(view_state view) {
  switch (view) {
    case view_state::kNone:
      return "none";
    case view_state::kStale:
      return "stale";
    case view_state::kIsolated:
      return "isolated";
    case view_state::kCurrent:
      return "current";
  }
  return "";
}

/// Names of all processes that the document places in `domain`.
std::vector<std::string> ProcessesOf(const configuration& document, const std::string& domain) {
  std::vector<std::string> names;
  for (const entry_options& entry : document.entries) {
    if (entry.domain == domain) {
      names.push_back(entry.name);
    }
  }
  for (const service_options& service : document.services) {
    for (const upstream_options& upstream : service.upstreams) {
      if (upstream.domain == domain) {
        names.push_back(upstream.name);
      }
    }
  }
  return names;
}

}  // namespace

configuration_follower::configuration_follower(const follower_options& options,
                                               const configuration_parser& parser,
                                               const member_table& members)
    : options_(options), store_(parser), members_(members) {}

follower_actions configuration_follower::OnTime(const moment& at) {
  follower_actions actions;
  const bool was_paused = started_ && at.now - last_time_ > options_.pause_threshold;
  last_time_ = at.now;
  if (!started_) {
    started_ = true;
    next_fetch_ = at.now;
    actions.watch = configuration_watch{.mode = watch_mode::kWatch, .in_force = 0};
    mode_ = watch_mode::kWatch;
    return actions;
  }
  // An isolated process may reach the service although it only polls it, and the first peer that it
  // hears again may be as far behind.
  const bool is_isolated = !stale_ && View(at.now) == view_state::kIsolated;
  if (was_paused) {
    ++pauses_;
  }
  if (was_paused || is_isolated) {
    was_isolated_ = is_isolated && !was_paused;
    MarkStale(at, actions);
    return actions;
  }
  // A watcher that has died must be replaced before the next document, also by a stale process.
  if (store_.Current() && at.now >= next_watch_choice_) {
    ChooseWatch(at, actions);
  }
  if (stale_ && !actions.watch && at.now >= next_refresh_) {
    StartRefresh(at, actions);
  }
  return actions;
}

void configuration_follower::MarkStale(const moment& at, follower_actions& actions) {
  stale_ = true;
  // A new nonce makes replies to earlier requests worthless.
  ++nonce_;
  refresh_replies_.clear();
  StartRefresh(at, actions);
}

void configuration_follower::StartRefresh(const moment& at, follower_actions& actions) {
  next_refresh_ = at.now + options_.refresh_interval;
  actions.watch = configuration_watch{
      .mode = watch_mode::kRefresh, .in_force = store_.Revision(), .nonce = nonce_};
  std::size_t asked = 0;
  for (const auto& [name, known] : members_.Members()) {
    if (!known.connection || asked == options_.refresh_peers) {
      continue;
    }
    ++asked;
    actions.sends.push_back(
        {*known.connection, configuration_request{.in_force = store_.Revision(), .nonce = nonce_}});
  }
}

follower_actions configuration_follower::OnDocument(const document_received& event,
                                                    const moment& at) {
  follower_actions actions;
  service_heard_ = at.now;
  if (!event.text.empty()) {
    Accept(event.number, event.text, at, actions);
  }
  if (stale_ && event.nonce == nonce_) {
    stale_ = false;
  }
  return actions;
}

follower_actions configuration_follower::OnReply(const configuration_reply& reply,
                                                 connection_id from, const moment& at) {
  follower_actions actions;
  if (!reply.text.empty()) {
    Accept(reply.number, reply.text, at, actions);
  }
  if (!stale_ || reply.nonce != nonce_) {
    return actions;
  }
  refresh_replies_.insert(from);
  const auto connected = static_cast<std::size_t>(
      std::count_if(members_.Members().begin(), members_.Members().end(),
                    [](const auto& item) { return item.second.connection.has_value(); }));
  const std::size_t needed = std::max<std::size_t>(1, std::min(options_.refresh_quorum, connected));
  if (refresh_replies_.size() >= needed) {
    stale_ = false;
  }
  return actions;
}

follower_actions configuration_follower::OnRequest(const configuration_request& request,
                                                   connection_id from) const {
  follower_actions actions;
  const auto current = store_.Current();
  const bool has_newer = current && current->number > request.in_force;
  actions.sends.push_back({from, configuration_reply{.number = store_.Revision(),
                                                     .text = has_newer ? current->text : "",
                                                     .nonce = request.nonce}});
  return actions;
}

follower_actions configuration_follower::OnPeerRevision(revision theirs,
                                                        std::optional<connection_id> connection,
                                                        const moment& at) {
  follower_actions actions;
  // A revision below a refused one may be valid, and is the one to have in force then.
  const bool is_known = theirs <= store_.Revision() || theirs == store_.LastRefused();
  if (is_known || at.now < next_fetch_) {
    return actions;
  }
  if (!connection) {
    // The peer is heard over UDP only. Any connected peer that is ahead will do.
    const auto& all = members_.Members();
    const auto ahead = std::find_if(all.begin(), all.end(), [this](const auto& item) {
      return item.second.connection && item.second.in_force > store_.Revision();
    });
    if (ahead == all.end()) {
      return actions;
    }
    connection = ahead->second.connection;
  }
  next_fetch_ = at.now + options_.fetch_interval;
  actions.sends.push_back(
      {*connection, configuration_request{.in_force = store_.Revision(), .nonce = nonce_}});
  return actions;
}

void configuration_follower::Accept(revision number, const std::string& text, const moment& at,
                                    follower_actions& actions) {
  const offer_result result = store_.Offer(number, text);
  if (result == offer_result::kConflict) {
    ++conflicts_;
  }
  if (result == offer_result::kInvalid) {
    ++refused_documents_;
  }
  if (result != offer_result::kAccepted) {
    return;
  }
  actions.version_changed = true;
  next_fetch_ = at.now;
  ChooseWatch(at, actions);
}

void configuration_follower::ChooseWatch(const moment& at, follower_actions& actions) {
  std::vector<std::string> candidates;
  for (std::string& name : ProcessesOf(store_.Current()->value, options_.self.domain)) {
    if (name == options_.self.name || members_.Liveness(name, at.now) != liveness::kDead) {
      candidates.push_back(std::move(name));
    }
  }
  const auto watchers =
      RendezvousPick(options_.self.domain, candidates, options_.watchers_per_domain);
  const bool is_watcher =
      std::find(watchers.begin(), watchers.end(), options_.self.name) != watchers.end();
  const watch_mode chosen = is_watcher ? watch_mode::kWatch : watch_mode::kPoll;
  next_watch_choice_ = at.now + options_.watch_interval;
  if (mode_ == chosen && !actions.version_changed) {
    return;
  }
  mode_ = chosen;
  actions.watch = configuration_watch{.mode = *mode_, .in_force = store_.Revision()};
}

view_state configuration_follower::View(time_point now) const {
  const auto current = store_.Current();
  if (!current) {
    return view_state::kNone;
  }
  if (stale_ && !(was_isolated_ && HearsNobody(now))) {
    return view_state::kStale;
  }
  return HearsNobody(now) ? view_state::kIsolated : view_state::kCurrent;
}

/// Neither the service nor a peer was heard for the isolation timeout.
bool configuration_follower::HearsNobody(time_point now) const {
  const time_point none = time_point::min();
  const time_point heard =
      std::max(service_heard_.value_or(none), members_.LastHeard().value_or(none));
  return heard == none || now - heard > store_.Current()->value.isolation_timeout;
}

time_point configuration_follower::NextDeadline() const {
  return stale_ ? next_refresh_ : time_point::max();
}

nlohmann::json configuration_follower::State(const moment& at) const {
  const auto current = store_.Current();
  nlohmann::json list = nlohmann::json::array();
  for (const finding& item : store_.LastFindings()) {
    list.push_back({{"line", item.line}, {"column", item.column}, {"message", item.message}});
  }
  return {{"revision", store_.Revision()},
          {"digest", current ? current->digest : 0},
          {"view", ViewName(View(at.now))},
          {"watches", mode_ == watch_mode::kWatch},
          {"last_refused_revision", store_.LastRefused()},
          {"last_findings", list},
          {"refused_documents", refused_documents_},
          {"conflicts", conflicts_},
          {"pauses", pauses_}};
}

}  // namespace berylbarrow
