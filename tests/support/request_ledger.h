#ifndef BERYLBARROW_TESTS_SUPPORT_REQUEST_LEDGER_H_
#define BERYLBARROW_TESTS_SUPPORT_REQUEST_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace berylbarrow {

enum class call_kind : std::uint8_t {
  kPayment,  // must not run twice
  kNote,     // a stream that cannot be resumed, so it must not run twice either
  kLookup,   // may be repeated
  kDraft,    // a stream that can be resumed
};

bool MayRunTwice(call_kind kind);

/// What callers and upstreams have seen of each request, by its id. Thread-safe.
class request_ledger {
 public:
  struct record {
    call_kind kind = call_kind::kPayment;
    std::string body;
    unsigned status = 0;  // that the caller got; 0: none
    std::size_t runs = 0;
    std::vector<std::string> history;  // with the time in ms
  };

  /// A broken promise, with the history of its request.
  struct violation {
    std::string rule;
    std::string id;
    std::vector<std::string> history;
  };

  void OnSent(const std::string& id, call_kind kind, const std::string& body,
              const std::string& gateway);
  /// The caller has got a complete answer. `is_whole`: its body is the one that this request has.
  void OnAnswer(const std::string& id, unsigned status, bool is_whole);
  void OnRun(const std::string& id, const std::string& body, const std::string& upstream);
  /// Something else that helps to explain a violation.
  void Note(const std::string& id, const std::string& text);

  /// Checks all requests. Runs may come after the answer, so this is called when all is quiet.
  std::vector<violation> Violations() const;
  /// Number of requests by status; 0 for those without an answer.
  std::map<unsigned, std::size_t> Statuses() const;
  /// Number of requests that were run at least once.
  std::size_t RunCount() const;

 private:
  void Add(record& changed, const std::string& text);

  mutable std::mutex mutex_;
  const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
  std::map<std::string, record> records_;
  std::vector<violation> found_;  // while the requests were running
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_REQUEST_LEDGER_H_
