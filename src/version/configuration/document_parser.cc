#include "berylbarrow/version/configuration/document_parser.h"

#include <algorithm>
#include <string>
#include <utility>

#include "process/runtime/scalar_format.h"
#include "process/runtime/yaml_tree.h"
#include "version/configuration/document_context.h"

namespace berylbarrow {
namespace {

void ReadDomains(map_reader& document, document_context& context) {
  unique_values names;
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("domains", need::kRequired)) {
    map_reader reader(item, ItemSubject("failure domain", item, position++), context.found);
    domain_options domain;
    if (reader.ReadName("name", domain.name, need::kRequired)) {
      names.Claim(reader, "name", domain.name);
      context.domains.insert(domain.name);
    }
    reader.ReadName("region", domain.region, need::kRequired);
    reader.ReadChoice("state", {"in", "out"}, domain.state);
    reader.RefuseOtherKeys();
    context.value.domains.push_back(std::move(domain));
  }
}

void ReadEntries(map_reader& document, document_context& context) {
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("entries", need::kRequired)) {
    map_reader reader(item, ItemSubject("entry", item, position++), context.found);
    entry_options entry;
    if (reader.ReadName("name", entry.name, need::kRequired)) {
      context.process_names.Claim(reader, "name", entry.name);
    }
    ReadDomainReference(reader, entry.domain, context);
    ReadProcessAddress(reader, "caller_address", entry.caller_address, context);
    ReadProcessAddress(reader, "peer_address", entry.peer_address, context);
    reader.RefuseOtherKeys();
    context.value.entries.push_back(std::move(entry));
  }
}

void ReadAccounts(map_reader& document, document_context& context) {
  unique_values names;
  std::size_t position = 0;
  for (const yaml_node& item : document.Items("accounts")) {
    map_reader reader(item, ItemSubject("account", item, position++), context.found);
    account_options account;
    if (reader.ReadName("name", account.name, need::kRequired)) {
      names.Claim(reader, "name", account.name);
    }
    reader.ReadCount("weight", account.weight, {1, 1'000'000});
    reader.RefuseOtherKeys();
    context.value.accounts.push_back(std::move(account));
  }
}

void ReadTimes(map_reader& document, document_context& context) {
  using namespace std::chrono_literals;
  configuration& value = context.value;
  document.ReadTime("address_lifetime", value.address_lifetime, {100ms, 1h});
  document.ReadTime("isolation_timeout", value.isolation_timeout, {500ms, 1min});
  if (const yaml_node* node = document.FindMap("grant")) {
    map_reader grant(*node, "grant", context.found);
    grant.ReadTime("epoch", value.grant.epoch, {100ms, 1h});
    grant.ReadCount("epochs_kept", value.grant.epochs_kept, {1, 100});
    grant.RefuseOtherKeys();
  }
  const duration kept = value.grant.epoch * value.grant.epochs_kept;
  if (value.address_lifetime > kept) {
    document.Report(document.At("address_lifetime"),
                    "has address_lifetime " + WriteDuration(value.address_lifetime) +
                        ", which is longer than the " + WriteDuration(kept) +
                        " that grant.epoch and grant.epochs_kept keep a grant valid");
  }
}

bool HasCondition(const plan_step& step) {
  return step.proceed_when.in_flight_at_most || step.proceed_when.warm_share_at_least;
}

/// Entries judge the conditions of a plan by the upstreams that they hear. One that does not hear
/// all of them would stop the plan, or go on too early.
void CheckPlanIsSeen(map_reader& document, const configuration& value) {
  if (std::none_of(value.move_plan.begin(), value.move_plan.end(), HasCondition)) {
    return;
  }
  const std::string reason =
      ", but a move plan with conditions needs entries that hear every upstream: ";
  std::size_t most = 0;
  for (const service_options& service : value.services) {
    most = std::max(most, service.upstreams.size());
  }
  if (value.subset_size < most) {
    document.Report(document.At("subset_size"),
                    "has subset_size " + std::to_string(value.subset_size) + reason +
                        "the largest service has " + std::to_string(most) + " upstreams");
  }
  if (value.entries_per_service < value.entries.size()) {
    document.Report(document.At("entries_per_service"),
                    "has entries_per_service " + std::to_string(value.entries_per_service) +
                        reason + "there are " + std::to_string(value.entries.size()) + " entries");
  }
}

void ReadDocument(const yaml_node& root, document_context& context) {
  map_reader document(root, "the document", context.found);
  ReadDomains(document, context);
  ReadEntries(document, context);
  ReadServices(document, context);
  ReadAccounts(document, context);
  ReadExpertGroups(document, context);
  ReadMovePlan(document, context);
  ReadTimes(document, context);
  document.ReadCount("subset_size", context.value.subset_size, {1, 1000});
  document.ReadCount("entries_per_service", context.value.entries_per_service, {2, 1000});
  document.RefuseOtherKeys();
  CheckPlanIsSeen(document, context.value);
}

}  // namespace

void CheckDomain(map_reader& reader, const std::string& name, const place& at,
                 const document_context& context) {
  // Without any readable declaration, each reference would only repeat that finding.
  if (!context.domains.empty() && !context.domains.contains(name)) {
    reader.Report(at, "names failure domain " + Quote(name) + ", which is not declared");
  }
}

void ReadDomainReference(map_reader& reader, std::string& value, document_context& context) {
  if (reader.ReadText("domain", value, need::kRequired)) {
    CheckDomain(reader, value, reader.At("domain"), context);
  }
}

void ReadProcessAddress(map_reader& reader, std::string_view key, std::string& value,
                        document_context& context) {
  if (!reader.ReadAddress(key, value, need::kRequired)) {
    return;
  }
  if (value.starts_with("0.0.0.0:") || value.starts_with("[::]:")) {
    reader.Report(reader.At(key), "has " + std::string(key) + " " + Quote(value) +
                                      ", to which no process can connect");
    return;
  }
  context.addresses.Claim(reader, key, value);
}

checked<configuration> document_parser::Parse(std::string_view text, std::string_view file) const {
  finding_list found(file);
  const auto root = LoadYaml(text, found);
  document_context context{.found = found};
  if (root) {
    ReadDocument(*root, context);
  }
  if (!found.Empty()) {
    return std::move(found).Take();
  }
  return std::move(context.value);
}

}  // namespace berylbarrow
