#ifndef BERYLBARROW_CONNECTION_WIRE_MESSAGE_H_
#define BERYLBARROW_CONNECTION_WIRE_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/configuration/configuration.h"
#include "berylbarrow/version/expert/expert_message.h"

namespace berylbarrow {

enum class process_role : std::uint8_t { kEntry, kAgent };

enum class process_state : std::uint8_t { kStarting, kServing, kLeaving };

/// Identity of one run of a process. `incarnation` is random; `generation` is CLOCK_REALTIME at the
/// start in nanoseconds and only orders restarts of the same name.
struct process_identity {
  std::string name;
  process_role role = process_role::kEntry;
  std::string domain;
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;

  auto operator<=>(const process_identity&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, role, domain, incarnation, generation);
  }
};

/// Unique over all processes and restarts: the incarnation of the entry and its own counter.
struct request_id {
  std::uint64_t sender = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const request_id&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence);
  }
};

/// The part of an HTTP request that reaches the upstream. `target` is the path with its query.
struct http_request {
  std::string method;
  std::string target;
  std::string content_type;
  std::string body;

  auto operator<=>(const http_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(method, target, content_type, body);
  }
};

/// Load of an upstream as its agent counts it.
struct upstream_load {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t limit = 0;  // concurrent requests the agent admits at present
  bool warm = false;        // the limit has reached its configured maximum

  auto operator<=>(const upstream_load&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(in_flight, queued, limit, warm);
  }
};

/// Deaths of upstreams that one agent has seen while a request was running there.
struct suspect_report {
  std::uint64_t fingerprint = 0;  // XXH64 of method, target and body
  std::uint32_t deaths = 0;
  std::uint16_t cleared = 0;   // of these deaths, those before the request completed alone
  std::uint16_t age_s = 0;     // seconds since the last death
  std::uint64_t observer = 0;  // incarnation of the agent

  auto operator<=>(const suspect_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(fingerprint, deaths, cleared, age_s, observer);
  }
};

/// Sent over UDP; must fit one datagram of 1,400 bytes.
struct heartbeat {
  process_identity sender;
  std::uint64_t sequence = 0;
  process_state state = process_state::kStarting;
  revision in_force = 0;
  std::uint64_t digest = 0;  // of the document in force
  upstream_load load;        // agents only
  std::uint64_t grant_epoch = 0;
  std::uint32_t plan_step = 0;
  std::vector<suspect_report> suspects;

  auto operator<=>(const heartbeat&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, sequence, state, in_force, digest, load, grant_epoch, plan_step, suspects);
  }
};

/// First message on a connection, in both directions.
struct hello {
  process_identity sender;
  revision in_force = 0;

  auto operator<=>(const hello&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sender, in_force);
  }
};

/// Asks an agent to run a request, or to go on with the answer of one it has.
struct dispatch {
  request_id id;
  std::string service;
  std::string account;
  bool idempotent = true;
  std::string idempotency_key;  // empty for idempotent operations
  std::uint32_t attempt = 1;
  std::uint32_t priority = 0;  // higher is more urgent
  std::uint64_t fingerprint = 0;
  revision sender_revision = 0;
  std::uint32_t sender_plan_step = 0;     // of the move plan of that revision
  duration remaining = duration::zero();  // time to live, computed when the message is sent
  std::uint64_t answer_offset = 0;        // bytes of the answer the sender has already received
  http_request request;
  std::vector<suspect_report> suspects;  // what the sender knows of the fingerprint

  auto operator<=>(const dispatch&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, service, account, idempotent, idempotency_key, attempt, priority, fingerprint,
            sender_revision, sender_plan_step, remaining, answer_offset, request, suspects);
  }
};

/// The caller has gone: an idempotent request may be stopped, a non-idempotent one goes on.
struct cancel {
  request_id id;

  auto operator<=>(const cancel&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id);
  }
};

struct answer_head {
  request_id id;
  std::uint16_t status = 0;
  std::string content_type;
  upstream_load load;

  auto operator<=>(const answer_head&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, status, content_type, load);
  }
};

enum class answer_end : std::uint8_t {
  kMore,      // further parts follow
  kComplete,  // the upstream ended the answer
  kBroken,    // the upstream died before the end
};

/// A piece of the answer body. `offset` counts bytes from the start of the whole answer. Fields
/// after `end` are sent with the last part only.
struct answer_part {
  request_id id;
  std::uint64_t offset = 0;
  std::string bytes;
  answer_end end = answer_end::kMore;
  std::vector<suspect_report> suspects;  // what the agent knows of the fingerprint
  upstream_load load;

  auto operator<=>(const answer_part&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, offset, bytes, end);
    if (end != answer_end::kMore) {
      archive(suspects, load);
    }
  }
};

/// The entry has the answer up to `offset`; the agent may free what lies before it.
struct acknowledgement {
  request_id id;
  std::uint64_t offset = 0;
  bool finished = false;

  auto operator<=>(const acknowledgement&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, offset, finished);
  }
};

enum class refusal_reason : std::uint8_t {
  kOverload,        // limit and queue are full
  kDraining,        // failure domain or upstream taken out
  kLeaving,         // the process shuts down
  kStaleView,       // the process does not know a current configuration
  kUnknownService,  // not the service of this upstream
  kGrantExpired,    // key of another incarnation, or of an epoch no longer kept
  kGrantMissing,    // non-idempotent operation without a grant key
  kKeyRefused,      // the key was refused before and has a tombstone
  kDeadline,        // the time to live ended before dispatch
  kSuspect,         // the request has crashed upstreams
  kUpstreamGone,    // the upstream cannot be reached
  kAccountShare,    // the client account is over its share
  kMalformed,
};

/// Whether the operation may have run.
enum class run_certainty : std::uint8_t {
  kNotRun,   // it has not run under this key and never will
  kUnknown,  // it may have run
};

struct refusal {
  request_id id;
  refusal_reason reason = refusal_reason::kOverload;
  run_certainty certainty = run_certainty::kNotRun;
  duration retry_after = duration::zero();
  upstream_load load;
  std::vector<suspect_report> suspects;  // what the agent knows of the fingerprint

  auto operator<=>(const refusal&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, reason, certainty, retry_after, load, suspects);
  }
};

/// Asks a peer for its document in force.
struct configuration_request {
  revision in_force = 0;  // of the sender; the reply carries a text only if it is newer
  std::uint64_t nonce = 0;

  auto operator<=>(const configuration_request&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(in_force, nonce);
  }
};

/// Always sent in answer to a configuration_request, with its nonce. A process that was paused
/// tells by the nonce that the reply was made after it woke.
struct configuration_reply {
  revision number = 0;  // in force at the replying process
  std::string text;     // empty if `number` is not above the one in the request
  std::uint64_t nonce = 0;

  auto operator<=>(const configuration_reply&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, text, nonce);
  }
};

struct ping {
  std::uint64_t sequence = 0;

  auto operator<=>(const ping&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

struct pong {
  std::uint64_t sequence = 0;

  auto operator<=>(const pong&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(sequence);
  }
};

/// A message of the agreement on the expert map of a group.
struct group_message {
  std::string group;
  std::uint32_t sender = 0;  // rank
  expert_message content;

  auto operator<=>(const group_message&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(group, sender, content);
  }
};

/// Everything that travels over a TCP connection between two processes. The order of the
/// alternatives is part of the protocol: new ones are added at the end.
using peer_message =
    std::variant<hello, dispatch, cancel, answer_head, answer_part, acknowledgement, refusal,
                 configuration_request, configuration_reply, ping, pong, group_message>;

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_WIRE_MESSAGE_H_
