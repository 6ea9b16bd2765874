#include <algorithm>
#include <utility>

#include "berylbarrow/process/membership/ring_neighbours.h"
#include "berylbarrow/process/telemetry/log.h"
#include "connection/http/endpoint.h"
#include "process/gateway/gateway.h"

namespace berylbarrow {
namespace {

// Reports of engines that are older are left out of digests.
constexpr duration kMaxSightingAge = std::chrono::milliseconds(1500);
// Without a digest for this time, the load of a failure domain counts as unknown.
constexpr duration kDomainLoadLifetime = std::chrono::seconds(3);

// A damaged number of parts must not occupy the thread.
constexpr std::uint32_t kMaxDigestParts = 64;

// Gateways on each side in the ring that tell each other how fresh their configuration is.
constexpr std::size_t kFreshnessNeighbours = 2;

/// Name of one part of a failure domain's load in the selector. Members have no such names.
std::string LoadName(const std::string& domain, std::uint32_t part) {
  return domain + "/" + std::to_string(part);
}

}  // namespace

void gateway::SendDomainDigest(const std::vector<std::string>& targets, time_point now) {
  if (targets.empty()) return;
  domain_digest digest{.domain = settings_.domain, .gateways = members_.Sightings(now)};
  const std::vector<std::string> near = members_.GatewaysOf(settings_.domain);
  for (const auto& [upstream, count] : selector_.LoadOf(near)) {
    digest.in_flight.push_back({.upstream = upstream, .in_flight = count});
  }
  for (const aged_report& each : selector_.RecentReports(settings_.domain, kMaxSightingAge, now)) {
    const group_epoch group{.name = each.report.group, .epoch = each.report.epoch};
    auto found = std::find(digest.groups.begin(), digest.groups.end(), group);
    if (found == digest.groups.end()) found = digest.groups.insert(found, group);
    const auto index = static_cast<std::uint8_t>(found - digest.groups.begin());
    digest.engines.push_back(SightingOf(each.report, each.age, index));
  }
  for (const std::string& datagram : EncodeDomainDigest(digest)) {
    for (const std::string& target : targets) {
      heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
    }
  }
}

void gateway::OnDomainDigest(const domain_digest& digest, time_point now) {
  const bool is_sound = digest.part < digest.parts && digest.parts <= kMaxDigestParts;
  if (digest.domain == settings_.domain || !is_sound) return;
  members_.OnSightings(digest.gateways, now);
  for (const engine_sighting& each : digest.engines) {
    engine_report report = ReportOf(each, digest);
    report.address = selector_.AddressOf(each.address);
    if (!report.address.empty()) {
      OnEngineReport(report, now - std::chrono::milliseconds(each.age_ms));
    }
  }
  for (const std::string& name : members_.GatewaysOf(digest.domain)) selector_.RemovePeer(name);
  std::map<std::uint32_t, std::uint32_t> in_flight;
  for (const upstream_use& use : digest.in_flight) in_flight[use.upstream] = use.in_flight;
  selector_.OnPeerLoad(LoadName(digest.domain, digest.part), in_flight);
  domain_load& last = domain_loads_[digest.domain];
  for (std::uint32_t part = digest.parts; part < last.parts; ++part) {
    selector_.RemovePeer(LoadName(digest.domain, part));
  }
  last = {.received_at = now, .parts = digest.parts};
}

void gateway::ExpireDomainLoads(time_point now) {
  for (auto each = domain_loads_.begin(); each != domain_loads_.end();) {
    if (now - each->second.received_at <= kDomainLoadLifetime) {
      ++each;
      continue;
    }
    selector_.RemovePeersNamed(each->first + "/");
    each = domain_loads_.erase(each);
  }
}

void gateway::SendFreshness(time_point now) {
  if (!IsKeyAgeBounded()) return;
  const bool was_current = configuration_current_at_ != time_point::min();
  const std::string datagram = EncodeFreshnessReport(freshness_.MakeReport(
      feed_->View(), was_current ? std::optional(ConfigurationAge(now)) : std::nullopt, now));
  for (const std::string& target : freshness_targets_) {
    heartbeat_socket_->Send(datagram, ParseUdpEndpoint(target));
  }
}

void gateway::UpdateFreshnessTargets(time_point now) {
  freshness_targets_ = RingNeighbours(members_.Live(now), members_.Self(), kFreshnessNeighbours);
}

bool gateway::IsKeyAgeBounded() const {
  return settings_.bounds.strict_keys && routing_view_ && routing_view_->NeedsKeys();
}

void gateway::OnFreshness(const freshness_report& report, time_point now) {
  if (!IsKeyAgeBounded()) return;
  const auto proof = freshness_.OnReport(report, now);
  if (!proof) return;
  const time_point known = configuration_current_at_;
  const bool was_current = admission_gate_.AreKeysCurrent(ConfigurationAge(now));
  feed_->OnPeerProof(proof->view, proof->time);
  if (configuration_current_at_ == known) return;
  metrics_.Count("configuration_proofs_of_gateways", {});
  if (was_current || !admission_gate_.AreKeysCurrent(ConfigurationAge(now))) return;
  logger::Event(log_level::kInfo, "configuration", "keys_current_again",
                {{"gateway_hash", std::to_string(report.sender.name)},
                 {"age_ms", MillisecondsText(ConfigurationAge(now))}});
}

void gateway::OnGatewayLoad(const fleet_beat& heartbeat, time_point now) {
  const auto digest = domain_loads_.find(heartbeat.self.domain);
  if (digest != domain_loads_.end() && now - digest->second.received_at <= kDomainLoadLifetime) {
    return;
  }
  std::map<std::uint32_t, std::uint32_t> in_flight;
  for (const upstream_use& use : heartbeat.in_flight) in_flight[use.upstream] = use.in_flight;
  selector_.OnPeerLoad(heartbeat.self.name, in_flight);
}

}  // namespace berylbarrow
