#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_TABLE_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_TABLE_H_

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct member_options {
  duration suspect_after = std::chrono::milliseconds(1500);
  duration dead_after = std::chrono::seconds(4);
};

enum class liveness : std::uint8_t { kUnknown, kAlive, kSuspect, kDead };

/// What a process knows of one peer, by name.
struct member {
  process_identity identity;
  process_state state = process_state::kStarting;
  std::string heartbeat_address;
  std::uint64_t last_sequence = 0;
  time_point last_heard;
  upstream_load load;
  time_point load_heard;
  std::uint64_t grant_epoch = 0;
  revision in_force = 0;
  std::uint64_t digest = 0;
  std::uint32_t plan_step = 0;
  std::optional<connection_id> connection;
};

enum class heard_as : std::uint8_t {
  kNew,        // first sign of this name
  kRestarted,  // a newer run of the process took the place of the one known
  kKnown,
  kOutdated,  // of an older run, or overtaken by a later heartbeat; ignored
};

/// The peers of a process, from their heartbeats and connections.
class member_table {
 public:
  explicit member_table(const member_options& options) : options_(options) {}

  heard_as OnHeartbeat(const heartbeat& content, const std::string& from, time_point now);
  heard_as OnOpened(const peer_opened& event, time_point now);
  /// Returns the name of the peer, or an empty string if the connection had been replaced.
  std::string OnClosed(connection_id connection);
  /// A message came over `connection`, so the peer is alive.
  void OnMessage(connection_id connection, time_point now);
  /// The load that a reply carried.
  void OnLoad(const std::string& name, const upstream_load& load, time_point now);
  void OnConfiguration(const std::string& name, revision in_force);

  const member* Find(const std::string& name) const;
  const member* FindByConnection(connection_id connection) const;
  liveness Liveness(const std::string& name, time_point now) const;
  /// Last time anything was heard from any peer.
  std::optional<time_point> LastHeard() const { return last_heard_; }
  const std::map<std::string, member>& Members() const { return members_; }
  /// Removes the members for which `keep` is false, except connected ones.
  void Retain(const std::function<bool(const member&)>& keep);
  nlohmann::json State(time_point now) const;

 private:
  heard_as Admit(const process_identity& identity, time_point now);

  member_options options_;
  std::map<std::string, member> members_;
  std::map<connection_id, std::string> connections_;
  std::optional<time_point> last_heard_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_MEMBER_TABLE_H_
