#ifndef BERYLBARROW_BENCHMARKS_SERVICE_RUNS_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_RUNS_H_

#include <future>
#include <string>
#include <vector>

#include "scenarios.h"

namespace berylbarrow::bench {

/// For the first heartbeats and connections, before calls arrive.
inline constexpr duration kStartTime = std::chrono::seconds(2);
/// One run after the other: the cores share the state of the log library.
inline constexpr std::launch kRunMode = std::launch::deferred;

/// A deployment of the examples and the failure domain that leaves it.
struct deployment_case {
  std::string name;
  std::string domain;
  std::string document;
  std::string document_without;
  duration client_latency;
};

/// Solano and Zebra; Solano only in a smoke run. Throws std::runtime_error if a document cannot be
/// read.
std::vector<deployment_case> Cases(const run_options& options);

/// Calls at half the rate until shortly before `end`, so that the agents' limits rise without a
/// queue, then at the full rate.
void WarmUp(schedule& time, callers& source, time_point end);

/// Prints the table and writes it to NAME.csv in the CSV folder.
void Publish(const table& rows, const run_options& options, const std::string& name);

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_RUNS_H_
