#include "callers.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace berylbarrow::bench {
namespace {

constexpr duration kAskAgain = std::chrono::milliseconds(100);
constexpr double kNanoseconds = 1e9;

std::string HeaderOf(const caller_reply& reply, const std::string& name) {
  for (const reply_header& header : reply.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return {};
}

}  // namespace

callers::callers(schedule& time, deployment& fleet, const caller_options& options)
    : time_(time), fleet_(fleet), options_(options), random_(options.seed) {
  const auto& accounts = fleet.Document().accounts;
  double large = 0;
  double small = 0;
  double weights = 0;
  for (const account_options& item : accounts) {
    (item.weight > 1 ? large : small) += item.weight;
    weights += item.weight;
  }
  for (const account_options& item : accounts) {
    account_shares_.push_back(item.weight > 1 ? options.large_share * item.weight / large
                                              : (1 - options.large_share) * item.weight / small);
  }
  hot_ = accounts.size() - 1;
  if (options.hot_factor > 0) {
    account_shares_[hot_] = options.hot_factor * accounts[hot_].weight / weights;
  }
  fleet.OnCallerOutput([this](const entry_output& output) { OnOutput(output); });
  fleet.OnEntryLost([this](const std::string& address) { OnLost(address); });
}

void callers::Run(time_point end, double scale) {
  ScheduleNext(call_kind::kDraft, options_.drafts_per_second * scale, end);
  ScheduleNext(call_kind::kLookup, options_.lookups_per_second * scale, end);
  ScheduleNext(call_kind::kPayment, options_.payments_per_second * scale, end);
}

void callers::CountOpenFromNow() {
  for (call& item : calls_) {
    if (item.outcome == call_outcome::kOpen) {
      item.counted_at = time_.Now();
    }
  }
}

void callers::ScheduleNext(call_kind kind, double rate, time_point end) {
  if (rate <= 0) {
    return;
  }
  const double seconds = std::exponential_distribution<double>(rate)(random_);
  const duration wait(static_cast<std::int64_t>(seconds * kNanoseconds));
  if (time_.Now() + wait >= end) {
    return;
  }
  time_.After(wait, [this, kind, rate, end] {
    Begin(kind);
    ScheduleNext(kind, rate, end);
  });
}

std::size_t callers::PickAccount() {
  return std::discrete_distribution<std::size_t>(account_shares_.begin(),
                                                 account_shares_.end())(random_);
}

void callers::Begin(call_kind kind) {
  const std::size_t index = calls_.size();
  call& item = calls_.emplace_back();
  item.kind = kind;
  item.account = PickAccount();
  item.due = time_.Now();
  item.counted_at = item.due;
  item.deadline =
      item.due + (kind == call_kind::kDraft ? options_.draft_deadline : options_.plain_deadline);
  item.order = {.call = index};
  if (kind == call_kind::kDraft) {
    item.order.tokens = std::uniform_int_distribution<std::uint32_t>(options_.min_tokens,
                                                                     options_.max_tokens)(random_);
    item.order.prefix =
        1 + static_cast<std::uint32_t>(item.account) * options_.prefixes_per_account +
        std::uniform_int_distribution<std::uint32_t>(0, options_.prefixes_per_account - 1)(random_);
  }
  item.body = FormatOrder(item.order);
  FindAddress(index);
}

const service_options& callers::Service(const call& item) const {
  const auto& services = fleet_.Document().services;
  const bool is_draft = item.kind == call_kind::kDraft;
  return *std::find_if(services.begin(), services.end(), [is_draft](const auto& service) {
    return (service.kind == service_kind::kModel) == is_draft;
  });
}

callers::known_addresses& callers::Known(const call& item) {
  return known_[{item.account, Service(item).name}];
}

void callers::FindAddress(std::size_t index) {
  const call& item = calls_[index];
  const known_addresses& known = Known(item);
  if (known.valid_until <= time_.Now() ||
      (item.kind == call_kind::kPayment && known.grant.empty())) {
    Ask(index);
    return;
  }
  const auto usable =
      std::find_if(known.addresses.begin(), known.addresses.end(),
                   [&item](const std::string& address) { return address != item.failed_address; });
  Send(index, usable == known.addresses.end() ? known.addresses.front() : *usable);
}

caller_id callers::Open(std::size_t index, const std::string& address, bool is_query) {
  open_[++last_caller_] = {.call = index, .address = address, .is_query = is_query};
  return last_caller_;
}

void callers::Ask(std::size_t index) {
  call& item = calls_[index];
  if (time_.Now() >= item.deadline) {
    Finish(item, item.attempts == 0 ? call_outcome::kRefused : call_outcome::kUnknown);
    return;
  }
  const auto& entries = fleet_.Document().entries;
  const std::string address = entries[next_entry_++ % entries.size()].caller_address;
  const caller_id caller = Open(index, address, true);
  const address_query query{.caller = caller,
                            .service = Service(item).name,
                            .account = fleet_.Document().accounts[item.account].name};
  time_.After(fleet_.ClientLatency(), [this, address, query, caller] {
    if (fleet_.IsAlive(address)) {
      fleet_.Submit(address, query);
      return;
    }
    time_.After(fleet_.ClientLatency(), [this, caller] {
      const auto source = open_.extract(caller);
      if (!source.empty()) {
        Ask(source.mapped().call);
      }
    });
  });
}

void callers::Send(std::size_t index, const std::string& address) {
  call& item = calls_[index];
  const service_options& service = Service(item);
  ++item.attempts;
  ++item.sends;
  item.address = address;
  const caller_id caller = Open(index, address, false);
  const duration left = item.deadline - (options_.sends_remaining ? time_.Now() : item.due);
  caller_request request{.caller = caller,
                         .request = {.method = "POST", .body = item.body},
                         .account = fleet_.Document().accounts[item.account].name,
                         .deadline = std::max(left, duration(1))};
  if (item.kind == call_kind::kDraft) {
    request.model = service.model;
    request.request.target = service.operations.front().path;
    request.prefix_hash = XXH64(&item.order.prefix, sizeof(item.order.prefix), 0);
  } else {
    const bool is_payment = item.kind == call_kind::kPayment;
    const auto operation =
        std::find_if(service.operations.begin(), service.operations.end(),
                     [is_payment](const auto& each) { return each.idempotent != is_payment; });
    request.service = service.name;
    request.request.method = operation->method;
    request.request.target = operation->path;
    if (is_payment) {
      if (item.key.empty()) {
        ++item.keys;
        item.key =
            Known(item).grant + "/" + std::to_string(index) + "-" + std::to_string(item.keys);
      }
      request.idempotency_key = item.key;
      request.attempt = item.attempts;
    }
  }
  time_.After(fleet_.ClientLatency(), [this, address, request, caller] {
    if (fleet_.IsAlive(address)) {
      fleet_.Submit(address, request);
      return;
    }
    time_.After(fleet_.ClientLatency(), [this, caller] {
      const auto source = open_.extract(caller);
      if (!source.empty()) {
        OnBroken(source.mapped().call);
      }
    });
  });
}

void callers::OnOutput(const entry_output& output) {
  if (const auto* reply = std::get_if<caller_reply>(&output)) {
    const auto source = open_.extract(reply->caller);
    if (!source.empty()) {
      OnReply(source.mapped(), *reply);
    }
  } else if (const auto* part = std::get_if<caller_part>(&output)) {
    const auto source = open_.find(part->caller);
    if (source != open_.end()) {
      OnPart(calls_[source->second.call], part->bytes);
    }
  } else if (const auto* end = std::get_if<caller_end>(&output)) {
    const auto source = open_.extract(end->caller);
    if (source.empty()) {
      return;
    }
    call& item = calls_[source.mapped().call];
    std::string expected;
    for (std::uint32_t i = 0; i < item.order.tokens; ++i) {
      expected += TokenText(item.order.call, i);
    }
    const bool is_right = item.answer == expected;
    const bool is_begun_right = expected.compare(0, item.answer.size(), item.answer) == 0;
    if (end->complete) {
      Finish(item, is_right ? call_outcome::kWhole : call_outcome::kWrong);
    } else {
      Finish(item, is_begun_right ? call_outcome::kCut : call_outcome::kWrong);
    }
  }
}

void callers::OnPart(call& item, const std::string& bytes) {
  if (item.first_byte) {
    item.gaps.push_back(time_.Now() - item.last_byte);
  } else {
    item.first_byte = time_.Now();
  }
  item.last_byte = time_.Now();
  item.answer += bytes;
}

void callers::OnReply(const exchange& source, const caller_reply& reply) {
  call& item = calls_[source.call];
  if (source.is_query) {
    OnAddresses(source.call, reply);
    return;
  }
  if (HeaderOf(reply, "Berylbarrow-Outcome") != "not-run") {
    Finish(item, call_outcome::kUnknown);
    return;
  }
  ++item.refusals;
  // A refusal can mean that the address or the grant is out of date.
  Known(item).valid_until = {};
  const std::string after = HeaderOf(reply, "Retry-After");
  const duration wait = after.empty() ? kAskAgain : std::chrono::seconds(std::stoi(after));
  SendAnew(source.call, wait);
}

void callers::SendAnew(std::size_t index, duration wait) {
  call& item = calls_[index];
  if (item.refusals >= options_.max_keys || time_.Now() + wait >= item.deadline) {
    Finish(item, call_outcome::kRefused);
    return;
  }
  item.key.clear();
  item.attempts = 0;
  time_.After(wait, [this, index] { FindAddress(index); });
}

void callers::OnAddresses(std::size_t index, const caller_reply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  const bool needs_grant = calls_[index].kind == call_kind::kPayment;
  if (reply.status != 200 || !body.is_object() || (needs_grant && !body.contains("grant"))) {
    time_.After(kAskAgain, [this, index] { Ask(index); });
    return;
  }
  known_addresses& known = Known(calls_[index]);
  known = {};
  for (const auto& address : body["addresses"]) {
    known.addresses.push_back(address.value("address", ""));
  }
  known.grant = body.value("grant", "");
  known.valid_until = time_.Now() + std::chrono::milliseconds(body.value("valid_for_ms", 0) + 1);
  FindAddress(index);
}

void callers::OnLost(const std::string& address) {
  std::vector<caller_id> lost;
  for (const auto& [caller, source] : open_) {
    if (source.address == address) {
      lost.push_back(caller);
    }
  }
  for (const caller_id caller : lost) {
    const exchange source = open_.extract(caller).mapped();
    if (source.is_query) {
      Ask(source.call);
    } else {
      OnBroken(source.call);
    }
  }
}

void callers::OnBroken(std::size_t index) {
  call& item = calls_[index];
  if (item.first_byte) {
    // A draft that has begun cannot be taken back from the person who reads it.
    Finish(item, call_outcome::kCut);
    return;
  }
  item.failed_address = item.address;
  if (time_.Now() >= item.deadline) {
    Finish(item, call_outcome::kUnknown);
    return;
  }
  FindAddress(index);
}

void callers::Finish(call& item, call_outcome outcome) {
  item.outcome = outcome;
  item.ended = time_.Now();
}

}  // namespace berylbarrow::bench
