#include <nlohmann/json.hpp>
#include <sstream>

#include "berylbarrow/process/agent/agent_core.h"

namespace berylbarrow {
namespace {

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
          {"fleet", fleet_.State(at_)}};
}

std::string agent_core::Metrics() const {
  std::ostringstream text;
  const auto write = [&text](const char* name, std::uint64_t value) {
    text << "berylbarrow_agent_" << name << ' ' << value << '\n';
  };
  for (const auto& [kind, count] : counters_.refusals) {
    text << "berylbarrow_agent_refusals_total{reason=\"" << ReasonName(kind.first)
         << "\",outcome=\"" << CertaintyName(kind.second) << "\"} " << count << '\n';
  }
  write("started_total", counters_.started);
  write("completed_total", counters_.completed);
  write("broken_total", counters_.broken);
  write("not_sent_total", counters_.not_sent);
  write("cancelled_total", counters_.cancelled);
  write("joins_total", counters_.joins);
  write("reattached_total", counters_.reattached);
  write("duplicates_total", counters_.duplicates);
  write("tombstone_hits_total", counters_.tombstone_hits);
  write("held_total", counters_.held);
  write("parts_dropped_total", counters_.parts_dropped);
  write("upstream_deaths_total", counters_.upstream_deaths);
  write("unexpected_total", counters_.unexpected);
  write("cold_resets_total", limit_->ColdResets());
  const upstream_load load = Load();
  write("limit", load.limit);
  write("in_flight", load.in_flight);
  write("queued", load.queued);
  write("executions", table_.Size());
  write("buffered_bytes", table_.Bytes());
  write("suspects", suspects_.Size());
  write("grant_epoch", epoch_);
  return text.str();
}

}  // namespace berylbarrow
