#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "process/runtime/scalar_format.h"
#include "version/configuration/document_context.h"

namespace berylbarrow {
namespace {

constexpr bounds<std::uint32_t> kRequestCount = {1, 100'000};

/// RFC 9110, section 9.2.2. POST and PATCH must state whether a repetition is harmless: a payment
/// that is taken for idempotent by default would be retried.
bool IsIdempotentMethod(const std::string& method) { return method != "POST" && method != "PATCH"; }

bool IsPath(const std::string& text) {
  constexpr std::size_t kMaxPathBytes = 256;
  return text.starts_with('/') && text.size() <= kMaxPathBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~' && c != '?' && c != '#'; });
}

void ReadMethod(map_reader& reader, std::string& method) {
  static const std::set<std::string, std::less<>> kMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                              "PATCH",  "POST", "PUT"};
  if (reader.ReadText("method", method, need::kRequired) && !kMethods.contains(method)) {
    reader.Report(reader.At("method"),
                  "has method " + Quote(method) +
                      ", which is not GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH");
  }
}

void ReadOperations(map_reader& service, service_options& value, document_context& context) {
  std::size_t position = 0;
  std::set<std::string> seen;
  for (const yaml_node& item : service.Items("operations", need::kRequired)) {
    map_reader reader(item, service.Subject() + ": operation " + std::to_string(++position),
                      context.found);
    operation_options operation;
    ReadMethod(reader, operation.method);
    if (reader.ReadText("path", operation.path, need::kRequired) && !IsPath(operation.path)) {
      reader.Report(reader.At("path"), "has path " + Quote(operation.path) +
                                           ", which is not a path such as /payments");
    }
    reader.ReadFlag("idempotent", operation.idempotent,
                    IsIdempotentMethod(operation.method) ? need::kOptional : need::kRequired);
    reader.RefuseOtherKeys();
    const std::string call = operation.method + " " + operation.path;
    if (call.size() > 1 && !seen.insert(call).second) {
      reader.Report(item.at, "repeats " + Quote(call));
    }
    value.operations.push_back(std::move(operation));
  }
}

void ReadUpstreams(map_reader& service, service_options& value, document_context& context) {
  std::size_t position = 0;
  for (const yaml_node& item : service.Items("upstreams", need::kRequired)) {
    map_reader reader(item, service.Subject() + ": " + ItemSubject("upstream", item, position++),
                      context.found);
    upstream_options upstream;
    if (reader.ReadName("name", upstream.name, need::kRequired)) {
      context.process_names.Claim(reader, "name", upstream.name);
    }
    ReadDomainReference(reader, upstream.domain, context);
    ReadProcessAddress(reader, "agent_address", upstream.agent_address, context);
    reader.ReadFlag("checks_fencing", upstream.checks_fencing);
    reader.ReadChoice("state", {"in", "out"}, upstream.state);
    reader.RefuseOtherKeys();
    value.upstreams.push_back(std::move(upstream));
  }
}

void ReadModel(map_reader& reader, service_options& service, document_context& context) {
  if (service.kind == service_kind::kPlain) {
    reader.Refuse("model", "which only services of kind model have");
    return;
  }
  if (!reader.ReadText("model", service.model, need::kRequired)) {
    return;
  }
  constexpr std::size_t kMaxModelBytes = 128;
  const bool printable = std::all_of(service.model.begin(), service.model.end(),
                                     [](char c) { return c > ' ' && c <= '~'; });
  if (service.model.empty() || service.model.size() > kMaxModelBytes || !printable) {
    reader.Report(reader.At("model"), "has model " + Quote(service.model) +
                                          ", which is not 1 to 128 printable ASCII characters "
                                          "without spaces");
    return;
  }
  context.models.Claim(reader, "model", service.model);
}

void ReadLimits(map_reader& reader, service_options& service, document_context& context) {
  if (const yaml_node* node = reader.FindMap("limits")) {
    map_reader limits(*node, reader.Subject() + ": limits", context.found);
    limits.ReadCount("in_flight", service.limits.in_flight, kRequestCount);
    limits.ReadCount("queue", service.limits.queue, {0, 1'000'000});
    limits.RefuseOtherKeys();
  }
  place limit_at = reader.At("limits");
  if (const yaml_node* node = reader.FindMap("cold_start")) {
    map_reader cold(*node, reader.Subject() + ": cold_start", context.found);
    cold.ReadCount("limit", service.cold_start.limit, kRequestCount);
    cold.ReadCount("step_completions", service.cold_start.step_completions, kRequestCount);
    cold.RefuseOtherKeys();
    limit_at = cold.Has("limit") ? cold.At("limit") : limit_at;
  }
  if (service.cold_start.limit > service.limits.in_flight) {
    reader.Report(limit_at, "has cold_start.limit " + std::to_string(service.cold_start.limit) +
                                ", which is above limits.in_flight " +
                                std::to_string(service.limits.in_flight));
  }
}

void ReadTargets(map_reader& reader, service_options& service) {
  using namespace std::chrono_literals;
  reader.ReadFlag("resumes_streams", service.resumes_streams);
  reader.ReadTime("first_token_target", service.first_token_target, {1ms, 1h});
  reader.ReadTime("token_gap_target", service.token_gap_target, {1ms, 1h});
  reader.ReadTime("deadline", service.deadline, {1ms, 1h});
}

}  // namespace

void ReadServices(map_reader& document, document_context& context) {
  unique_values names;
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("services", need::kRequired)) {
    map_reader reader(item, ItemSubject("service", item, position++), context.found);
    service_options service;
    if (reader.ReadName("name", service.name, need::kRequired)) {
      names.Claim(reader, "name", service.name);
    }
    if (reader.ReadChoice("kind", {"model", "plain"}, service.kind, need::kRequired)) {
      ReadModel(reader, service, context);
    } else {
      reader.ReadText("model", service.model, need::kOptional);
    }
    ReadTargets(reader, service);
    ReadOperations(reader, service, context);
    ReadUpstreams(reader, service, context);
    ReadLimits(reader, service, context);
    reader.RefuseOtherKeys();
    context.value.services.push_back(std::move(service));
  }
}

}  // namespace berylbarrow
