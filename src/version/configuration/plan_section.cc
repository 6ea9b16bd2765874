#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "process/runtime/scalar_format.h"
#include "version/configuration/document_context.h"

namespace berylbarrow {
namespace {

using domain_set = std::set<std::string>;

/// Returns the service that a group names, or null after reporting why there is none.
const service_options* ReadGroupService(map_reader& reader, const configuration& value,
                                        std::string& name) {
  if (!reader.ReadText("service", name, need::kRequired) || value.services.empty()) {
    return nullptr;
  }
  const auto service =
      std::find_if(value.services.begin(), value.services.end(),
                   [&](const service_options& candidate) { return candidate.name == name; });
  if (service == value.services.end()) {
    reader.Report(reader.At("service"), "names service " + Quote(name) + ", which is not declared");
    return nullptr;
  }
  if (service->kind != service_kind::kModel) {
    reader.Report(reader.At("service"),
                  "names service " + Quote(name) + ", which is not of kind model");
    return nullptr;
  }
  return &*service;
}

/// `groups` holds the group of every member read so far.
void ReadMembers(map_reader& reader, const service_options* service, expert_group_options& group,
                 std::map<std::string, std::string>& groups) {
  std::set<std::string_view> upstreams;
  if (service != nullptr) {
    for (const upstream_options& upstream : service->upstreams) {
      upstreams.insert(upstream.name);
    }
  }
  for (const placed_text& member : reader.ReadTexts("members", need::kRequired)) {
    if (service != nullptr && !upstreams.contains(member.text)) {
      reader.Report(member.at, "names member " + Quote(member.text) +
                                   ", which is not an upstream of service " + Quote(service->name));
    }
    const auto [first, added] = groups.emplace(member.text, reader.Subject());
    if (!added) {
      reader.Report(member.at, "names member " + Quote(member.text) +
                                   ", which is already a member of " + first->second);
    }
    group.members.push_back(member.text);
  }
}

std::vector<std::string> ReadStepDomains(map_reader& reader, std::string_view key,
                                         const document_context& context) {
  std::vector<std::string> names;
  for (const placed_text& domain : reader.ReadTexts(key)) {
    CheckDomain(reader, domain.text, domain.at, context);
    names.push_back(domain.text);
  }
  return names;
}

void ReadCondition(map_reader& step, proceed_condition& condition, document_context& context) {
  using namespace std::chrono_literals;
  const yaml_node* node = step.FindMap("proceed_when");
  if (node == nullptr) {
    return;
  }
  map_reader reader(*node, step.Subject() + ": proceed_when", context.found);
  std::uint32_t in_flight = 0;
  if (reader.ReadCount("in_flight_at_most", in_flight, {0, 1'000'000})) {
    condition.in_flight_at_most = in_flight;
  }
  double warm_share = 0;
  if (reader.ReadShare("warm_share_at_least", warm_share)) {
    condition.warm_share_at_least = warm_share;
  }
  reader.ReadTime("hold", condition.hold, {0s, 168h});
  reader.RefuseOtherKeys();
}

bool CanServe(const service_options& service, const domain_set& out) {
  return std::any_of(
      service.upstreams.begin(), service.upstreams.end(), [&](const upstream_options& upstream) {
        return upstream.state == service_state::kIn && !out.contains(upstream.domain);
      });
}

/// Applies the step to the set of domains that are out, and reports every service that could be
/// served before the step and cannot be served after it.
void CheckStep(map_reader& reader, const plan_step& step, const configuration& value,
               domain_set& out) {
  const domain_set before = out;
  for (const std::string& domain : step.fill) {
    out.erase(domain);
  }
  out.insert(step.empty.begin(), step.empty.end());
  for (const service_options& service : value.services) {
    if (CanServe(service, before) && !CanServe(service, out)) {
      reader.Report(reader.At("empty"),
                    "empties every failure domain that serves service " + Quote(service.name));
    }
  }
}

plan_step ReadStep(map_reader& reader, document_context& context) {
  plan_step step;
  reader.ReadName("name", step.name, need::kRequired);
  step.empty = ReadStepDomains(reader, "empty", context);
  step.fill = ReadStepDomains(reader, "fill", context);
  if (!reader.Has("empty") && !reader.Has("fill")) {
    reader.Report(reader.At("name"), "has neither the key \"empty\" nor the key \"fill\"");
  }
  for (const std::string& domain : step.empty) {
    if (std::find(step.fill.begin(), step.fill.end(), domain) != step.fill.end()) {
      reader.Report(reader.At("fill"), "both empties and fills failure domain " + Quote(domain));
    }
  }
  wall_time not_before;
  if (reader.ReadUtc("not_before", not_before)) {
    step.not_before = not_before;
  }
  ReadCondition(reader, step.proceed_when, context);
  reader.RefuseOtherKeys();
  return step;
}

}  // namespace

void ReadExpertGroups(map_reader& document, document_context& context) {
  unique_values names;
  std::map<std::string, std::string> groups;
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("expert_groups")) {
    map_reader reader(item, ItemSubject("expert group", item, position++), context.found);
    expert_group_options group;
    if (reader.ReadName("name", group.name, need::kRequired)) {
      names.Claim(reader, "name", group.name);
    }
    const service_options* service = ReadGroupService(reader, context.value, group.service);
    reader.ReadCount("layers", group.layers, {1, 10'000});
    reader.ReadCount("experts_per_layer", group.experts_per_layer, {1, 65'536});
    reader.ReadCount("spare_slots_per_rank", group.spare_slots_per_rank, {0, 65'536});
    ReadMembers(reader, service, group, groups);
    reader.RefuseOtherKeys();
    context.value.expert_groups.push_back(std::move(group));
  }
}

void ReadMovePlan(map_reader& document, document_context& context) {
  domain_set out;
  for (const domain_options& domain : context.value.domains) {
    if (domain.state == service_state::kOut) {
      out.insert(domain.name);
    }
  }
  unique_values names;
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("move_plan")) {
    map_reader reader(item, ItemSubject("move plan step", item, position++), context.found);
    plan_step step = ReadStep(reader, context);
    if (!step.name.empty()) {
      names.Claim(reader, "name", step.name);
    }
    CheckStep(reader, step, context.value, out);
    context.value.move_plan.push_back(std::move(step));
  }
}

}  // namespace berylbarrow
