#include "figures.h"

#include <algorithm>

namespace berylbarrow::bench {
namespace {

constexpr double kMilliseconds = 1e3;

double Seconds(duration value) { return std::chrono::duration<double>(value).count(); }

bool IsWhole(const call& item) {
  return item.outcome == call_outcome::kWhole && item.ended <= item.deadline;
}

/// Max-min fair shares by weight of `capacity`, none above its demand.
std::vector<double> FairShares(const std::vector<double>& demand,
                               const std::vector<account_options>& accounts, double capacity) {
  std::vector<double> shares(demand.size(), 0);
  std::vector<bool> is_met(demand.size(), false);
  for (std::size_t round = 0; round < demand.size(); ++round) {
    double weights = 0;
    double left = capacity;
    for (std::size_t i = 0; i < demand.size(); ++i) {
      (is_met[i] ? left -= shares[i] : weights += accounts[i].weight);
    }
    bool has_changed = false;
    for (std::size_t i = 0; i < demand.size(); ++i) {
      if (is_met[i]) {
        continue;
      }
      const double share = left * accounts[i].weight / weights;
      shares[i] = std::min(share, demand[i]);
      is_met[i] = demand[i] <= share;
      has_changed = has_changed || is_met[i];
    }
    if (!has_changed) {
      break;
    }
  }
  return shares;
}

/// The least share of its fair share that an account of weight 1 was served.
double WorstSmall(const std::vector<double>& demand, const std::vector<double>& served,
                  const std::vector<account_options>& accounts) {
  double total = 0;
  for (const double count : served) {
    total += count;
  }
  const auto fair = FairShares(demand, accounts, total);
  double worst = 1;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (accounts[i].weight == 1 && fair[i] > 0) {
      worst = std::min(worst, served[i] / fair[i]);
    }
  }
  return worst;
}

void Count(const call& item, phase_figures& figures) {
  ++figures.calls;
  figures.in_time += IsWhole(item) ? 1 : 0;
  figures.refused += item.outcome == call_outcome::kRefused ? 1 : 0;
  figures.refusals += item.refusals;
  figures.unknown += item.outcome == call_outcome::kUnknown ? 1 : 0;
  figures.cut += item.outcome == call_outcome::kCut ? 1 : 0;
  figures.wrong += item.outcome == call_outcome::kWrong ? 1 : 0;
  figures.open += item.outcome == call_outcome::kOpen ? 1 : 0;
}

}  // namespace

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + place, values.end());
  return values[static_cast<std::size_t>(place)];
}

phase_figures Summarise(const std::vector<call>& calls, const configuration& document,
                        time_point from, time_point until) {
  phase_figures figures;
  std::vector<double> first;
  std::vector<double> gaps;
  std::vector<double> demand(document.accounts.size(), 0);
  std::vector<double> served(document.accounts.size(), 0);
  for (const call& item : calls) {
    if (item.counted_at < from || item.counted_at >= until) {
      continue;
    }
    Count(item, figures);
    demand[item.account] += 1;
    served[item.account] += IsWhole(item) ? 1 : 0;
    if (item.kind == call_kind::kDraft && item.first_byte) {
      first.push_back(Seconds(*item.first_byte - item.due));
      for (const duration gap : item.gaps) {
        gaps.push_back(Seconds(gap) * kMilliseconds);
      }
    }
  }
  figures.first_p50 = Quantile(first, 0.50);
  figures.first_p95 = Quantile(first, 0.95);
  figures.first_p99 = Quantile(first, 0.99);
  figures.gap_p95 = Quantile(gaps, 0.95);
  figures.worst_small = WorstSmall(demand, served, document.accounts);
  return figures;
}

account_figures SummariseAccounts(const std::vector<call>& calls, time_point from, time_point until,
                                  bool (*has)(std::size_t account, std::size_t hot),
                                  std::size_t hot) {
  account_figures figures;
  std::vector<double> first;
  for (const call& item : calls) {
    if (item.counted_at < from || item.counted_at >= until || item.kind != call_kind::kDraft ||
        !has(item.account, hot)) {
      continue;
    }
    ++figures.calls;
    figures.whole += IsWhole(item) ? 1 : 0;
    if (item.first_byte) {
      first.push_back(Seconds(*item.first_byte - item.due));
    }
  }
  figures.first_p95 = Quantile(first, 0.95);
  return figures;
}

}  // namespace berylbarrow::bench
