#ifndef BERYLBARROW_BENCHMARKS_SERVICE_CALLERS_H_
#define BERYLBARROW_BENCHMARKS_SERVICE_CALLERS_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "deployment.h"

namespace berylbarrow::bench {

enum class call_kind : std::uint8_t { kDraft, kLookup, kPayment };
enum class call_outcome : std::uint8_t { kOpen, kWhole, kRefused, kUnknown, kCut, kWrong };

/// One call of a caller, from its due time to its last answer.
struct call {
  call_kind kind = call_kind::kDraft;
  std::size_t account = 0;
  time_point due;
  time_point counted_at;  // decides the phase: `due`, or the event that the call lived through
  time_point deadline;
  work_order order;
  std::string body;            // distinct for each call
  std::uint32_t attempts = 0;  // of the present key
  std::uint32_t keys = 0;
  std::uint32_t refusals = 0;  // "not run"
  std::uint32_t sends = 0;
  std::string key;
  std::string address;
  std::string failed_address;
  std::string answer;
  std::optional<time_point> first_byte;
  time_point last_byte;
  time_point ended;
  std::vector<duration> gaps;
  call_outcome outcome = call_outcome::kOpen;
};

struct caller_options {
  double drafts_per_second = 36;
  double lookups_per_second = 12;
  double payments_per_second = 6;
  double large_share = 0.7;  // of the calls, by the accounts with a weight above 1
  double hot_factor = 0;     // above 0: one small account sends this many times its fair share
  std::uint32_t prefixes_per_account = 20;
  std::uint32_t min_tokens = 40;
  std::uint32_t max_tokens = 120;
  std::uint32_t max_keys = 4;  // times a call that was refused as not run is sent anew
  duration draft_deadline = std::chrono::seconds(30);
  duration plain_deadline = std::chrono::seconds(10);
  bool sends_remaining = true;  // false: later attempts carry the first deadline unchanged
  std::uint64_t seed = 1;
};

/// Callers that follow the caller contract: a poisson process of calls, addresses and grants kept
/// for their lifetime, a new key after "not run", the same key after a broken connection.
class callers {
 public:
  callers(schedule& time, deployment& fleet, const caller_options& options);

  /// Calls arrive from now until `end` at `scale` times the rates of the options.
  void Run(time_point end, double scale = 1);
  /// Counts the calls that are open now from now on.
  void CountOpenFromNow();
  const std::vector<call>& Calls() const { return calls_; }
  /// The account that sends `hot_factor` times its share.
  std::size_t HotAccount() const { return hot_; }

 private:
  struct known_addresses {
    std::vector<std::string> addresses;
    std::string grant;
    time_point valid_until;
  };
  struct exchange {
    std::size_t call = 0;
    std::string address;
    bool is_query = false;
  };

  void ScheduleNext(call_kind kind, double rate, time_point end);
  void Begin(call_kind kind);
  std::size_t PickAccount();
  const service_options& Service(const call& item) const;
  known_addresses& Known(const call& item);
  void FindAddress(std::size_t index);
  void Ask(std::size_t index);
  void Send(std::size_t index, const std::string& address);
  caller_id Open(std::size_t index, const std::string& address, bool is_query);
  void OnOutput(const entry_output& output);
  void OnReply(const exchange& source, const caller_reply& reply);
  void OnAddresses(std::size_t index, const caller_reply& reply);
  void OnPart(call& item, const std::string& bytes);
  void OnLost(const std::string& address);
  void OnBroken(std::size_t index);
  void SendAnew(std::size_t index, duration wait);
  void Finish(call& item, call_outcome outcome);

  schedule& time_;
  deployment& fleet_;
  caller_options options_;
  std::mt19937_64 random_;
  std::vector<double> account_shares_;
  std::size_t hot_ = 0;
  std::vector<call> calls_;
  std::map<std::pair<std::size_t, std::string>, known_addresses> known_;
  std::map<caller_id, exchange> open_;
  caller_id last_caller_ = 0;
  std::size_t next_entry_ = 0;
};

}  // namespace berylbarrow::bench

#endif  // BERYLBARROW_BENCHMARKS_SERVICE_CALLERS_H_
