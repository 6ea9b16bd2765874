#ifndef BERYLBARROW_BENCHMARKS_SERVICE_FIGURES_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_FIGURES_H_

#include <string>
#include <vector>

#include "callers.h"
#include "common/table.h"

namespace berylbarrow::bench {

/// The calls that were due in one phase of a run.
struct phase_figures {
  std::size_t calls = 0;
  std::size_t in_time = 0;   // whole, before the deadline
  std::size_t refused = 0;   // not run, given up
  std::size_t refusals = 0;  // not run, counting those that were sent anew
  std::size_t unknown = 0;
  std::size_t cut = 0;
  std::size_t wrong = 0;
  std::size_t open = 0;  // without an end when the run ended
  double first_p50 = 0;  // seconds
  double first_p95 = 0;
  double first_p99 = 0;
  double gap_p95 = 0;      // milliseconds
  double worst_small = 1;  // least share of a small account's fair share
};

/// Value at a share between 0 and 1; 0 if there are none.
double Quantile(std::vector<double> values, double share);

phase_figures Summarise(const std::vector<call>& calls, const configuration& document,
                        time_point from, time_point until);

/// Drafts of one account among those due in the phase: whole ones with a first token in time.
struct account_figures {
  std::size_t calls = 0;
  std::size_t whole = 0;
  double first_p95 = 0;
};
account_figures SummariseAccounts(const std::vector<call>& calls, time_point from, time_point until,
                                  bool (*has)(std::size_t account, std::size_t hot),
                                  std::size_t hot);

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_FIGURES_H_
