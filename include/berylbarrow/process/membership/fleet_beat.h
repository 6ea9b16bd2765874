#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_BEAT_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_BEAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/request/dispatch/upstream_selector.h"

namespace berylbarrow {

enum class member_role : std::uint8_t { kGateway, kCompanion };

/// One run of a process as it describes itself.
struct fleet_member {
  std::string name;
  member_role role = member_role::kGateway;
  std::string domain;
  std::uint64_t incarnation = 0;
  std::string peers_address;    // UDP
  std::string callers_address;  // gateways only
  bool ready = false;           // takes new connections of callers
  std::string group;            // of ranks; companions only
  bool coordinates = false;     // the rank group
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, role, domain, incarnation, peers_address, callers_address, ready, group,
            coordinates);
  }
  auto operator<=>(const fleet_member&) const = default;
};

/// Where another process may be found. Says nothing of whether it lives.
struct member_hint {
  std::string name;
  member_role role = member_role::kGateway;
  std::string peers_address;
  std::string group;
  bool coordinates = false;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, role, peers_address, group, coordinates);
  }
  auto operator<=>(const member_hint&) const = default;
};

struct upstream_use {
  std::uint32_t upstream = 0;  // hash of its id
  std::uint32_t in_flight = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, in_flight);
  }
  auto operator<=>(const upstream_use&) const = default;
};

/// Crashes of upstreams while a request with this fingerprint ran there, as counted by gateways of
/// version 0.1.0. Kept because it is part of the datagram's format; see crash_digest.
struct crash_count {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, crashes);
  }
  auto operator<=>(const crash_count&) const = default;
};

/// One datagram between the processes of a fleet.
struct fleet_beat {
  fleet_member self;
  std::uint64_t sequence = 0;
  std::vector<member_hint> hints;
  std::vector<upstream_use> in_flight;  // gateways only
  std::vector<crash_count> crashes;     // empty
  std::vector<engine_report> reports;   // companions only: at most one
  bool wants_answer = false;            // the sender does not know the receiver yet
  template <class Archive>
  void serialize(Archive& archive) {
    archive(self, sequence, hints, in_flight, crashes, reports, wants_answer);
  }
  auto operator<=>(const fleet_beat&) const = default;
};

/// Little-endian cereal portable binary.
std::string EncodeBeat(const fleet_beat& beat);
/// Nothing if the bytes are no beat.
std::optional<fleet_beat> DecodeBeat(std::string_view datagram);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_FLEET_BEAT_H_
