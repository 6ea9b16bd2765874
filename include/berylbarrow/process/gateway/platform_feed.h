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
  std::optional<upstream_record> record;  // none: it was removed
};

/// Receives what a platform publishes, on the thread of the gateway.
class platform_sink {
 public:
  virtual ~platform_sink() = default;
  virtual void OnRouting(routing_content&& content) = 0;
  virtual void OnEvacuatedDomains(const std::set<std::string>& domains) = 0;
  /// Routing and evacuations were complete and current at a moment after `asked`.
  virtual void OnConfigurationCurrent(time_point asked) = 0;
  virtual void OnUpstreamList(const std::vector<upstream_record>& records) = 0;
  virtual void OnUpstreamChanges(const std::vector<upstream_change>& changes) = 0;
  /// A call did not succeed, or succeeded again.
  virtual void OnStoreReachability(bool reachable, const std::string& reason) = 0;
  /// An item that cannot be read was left out.
  virtual void OnUnreadableItem(const std::string& key, const std::string& reason) = 0;
};

/// Reads what a platform publishes, until it is destroyed.
class platform_feed {
 public:
  virtual ~platform_feed() = default;
  virtual void Start() = 0;
  /// The instance list was found to be behind: reads its changes soon.
  virtual void RefreshUpstreams() = 0;
  /// Called on each tick of the gateway.
  virtual void Advance(time_point now) = 0;
};

struct directory_query {
  std::string domain;  // of the caller; may be empty
};

/// How callers ask for addresses, and the platform for readiness.
class directory_dialect {
 public:
  virtual ~directory_dialect() = default;
  /// Nothing if the request asks something else.
  virtual std::optional<directory_query> ParseAddressQuery(const http_head& head) const = 0;
  virtual http_answer MakeAddressAnswer(const std::vector<std::string>& addresses,
                                        duration lifetime) const = 0;
  virtual bool IsReadinessProbe(const http_head& head) const = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_
