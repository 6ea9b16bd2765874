#include "support/share_table.h"

#include <iomanip>
#include <numeric>
#include <ostream>

namespace berylbarrow {
namespace {

constexpr int kNameWidth = 34;
constexpr int kNumberWidth = 10;
constexpr double kPercent = 100.0;

void PrintShare(std::ostream& out, std::uint64_t part, std::uint64_t total) {
  const double share =
      total == 0 ? 0.0 : static_cast<double>(part) * kPercent / static_cast<double>(total);
  out << std::setw(kNumberWidth) << std::fixed << std::setprecision(2) << share;
}

}  // namespace

void share_table::Add(const std::string& row, const history& log) {
  row_counts& counts = rows_[row];
  ++counts.schedules;
  std::map<std::uint64_t, request_end> payments;
  for (const request_record& item : log.requests) {
    ++counts.requests.at(static_cast<std::size_t>(item.end));
    if (item.kind != work_kind::kPayment) {
      continue;
    }
    // The end of the last try counts: a new key is used only after "not run".
    payments[item.operation] = item.end;
  }
  for (const auto& [operation, end] : payments) {
    counts.payments.paid += end == request_end::kWhole ? 1 : 0;
    counts.payments.not_run += end == request_end::kNotRun ? 1 : 0;
    counts.payments.unknown += end != request_end::kWhole && end != request_end::kNotRun ? 1 : 0;
  }
}

void share_table::Print(std::ostream& out) const {
  out << std::left << std::setw(kNameWidth) << "requests, % of all" << std::right;
  for (const char* head : {"schedules", "requests"}) {
    out << std::setw(kNumberWidth) << head;
  }
  for (std::size_t end = 0; end < kRequestEnds; ++end) {
    out << std::setw(kNumberWidth) << EndName(static_cast<request_end>(end));
  }
  out << '\n';
  for (const auto& [name, row] : rows_) {
    const std::uint64_t total =
        std::accumulate(row.requests.begin(), row.requests.end(), std::uint64_t{0});
    out << std::left << std::setw(kNameWidth) << name << std::right << std::setw(kNumberWidth)
        << row.schedules << std::setw(kNumberWidth) << total;
    for (const std::uint64_t count : row.requests) {
      PrintShare(out, count, total);
    }
    out << '\n';
  }
  out << std::left << std::setw(kNameWidth) << "payments with repetitions, % of all" << std::right;
  for (const char* head : {"payments", "paid", "not run", "unknown"}) {
    out << std::setw(kNumberWidth) << head;
  }
  out << '\n';
  for (const auto& [name, row] : rows_) {
    const std::uint64_t total = row.payments.paid + row.payments.not_run + row.payments.unknown;
    out << std::left << std::setw(kNameWidth) << name << std::right << std::setw(kNumberWidth)
        << total;
    PrintShare(out, row.payments.paid, total);
    PrintShare(out, row.payments.not_run, total);
    PrintShare(out, row.payments.unknown, total);
    out << '\n';
  }
}

}  // namespace berylbarrow
