#ifndef BERYLBARROW_BENCHMARKS_CAPACITY_FLEET_H_
#define BERYLBARROW_BENCHMARKS_CAPACITY_FLEET_H_

#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "berylbarrow/process/agent/agent_core.h"
#include "berylbarrow/process/entry/entry_core.h"
#include "berylbarrow/version/configuration/document_parser.h"

namespace berylbarrow::bench {

struct fleet_size {
  std::uint32_t entries = 340;
  std::uint32_t upstreams = 600;
  std::uint32_t accounts = 3700;
  std::uint32_t services = 28;
};

/// The design size scaled down; services stay as many as `services`.
fleet_size Scaled(double share, std::uint32_t services);

/// A valid document of 5 failure domains in 2 regions. All services but the last are models.
std::string MakeDocument(const fleet_size& size);

/// CPU time of this thread in microseconds.
double CpuMicroseconds();

/// Least-squares line through points.
struct line {
  double slope = 0;
  double intercept = 0;
};
line Fit(const std::vector<double>& x, const std::vector<double>& y);

/// An entry core with a document in force and heartbeats and connections of `peers` agents.
struct entry_under_test {
  manual_clock clock;
  document_parser parser;
  std::unique_ptr<entry_decisions> core;
  std::vector<entry_output> outputs;
  std::uint64_t sequence = 0;
  configuration document;

  explicit entry_under_test(const std::string& text, std::uint32_t max_requests = 4096);
  void Input(const entry_input& input);
  void ConnectAll();
  /// Heartbeats of all agents of the document that the entry is connected to.
  void Beat();
  /// A draft that has been dispatched; returns its request id and connection.
  std::pair<request_id, connection_id> Draft(caller_id caller, const std::string& body);

 private:
  std::vector<std::string> connected_;
  moment At() const { return {clock.Now(), clock.WallNow()}; }
};

/// An agent core with a document in force, connected to one entry.
struct agent_under_test {
  manual_clock clock;
  document_parser parser;
  std::unique_ptr<agent_decisions> core;
  std::vector<agent_output> outputs;
  std::uint64_t sequence = 0;
  configuration document;

  /// The agent of the first upstream of the first model or the only plain service.
  agent_under_test(const std::string& text, bool is_plain);
  void Input(const agent_input& input);
  void Beat(std::uint32_t entries);
  void Dispatch(std::uint64_t id, bool idempotent, const std::string& body);
  execution_id LastStarted() const;

 private:
  std::string service_;
  moment At() const { return {clock.Now(), clock.WallNow()}; }
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_CAPACITY_FLEET_H_
