#ifndef BERYLBARROW_BENCHMARKS_SERVICE_ENGINE_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "schedule.h"

namespace berylbarrow::bench {

/// What a request asks of an upstream; it travels as the body.
struct work_order {
  std::uint64_t call = 0;
  std::uint32_t tokens = 1;
  std::uint32_t prefix = 0;
};
std::string FormatOrder(const work_order& order);
work_order ParseOrder(const std::string& body);

inline constexpr std::size_t kTokenBytes = 8;
/// The bytes of one token of an answer; they differ by call and by place.
std::string TokenText(std::uint64_t call, std::uint32_t index);

struct engine_options {
  bool is_model = true;
  duration base_gap = std::chrono::milliseconds(20);           // between tokens of a lone request
  duration gap_per_running = std::chrono::microseconds(1500);  // added by each running request
  duration prefill = std::chrono::milliseconds(240);
  duration cached_prefill = std::chrono::milliseconds(60);
  duration plain_time = std::chrono::milliseconds(30);
  std::int64_t cold_factor = 4;
  std::uint32_t warm_after = 24;    // completions
  std::uint32_t cold_limit = 4;     // running requests that a cold upstream bears at its start
  std::uint32_t cold_per_step = 3;  // completions that raise this limit by one
  std::size_t cached_prefixes = 24;
  duration restart_time = std::chrono::seconds(5);  // after a crash
  duration report_lag = std::chrono::milliseconds(200);
};

struct engine_counts {
  std::uint64_t lookups = 0;  // of the prefix cache
  std::uint64_t hits = 0;
  std::uint64_t crashes = 0;
};

/// A model engine with continuous batching, or a plain service, in virtual time.
class engine {
 public:
  engine(schedule& time, const engine_options& options,
         std::function<void(const agent_input&)> sink)
      : time_(time), options_(options), sink_(std::move(sink)), started_(time.Now()) {}

  void Start(const upstream_start& start);
  void Cancel(execution_id execution);
  /// Ends everything that runs and starts again, cold.
  void Restart();
  void StartWarm() { completions_ = options_.warm_after; }
  /// Delivers the load of `report_lag` ago.
  void Report();
  /// A plain service counts as warm.
  bool IsWarm() const { return !IsCold() || !options_.is_model; }
  std::size_t Running() const { return runs_.size(); }
  const engine_counts& Counts() const { return counts_; }

 private:
  struct run {
    work_order order;
    std::uint32_t next = 0;  // token
    bool has_head = false;
  };
  bool IsCold() const { return completions_ < options_.warm_after; }
  duration Scaled(duration value) const { return IsCold() ? value * options_.cold_factor : value; }
  duration Gap() const {
    return Scaled(options_.base_gap +
                  options_.gap_per_running * static_cast<std::int64_t>(runs_.size()));
  }
  bool Lookup(std::uint32_t prefix);
  void Step(execution_id execution, std::uint64_t life);
  void Crash();

  schedule& time_;
  engine_options options_;
  std::function<void(const agent_input&)> sink_;
  std::map<execution_id, run> runs_;
  std::list<std::uint32_t> cache_;  // prefixes, last used first
  std::deque<upstream_report> reports_;
  engine_counts counts_;
  std::uint32_t completions_ = 0;
  std::uint64_t life_ = 1;
  bool is_down_ = false;
  time_point started_;
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_ENGINE_H_
