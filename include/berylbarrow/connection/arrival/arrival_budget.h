#ifndef BERYLBARROW_CONNECTION_ARRIVAL_ARRIVAL_BUDGET_H_
#define BERYLBARROW_CONNECTION_ARRIVAL_ARRIVAL_BUDGET_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// What a connection of a caller holds memory for.
enum class holder_phase : std::uint8_t {
  kIdle,      // no request has begun to arrive
  kArriving,  // a request has arrived in part
  kRunning,   // a request is complete and may run
  kUnread,    // the caller has not read all of an answer
  kEnding,    // the connection is about to be closed
};

/// Memory that a connection holds now.
struct holder_use {
  holder_phase phase = holder_phase::kIdle;
  std::size_t bytes = 0;
  auto operator<=>(const holder_use&) const = default;
};

enum class yield_reason : std::uint8_t { kBytes, kPlace };

/// A connection that can be told to release what it holds.
class arrival_holder {
 public:
  virtual ~arrival_holder() = default;
  /// Its memory, or its place among the connections, is needed for others. Must not call the budget
  /// before it returns.
  virtual void Yield(yield_reason reason) = 0;
};

using holder_id = std::uint64_t;
/// One listening address of the process.
using listener_id = std::uint32_t;

struct arrival_budget_options {
  /// For all connections of the process together.
  std::size_t max_bytes = std::size_t{100} << 20U;
  /// Of `max_bytes`, kept for connections that hold no more than `small_bytes`.
  double small_share = 0.125;
  std::size_t small_bytes = std::size_t{64} << 10U;
  /// Of `max_bytes`, for the larger connections of one remote address.
  double address_share = 0.75;
  auto operator<=>(const arrival_budget_options&) const = default;
};

/// The share of a process's memory that connections of callers may hold. The rest is for answers of
/// upstreams that are arriving and for the process itself.
arrival_budget_options ArrivalBudgetFor(double memory_mb);

/// Bounds the memory that callers can make a process hold: requests that arrive or run, and answers
/// that are not read. When it is used up, the connections that yield are chosen from the remote
/// address that holds the most: the one that has held the most bytes for the longest time without
/// progress. Requests that may have run never yield. Needs no network; not thread-safe.
class arrival_budget {
 public:
  explicit arrival_budget(const arrival_budget_options& options) : options_(options) {}

  /// `holder` must outlive its entry. `address`: IP address of the caller, without the port.
  holder_id Add(arrival_holder& holder, const std::string& address, listener_id listener,
                time_point now);
  void Remove(holder_id id);
  /// Replaces what a connection holds, and makes others yield if that is too much. `progress`:
  /// bytes received or sent since the last call. Returns false if the connection itself has to
  /// yield.
  bool Update(holder_id id, const holder_use& use, std::size_t progress, time_point now);
  /// Makes a connection of the listener yield its place. Returns false if all of them are in use.
  bool YieldPlace(listener_id listener);

  std::size_t HeldBytes() const { return held_bytes_; }
  std::size_t HolderCount() const { return holders_.size(); }

 private:
  struct address_use {
    std::size_t bytes = 0;
    std::map<listener_id, std::size_t> connections;
  };
  using address_table = std::map<std::string, address_use>;

  struct entry {
    arrival_holder* holder = nullptr;
    address_table::iterator address;
    listener_id listener = 0;
    holder_use use;
    time_point progressed_at;
    std::size_t progress = 0;  // bytes since `progressed_at`
  };

  void SetUse(entry& changed, const holder_use& use);
  /// Bytes by which the budget is exceeded as far as it concerns this connection.
  std::size_t Excess(const entry& wanting) const;
  bool IsLarge(const entry& each) const { return each.use.bytes > options_.small_bytes; }
  bool CanYield(const entry& each, const entry& wanting) const;
  /// How much is gained if the connection yields: bytes, times the time without progress.
  static double Weight(const entry& each, time_point now);
  /// The connection that yields first; null if it is `wanting` itself.
  entry* ChooseYielding(const entry& wanting, time_point now);

  arrival_budget_options options_;
  std::unordered_map<holder_id, entry> holders_;
  address_table addresses_;
  std::size_t held_bytes_ = 0;
  holder_id next_id_ = 1;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_ARRIVAL_ARRIVAL_BUDGET_H_
