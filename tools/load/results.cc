#include "load/results.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <numeric>
#include <ostream>

namespace berylbarrow::tools {
namespace {

constexpr std::size_t kMaxSamples = 4'000'000;
constexpr std::array<const char*, kCallKinds> kKindNames{"drafts", "lookups", "payments"};

/// Nearest-rank quantile; 0 without samples.
double Quantile(std::vector<float> samples, double probability) {
  if (samples.empty()) {
    return 0;
  }
  const auto rank = std::ceil(probability * static_cast<double>(samples.size()));
  const auto place =
      samples.begin() + (std::max<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(rank), 1) - 1);
  std::nth_element(samples.begin(), place, samples.end());
  return *place;
}

void Append(std::vector<float>& to, const std::vector<float>& from) {
  const auto count = std::min(from.size(), kMaxSamples - std::min(kMaxSamples, to.size()));
  to.insert(to.end(), from.begin(), from.begin() + static_cast<std::ptrdiff_t>(count));
}

}  // namespace

results::results() = default;

std::uint64_t results::tally::Sent() const {
  return std::accumulate(outcomes.begin(), outcomes.end(), std::uint64_t{0}) -
         Of(call_outcome::kUnsent);
}

void results::tally::Add(const finished_call& call) {
  ++outcomes.at(static_cast<std::size_t>(call.outcome));
  resent += call.attempts - 1;
  if (call.outcome == call_outcome::kWhole) {
    Append(first_byte_ms, {static_cast<float>(call.first_byte_ms)});
    Append(gaps_ms, call.gaps_ms);
  }
}

void results::Add(std::size_t second, const finished_call& call) {
  total_.Add(call);
  kinds_.at(static_cast<std::size_t>(call.kind)).Add(call);
  if (seconds_.size() <= second) {
    seconds_.resize(second + 1);
  }
  seconds_[second].Add(call);
  if (call.kind == call_kind::kPayment && call.outcome != call_outcome::kUnsent) {
    payments_[call.payment] = call.outcome;
  }
}

void results::AddLedger(const nlohmann::json& body) {
  check_.checked = true;
  for (const auto& operation : body.at("operations")) {
    ++ledger_[operation.at("body").get<std::string>()];
  }
}

void results::CheckLedgers() {
  for (const auto& [payment, outcome] : payments_) {
    const auto found = ledger_.find(payment);
    const auto runs = found == ledger_.end() ? 0 : found->second;
    check_.twice += runs > 1 ? 1 : 0;
    check_.false_refusals += outcome == call_outcome::kRefused && runs > 0 ? 1 : 0;
    check_.missing += outcome == call_outcome::kWhole && runs == 0 ? 1 : 0;
  }
}

void results::PrintRow(std::ostream& out, const std::string& name, const tally& tally) {
  out << std::left << std::setw(9) << name << std::right << std::setw(8) << tally.Sent();
  for (const auto outcome : tally.outcomes) {
    out << std::setw(11) << outcome;
  }
  out << std::setw(8) << tally.resent << std::fixed << std::setprecision(1);
  for (const double probability : {0.5, 0.95, 0.99}) {
    out << std::setw(9) << Quantile(tally.first_byte_ms, probability);
  }
  out << std::setw(9) << Quantile(tally.gaps_ms, 0.95) << '\n';
}

void results::PrintTable(std::ostream& out) const {
  out << "times in ms; first byte of the answer: p50, p95, p99; gap between tokens: p95\n"
      << std::left << std::setw(9) << "calls" << std::right << std::setw(8) << "sent";
  for (const char* name : {"whole", "not-run", "unknown", "incomplete", "wrong", "unsent"}) {
    out << std::setw(11) << name;
  }
  out << std::setw(8) << "resent";
  for (const char* name : {"p50", "p95", "p99", "gap95"}) {
    out << std::setw(9) << name;
  }
  out << '\n';
  for (std::size_t i = 0; i < kCallKinds; ++i) {
    PrintRow(out, kKindNames.at(i), kinds_.at(i));
  }
  PrintRow(out, "all", total_);
  if (check_.checked) {
    out << "ledger: " << check_.twice << " payments ran twice, " << check_.false_refusals
        << " refused as not run but ran, " << check_.missing << " answered but not recorded\n";
  }
}

void results::PrintCsv(std::ostream& out) const {
  out << "second,sent,whole,not_run,unknown,incomplete,wrong,unsent,resent,first_byte_p50_ms,"
         "first_byte_p95_ms,gap_p95_ms\n";
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    const auto& tally = seconds_[i];
    out << i << ',' << tally.Sent();
    for (const auto outcome : tally.outcomes) {
      out << ',' << outcome;
    }
    out << ',' << tally.resent << ',' << Quantile(tally.first_byte_ms, 0.5) << ','
        << Quantile(tally.first_byte_ms, 0.95) << ',' << Quantile(tally.gaps_ms, 0.95) << '\n';
  }
}

bool results::Passed() const {
  return total_.Of(call_outcome::kWrong) == 0 && total_.Of(call_outcome::kIncomplete) == 0 &&
         check_.twice == 0 && check_.false_refusals == 0;
}

}  // namespace berylbarrow::tools
