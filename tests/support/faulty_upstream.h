#ifndef BERYLBARROW_TESTS_SUPPORT_FAULTY_UPSTREAM_H_
#define BERYLBARROW_TESTS_SUPPORT_FAULTY_UPSTREAM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "support/loopback_stream.h"
#include "support/request_ledger.h"

namespace berylbarrow {

/// Ways in which an upstream departs from a prompt, tagged and complete answer. What it says of
/// itself stays true: an answer that states that a request was not run is only given for one that
/// was not.
enum class upstream_fault : std::uint8_t {
  kRefusal,          // full: states that the request was not run
  kMisdirection,     // status 421
  kTaggedCopy,       // sends the answer once more before the next answer of the connection
  kUntaggedCopy,     // the same, without the id of the request
  kTornCopy,         // the same, broken off inside its head
  kEarlyCopy,        // sends the answer once more at once
  kUntaggedAnswer,   // the answer has no id
  kPromiseAfterRun,  // runs the request, and then answers 503, 429 or 408 without the statement
  kFailureAfterRun,  // runs the request, and then answers 500 or 504
  kLostAnswer,       // runs the request, and then closes, resets or silences the connection
  kTruncation,       // runs the request, and then closes inside the answer
  kGarbage,          // runs the request, and then sends bytes that are not HTTP
  kDelay,            // answers up to 3 s later
  kDelayedRun,       // runs the request up to 3 s later
};

/// How often each fault occurs, as a share of the requests.
using fault_shares = std::map<upstream_fault, double>;

/// An upstream on loopback that serves payments, notes, lookups and drafts, records each run, and
/// can be made to fail in many ways.
class faulty_upstream {
 public:
  faulty_upstream(std::string id, request_ledger& ledger, std::uint64_t seed);
  ~faulty_upstream();

  std::string Id() const;
  /// "IP:port". Does not change.
  const std::string& Address() const { return server_.Address(); }
  void SetFaults(fault_shares faults);
  /// Refuses all requests for `time`.
  void FillUp(std::chrono::milliseconds time);
  /// Reads and answers nothing for `time`; connections stay open.
  void Pause(std::chrono::milliseconds time);
  void EndConnections() { server_.InterruptAll(); }
  /// Goes on as another upstream, with another id, at the same address.
  void Replace(const std::string& id);

 private:
  struct exchange {
    loopback_stream& stream;
    const http_message& request;
    std::string attempt_id;
    std::string pending_copy;  // sent before the next answer of the connection
  };

  void Serve(loopback_stream& stream);
  /// Returns false if the connection ends.
  bool HandleRequest(exchange& current);
  bool Refuse(exchange& current, unsigned status);
  bool Run(exchange& current);
  bool FailAfterRun(exchange& current, upstream_fault failure);
  bool SendStream(exchange& current);
  /// Sends the answer and plans or sends the copies of it.
  bool SendAnswer(exchange& current, unsigned status, const std::string& fields,
                  const std::string& body);
  bool Occurs(upstream_fault fault);
  std::size_t Random(std::size_t below);
  /// Waits while the upstream is paused, and then for `time`.
  void Wait(std::chrono::milliseconds time);
  std::chrono::milliseconds RandomTime(std::size_t max_ms);

  request_ledger& ledger_;
  mutable std::mutex mutex_;
  std::string id_;
  fault_shares faults_;
  std::mt19937_64 random_;
  std::atomic<std::chrono::steady_clock::time_point> full_until_{};
  std::atomic<std::chrono::steady_clock::time_point> paused_until_{};
  std::atomic<std::uint64_t> connections_{0};
  loopback_server server_;
};

/// The body of the answer to a payment or lookup.
std::string ExpectedBody(const std::string& attempt_id);
/// The events of the answer to a note or draft.
std::string ExpectedEvents(const std::string& attempt_id);

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_FAULTY_UPSTREAM_H_
