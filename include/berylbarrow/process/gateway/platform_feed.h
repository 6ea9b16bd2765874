#ifndef BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_
#define BERYLBARROW_PROCESS_GATEWAY_PLATFORM_FEED_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/connection/http/http_server.h"
#include "berylbarrow/process/membership/upstream_registry.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/routing/routing_view.h"
#include "berylbarrow/version/store/store_view.h"

namespace berylbarrow {

struct upstream_change {
  std::string id;
  std::optional<upstream_record> record;  // none: the upstream was removed
};

/// A finding on the history of the platform's store.
struct store_event {
  enum class kind : std::uint8_t {
    kRestored,              // the store came back from a backup; all is read again
    kOutdatedAnswer,        // an answer from before the last restoration was dropped
    kConfigurationHeld,     // the restored store holds a lower version, which is not put in force
    kConfigurationLowered,  // that version has stood for so long that it is in force now
    kNewerVersionNamed,     // another gateway has a higher version than the store holds
  };
  kind what = kind::kRestored;
  std::uint64_t era = 0;        // of the answer
  std::uint64_t known_era = 0;  // before the answer
  std::uint64_t version = 0;    // held, lowered or named; 0 with the other kinds
};

/// Receives the configuration and the instance list of a platform, on the gateway's thread.
class platform_sink {
 public:
  virtual ~platform_sink() = default;
  /// `content` replaces the one in force. The feed decides which of two versions is newer.
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
  virtual void OnStoreEvent(const store_event& event) = 0;
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
  virtual store_view View() const { return {}; }
  /// Another gateway has this view of the store.
  virtual void OnPeerView(const store_view& /*view*/) {}
  /// Another gateway knows `view` to have been current at `time` or later.
  virtual void OnPeerProof(const store_view& /*view*/, time_point /*time*/) {}
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
