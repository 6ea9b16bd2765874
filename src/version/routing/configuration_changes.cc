#include "berylbarrow/version/routing/configuration_changes.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>
#include <utility>

namespace berylbarrow {
namespace {

using field = configuration_field;
using section = configuration_section;
using described_field = std::pair<field, std::string>;
using described_fields = std::vector<described_field>;

std::string Milliseconds(duration span) { return MillisecondsText(span) + " ms"; }
std::string Flag(bool value) { return value ? "true" : "false"; }

std::string KindText(request_kind kind) {
  constexpr std::array<std::string_view, 3> kNames = {"idempotent", "non_idempotent", "streaming"};
  return std::string(kNames.at(static_cast<std::size_t>(kind)));
}

std::string ServicesText(const std::vector<weighted_service>& services) {
  std::ostringstream text;
  for (const weighted_service& each : services) {
    if (text.tellp() > 0) text << ", ";
    text << each.service << " (" << each.weight << ")";
  }
  return std::move(text).str();
}

std::string EngineText(const std::optional<engine_profile>& engine) {
  if (!engine) return "none";
  std::ostringstream text;
  text << "slots " << engine->slots << ", stride " << engine->stride << ", step " << engine->step_ms
       << " ms, sequence " << engine->per_sequence_ms << " ms, context " << engine->per_context_k_ms
       << " ms, reads " << engine->read_tokens_per_ms << " tokens/ms, chunk "
       << engine->chunk_tokens << ", usual prompt " << engine->usual_prompt << " and answer "
       << engine->usual_answer << ", layers " << engine->expert_layers << ", experts "
       << engine->experts << ", expert slots " << engine->expert_slots << ", new experts "
       << engine->max_new_experts << ", expert " << engine->expert_mb << " MB, link "
       << engine->expert_link_mbps << " Mbit/s, expert share " << engine->expert_share;
  return std::move(text).str();
}

described_fields Describe(const route& each) {
  return {{field::kHost, each.host},
          {field::kPrefix, each.prefix},
          {field::kKind, KindText(each.kind)},
          {field::kTimeout, Milliseconds(each.timeout)},
          {field::kGoal, Milliseconds(each.goal)},
          {field::kPriority, std::to_string(each.priority)},
          {field::kMaxAttempts, std::to_string(each.max_attempts)},
          {field::kIsPublic, Flag(each.is_public)},
          {field::kResumable, Flag(each.resumable)},
          {field::kGapTarget, Milliseconds(each.gap_target)},
          {field::kServices, ServicesText(each.services)}};
}

described_fields Describe(const service_profile& each) {
  return {{field::kHealthPath, each.health_path},
          {field::kMaxConnections, std::to_string(each.max_connections)},
          {field::kColdStart, Milliseconds(each.cold_start)},
          {field::kColdRate, std::to_string(each.cold_requests_per_second)},
          {field::kEngine, EngineText(each.engine)}};
}

described_fields Describe(const client_account& each) {
  return {{field::kPriority, each.priority ? std::to_string(*each.priority) : "of the route"}};
}

described_fields Describe(const caller_limits& limits) {
  return {{field::kHeaderBytes, std::to_string(limits.max_header_bytes)},
          {field::kBodyBytes, std::to_string(limits.max_body_bytes)},
          {field::kHeaderTimeout, Milliseconds(limits.header_timeout)},
          {field::kIdleTimeout, Milliseconds(limits.idle_timeout)}};
}

void CompareFields(const described_fields& before, const described_fields& after,
                   configuration_place place, std::vector<configuration_change>& changes) {
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i].second == after[i].second) continue;
    place.field = before[i].first;
    changes.push_back({.place = place, .before = before[i].second, .after = after[i].second});
  }
}

std::size_t CountMissing(const std::vector<std::string>& keys,
                         const std::vector<std::string>& others) {
  return static_cast<std::size_t>(std::count_if(keys.begin(), keys.end(), [&](const auto& key) {
    return std::find(others.begin(), others.end(), key) == others.end();
  }));
}

void CompareKeys(const client_account& before, const client_account& after,
                 configuration_place place, std::vector<configuration_change>& changes) {
  const std::size_t removed = CountMissing(before.keys, after.keys);
  const std::size_t added = CountMissing(after.keys, before.keys);
  if (removed == 0 && added == 0) return;
  place.field = field::kKeys;
  changes.push_back({.place = std::move(place),
                     .before = std::to_string(before.keys.size()) + " keys",
                     .after = std::to_string(after.keys.size()) + " keys, " +
                              std::to_string(added) + " of them new, " + std::to_string(removed) +
                              " taken away"});
}

void CompareEntry(const client_account& before, const client_account& after,
                  const configuration_place& place, std::vector<configuration_change>& changes) {
  CompareFields(Describe(before), Describe(after), place, changes);
  CompareKeys(before, after, place, changes);
}

template <typename Entry>
void CompareEntry(const Entry& before, const Entry& after, const configuration_place& place,
                  std::vector<configuration_change>& changes) {
  CompareFields(Describe(before), Describe(after), place, changes);
}

template <typename Entry>
void CompareSection(section where, const std::vector<Entry>& before,
                    const std::vector<Entry>& after, std::vector<configuration_change>& changes) {
  const auto find = [](const std::vector<Entry>& list, const std::string& name) {
    return std::find_if(list.begin(), list.end(),
                        [&](const Entry& each) { return each.name == name; });
  };
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (find(after, before[i].name) != after.end()) continue;
    changes.push_back(
        {.place = {.section = where, .index = i, .entry = before[i].name}, .before = "present"});
  }
  for (std::size_t i = 0; i < after.size(); ++i) {
    const configuration_place place{.section = where, .index = i, .entry = after[i].name};
    const auto earlier = find(before, after[i].name);
    if (earlier == before.end()) {
      changes.push_back({.place = place, .after = "present"});
    } else {
      CompareEntry(*earlier, after[i], place, changes);
    }
  }
}

}  // namespace

std::vector<configuration_change> CompareConfigurations(const routing_content& in_force,
                                                        const routing_content& next) {
  std::vector<configuration_change> changes;
  if (in_force.version != next.version) {
    changes.push_back({.place = {.field = field::kVersion},
                       .before = std::to_string(in_force.version),
                       .after = std::to_string(next.version)});
  }
  CompareSection(section::kRoutes, in_force.routes, next.routes, changes);
  CompareSection(section::kServices, in_force.services, next.services, changes);
  if (in_force.accounts.has_value() != next.accounts.has_value()) {
    const auto text = [](const routing_content& content) {
      return content.accounts ? "requests need keys" : "requests need no key";
    };
    changes.push_back(
        {.place = {.section = section::kAccounts}, .before = text(in_force), .after = text(next)});
  }
  CompareSection(section::kAccounts, in_force.accounts.value_or(std::vector<client_account>()),
                 next.accounts.value_or(std::vector<client_account>()), changes);
  CompareFields(Describe(in_force.limits), Describe(next.limits), {.section = section::kLimits},
                changes);
  return changes;
}

}  // namespace berylbarrow
