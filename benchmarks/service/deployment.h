#ifndef BERYLBARROW_BENCHMARKS_SERVICE_DEPLOYMENT_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "berylbarrow/process/agent/agent_core.h"
#include "berylbarrow/process/entry/entry_core.h"
#include "berylbarrow/version/configuration/document_parser.h"
#include "engine.h"

namespace berylbarrow::bench {

/// What differs between the system and a baseline.
struct variant {
  std::string name;
  std::function<std::unique_ptr<routing_policy>()> policy;  // empty: the default
  bool has_cold_limit = true;
  bool has_retry_budget = true;
  bool is_fair = true;          // false: the agents see one account for all
  bool sends_remaining = true;  // false: a dispatch carries the caller's deadline unchanged
};

struct deployment_options {
  variant kind;
  std::string document;
  duration client_latency = std::chrono::milliseconds(3);
  std::uint64_t seed = 1;
};

struct fleet_counts {
  std::uint64_t dispatches = 0;
  std::uint64_t starts = 0;
};

/// The entry and agent cores of one document in one process, with a network of constant latency, a
/// configuration service and a model of the engines.
class deployment {
 public:
  using caller_sink = std::function<void(const entry_output&)>;
  using start_observer = std::function<void(const std::string& domain, const work_order& order)>;

  deployment(schedule& time, const deployment_options& options);

  void OnCallerOutput(caller_sink sink) { to_callers_ = std::move(sink); }
  void OnStart(start_observer observer) { on_start_ = std::move(observer); }
  /// Called with the caller address of an entry whose process has ended.
  void OnEntryLost(std::function<void(const std::string&)> observer) {
    on_entry_lost_ = std::move(observer);
  }

  void StartAll();
  void Publish(const std::string& text);
  void Kill(const std::string& domain);
  void Replace(const std::string& domain);
  void RestartEngines(const std::string& domain);
  std::size_t Running(const std::string& domain) const;
  /// Whether no model engine of the domain is in cold start.
  bool IsWarm(const std::string& domain) const;
  engine_counts EngineCounts() const;
  const fleet_counts& Counts() const { return counts_; }
  const configuration& Document() const { return document_; }
  duration ClientLatency() const { return options_.client_latency; }

  bool IsAlive(const std::string& caller_address) const;
  /// Delivers an input of a caller to the entry, which must be alive.
  void Submit(const std::string& caller_address, const entry_input& input);

 private:
  struct node {
    std::string name, address, domain, caller_address, service;
    bool is_entry = false;
    bool is_alive = false;
    std::uint64_t run = 0;
    revision in_force = 0;
    watch_mode mode = watch_mode::kPoll;
    process_identity identity;
    std::unique_ptr<entry_decisions> entry;
    std::unique_ptr<agent_decisions> agent;
    std::unique_ptr<engine> upstream;
    std::map<std::string, std::string> wanted;  // peers by name
    time_point wake = time_point::max();
  };
  struct link {
    node* client = nullptr;
    node* server = nullptr;
    std::string peer;  // as the client named it
  };

  void AddNodes();
  void Launch(node& target);
  void End(node& target);
  duration Latency(const node& a, const node& b) const;
  /// Runs `action` later if the process still runs then.
  void Later(node& target, duration delay, std::function<void()> action);
  template <typename Event>
  void Deliver(node& target, const Event& event);
  template <typename Core>
  void Settle(node& target, Core& core, const std::vector<typename Core::output_type>& outputs);
  void Advance(node& target);
  void SendDocument(node& target, std::uint64_t nonce);
  void Poll(node& target);
  void ReportLoad(node& target);
  void TryConnect(node& client, const std::string& name);
  void Close(connection_id connection, const node* ended);

  void Do(node& source, const peer_connect& output);
  void Do(node& source, const peer_disconnect& output);
  void Do(node& source, const peer_send& output);
  void Do(node& source, const heartbeat_send& output);
  void Do(node& source, const configuration_watch& output);
  void Do(node& source, const upstream_start& output);
  void Do(node& source, const upstream_cancel& output);
  // No upstream of the measured services is in a group of ranks.
  void Do(node& /*source*/, const engine_order& /*output*/) {}
  void Do(node& /*source*/, const engine_watch& /*output*/) {}
  void Do(node& source, const entry_output& output);

  schedule& time_;
  deployment_options options_;
  document_parser parser_;
  configuration document_;
  std::string text_;
  revision number_ = 1;
  std::map<std::string, node> nodes_;       // by peer address
  std::map<std::string, node*> by_caller_;  // by caller address
  std::map<connection_id, link> links_;
  connection_id last_connection_ = 0;
  std::uint64_t launches_ = 0;
  fleet_counts counts_;
  caller_sink to_callers_;
  start_observer on_start_;
  std::function<void(const std::string&)> on_entry_lost_;
  std::map<std::uint64_t, duration> deadlines_;  // given by the caller, by call
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_DEPLOYMENT_H_
