#ifndef BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_FOLLOWER_H_
#define BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_FOLLOWER_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/membership/member_table.h"
#include "berylbarrow/version/configuration/configuration_store.h"

namespace berylbarrow {

struct follower_options {
  process_identity self;
  std::uint32_t watchers_per_domain = 2;
  duration pause_threshold = std::chrono::seconds(1);          // clock jump that means "was paused"
  duration refresh_interval = std::chrono::milliseconds(250);  // between attempts to refresh
  duration watch_interval = std::chrono::seconds(5);         // between two choices of the watchers
  duration fetch_interval = std::chrono::milliseconds(500);  // between requests to peers
  std::size_t refresh_peers = 3;                             // asked in one refresh
  std::size_t refresh_quorum = 2;  // peer replies that end a refresh if the service is silent
};

enum class view_state : std::uint8_t {
  kNone,      // no document yet
  kStale,     // the process was paused or isolated and has not refreshed
  kIsolated,  // neither the service nor a peer was heard for isolation_timeout
  kCurrent,
};

/// What to do after an input: messages to peers, a change of the watch, a new version.
struct follower_actions {
  std::vector<peer_send> sends;
  std::optional<configuration_watch> watch;
  bool version_changed = false;
};

/// Keeps the configuration of a process in step with the service and with its peers, and tells
/// whether the process may act on it.
class configuration_follower {
 public:
  /// `parser` and `members` must outlive the follower.
  configuration_follower(const follower_options& options, const configuration_parser& parser,
                         const member_table& members);

  /// To be called first for every input and deadline; finds that the process was paused.
  follower_actions OnTime(const moment& at);

  follower_actions OnDocument(const document_received& event, const moment& at);
  follower_actions OnReply(const configuration_reply& reply, connection_id from, const moment& at);
  /// Answers a peer that asks for the document.
  follower_actions OnRequest(const configuration_request& request, connection_id from) const;
  /// A peer's hello, heartbeat or dispatch named its revision. Asks that peer if it is ahead.
  follower_actions OnPeerRevision(revision theirs, std::optional<connection_id> connection,
                                  const moment& at);

  view_state View(time_point now) const;
  std::shared_ptr<const configuration_version> Current() const { return store_.Current(); }
  revision Revision() const { return store_.Revision(); }
  /// The last document that was refused, and why; see configuration_store.
  revision LastRefused() const { return store_.LastRefused(); }
  const findings& LastFindings() const { return store_.LastFindings(); }
  time_point NextDeadline() const;
  nlohmann::json State(const moment& at) const;

 private:
  void Accept(revision number, const std::string& text, const moment& at,
              follower_actions& actions);
  void MarkStale(const moment& at, follower_actions& actions);
  void StartRefresh(const moment& at, follower_actions& actions);
  bool HearsNobody(time_point now) const;
  void ChooseWatch(const moment& at, follower_actions& actions);

  follower_options options_;
  configuration_store store_;
  const member_table& members_;
  time_point last_time_;
  bool started_ = false;
  bool stale_ = false;
  bool was_isolated_ = false;  // why the view is stale
  std::uint64_t nonce_ = 0;
  std::set<connection_id> refresh_replies_;
  time_point next_refresh_;
  time_point next_fetch_;
  time_point next_watch_choice_;
  std::optional<time_point> service_heard_;
  std::optional<watch_mode> mode_;
  std::uint64_t refused_documents_ = 0;
  std::uint64_t conflicts_ = 0;
  std::uint64_t pauses_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_FOLLOWER_H_
