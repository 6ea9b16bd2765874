#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "berylbarrow/process/telemetry/log.h"
#include "process/gateway/gateway.h"

namespace berylbarrow {
namespace {

// An address answer lists only gateways of the caller's failure domain if there are at least this
// many of them, so that the caller still has an address if one of them fails.
constexpr std::size_t kMinLocalAddresses = 2;

struct store_event_name {
  const char* line;     // of the log
  const char* counter;  // of the metrics
};

store_event_name NameOf(store_event::kind what) {
  switch (what) {
    case store_event::kind::kRestored:
      return {.line = "store_restored", .counter = "store_restorations"};
    case store_event::kind::kOutdatedAnswer:
      return {.line = "store_answer_outdated", .counter = "outdated_store_answers"};
    case store_event::kind::kConfigurationHeld:
      return {.line = "lower_version_held", .counter = "held_versions"};
    case store_event::kind::kConfigurationLowered:
      return {.line = "version_lowered", .counter = "lowered_versions"};
    case store_event::kind::kNewerVersionNamed:
      return {.line = "newer_version_named", .counter = "newer_versions_named"};
  }
  return {.line = "store_event", .counter = "store_events"};
}

}  // namespace

http_answer gateway::AnswerAddressQuery(const http_head& head) {
  const auto query = platform_.directory.ParseAddressQuery(head);
  if (!query) return {.status = 404};
  const time_point now = clock_.Now();
  members_.Self().ready = IsReady(now);
  std::vector<std::string> addresses =
      members_.ReadyAddresses(query->domain, kMinLocalAddresses, now);
  if (addresses.empty() && !shutdown_) addresses.push_back(settings_.callers_address);
  return platform_.directory.MakeAddressAnswer(addresses, settings_.bounds.address_lifetime);
}

http_answer gateway::AnswerReadinessProbe(const http_head& head) const {
  if (!platform_.directory.IsReadinessProbe(head)) return {.status = 404};
  return {.status = IsReady(clock_.Now()) ? 200U : 503U};
}

http_answer gateway::AnswerMetrics(const http_head& head) {
  const header_field json{"Content-Type", "application/json"};
  if (head.target == "/state") return {.status = 200, .fields = {json}, .body = StateJson()};
  if (head.target != "/metrics") return {.status = 404};
  return {.status = 200,
          .fields = {{"Content-Type", "text/plain; version=0.0.4"}},
          .body = metrics_.Exposition() +
                  "# TYPE berylbarrow_held_bytes gauge\nberylbarrow_held_bytes " +
                  std::to_string(arrival_budget_.HeldBytes()) +
                  "\n# TYPE berylbarrow_connections gauge\nberylbarrow_connections " +
                  std::to_string(arrival_budget_.HolderCount()) + "\n"};
}

std::string gateway::StateJson() {
  const time_point now = clock_.Now();
  nlohmann::json members = nlohmann::json::array();
  for (const fleet_member& member : members_.Live(now)) {
    members.push_back({{"name", member.name},
                       {"failure_domain", member.domain},
                       {"gateway", member.role == member_role::kGateway},
                       {"ready", member.ready}});
  }
  const nlohmann::json state = {
      {"name", settings_.name},
      {"ready", IsReady(now)},
      {"leaving", shutdown_.has_value()},
      {"version", routing_view_ ? routing_view_->Version() : 0},
      {"configuration_age_ms", routing_view_ ? MillisecondsText(ConfigurationAge(now)) : "unknown"},
      {"store_era", feed_->View().era},
      {"evacuated", evacuated_domains_},
      {"open_requests", requests_.size()},
      {"held_bytes", arrival_budget_.HeldBytes()},
      {"connections", arrival_budget_.HolderCount()},
      {"members", members},
      {"upstreams", selector_.State(now)},
      {"crash_suspects", crashes_.State(now)},
      {"metrics", metrics_.Json()}};
  return state.dump();
}

void gateway::OnRouting(routing_content&& content) {
  logger::Event(
      log_level::kInfo, "configuration", "version_in_force",
      {{"version", std::to_string(content.version)},
       {"routes", std::to_string(content.routes.size())},
       {"accounts", content.accounts ? std::to_string(content.accounts->size()) : "none"}});
  routing_view_ = std::make_shared<const routing_view>(std::move(content));
  const caller_limits& limits = routing_view_->Limits();
  caller_server_.SetOptions({.max_connections = connection_limits_.callers,
                             .max_header_bytes = limits.max_header_bytes,
                             .max_body_bytes = limits.max_body_bytes,
                             .header_timeout = limits.header_timeout,
                             .idle_timeout = limits.idle_timeout});
  const time_point now = clock_.Now();
  selector_.SetUpstreams(registry_, routing_view_.get(), now);
  UpdateRetryBudgets(now);
  UpdateAdmissions(now);
}

void gateway::OnEvacuatedDomains(const std::set<std::string>& domains) {
  if (domains == evacuated_domains_) return;
  std::string names;
  for (const std::string& domain : domains) names += (names.empty() ? "" : ",") + domain;
  logger::Event(log_level::kInfo, "configuration", "evacuation_changed", {{"domains", names}});
  evacuated_domains_ = domains;
  selector_.SetEvacuatedDomains(domains, clock_.Now());
}

void gateway::OnConfigurationCurrent(time_point requested_at) {
  configuration_current_at_ = std::max(configuration_current_at_, requested_at);
}

void gateway::OnUpstreamList(const std::vector<upstream_record>& records) {
  has_upstream_list_ = true;
  registry_.Replace(records, clock_.Now());
  UpdateSelector(clock_.Now());
}

void gateway::OnUpstreamChanges(const std::vector<upstream_change>& changes) {
  const time_point now = clock_.Now();
  for (const upstream_change& change : changes) {
    if (change.record) {
      registry_.Put(*change.record, now);
      continue;
    }
    logger::Event(log_level::kInfo, "fleet", "upstream_removed", {{"id", change.id}});
    registry_.Remove(change.id, now);
  }
  UpdateSelector(now);
}

void gateway::OnStoreReachability(bool reachable, const std::string& reason) {
  const time_point now = clock_.Now();
  reachable ? registry_.OnSourceAnswered(now) : registry_.OnSourceLost();
  if (reachable == store_reachable_) return;
  store_reachable_ = reachable;
  logger::Event(reachable ? log_level::kInfo : log_level::kWarning, "configuration",
                reachable ? "store_regained" : "store_lost", {{"reason", reason}});
}

void gateway::OnStoreEvent(const store_event& event) {
  const store_event_name name = NameOf(event.what);
  metrics_.Count(name.counter, {});
  logger::Event(
      log_level::kWarning, "configuration", name.line,
      {{"era", std::to_string(event.era)},
       {"known_era", std::to_string(event.known_era)},
       {"other_version", std::to_string(event.version)},
       {"version", routing_view_ ? std::to_string(routing_view_->Version()) : "none"},
       {"age_ms", routing_view_ ? MillisecondsText(ConfigurationAge(clock_.Now())) : "unknown"}});
  // The one in force is out of date, however lately it was read.
  if (event.what == store_event::kind::kNewerVersionNamed) {
    configuration_current_at_ = time_point::min();
  }
  if (event.what != store_event::kind::kRestored) return;
  registry_.OnSourceRestored();
  SendToGateways(EncodeStoreView(feed_->View()), true, clock_.Now());
}

void gateway::OnUnreadableItem(const std::string& key, const std::string& reason) {
  metrics_.Count("unreadable_items", {});
  logger::Event(log_level::kWarning, "configuration", "item_unreadable",
                {{"key", key}, {"reason", reason}});
}

}  // namespace berylbarrow
