#ifndef BERYLBARROW_BENCHMARKS_SERVICE_SCENARIOS_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_SCENARIOS_H_

#include <string>
#include <vector>

#include "figures.h"

namespace berylbarrow::bench {

struct run_options {
  std::string examples;  // folder of the documents
  std::string csv;       // folder; empty: none is written
  std::uint64_t seed = 1;
  bool is_smoke = false;  // short phases, one deployment
};

/// Service while a failure domain leaves and returns.
void MeasureMove(const run_options& options);
/// Attempts per request under overload, with the retry budget and without.
void MeasureRetries(const run_options& options);
void MeasureAffinity(const run_options& options);
/// One account at ten times its share, with fair queueing and without.
void MeasureFairness(const run_options& options);
/// Work started after its deadline when the deadline is sent in two ways.
void MeasureDeadline(const run_options& options);

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_SCENARIOS_H_
