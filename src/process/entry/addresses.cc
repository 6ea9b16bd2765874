#include "process/entry/addresses.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "berylbarrow/process/membership/rendezvous.h"
#include "berylbarrow/request/execution/grant_key.h"
#include "process/entry/replies.h"

namespace berylbarrow {

void address_book::Answer(const address_query& query) {
  const auto refuse = [this, &query](const refusal_reply& reply) {
    context_.Emit(RefusalReply(query.caller, reply));
  };
  if (!context_.IsViewCurrent()) {
    refuse({.status = 503,
            .code = "no-current-view",
            .message = "this entry has no current configuration",
            .retry_after = std::chrono::seconds(1)});
    return;
  }
  const service_options* service = context_.index.Service(query.service);
  if (service == nullptr) {
    refuse({.status = 404,
            .code = "unknown-service",
            .message = "service \"" + query.service + "\" is not in the configuration"});
    return;
  }
  nlohmann::json body{{"addresses", Addresses(service->name, query.account)}};
  if (body["addresses"].empty()) {
    refuse({.status = 503,
            .code = "no-entry",
            .message = "no live entry is in service",
            .retry_after = std::chrono::seconds(1)});
    return;
  }
  body["valid_for_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                             context_.index.Document().address_lifetime)
                             .count();
  if (const auto fresh = Grant(*service)) {
    body["grant"] = *fresh;
  }
  ++context_.counters.address_responses;
  context_.Emit(caller_reply{.caller = query.caller, .status = 200, .body = Dump(body)});
}

bool address_book::MayServe(const entry_options& entry) const {
  if (!context_.fleet.DomainInService(entry.domain)) {
    return false;
  }
  if (entry.name == context_.options.identity.name) {
    return context_.state == process_state::kServing;
  }
  const member* known = context_.fleet.Members().Find(entry.name);
  if (known == nullptr || !peers_.Hears(entry.name)) {
    // With more entries than send heartbeats to this one, most are not heard. They count as serving
    // until they announce that they leave.
    return !peers_.Hears(entry.name) &&
           (known == nullptr || known->state != process_state::kLeaving);
  }
  return known->state == process_state::kServing &&
         context_.Liveness(entry.name) == liveness::kAlive;
}

nlohmann::json address_book::Addresses(const std::string& service,
                                       const std::string& account) const {
  nlohmann::json list = nlohmann::json::array();
  if (!context_.index.IsKnown()) {
    return list;
  }
  const std::set<std::string>& serving = context_.index.EntriesOf(service);
  std::map<std::string, const entry_options*> usable;
  std::vector<std::string> heard;
  std::vector<std::string> others;
  for (const entry_options& entry : context_.index.Document().entries) {
    if (serving.contains(entry.name) && MayServe(entry)) {
      const bool is_heard =
          entry.name == context_.options.identity.name || peers_.Hears(entry.name);
      usable.emplace(entry.name, &entry);
      (is_heard ? heard : others).push_back(entry.name);
    }
  }
  // Those that are known to be alive go first.
  const std::size_t count = context_.options.addresses;
  std::vector<std::string> picked = RendezvousPick(account, heard, count);
  for (std::string& name : RendezvousPick(account, others, count - picked.size())) {
    picked.push_back(std::move(name));
  }
  for (const std::string& name : picked) {
    const entry_options& entry = *usable.at(name);
    list.push_back({{"address", entry.caller_address}, {"domain", entry.domain}});
  }
  return list;
}

std::optional<std::string> address_book::Grant(const service_options& service) {
  if (!HasNonIdempotent(service)) {
    return std::nullopt;
  }
  const auto candidates = peers_.Candidates(service, {});
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t chosen = policy_.Choose(candidates, {}, context_.random);
  const member& agent = *context_.fleet.Members().Find(std::string(candidates.at(chosen).name));
  return FormatGrant({.agent = agent.identity.name,
                      .incarnation = agent.identity.incarnation,
                      .epoch = agent.grant_epoch});
}

void address_book::OnTime() {
  const bool is_out =
      context_.index.IsKnown() && !context_.fleet.DomainInService(context_.options.identity.domain);
  if (!is_out) {
    out_since_.reset();
  } else if (!out_since_) {
    out_since_ = context_.Now();
  }
}

bool address_book::IsRetired() const {
  return out_since_ && context_.Now() - *out_since_ >= context_.index.Document().address_lifetime;
}

}  // namespace berylbarrow
