#include "process/entry/status.h"

#include <array>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string_view>

#include "berylbarrow/process/membership/member_names.h"
#include "process/runtime/named_counter.h"

namespace berylbarrow {
namespace {

constexpr std::array kCounters{
    named_counter<entry_counters>{"address_responses", &entry_counters::address_responses},
    named_counter<entry_counters>{"attempts", &entry_counters::attempts},
    named_counter<entry_counters>{"retries_refused", &entry_counters::retries_refused},
    named_counter<entry_counters>{"reattachments", &entry_counters::reattachments},
    named_counter<entry_counters>{"resends", &entry_counters::resends},
    named_counter<entry_counters>{"resumptions", &entry_counters::resumptions},
    named_counter<entry_counters>{"parts_dropped", &entry_counters::parts_dropped},
    named_counter<entry_counters>{"unexpected_messages", &entry_counters::unexpected_messages},
    named_counter<entry_counters>{"refused_requests", &entry_counters::refused_requests},
    named_counter<entry_counters>{"refused_keys", &entry_counters::refused_keys},
    named_counter<entry_counters>{"ignored_heartbeats", &entry_counters::ignored_heartbeats},
};

}  // namespace

nlohmann::json FleetStatus(const entry_context& context) {
  const nlohmann::json view = context.fleet.State(context.at);
  nlohmann::json upstreams = nlohmann::json::array();
  nlohmann::json processes = nlohmann::json::array();
  processes.push_back({{"name", context.options.identity.name},
                       {"role", "entry"},
                       {"revision", context.fleet.Revision()},
                       {"plan_step", context.fleet.PlanStep()}});
  for (const auto& [name, known] : context.fleet.Members().Members()) {
    processes.push_back({{"name", name},
                         {"role", known.identity.role == process_role::kEntry ? "entry" : "agent"},
                         {"liveness", LivenessName(context.Liveness(name))},
                         {"revision", known.in_force},
                         {"plan_step", known.plan_step}});
  }
  if (context.index.IsKnown()) {
    for (const service_options& service : context.index.Document().services) {
      for (const upstream_options& upstream : service.upstreams) {
        const member* known = context.fleet.Members().Find(upstream.name);
        const upstream_load load = known == nullptr ? upstream_load{} : known->load;
        upstreams.push_back({{"name", upstream.name},
                             {"service", service.name},
                             {"domain", upstream.domain},
                             {"in_service", context.fleet.UpstreamInService(upstream)},
                             {"liveness", LivenessName(context.Liveness(upstream.name))},
                             {"in_flight", load.in_flight},
                             {"queued", load.queued},
                             {"limit", load.limit},
                             {"warm", load.warm}});
      }
    }
  }
  return {{"entry", context.options.identity.name},
          {"revision", context.fleet.Revision()},
          {"domains", view.at("domains")},
          {"plan_step", context.fleet.PlanStep()},
          {"plan", view.at("plan")},
          {"upstreams", upstreams},
          {"processes", processes}};
}

nlohmann::json CountersJson(const entry_counters& counters) {
  nlohmann::json result = nlohmann::json::object();
  for (const named_counter<entry_counters>& counter : kCounters) {
    result[std::string(counter.name)] = counters.*counter.value;
  }
  nlohmann::json requests = nlohmann::json::array();
  for (const auto& [key, count] : counters.requests) {
    requests.push_back(
        {{"service", key.first}, {"outcome", OutcomeName(key.second)}, {"count", count}});
  }
  result["requests"] = requests;
  return result;
}

std::string CountersText(const entry_counters& counters, std::size_t in_flight) {
  std::ostringstream out;
  out << "# TYPE berylbarrow_requests_total counter\n";
  for (const auto& [key, count] : counters.requests) {
    out << "berylbarrow_requests_total{service=" << std::quoted(key.first) << ",outcome=\""
        << OutcomeName(key.second) << "\"} " << count << '\n';
  }
  for (const named_counter<entry_counters>& counter : kCounters) {
    out << "# TYPE berylbarrow_" << counter.name << "_total counter\n"
        << "berylbarrow_" << counter.name << "_total " << counters.*counter.value << '\n';
  }
  out << "# TYPE berylbarrow_requests_in_flight gauge\n"
      << "berylbarrow_requests_in_flight " << in_flight << '\n';
  return out.str();
}

}  // namespace berylbarrow
