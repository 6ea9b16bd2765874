#ifndef BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_
#define BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/connection/http/http_server.h"
#include "berylbarrow/process/membership/upstream_registry.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

struct upstream_change {
  std::string id;
  std::optional<upstream_record> record;  // none: the upstream was removed
};

/// Receives the configuration and the instance list of a platform, on the gateway's thread.
class platform_sink {
 public:
  virtual ~platform_sink() = default;
  virtual void OnRouting(routing_content&& content) = 0;
  /// `domains`: all failure domains that are evacuated now.
  virtual void OnEvacuatedDomains(const std::set<std::string>& domains) = 0;
  /// The routing and the evacuated domains reported so far were complete and current at some time
  /// after `requested_at`. Not called while the platform holds a configuration that cannot be read.
  virtual void OnConfigurationCurrent(time_point requested_at) = 0;
  /// `records`: all upstreams in the instance list.
  virtual void OnUpstreamList(const std::vector<upstream_record>& records) = 0;
  virtual void OnUpstreamChanges(const std::vector<upstream_change>& changes) = 0;
  /// A read of the instance list from the store failed, or succeeded again. `reason`: why it
  /// failed.
  virtual void OnStoreReachability(bool reachable, const std::string& reason) = 0;
  /// An item was skipped because it could not be parsed.
  virtual void OnUnreadableItem(const std::string& key, const std::string& reason) = 0;
};

/// Reads what a platform publishes and reports it to a `platform_sink`, until it is destroyed.
class platform_feed {
 public:
  virtual ~platform_feed() = default;
  virtual void Start() = 0;
  /// Reads the changes of the instance list soon, because it was found to be out of date.
  virtual void RefreshUpstreams() = 0;
  /// Called on each tick of the gateway.
  virtual void Advance(time_point now) = 0;
};

struct directory_query {
  std::string domain;  // failure domain of the caller; may be empty
};

/// Formats of the address queries of callers and of the readiness probes of the platform.
class directory_dialect {
 public:
  virtual ~directory_dialect() = default;
  /// Returns nothing if the request is not an address query.
  virtual std::optional<directory_query> ParseAddressQuery(const http_head& head) const = 0;
  /// `lifetime`: the time to live that the answer states.
  virtual http_answer MakeAddressAnswer(const std::vector<std::string>& addresses,
                                        duration lifetime) const = 0;
  virtual bool IsReadinessProbe(const http_head& head) const = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_
