#include "berylbarrow/version/store/freshness_exchange.h"

#include <algorithm>
#include <limits>

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMagic = 0x62670001;
constexpr auto kMaxAge = milliseconds(std::numeric_limits<std::uint32_t>::max());

}  // namespace

freshness_report freshness_exchange::MakeReport(const store_view& view, std::optional<duration> age,
                                                time_point now) {
  Forget(now);
  freshness_report report{.sender = self_, .number = ++last_number_, .view = view};
  sent_[report.number] = now;
  if (age && *age >= duration::zero() && *age < kMaxAge) {
    report.has_age = true;
    report.age_ms = static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(*age).count());
  }
  for (const auto& [name, each] : received_) {
    if (report.echoes.size() == options_.max_echoes) break;
    report.echoes.push_back(
        {.run = {.name = name, .incarnation = each.incarnation}, .number = each.number});
  }
  return report;
}

std::optional<freshness_proof> freshness_exchange::OnReport(const freshness_report& report,
                                                            time_point now) {
  if (report.sender.name == self_.name) return std::nullopt;
  Forget(now);
  received_report& latest = received_[report.sender.name];
  const bool is_overtaken =
      latest.incarnation == report.sender.incarnation && report.number <= latest.number;
  if (!is_overtaken) {
    latest = {.incarnation = report.sender.incarnation, .number = report.number, .at = now};
  }
  if (!report.has_age) return std::nullopt;
  const auto echo = std::find_if(report.echoes.begin(), report.echoes.end(),
                                 [&](const report_echo& each) { return each.run == self_; });
  if (echo == report.echoes.end()) return std::nullopt;
  const auto sent = sent_.find(echo->number);
  if (sent == sent_.end()) return std::nullopt;
  return freshness_proof{.view = report.view, .time = sent->second - milliseconds(report.age_ms)};
}

void freshness_exchange::Forget(time_point now) {
  std::erase_if(sent_, [&](const auto& each) { return now - each.second > options_.lifetime; });
  std::erase_if(received_,
                [&](const auto& each) { return now - each.second.at > options_.lifetime; });
}

std::string EncodeFreshnessReport(const freshness_report& report) {
  return EncodeDatagram(kMagic, report);
}

std::optional<freshness_report> DecodeFreshnessReport(std::string_view datagram) {
  return DecodeDatagram<freshness_report>(kMagic, datagram);
}

}  // namespace berylbarrow
