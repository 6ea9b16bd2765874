#include "load/caller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/expected_answer.h"

namespace berylbarrow::tools {
namespace {

constexpr auto kAskTimeout = std::chrono::seconds(2);
constexpr auto kAskAgainTime = std::chrono::milliseconds(100);
// The system answers within the deadline; a caller waits a little longer before it gives up.
constexpr auto kGrace = std::chrono::seconds(2);

}  // namespace

caller::caller(boost::asio::io_context& context, const load_options& options, std::uint32_t index)
    : context_(context),
      options_(options),
      name_(Hex(options.seed).substr(4) + "-" + std::to_string(index)),
      account_(options.accounts.empty() ? "" : options.accounts[index % options.accounts.size()]),
      random_(options.seed + index),
      link_(context),
      ask_link_(context),
      ask_timer_(context),
      next_entry_(index) {}

const std::string& caller::Service() const {
  return kind_ == call_kind::kDraft ? options_.draft_service : options_.plain_service;
}

void caller::Call(call_kind kind, load_clock::time_point due,
                  std::function<void(finished_call)> done) {
  kind_ = kind;
  due_ = due;
  give_up_ = load_clock::now() + std::chrono::milliseconds(options_.deadline_ms) + kGrace;
  done_ = std::move(done);
  key_.clear();
  failed_address_.clear();
  attempts_ = 0;
  refusals_ = 0;
  result_ = {.kind = kind, .gaps_ms = {}, .payment = {}};
  ++calls_;
  if (kind == call_kind::kDraft) {
    PrepareDraft();
  } else {
    PreparePlain();
  }
  if (options_.Direct()) {
    Send(kind == call_kind::kDraft ? options_.direct_model : options_.direct_plain);
    return;
  }
  FindAddress();
}

void caller::PrepareDraft() {
  std::string prompt = "customer file " + std::to_string(random_() % options_.prompts) + " ";
  prompt.resize(std::max<std::size_t>(options_.prompt_bytes, prompt.size()), '.');
  prompt += name_ + "-" + std::to_string(calls_);
  const nlohmann::json body = {{"model", options_.model},
                               {"prompt", prompt},
                               {"max_tokens", options_.max_tokens},
                               {"stream", true}};
  request_ = {.method = "POST", .target = "/v1/completions", .headers = {}, .body = body.dump()};
  expected_ = ExpectedCompletion(request_.body);
}

void caller::PreparePlain() {
  const bool payment = kind_ == call_kind::kPayment;
  const auto path = payment ? options_.payment_path
                            : options_.lookup_path + "?id=" + std::to_string(random_() % 1000);
  request_ = {.method = payment ? "POST" : "GET", .target = path, .headers = {}, .body = {}};
  if (payment) {
    request_.body =
        nlohmann::json{{"payment", name_ + "-" + std::to_string(calls_)}, {"amount", 1500}}.dump();
    result_.payment = request_.body;
  }
  expected_ = ExpectedPlainAnswer(request_.method, path, request_.body);
  if (!options_.Direct()) {
    request_.target = "/services/" + options_.plain_service + path;
  }
}

void caller::FindAddress() {
  const auto& known = services_[Service()];
  if (known.valid_until <= load_clock::now()) {
    Ask();
    return;
  }
  const auto usable =
      std::find_if(known.addresses.begin(), known.addresses.end(),
                   [this](const std::string& address) { return address != failed_address_; });
  Send(usable == known.addresses.end() ? known.addresses.front() : *usable);
}

void caller::Ask() {
  if (Remaining() <= load_clock::duration::zero()) {
    const bool unsent = attempts_ == 0;
    Finish(unsent                         ? call_outcome::kUnsent
           : kind_ == call_kind::kPayment ? call_outcome::kUnknown
                                          : call_outcome::kIncomplete);
    return;
  }
  const auto& entry = options_.entries[next_entry_++ % options_.entries.size()];
  ask_link_.Send(entry,
                 {.method = "GET",
                  .target = "/v1/address?service=" + Service() + "&account=" + account_,
                  .headers = {{"Connection", "close"}},
                  .body = {}},
                 kAskTimeout, [this](const link_answer& answer) { OnAddress(answer); });
}

void caller::OnAddress(const link_answer& answer) {
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  known_service known;
  if (answer.complete && answer.status == 200 && body.is_object()) {
    for (const auto& address : body.value("addresses", nlohmann::json::array())) {
      known.addresses.push_back(address.is_object() ? address.value("address", "")
                                                    : address.get<std::string>());
    }
    if (const auto grant = body.find("grant"); grant != body.end() && grant->is_string()) {
      known.grant = grant->get<std::string>();
    }
  }
  if (known.addresses.empty()) {
    ask_timer_.expires_after(kAskAgainTime);
    ask_timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) {
        Ask();
      }
    });
    return;
  }
  known.valid_until =
      load_clock::now() + std::chrono::milliseconds(body.value("valid_for_ms", 0) + 1);
  services_[Service()] = std::move(known);
  FindAddress();
}

