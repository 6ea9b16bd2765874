#include "berylbarrow/process/membership/domain_digest.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "connection/wire/datagram.h"

namespace berylbarrow {
namespace {

constexpr std::uint32_t kMagic = 0x62630001;
// Datagrams stay below the payload of one network packet.
constexpr std::size_t kMaxPartBytes = 1200;
constexpr std::size_t kGatewayBytes = 11;
constexpr std::size_t kEngineBytes = 11;
constexpr std::size_t kUpstreamBytes = 8;

/// Collects items in parts that each fit into one datagram.
class part_packer {
 public:
  explicit part_packer(const domain_digest& digest)
      : empty_{.domain = digest.domain, .groups = digest.groups} {
    Begin();
  }

  /// The part to which an item of this encoded size is to be added.
  domain_digest& PartFor(std::size_t bytes) {
    if (used_bytes_ + bytes > kMaxPartBytes) Begin();
    used_bytes_ += bytes;
    return parts_.back();
  }

  std::vector<domain_digest> Take() && {
    for (std::size_t i = 0; i < parts_.size(); ++i) {
      parts_[i].part = static_cast<std::uint32_t>(i);
      parts_[i].parts = static_cast<std::uint32_t>(parts_.size());
    }
    return std::move(parts_);
  }

 private:
  void Begin() {
    parts_.push_back(empty_);
    used_bytes_ = EncodeDatagram(kMagic, empty_).size();
  }

  domain_digest empty_;
  std::vector<domain_digest> parts_;
  std::size_t used_bytes_ = 0;
};

template <typename Small>
Small Clamped(double value) {
  return static_cast<Small>(
      std::clamp(std::round(value), 0.0, static_cast<double>(std::numeric_limits<Small>::max())));
}

}  // namespace

std::uint32_t MemberHash(const std::string& name) {
  return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0));
}

std::vector<std::string> EncodeDomainDigest(const domain_digest& digest) {
  part_packer packer(digest);
  for (const member_sighting& each : digest.gateways) {
    packer.PartFor(kGatewayBytes).gateways.push_back(each);
  }
  for (const engine_sighting& each : digest.engines) {
    packer.PartFor(kEngineBytes).engines.push_back(each);
  }
  for (const upstream_use& each : digest.in_flight) {
    packer.PartFor(kUpstreamBytes).in_flight.push_back(each);
  }
  std::vector<std::string> datagrams;
  for (const domain_digest& part : std::move(packer).Take()) {
    datagrams.push_back(EncodeDatagram(kMagic, part));
  }
  return datagrams;
}

std::optional<domain_digest> DecodeDomainDigest(std::string_view datagram) {
  return DecodeDatagram<domain_digest>(kMagic, datagram);
}

engine_sighting SightingOf(const engine_report& report, duration age, std::uint8_t group) {
  const double age_ms = std::chrono::duration<double, std::milli>(age).count();
  return {.address = MemberHash(report.address),
          .age_ms = Clamped<std::uint16_t>(age_ms),
          .group = group,
          .pace = Clamped<std::uint8_t>(report.pace * engine_sighting::kPaceUnits),
          .running = Clamped<std::uint8_t>(report.running),
          .waiting = Clamped<std::uint8_t>(report.waiting),
          .open = report.open};
}

engine_report ReportOf(const engine_sighting& sighting, const domain_digest& digest) {
  engine_report report{.open = sighting.open,
                       .pace = sighting.pace / engine_sighting::kPaceUnits,
                       .running = sighting.running,
                       .waiting = sighting.waiting};
  if (sighting.group < digest.groups.size()) {
    report.group = digest.groups[sighting.group].name;
    report.epoch = digest.groups[sighting.group].epoch;
  }
  return report;
}

}  // namespace berylbarrow
