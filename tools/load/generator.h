#ifndef BERYLBARROW_TOOLS_LOAD_GENERATOR_H_
#define BERYLBARROW_TOOLS_LOAD_GENERATOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "load/caller.h"
#include "load/options.h"
#include "load/results.h"

namespace berylbarrow::tools {

/// Spreads calls over the callers. With a rate, calls fall due at fixed times whether or not
/// a caller is free, and their latency counts from then; otherwise a slow system would slow down
/// its own load.
class generator {
 public:
  generator(boost::asio::io_context& context, const load_options& options, results& results);

  /// Returns when the time is over and every call that was sent has ended.
  void Run();

  /// Reads the ledgers of the plain upstreams. Returns false if one cannot be read.
  bool ReadLedgers();

 private:
  call_kind NextKind();
  void OnTimer();
  void Begin(std::size_t index, load_clock::time_point due);
  void OnDone(std::size_t index, const finished_call& call);
  std::size_t Second() const;

  boost::asio::io_context& context_;
  const load_options& options_;
  results& results_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::vector<std::size_t> free_;
  std::deque<load_clock::time_point> waiting_;  // due times of calls without a caller yet
  load_clock::time_point start_;
  load_clock::time_point end_;
  std::uint64_t generated_ = 0;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_LOAD_GENERATOR_H_
