#include "support/fleet_callers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "support/fleet_upstream.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kMaxTries = 5;
constexpr duration kQueryPatience = seconds(1);
constexpr duration kRetryWait = milliseconds(300);

std::string HeaderOf(const caller_reply& reply, const std::string& name) {
  for (const reply_header& header : reply.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

std::string ServiceOf(work_kind kind) {
  return kind == work_kind::kDraft ? "drafting" : "payments";
}

http_request RequestOf(work_kind kind, const request_mark& mark) {
  const std::string text = WriteMark(mark);
  switch (kind) {
    case work_kind::kDraft:
      return {.method = "POST", .target = "/v1/completions", .body = text};
    case work_kind::kLookup:
      return {.method = "GET", .target = "/status?" + text};
    case work_kind::kPayment:
      return {.method = "POST", .target = "/payments", .body = text};
  }
  return {};
}

}  // namespace

fleet_callers::fleet_callers(fleet_context& context, fleet_processes& processes, std::size_t count)
    : context_(context), processes_(processes), callers_(count) {
  for (std::size_t i = 0; i < count; ++i) {
    Next(i);
  }
}

/// Begins another operation after a while.
void fleet_callers::Next(std::size_t number) {
  context_.After(context_.Between(milliseconds(50), milliseconds(600)),
                 [this, number] { Begin(number); });
}

void fleet_callers::Begin(std::size_t number) {
  if (context_.Now() >= end_) {
    return;
  }
  caller& item = callers_[number];
  item.operation = ++last_operation_;
  item.tries = 0;
  item.attempt = 1;
  item.key.clear();
  item.kind = static_cast<work_kind>(context_.Below(3));
  item.is_poison = false;
  if (item.kind == work_kind::kDraft && poison_ > 0) {
    --poison_;
    item.is_poison = true;
  }
  const bool has_addresses = context_.Now() < item.addresses_until && !item.addresses.empty();
  if (item.kind == work_kind::kPayment || !has_addresses) {
    Query(number);
    return;
  }
  Send(number, *ChooseEntry(item));
}

fleet_process* fleet_callers::ChooseEntry(const caller& item) {
  std::vector<std::string> others = item.addresses;
  if (others.size() > 1) {
    // A repetition goes through another entry.
    std::erase(others,
               processes_.At(item.last_entry.empty() ? FleetPlaces()[0].name : item.last_entry)
                   .place.caller_address);
  }
  return processes_.FindByCallerAddress(others.at(context_.Below(others.size())));
}

void fleet_callers::Query(std::size_t number) {
  caller& item = callers_[number];
  fleet_process& entry = processes_.At(FleetPlaces()[context_.Below(3)].name);
  if (!entry.is_up || !entry.accepts) {
    context_.After(kRetryWait, [this, number] { Query(number); });
    return;
  }
  const std::uint64_t query = ++last_number_;
  item.open = query;
  item.is_query = true;
  open_[query] = number;
  context_.After(kQueryPatience, [this, number, query] {
    if (open_.erase(query) > 0) {
      Query(number);
    }
  });
  processes_.Give(entry.place.name, entry.life,
                  address_query{.caller = query,
                                .service = ServiceOf(item.kind),
                                .account = number % 3 == 0 ? "large" : "small"});
}

void fleet_callers::OnAddress(std::size_t number, const caller_reply& reply) {
  caller& item = callers_[number];
  item.is_query = false;
  const auto body = nlohmann::json::parse(reply.body);
  if (reply.status != 200 || (item.kind == work_kind::kPayment && !body.contains("grant"))) {
    if (++item.tries > kMaxTries) {
      Next(number);
      return;
    }
    context_.After(kRetryWait, [this, number] { Query(number); });
    return;
  }
  item.addresses.clear();
  for (const auto& address : body.at("addresses")) {
    item.addresses.push_back(address.at("address"));
  }
  item.addresses_until = context_.Now() + milliseconds(body.at("valid_for_ms"));
  if (item.kind == work_kind::kPayment && item.key.empty()) {
    item.key = body.at("grant").get<std::string>() + "/n" + std::to_string(++last_number_);
  }
  Send(number, *ChooseEntry(item));
}

void fleet_callers::Send(std::size_t number, fleet_process& entry) {
  caller& item = callers_[number];
  const std::uint64_t request = ++last_number_;
  // A request that crashes upstreams is known by its body, so every repetition has the same one.
  const http_request content = RequestOf(item.kind, {.request = item.is_poison ? 0 : request,
                                                     .operation = item.operation,
                                                     .key = item.key,
                                                     .is_poison = item.is_poison});
  ++item.tries;
  item.last_entry = entry.place.name;
  const duration deadline = context_.Between(milliseconds(1500), milliseconds(4000));
  positions_[request] = context_.log.requests.size();
  context_.log.requests.push_back({.request = request,
                                   .operation = item.operation,
                                   .kind = item.kind,
                                   .key = item.key,
                                   .attempt = item.attempt,
                                   .entry = entry.place.name,
                                   .sent = context_.Now(),
                                   .due = context_.Now() + deadline,
                                   .expected = ExpectedAnswer(content),
                                   .entry_was_slow = entry.is_paused});
  item.open = request;
  item.is_query = false;
  open_[request] = number;
  if (!entry.is_up || !entry.accepts) {
    Find(request)->was_turned_away = entry.has_left || entry.is_up;
    End(request, request_end::kBroken);
    return;
  }
  context_.After(context_.Between(seconds(1), seconds(6)), [this, request] { GiveUp(request); });
  processes_.Give(entry.place.name, entry.life,
                  caller_request{.caller = request,
                                 .request = content,
                                 .account = number % 3 == 0 ? "large" : "small",
                                 .service = item.kind == work_kind::kDraft ? "" : "payments",
                                 .model = item.kind == work_kind::kDraft ? "draft" : "",
                                 .idempotency_key = item.key,
                                 .attempt = item.attempt,
                                 .deadline = deadline});
}

void fleet_callers::GiveUp(std::uint64_t request) {
  if (!open_.contains(request)) {
    return;
  }
  const fleet_process& entry = processes_.At(Find(request)->entry);
  const std::uint64_t life = entry.life;
  End(request, request_end::kGivenUp);
  processes_.Give(entry.place.name, life, caller_closed{.caller = request});
}

request_record* fleet_callers::Find(std::uint64_t request) {
  const auto place = positions_.find(request);
  return place == positions_.end() ? nullptr : &context_.log.requests[place->second];
}

void fleet_callers::End(std::uint64_t request, request_end end) {
  const auto place = open_.find(request);
  if (place == open_.end()) {
    return;
  }
  const std::size_t number = place->second;
  open_.erase(place);
  request_record& record = *Find(request);
  record.end = end;
  record.ended = context_.Now();
  Repeat(number, end);
}

/// Goes on after a request has ended: with the next operation, or with the same once more.
void fleet_callers::Repeat(std::size_t number, request_end end) {
  caller& item = callers_[number];
  if (end == request_end::kWhole || item.tries >= kMaxTries) {
    Next(number);
    return;
  }
  if (end == request_end::kNotRun) {
    item.key.clear();
    item.attempt = 1;
  } else {
    ++item.attempt;
  }
  context_.After(context_.Between(milliseconds(20), kRetryWait), [this, number] {
    caller& again = callers_[number];
    const bool needs_key = again.kind == work_kind::kPayment && again.key.empty();
    if (needs_key || context_.Now() >= again.addresses_until) {
      Query(number);
      return;
    }
    Send(number, *ChooseEntry(again));
  });
}

void fleet_callers::OnReply(const fleet_process& entry, const caller_reply& reply) {
  request_record* record = Find(reply.caller);
  if (record == nullptr) {
    const auto place = open_.find(reply.caller);
    if (place != open_.end()) {
      const std::size_t number = place->second;
      open_.erase(place);
      OnAddress(number, reply);
    }
    return;
  }
  ++record->ends;
  const std::string outcome = HeaderOf(reply, "Berylbarrow-Outcome");
  if (outcome != "not-run" && outcome != "unknown") {
    context_.log.oddities.push_back("reply of " + entry.place.name + " without an outcome");
  }
  End(reply.caller, outcome == "not-run" ? request_end::kNotRun : request_end::kUnknown);
}

void fleet_callers::OnHead(const caller_head& head) {
  const request_record* record = Find(head.caller);
  if (record == nullptr || head.status != 200) {
    context_.log.oddities.push_back("head of request " + std::to_string(head.caller) +
                                    " with status " + std::to_string(head.status));
  }
}

void fleet_callers::OnPart(const caller_part& part) {
  if (open_.contains(part.caller)) {
    Find(part.caller)->received += part.bytes;
  }
}

void fleet_callers::OnEnd(const caller_end& end) {
  ++Find(end.caller)->ends;
  End(end.caller, end.complete ? request_end::kWhole : request_end::kCut);
}

void fleet_callers::OnEntryStopped(const std::string& entry) {
  const std::map<std::uint64_t, std::size_t> open = open_;
  for (const auto& [request, number] : open) {
    const request_record* record = Find(request);
    if (record != nullptr && record->entry == entry) {
      End(request, request_end::kBroken);
    }
  }
}

void fleet_callers::OnEntrySlow(const std::string& entry) {
  for (const auto& [request, number] : open_) {
    request_record* record = Find(request);
    if (record != nullptr && record->entry == entry) {
      record->entry_was_slow = true;
    }
  }
}

std::uint32_t fleet_callers::OpenAt(const std::string& entry) const {
  return static_cast<std::uint32_t>(
      std::count_if(open_.begin(), open_.end(), [this, &entry](const auto& item) {
        const auto place = positions_.find(item.first);
        return place != positions_.end() && context_.log.requests[place->second].entry == entry;
      }));
}

}  // namespace berylbarrow
