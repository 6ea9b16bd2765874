#ifndef BERYLBARROW_TOOLS_LOAD_RESULTS_H_
#define BERYLBARROW_TOOLS_LOAD_RESULTS_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "load/link.h"
#include "load/options.h"

namespace berylbarrow::tools {

enum class call_outcome : std::uint8_t {
  kWhole,       // 200 and every byte as expected
  kRefused,     // "not run"
  kUnknown,     // "unknown", or a payment without answer after all attempts
  kIncomplete,  // the answer ended early, or there was none after all attempts
  kWrong,       // another status or other bytes
  kUnsent,      // no entry gave an address, or the load ended before the call was sent
};
inline constexpr std::size_t kCallOutcomes = 6;

struct finished_call {
  call_kind kind = call_kind::kDraft;
  call_outcome outcome = call_outcome::kWhole;
  std::uint32_t attempts = 1;
  double first_byte_ms = 0;    // from the time the call was due; whole answers only
  std::vector<float> gaps_ms;  // whole drafts only
  std::string payment;         // body, payments only
};

/// What the ledgers of the plain upstreams say about the payments of this run.
struct ledger_check {
  bool checked = false;
  std::uint64_t twice = 0;           // ran more than once
  std::uint64_t false_refusals = 0;  // refused as "not run" but ran
  std::uint64_t missing = 0;         // answered but not in a ledger
};

/// Counts and samples of a run.
class results {
 public:
  results();

  /// `second` counts from the start of the run.
  void Add(std::size_t second, const finished_call& call);

  /// `body` is the reply of GET /ledger. Called once per upstream, then CheckLedgers.
  void AddLedger(const nlohmann::json& body);
  void CheckLedgers();

  void PrintTable(std::ostream& out) const;
  void PrintCsv(std::ostream& out) const;
  /// No wrong or incomplete answer, no payment run twice and no false "not run".
  bool Passed() const;

 private:
  struct tally {
    std::array<std::uint64_t, kCallOutcomes> outcomes{};
    std::uint64_t resent = 0;
    std::vector<float> first_byte_ms;
    std::vector<float> gaps_ms;

    std::uint64_t Of(call_outcome outcome) const {
      return outcomes.at(static_cast<std::size_t>(outcome));
    }
    std::uint64_t Sent() const;
    void Add(const finished_call& call);
  };

  static void PrintRow(std::ostream& out, const std::string& name, const tally& tally);

  tally total_;
  std::array<tally, kCallKinds> kinds_;
  std::vector<tally> seconds_;
  std::map<std::string, call_outcome> payments_;
  std::map<std::string, std::uint64_t> ledger_;
  ledger_check check_;
};

}  // namespace berylbarrow::tools

#endif  // BERYLBARROW_TOOLS_LOAD_RESULTS_H_
