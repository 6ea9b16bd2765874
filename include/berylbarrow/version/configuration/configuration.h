#ifndef BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_H_
#define BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// Revision of the published document. 0 means "no document yet".
using revision = std::uint64_t;

/// What operators want of a failure domain or an upstream.
enum class service_state : std::uint8_t { kIn, kOut };

enum class service_kind : std::uint8_t { kModel, kPlain };

struct domain_options {
  std::string name;
  std::string region;
  service_state state = service_state::kIn;
  auto operator<=>(const domain_options&) const = default;
};

/// An entry instance. Addresses are "IP:port".
struct entry_options {
  std::string name;
  std::string domain;
  std::string caller_address;
  std::string peer_address;
  auto operator<=>(const entry_options&) const = default;
};

/// One kind of call of a service, recognised by method and path prefix.
struct operation_options {
  std::string method;
  std::string path;
  bool idempotent = true;
  auto operator<=>(const operation_options&) const = default;
};

/// An upstream and the agent beside it. agent_address is "IP:port" for TCP and UDP alike.
struct upstream_options {
  std::string name;
  std::string domain;
  std::string agent_address;
  bool checks_fencing = false;
  service_state state = service_state::kIn;
  auto operator<=>(const upstream_options&) const = default;
};

/// Concurrency of an upstream in cold start.
struct cold_start_options {
  std::uint32_t limit = 2;             // concurrent requests while cold
  std::uint32_t step_completions = 4;  // completions at the current limit before it rises by one
  auto operator<=>(const cold_start_options&) const = default;
};

struct limit_options {
  std::uint32_t in_flight = 16;  // concurrent requests of a warm upstream
  std::uint32_t queue = 32;      // requests waiting in the agent
  auto operator<=>(const limit_options&) const = default;
};

struct service_options {
  std::string name;
  service_kind kind = service_kind::kPlain;
  bool resumes_streams = false;  // the engine continues an answer at a byte offset
  std::string model;  // value of the field "model" of a completion request; empty for kPlain
  duration first_token_target = std::chrono::milliseconds(550);
  duration token_gap_target = std::chrono::milliseconds(54);
  duration deadline = std::chrono::seconds(30);  // used when the caller states none
  std::vector<operation_options> operations;
  std::vector<upstream_options> upstreams;
  cold_start_options cold_start;
  limit_options limits;
  auto operator<=>(const service_options&) const = default;
};

struct account_options {
  std::string name;
  std::uint32_t weight = 1;  // share of capacity under contention, relative to other accounts
  auto operator<=>(const account_options&) const = default;
};

struct grant_options {
  duration epoch = std::chrono::seconds(60);
  std::uint32_t epochs_kept = 3;  // number of past epochs whose keys an agent remembers
  auto operator<=>(const grant_options&) const = default;
};

/// Condition under which the plan goes on to the next step. All given parts must hold.
struct proceed_condition {
  std::optional<std::uint32_t> in_flight_at_most;  // in the emptied domains, all upstreams together
  std::optional<double> warm_share_at_least;       // of the upstreams of the filled domains, 0 to 1
  duration hold = duration::zero();                // minimum time spent in the step
  auto operator<=>(const proceed_condition&) const = default;
};

struct plan_step {
  std::string name;
  std::vector<std::string> empty;  // failure domains taken out at this step
  std::vector<std::string> fill;   // failure domains brought in at this step
  std::optional<wall_time> not_before;
  proceed_condition proceed_when;
  auto operator<=>(const plan_step&) const = default;
};

/// An expert-parallel group. Members are upstream names in rank order, one rank each.
struct expert_group_options {
  std::string name;
  std::string service;
  std::uint32_t layers = 1;
  std::uint32_t experts_per_layer = 128;
  std::uint32_t spare_slots_per_rank = 1;
  std::vector<std::string> members;
  auto operator<=>(const expert_group_options&) const = default;
};

/// The published document after validation.
struct configuration {
  std::vector<domain_options> domains;
  std::vector<entry_options> entries;
  std::vector<service_options> services;
  std::vector<account_options> accounts;
  std::vector<expert_group_options> expert_groups;
  std::vector<plan_step> move_plan;
  duration address_lifetime = std::chrono::seconds(10);
  duration isolation_timeout = std::chrono::seconds(4);
  grant_options grant;
  std::uint32_t subset_size = 24;  // agents per service that an entry connects to
  std::uint32_t entries_per_service = 36;
  auto operator<=>(const configuration&) const = default;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_H_
