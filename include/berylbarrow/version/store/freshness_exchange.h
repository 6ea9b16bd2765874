#ifndef BERYLBARROW_VERSION_STORE_FRESHNESS_EXCHANGE_H_
#define BERYLBARROW_VERSION_STORE_FRESHNESS_EXCHANGE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/store/store_view.h"

namespace berylbarrow {

/// One run of a gateway.
struct gateway_run {
  std::uint32_t name = 0;  // hash, see MemberHash()
  std::uint64_t incarnation = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
  auto operator<=>(const gateway_run&) const = default;
};

/// The number of the latest report that the sender has received from `run`.
struct report_echo {
  gateway_run run;
  std::uint64_t number = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(run, number);
  }
  auto operator<=>(const report_echo&) const = default;
};

/// How lately a gateway knew its configuration to be the newest one in the store.
struct freshness_report {
  gateway_run sender;
  std::uint64_t number = 0;  // of the sender's reports, from 1
  store_view view;
  bool has_age = false;      // whether the sender has ever known `view` to be current
  std::uint32_t age_ms = 0;  // milliseconds since then, rounded up
  std::vector<report_echo> echoes;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, number, view, has_age, age_ms, echoes);
  }
  auto operator<=>(const freshness_report&) const = default;
};

/// `view` was current at `time` by this process's clock, or later.
struct freshness_proof {
  store_view view;
  time_point time;
  auto operator<=>(const freshness_proof&) const = default;
};

struct freshness_exchange_options {
  /// Reports that were sent or received longer ago are not echoed and prove nothing.
  duration lifetime = std::chrono::seconds(3);
  /// Bounds the datagram at about 400 bytes.
  std::size_t max_echoes = 16;
};

/// Shares the proofs that gateways have of their configuration being current, so that an outage of
/// the store makes keys stale as late as the latest proof of any gateway allows.
///
/// An age alone is not safe: the datagram with it may have waited anywhere, also in a receiver that
/// was paused. A report therefore echoes the number of the receiver's own latest report. The
/// receiver knows when it sent that one, and that the age was stated later, so the configuration
/// was current at that time less the age. Clocks of two processes are never compared.
class freshness_exchange {
 public:
  freshness_exchange(const freshness_exchange_options& options, const gateway_run& self)
      : options_(options), self_(self) {}

  /// `age`: since the configuration of `view` was known to be current; nothing: it never was.
  /// `now` is not later than the time at which the report is sent.
  freshness_report MakeReport(const store_view& view, std::optional<duration> age, time_point now);
  /// Nothing if the report does not show when its age was stated.
  std::optional<freshness_proof> OnReport(const freshness_report& report, time_point now);

 private:
  struct received_report {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    time_point at;
  };
  void Forget(time_point now);

  freshness_exchange_options options_;
  gateway_run self_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, time_point> sent_;           // by number
  std::map<std::uint32_t, received_report> received_;  // latest, by name
};

std::string EncodeFreshnessReport(const freshness_report& report);
/// Nothing if the bytes are no freshness report.
std::optional<freshness_report> DecodeFreshnessReport(std::string_view datagram);

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_FRESHNESS_EXCHANGE_H_
