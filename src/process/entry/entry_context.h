#ifndef BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_CONTEXT_H_
#define BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_CONTEXT_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "berylbarrow/process/entry/entry_core.h"
#include "berylbarrow/process/membership/fleet_view.h"
#include "berylbarrow/process/telemetry/metrics.h"
#include "process/entry/directory.h"
#include "process/entry/entry_counters.h"
#include "process/entry/served_services.h"

namespace berylbarrow {

/// What the parts of an entry core share.
struct entry_context {
  entry_context(const entry_core_options& given, const configuration_parser& parser)
      : options(given),
        fleet(fleet_options{.self = given.identity, .members = given.members}, parser),
        random(given.seed) {}

  entry_core_options options;
  fleet_view fleet;
  directory index;
  served_services services;  // that this entry serves
  std::mt19937_64 random;
  process_state state = process_state::kStarting;
  bool is_finished = false;  // the process may exit
  entry_counters counters;
  metrics latencies;  // of requests, by service, failure domain of the upstream and outcome

  // Of the input being handled.
  moment at;
  std::vector<entry_output>* outputs = nullptr;

  time_point Now() const { return at.now; }
  template <typename Output>
  void Emit(Output&& output) {
    outputs->push_back(std::forward<Output>(output));
  }

  /// After a pause every peer looks silent until its messages have been read.
  time_point awake_since = time_point::min();
  time_point last_input = time_point::min();

  liveness Liveness(const std::string& name) const {
    const liveness seen = fleet.Members().Liveness(name, Now());
    const bool is_awake =
        awake_since == time_point::min() || Now() - awake_since >= options.members.dead_after;
    return seen == liveness::kDead && !is_awake ? liveness::kSuspect : seen;
  }

  bool IsViewCurrent() const { return fleet.View(Now()) == view_state::kCurrent; }
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_SRC_PROCESS_ENTRY_ENTRY_CONTEXT_H_
