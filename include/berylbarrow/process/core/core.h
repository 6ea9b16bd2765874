#ifndef BERYLBARROW_PROCESS_CORE_CORE_H_
#define BERYLBARROW_PROCESS_CORE_CORE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "berylbarrow/connection/wire/message.h"
#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/process/telemetry/log_types.h"

namespace berylbarrow {

/// The time of an input: `now` for every decision, `wall` only for schedules of the move plan.
struct moment {
  time_point now;
  wall_time wall;
};

/// Names one TCP connection between two processes for as long as it is open.
using connection_id = std::uint64_t;
/// Names one request of a caller inside its entry.
using caller_id = std::uint64_t;
/// Names one run of a request at the upstream inside its agent.
using execution_id = std::uint64_t;
using query_id = std::uint64_t;

// Inputs of both cores.

/// A connection is open and the other side has said hello.
struct peer_opened {
  connection_id connection = 0;
  hello greeting;
};

struct peer_closed {
  connection_id connection = 0;
};

struct peer_received {
  connection_id connection = 0;
  peer_message message;
};

struct heartbeat_received {
  std::string from;  // "IP:port"
  heartbeat content;
};

/// The configuration service answered. `text` is empty if it has nothing newer than `number`.
struct document_received {
  revision number = 0;
  std::string text;
  std::uint64_t nonce = 0;  // of the refresh this answers; 0 for watches and polls
};

struct instance_record {
  std::string name;
  std::string address;
  std::string domain;
  bool leaving = false;
  auto operator<=>(const instance_record&) const = default;
};

struct instances_received {
  std::vector<instance_record> instances;
};

struct shutdown_requested {};

enum class operator_query_kind : std::uint8_t { kState, kStatus, kMetrics };

struct operator_query {
  query_id query = 0;
  operator_query_kind kind = operator_query_kind::kState;
};

// Outputs of both cores, besides log_event.

/// Keep a connection to this peer open, reconnecting when it fails, until peer_disconnect.
struct peer_connect {
  std::string name;
  std::string address;  // "IP:port"
};

struct peer_disconnect {
  std::string name;
};

struct peer_send {
  connection_id connection = 0;
  peer_message message;
};

struct heartbeat_send {
  std::string to;  // "IP:port"
  heartbeat content;
};

enum class watch_mode : std::uint8_t {
  kWatch,    // long poll
  kPoll,     // every 30 s with jitter
  kRefresh,  // read once now, then go on as before
};

struct configuration_watch {
  watch_mode mode = watch_mode::kPoll;
  revision in_force = 0;
  std::uint64_t nonce = 0;  // with kRefresh: returned in the document_received that answers it
};

struct operator_reply {
  query_id query = 0;
  operator_query_kind kind = operator_query_kind::kState;
  std::string content_type;
  std::string body;
};

/// The process has nothing left to do and may exit.
struct process_finished {};

// Entry only.

/// A complete request of a caller, already checked for size and syntax.
struct caller_request {
  caller_id caller = 0;
  http_request request;
  std::string account;
  std::string service;  // from the path /services/S/; empty for completions
  std::string model;    // field "model" of a completion request
  std::string idempotency_key;
  std::uint32_t attempt = 0;  // 0: the caller did not say
  std::uint32_t priority = 0;
  std::uint64_t prefix_hash = 0;         // of the first bytes of the prompt; 0: none
  duration deadline = duration::zero();  // from now; zero: the service's default
};

/// The caller closed its connection before the answer was complete.
struct caller_closed {
  caller_id caller = 0;
};

struct address_query {
  caller_id caller = 0;
  std::string service;
  std::string account;
};

struct reply_header {
  std::string name;
  std::string value;
};

/// A complete reply made by the entry itself.
struct caller_reply {
  caller_id caller = 0;
  std::uint16_t status = 0;
  std::vector<reply_header> headers;
  std::string content_type = "application/json";
  std::string body;
};

/// Starts a relayed answer (chunked coding).
struct caller_head {
  caller_id caller = 0;
  std::uint16_t status = 0;
  std::vector<reply_header> headers;
  std::string content_type;
};

struct caller_part {
  caller_id caller = 0;
  std::string bytes;
};

/// Ends a relayed answer. If it is not complete the connection closes without the last chunk.
struct caller_end {
  caller_id caller = 0;
  bool complete = true;
};

/// Stop accepting connections and close idle ones; from now on replies close their connection.
struct callers_stop_accepting {};

using entry_input = std::variant<peer_opened, peer_closed, peer_received, heartbeat_received,
                                 document_received, instances_received, shutdown_requested,
                                 operator_query, caller_request, caller_closed, address_query>;
using entry_output =
    std::variant<peer_connect, peer_disconnect, peer_send, heartbeat_send, configuration_watch,
                 operator_reply, process_finished, log_event, caller_reply, caller_head,
                 caller_part, caller_end, callers_stop_accepting>;

// Agent only.

/// Send this request to the upstream. `resume_offset` bytes of its answer are already known. Not
/// sent after `not_after`: the process was paused in between, and its view may be out of date.
struct upstream_start {
  execution_id execution = 0;
  request_id id;
  http_request request;
  std::uint64_t resume_offset = 0;
  std::uint32_t priority = 0;
  time_point not_after = time_point::max();
};

struct upstream_cancel {
  execution_id execution = 0;
};

struct upstream_head {
  execution_id execution = 0;
  std::uint16_t status = 0;
  std::string content_type;
};

struct upstream_part {
  execution_id execution = 0;
  std::string bytes;
};

enum class upstream_outcome : std::uint8_t {
  kComplete,
  kNotSent,  // the connection could not be opened: the upstream has seen no byte
  kBroken,   // the connection broke after the first byte was written
};

struct upstream_end {
  execution_id execution = 0;
  upstream_outcome outcome = upstream_outcome::kComplete;
};

/// The upstream's own load report. `reachable` is false if it did not answer.
struct upstream_report {
  bool reachable = false;
  std::string instance;  // changes when the upstream restarts
  duration uptime = duration::zero();
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

enum class engine_action : std::uint8_t { kPrepare, kCommit, kAbort };

/// Changes the expert map of the engine beside this agent. Not sent after `not_after`, nor to an
/// engine that has had a higher token.
struct engine_order {
  std::uint64_t order = 0;  // returned in the engine_state that answers it
  engine_action action = engine_action::kPrepare;
  fencing_token token;
  std::uint64_t version = 0;
  std::optional<scheduled_map> map;       // not with kAbort
  std::optional<scheduled_map> previous;  // with kCommit, for an engine that has just started
  time_point not_after = time_point::max();
};

/// Whether the engine's expert map is polled.
struct engine_watch {
  bool enabled = false;
};

/// The engine's own account of its expert maps, in answer to a poll or to an order.
struct engine_state {
  std::uint64_t order = 0;  // 0: a poll
  bool reachable = false;
  std::string instance;  // changes when the engine restarts
  std::uint64_t next_step = 0;
  fencing_token token;   // the highest it was given
  bool loading = false;  // weights of the pending map, or of the committed one if none is pending
  std::optional<scheduled_map> previous;
  std::optional<scheduled_map> committed;
  std::optional<scheduled_map> pending;
  expert_load load;  // of the last step, over the whole group
};

using agent_input =
    std::variant<peer_opened, peer_closed, peer_received, heartbeat_received, document_received,
                 instances_received, shutdown_requested, operator_query, upstream_head,
                 upstream_part, upstream_end, upstream_report, engine_state>;
using agent_output = std::variant<peer_connect, peer_disconnect, peer_send, heartbeat_send,
                                  configuration_watch, operator_reply, process_finished, log_event,
                                  upstream_start, upstream_cancel, engine_order, engine_watch>;

/// All decisions of a process. Holds no sockets, threads or clocks: a run is a function of the
/// inputs, their times and the seed, so any schedule can be replayed.
template <typename Input, typename Output>
class decision_core {
 public:
  using input_type = Input;
  using output_type = Output;

  virtual ~decision_core() = default;

  /// Handles one input. Appends what is to be done to `outputs`, in order.
  virtual void Handle(const Input& input, const moment& at, std::vector<Output>& outputs) = 0;

  /// Fires everything that is due at `at.now`.
  virtual void Advance(const moment& at, std::vector<Output>& outputs) = 0;

  /// The next time Advance must be called; time_point::max() if nothing is pending.
  virtual time_point NextDeadline() const = 0;

  /// Everything the core knows and decides from, for the state dump.
  virtual nlohmann::json State() const = 0;
};

using entry_decisions = decision_core<entry_input, entry_output>;
using agent_decisions = decision_core<agent_input, agent_output>;

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_CORE_CORE_H_
