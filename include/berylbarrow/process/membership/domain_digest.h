#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_DOMAIN_DIGEST_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_DOMAIN_DIGEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/process/membership/fleet_beat.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// When the sender last heard from a gateway of its failure domain.
struct member_sighting {
  std::uint32_t name = 0;         // hash, see MemberHash()
  std::uint32_t incarnation = 0;  // its low 32 bits
  std::uint16_t age_ms = 0;
  bool ready = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation, age_ms, ready);
  }
  auto operator<=>(const member_sighting&) const = default;
};

/// The latest report of an engine of the sender's failure domain.
struct engine_sighting {
  std::uint32_t address = 0;  // hash of the upstream's address
  std::uint16_t age_ms = 0;
  std::uint8_t group = 0;    // index into domain_digest::groups
  std::uint8_t pace = 0;     // in units of 1/kPaceUnits, at most 255
  std::uint8_t running = 0;  // requests, at most 255
  std::uint8_t waiting = 0;  // requests, at most 255
  bool open = true;
  static constexpr double kPaceUnits = 16;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(address, age_ms, group, pace, running, waiting, open);
  }
  auto operator<=>(const engine_sighting&) const = default;
};

struct group_epoch {
  std::string name;
  std::uint64_t epoch = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, epoch);
  }
  auto operator<=>(const group_epoch&) const = default;
};

/// What the gateways of a failure domain know of it, for gateways of other failure domains. One
/// datagram is one part; each part replaces the previous one with its number.
struct domain_digest {
  std::string domain;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<member_sighting> gateways;  // without the sender
  std::vector<group_epoch> groups;
  std::vector<engine_sighting> engines;
  /// Requests of all gateways of the domain, by upstream.
  std::vector<upstream_use> in_flight;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(domain, part, parts, gateways, groups, engines, in_flight);
  }
  auto operator<=>(const domain_digest&) const = default;
};

/// Identifies a member in digests.
std::uint32_t MemberHash(const std::string& name);

/// Splits the digest into datagrams.
std::vector<std::string> EncodeDomainDigest(const domain_digest& digest);
/// Nothing if the bytes are no part of a digest.
std::optional<domain_digest> DecodeDomainDigest(std::string_view datagram);

engine_sighting SightingOf(const engine_report& report, duration age, std::uint8_t group);
/// The report without its address and rank.
engine_report ReportOf(const engine_sighting& sighting, const domain_digest& digest);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_DOMAIN_DIGEST_H_
