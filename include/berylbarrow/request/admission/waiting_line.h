#ifndef BERYLBARROW_REQUEST_ADMISSION_WAITING_LINE_H_
#define BERYLBARROW_REQUEST_ADMISSION_WAITING_LINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

using waiting_id = std::uint64_t;

struct waiting_request {
  waiting_id id = 0;
  std::string account;
  std::uint32_t priority = 5;  // 0 is the most urgent
  time_point arrival;
  time_point on_time_until;  // sent later, it misses its latency objective
  time_point hopeless_from;  // sent later, it cannot end before its deadline
};

/// Requests of one service that wait in an entry for a place at an upstream. More urgent ones go
/// first; among equals those that can still be on time go before those that are late already, and
/// accounts take turns.
class waiting_line {
 public:
  explicit waiting_line(std::size_t capacity) : capacity_(capacity) {}

  /// Returns false if the line is full.
  bool Push(const waiting_request& request);
  /// The request to be sent next, without those that have to wait for something else. It stays in
  /// the line.
  std::optional<waiting_id> Next(time_point now,
                                 const std::set<waiting_id>& passed_over = {}) const;
  /// The request got a place: its account goes behind the others.
  void OnServed(waiting_id id);
  void Remove(waiting_id id);
  /// Takes out the requests that have become hopeless.
  std::vector<waiting_id> TakeHopeless(time_point now);

  std::size_t Size() const { return requests_.size(); }

 private:
  std::size_t capacity_;
  std::map<waiting_id, waiting_request> requests_;
  std::map<std::string, std::uint64_t> last_turn_;  // of accounts
  std::uint64_t turn_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_REQUEST_ADMISSION_WAITING_LINE_H_
