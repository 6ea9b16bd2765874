#ifndef BERYLBARROW_TESTS_SUPPORT_GATEWAY_FLEET_H_
#define BERYLBARROW_TESTS_SUPPORT_GATEWAY_FLEET_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/faulty_upstream.h"
#include "support/process_fleet.h"
#include "support/request_ledger.h"
#include "support/store_stand_in.h"
#include "support/tcp_relay.h"

namespace berylbarrow {

struct gateway_fleet_options {
  int gateways = 3;
  int upstreams = 3;
  std::uint64_t seed = 1;
  /// Standard output of the gateways is a pipe that stays open and is never read.
  bool leaves_logs_unread = false;
  /// Lines of the settings of the gateways, such as "limits: {max_connections: 100}".
  std::string settings = {};
  std::uint64_t max_body_bytes = 4194304;
};

/// Gateways as real processes on loopback, with stand-ins of the store and of the upstreams of one
/// service. Every second upstream is reached through a relay.
class gateway_fleet : public process_fleet {
 public:
  gateway_fleet(const gateway_fleet_options& options, request_ledger& ledger);
  ~gateway_fleet();
  gateway_fleet(const gateway_fleet&) = delete;
  gateway_fleet& operator=(const gateway_fleet&) = delete;

  int GatewayCount() const { return static_cast<int>(ready_.size()); }
  std::string GatewayName(int index) const { return "gateway-" + std::to_string(index); }
  const std::string& CallersAddress(int index) const { return Callers(GatewayName(index)); }
  const std::string& DirectoryAddress(int index) const {
    return directories_.at(GatewayName(index));
  }
  /// Waits until every gateway says that it is ready.
  bool AwaitReady() const;
  /// The lines of the gateways' logs that contain `text`.
  std::vector<std::string> LogLines(const std::string& text) const;

  store_stand_in& Store() { return store_; }
  faulty_upstream& Upstream(std::size_t index) { return *upstreams_.at(index); }
  std::size_t UpstreamCount() const { return upstreams_.size(); }
  /// Null if the upstream is reached directly.
  tcp_relay* RelayOf(std::size_t index) { return relays_.at(index).get(); }

  /// Lists the upstream in the store under its present id, as `state` ("ready" or "draining").
  void ListUpstream(std::size_t index, const std::string& state);
  void UnlistUpstream(const std::string& id) { store_.Remove("servers/" + id); }
  /// Publishes the next configuration.
  void PublishConfiguration(int max_attempts, int timeout_ms);

 private:
  std::string WriteGatewaySettings(const std::string& name, int index,
                                   const std::string& further_settings);
  void MakeUnreadLog(const std::string& name);

  store_stand_in store_;
  std::vector<std::unique_ptr<faulty_upstream>> upstreams_;
  std::vector<std::unique_ptr<tcp_relay>> relays_;
  std::vector<std::string> listed_addresses_;
  std::vector<std::string> ready_;  // readiness addresses
  std::map<std::string, std::string> directories_;
  std::vector<int> unread_logs_;  // descriptors
  std::uint64_t max_body_bytes_;
  int version_ = 6;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_GATEWAY_FLEET_H_
