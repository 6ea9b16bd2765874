#include "load/generator.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

namespace berylbarrow::tools {
namespace {

constexpr auto kLedgerTimeout = std::chrono::seconds(10);

load_clock::duration Seconds(double value) {
  return std::chrono::duration_cast<load_clock::duration>(std::chrono::duration<double>(value));
}

}  // namespace

generator::generator(boost::asio::io_context& context, const load_options& options,
                     results& results)
    : context_(context),
      options_(options),
      results_(results),
      timer_(context),
      random_(options.seed) {
  for (std::uint32_t i = 0; i < options.connections; ++i) {
    callers_.push_back(std::make_unique<caller>(context, options, i));
    free_.push_back(i);
  }
}

call_kind generator::NextKind() {
  const auto sum = std::accumulate(options_.mix.begin(), options_.mix.end(), 0U);
  auto pick = static_cast<std::uint32_t>(random_() % sum);
  std::size_t kind = 0;
  while (pick >= options_.mix.at(kind)) {
    pick -= options_.mix.at(kind++);
  }
  return static_cast<call_kind>(kind);
}

void generator::Run() {
  start_ = load_clock::now();
  end_ = start_ + Seconds(options_.seconds);
  if (options_.rate > 0) {
    OnTimer();
  } else {
    while (!free_.empty()) {
      const auto index = free_.back();
      free_.pop_back();
      Begin(index, start_);
    }
  }
  context_.restart();
  context_.run();
  for (; !waiting_.empty(); waiting_.pop_front()) {
    results_.Add(
        Second(),
        {.kind = NextKind(), .outcome = call_outcome::kUnsent, .gaps_ms = {}, .payment = {}});
  }
}

void generator::OnTimer() {
  const auto now = load_clock::now();
  auto due = start_ + Seconds(static_cast<double>(generated_) / options_.rate);
  while (due <= now && due < end_) {
    waiting_.push_back(due);
    due = start_ + Seconds(static_cast<double>(++generated_) / options_.rate);
  }
  while (!waiting_.empty() && !free_.empty()) {
    const auto index = free_.back();
    free_.pop_back();
    const auto begun = waiting_.front();
    waiting_.pop_front();
    Begin(index, begun);
  }
  if (due < end_) {
    timer_.expires_at(due);
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) {
        OnTimer();
      }
    });
  }
}

void generator::Begin(std::size_t index, load_clock::time_point due) {
  callers_[index]->Call(NextKind(), due,
                        [this, index](const finished_call& call) { OnDone(index, call); });
}

void generator::OnDone(std::size_t index, const finished_call& call) {
  results_.Add(Second(), call);
  const auto now = load_clock::now();
  if (now < end_ && options_.rate <= 0) {
    Begin(index, now);
  } else if (now < end_ && !waiting_.empty()) {
    const auto due = waiting_.front();
    waiting_.pop_front();
    Begin(index, due);
  } else {
    free_.push_back(index);
  }
}

std::size_t generator::Second() const {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(load_clock::now() - start_).count());
}

bool generator::ReadLedgers() {
  bool read = true;
  link link(context_);
  for (const auto& address : options_.ledgers) {
    link.Send(address, {.method = "GET", .target = "/ledger", .headers = {}, .body = {}},
              kLedgerTimeout, [this, &read](const link_answer& answer) {
                const auto body = nlohmann::json::parse(answer.body, nullptr, false);
                if (answer.complete && body.is_object()) {
                  results_.AddLedger(body);
                } else {
                  read = false;
                }
                context_.stop();
              });
    context_.restart();
    context_.run();
  }
  results_.CheckLedgers();
  return read;
}

}  // namespace berylbarrow::tools
