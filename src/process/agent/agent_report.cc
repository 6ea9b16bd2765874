#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

#include "berylbarrow/process/agent/agent_core.h"
#include "process/runtime/named_counter.h"

namespace berylbarrow {
namespace {

constexpr std::array kCounters{
    named_counter<agent_counters>{"started", &agent_counters::started},
    named_counter<agent_counters>{"completed", &agent_counters::completed},
    named_counter<agent_counters>{"broken", &agent_counters::broken},
    named_counter<agent_counters>{"not_sent", &agent_counters::not_sent},
    named_counter<agent_counters>{"cancelled", &agent_counters::cancelled},
    named_counter<agent_counters>{"joins", &agent_counters::joins},
    named_counter<agent_counters>{"reattached", &agent_counters::reattached},
    named_counter<agent_counters>{"duplicates", &agent_counters::duplicates},
    named_counter<agent_counters>{"tombstone_hits", &agent_counters::tombstone_hits},
    named_counter<agent_counters>{"held", &agent_counters::held},
    named_counter<agent_counters>{"parts_dropped", &agent_counters::parts_dropped},
    named_counter<agent_counters>{"upstream_deaths", &agent_counters::upstream_deaths},
    named_counter<agent_counters>{"unexpected", &agent_counters::unexpected},
};

const char* CertaintyName(run_certainty certainty) {
  return certainty == run_certainty::kNotRun ? "not-run" : "unknown";
}

}  // namespace

const char* ReasonName(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kOverload:
      return "overload";
    case refusal_reason::kDraining:
      return "draining";
    case refusal_reason::kLeaving:
      return "leaving";
    case refusal_reason::kStaleView:
      return "stale-view";
    case refusal_reason::kUnknownService:
      return "unknown-service";
    case refusal_reason::kGrantExpired:
      return "grant-expired";
    case refusal_reason::kGrantMissing:
      return "grant-missing";
    case refusal_reason::kKeyRefused:
      return "key-refused";
    case refusal_reason::kDeadline:
      return "deadline";
    case refusal_reason::kSuspect:
      return "suspect";
    case refusal_reason::kUpstreamGone:
      return "upstream-gone";
    case refusal_reason::kAccountShare:
      return "account-share";
    case refusal_reason::kMalformed:
      return "malformed";
  }
  return "";
}

void agent_core::On(const operator_query& event) {
  operator_reply reply{
      .query = event.query, .kind = event.kind, .content_type = "application/json"};
  switch (event.kind) {
    case operator_query_kind::kState:
      reply.body = State().dump();
      break;
    case operator_query_kind::kStatus:
      reply.body = fleet_.State(at_).dump();
      break;
    case operator_query_kind::kMetrics:
      reply.content_type = "text/plain; version=0.0.4";
      reply.body = Metrics();
      break;
  }
  Emit(std::move(reply));
}

nlohmann::json agent_core::State() const {
  const upstream_load load = Load();
  return {{"name", options_.identity.name},
          {"service", options_.service},
          {"incarnation", options_.identity.incarnation},
          {"leaving", leaving_since_.has_value()},
          {"in_service", InService()},
          {"grant_epoch", epoch_},
          {"oldest_epoch", oldest_epoch_},
          {"load",
           {{"in_flight", load.in_flight},
            {"queued", load.queued},
            {"limit", load.limit},
            {"warm", load.warm}}},
          {"cold_resets", limit_->ColdResets()},
          {"held", held_.size()},
          {"upstream_dead", upstream_dead_},
          {"executions", table_.State()},
          {"suspects", suspects_.State(at_.now)},
          {"connections", connections_.size()},
          {"group", group_ ? group_->State() : nlohmann::json()},
          {"fleet", fleet_.State(at_)}};
}

std::string agent_core::Metrics() const {
  std::ostringstream text;
  const auto write = [&text](std::string_view name, std::uint64_t value) {
    text << "berylbarrow_agent_" << name << ' ' << value << '\n';
  };
  for (const auto& [kind, count] : counters_.refusals) {
    text << "berylbarrow_agent_refusals_total{reason=\"" << ReasonName(kind.first)
         << "\",outcome=\"" << CertaintyName(kind.second) << "\"} " << count << '\n';
  }
  for (const named_counter<agent_counters>& counter : kCounters) {
    write(std::string(counter.name) + "_total", counters_.*counter.value);
  }
  write("cold_resets_total", limit_->ColdResets());
  const upstream_load load = Load();
  write("limit", load.limit);
  write("in_flight", load.in_flight);
  write("queued", load.queued);
  write("executions", table_.Size());
  write("buffered_bytes", table_.BufferedBytes());
  write("suspects", suspects_.Size());
  write("grant_epoch", epoch_);
  return text.str() + GroupMetrics();
}

}  // namespace berylbarrow