void caller::Send(const std::string& address) {
  ++attempts_;
  sent_to_ = address;
  // The deadline covers the whole call; later attempts have what is left of it.
  const auto left = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(Remaining() - kGrace).count());
  request_.headers = {{"Berylbarrow-Deadline-Ms", std::to_string(left)}};
  if (!account_.empty()) {
    request_.headers.emplace_back("Berylbarrow-Account", account_);
  }
  if (!request_.body.empty()) {
    request_.headers.emplace_back("Content-Type", "application/json");
  }
  if (kind_ == call_kind::kPayment && !options_.Direct()) {
    if (key_.empty()) {
      key_ = services_[Service()].grant + "/" + name_ + "-" + std::to_string(calls_) + "-" +
             std::to_string(refusals_);
    }
    request_.headers.emplace_back("Idempotency-Key", key_);
    request_.headers.emplace_back("Berylbarrow-Attempt", std::to_string(attempts_));
  }
  link_.Send(address, request_, std::max(Remaining(), load_clock::duration(kGrace)),
             [this](const link_answer& answer) { OnAnswer(answer); });
}

void caller::OnAnswer(const link_answer& answer) {
  if (!answer.complete) {
    // A draft that has begun cannot be taken back from the person who reads it.
    const bool begun = answer.status == 200 && kind_ != call_kind::kPayment;
    if (!begun) {
      Resend();
    } else if (expected_.compare(0, answer.body.size(), answer.body) == 0) {
      Finish(call_outcome::kIncomplete);
    } else {
      Finish(call_outcome::kWrong);
    }
    return;
  }
  if (answer.status == 200) {
    result_.first_byte_ms =
        std::chrono::duration<double, std::milli>(answer.first_byte - due_).count();
    if (kind_ == call_kind::kDraft) {
      result_.gaps_ms = answer.gaps_ms;
    }
    Finish(answer.body == expected_ ? call_outcome::kWhole : call_outcome::kWrong);
    return;
  }
  // A refusal can mean that the address or the grant is out of date.
  services_.erase(Service());
  if (answer.outcome == "not-run") {
    StartAnew();
  } else if (answer.outcome == "unknown" || answer.status == 502 || answer.status == 504) {
    Finish(call_outcome::kUnknown);
  } else {
    Finish(call_outcome::kWrong);
  }
}

/// A call that was refused as not run is made again, a payment with a new key.
void caller::StartAnew() {
  constexpr auto kPause = std::chrono::milliseconds(100);
  if (options_.Direct() || ++refusals_ >= options_.max_attempts || Remaining() <= kPause) {
    Finish(call_outcome::kRefused);
    return;
  }
  key_.clear();
  attempts_ = 0;
  ask_timer_.expires_after(kPause * refusals_);
  ask_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      FindAddress();
    }
  });
}

void caller::Resend() {
  failed_address_ = sent_to_;
  if (options_.Direct() || attempts_ >= options_.max_attempts ||
      Remaining() <= load_clock::duration::zero()) {
    Finish(kind_ == call_kind::kPayment ? call_outcome::kUnknown : call_outcome::kIncomplete);
    return;
  }
  auto& known = services_[Service()];
  // Later calls try the failed address last.
  std::stable_partition(known.addresses.begin(), known.addresses.end(),
                        [this](const std::string& address) { return address != failed_address_; });
  // Without another address an entry is asked again.
  if (std::all_of(known.addresses.begin(), known.addresses.end(),
                  [this](const std::string& address) { return address == failed_address_; })) {
    known.valid_until = {};
  }
  FindAddress();
}

void caller::Finish(call_outcome outcome) {
  result_.outcome = outcome;
  result_.attempts = std::max(attempts_, 1U);
  std::exchange(done_, nullptr)(std::move(result_));
}

}  // namespace berylbarrow::tools
