#ifndef BERYLBARROW_TOOLS_UPSTREAM_ENGINE_H_
#define BERYLBARROW_TOOLS_UPSTREAM_ENGINE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/stub_server.h"

namespace berylbarrow::tools {

struct engine_options {
  std::string listen;
  bool model = true;
  std::string instance;
  double first_token_ms = 50;
  double token_ms = 10;
  double service_ms = 5;    // plain services
  double cold_seconds = 0;  // slow and easily overloaded after the start and POST /fault/cold
  std::uint32_t cold_limit = 2;
  std::uint32_t max_running = 64;
  std::uint32_t cache_entries = 64;
  std::uint32_t load_lag_ms = 200;
  std::string ledger_file;  // each executed operation is also appended here as a JSON line
};

/// Stand-in for a model engine or a plain service.
class engine {
 public:
  engine(boost::asio::io_context& context, engine_options options);

 private:
  using clock = std::chrono::steady_clock;
  using connection_ptr = std::shared_ptr<stub_connection>;

  /// One request that runs or waits.
  struct job {
    connection_ptr connection;
    boost::asio::steady_timer timer;
    std::vector<std::string> pieces;
    std::size_t next = 0;
    std::uint64_t skip = 0;  // bytes of the answer the other side already has
    std::uint32_t priority = 0;
    bool first_known = false;  // the prefix of the prompt is cached
    bool running = false;
    bool headed = false;
  };
  using job_ptr = std::shared_ptr<job>;

  void OnRequest(const connection_ptr& connection);
  void OnFault(const connection_ptr& connection);
  void Begin(const connection_ptr& connection);
  void StartWaiting();
  void Run(const job_ptr& job);
  void Record(const job& job);
  void Wait(const job_ptr& job, double milliseconds);
  void Step(const job_ptr& job);
  void Remove(const job_ptr& job);
  bool Cold() const { return clock::now() < cold_until_; }
  bool KnownPrefix(const std::string& prompt);
  void SampleLoad();
  nlohmann::json Load() const;

  boost::asio::io_context& context_;
  engine_options options_;
  clock::time_point start_ = clock::now();
  clock::time_point cold_until_;
  clock::time_point stalled_until_;
  std::list<job_ptr> waiting_;
  std::uint32_t running_ = 0;
  std::list<std::uint64_t> cache_;  // prefix hashes, most recently used first
  std::vector<nlohmann::json> ledger_;
  std::uint64_t lookups_ = 0;
  std::ofstream ledger_file_;
  boost::asio::steady_timer load_timer_;
  std::uint32_t reported_running_ = 0;
  std::uint32_t reported_waiting_ = 0;
  stub_server server_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_UPSTREAM_ENGINE_H_
