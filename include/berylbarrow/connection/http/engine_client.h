#ifndef BERYLBARROW_CONNECTION_HTTP_ENGINE_CLIENT_H_
#define BERYLBARROW_CONNECTION_HTTP_ENGINE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

struct engine_client_options {
  std::string address = {};  // "IP:port"
  duration poll_interval = std::chrono::milliseconds(100);
  duration timeout = std::chrono::milliseconds(500);  // of one exchange
  std::size_t max_state_bytes = 16U << 20;
};

/// Counts since the start of the process.
struct engine_client_counters {
  std::uint64_t states = 0;          // usable answers
  std::uint64_t states_missing = 0;  // no answer, or one that could not be read
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_refused = 0;  // by the engine
  std::uint64_t orders_late = 0;     // not sent: after engine_order::not_after
  std::uint64_t orders_fenced = 0;   // not sent: the engine has had a higher token

  auto operator<=>(const engine_client_counters&) const = default;
};

/// HTTP client for the expert map of the agent's engine. One exchange runs at a time, so states
/// arrive in the order in which the engine had them. All functions and the sink run on the thread
/// of the io_context, which must outlive the client.
class engine_client {
 public:
  /// Takes an engine_state; one for which there is no space is dropped, the next poll follows.
  using sink = std::function<bool(agent_input)>;

  /// `clock` must outlive the client.
  engine_client(boost::asio::io_context& context, engine_client_options options,
                const runtime_clock& clock, sink sink);
  ~engine_client();
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  /// Handles engine_watch and engine_order; ignores other outputs. Before an order is sent the
  /// engine's token is read: not every engine refuses a lower one, and the agent may have been
  /// paused since it made the order. Each order is answered by an engine_state.
  void Deliver(const agent_output& output);

  /// May be called by any thread.
  engine_client_counters Counters() const;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_ENGINE_CLIENT_H_
