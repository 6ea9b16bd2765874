#ifndef BERYLBARROW_PROCESS_RUNTIME_PROCESS_WIRING_H_
#define BERYLBARROW_PROCESS_RUNTIME_PROCESS_WIRING_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "berylbarrow/connection/http/operator_server.h"
#include "berylbarrow/connection/http/platform_client.h"
#include "berylbarrow/connection/peer/peer_manager.h"
#include "berylbarrow/process/core/core.h"
#include "berylbarrow/process/runtime/decision_thread.h"
#include "berylbarrow/process/runtime/duty.h"
#include "berylbarrow/process/runtime/ring.h"
#include "berylbarrow/process/settings/settings.h"
#include "berylbarrow/process/telemetry/log.h"
#include "process/runtime/process_counters.h"

namespace berylbarrow {

template <typename Wanted, typename... Listed>
inline constexpr bool kIsOneOf = (std::is_same_v<Wanted, Listed> || ...);

/// What the wiring needs to know of the role's duty.
struct role_hooks {
  std::function<bool()> is_flushed;              // nothing is left to write; on the role's thread
  std::function<std::size_t()> unwritten_bytes;  // on the role's thread
  std::function<std::string()> counters;         // text exposition; on any thread
  std::vector<log_field> addresses;              // for the log
};

/// The duties that entries and agents have in common, and the rings between them and the decisions.
/// The duty of the role (callers or upstream) is added by its setup function.
template <typename Core>
class process_wiring {
 public:
  using input_type = typename Core::input_type;
  using output_type = typename Core::output_type;

  process_wiring(const process_settings& settings, std::unique_ptr<Core> core,
                 const runtime_clock& clock, const process_identity& identity)
      : capacity_(settings.limits.ring_capacity),
        settings_(settings),
        identity_(identity),
        decisions_(std::move(core), clock, [this](output_type& output) { return Route(output); }),
        signal_input_(decisions_.AddInput(capacity_)),
        peers_(peer_duty_.Context(), PeerOptions(settings, identity),
               MakeSink<peer_event>("peers")),
        platform_(platform_duty_.Context(), PlatformOptions(settings, identity),
                  MakeSink<platform_event>("platform")),
        operators_(operator_duty_.Context(), settings.operators_address,
                   MakeSink<operator_query>("operators")),
        to_peers_(peer_duty_.Context(), capacity_,
                  [this](output_type&& output) { HandlePeerOutput(output); }),
        to_platform_(platform_duty_.Context(), capacity_,
                     [this](configuration_watch&& watch) { platform_.Watch(watch); }),
        to_operators_(operator_duty_.Context(), capacity_,
                      [this](operator_reply&& reply) { HandleOperatorReply(std::move(reply)); }) {}

  /// A sink with its own ring to the decisions. Each thread needs one of its own. `name` labels the
  /// ring in the metrics.
  template <typename Event>
  std::function<bool(Event)> MakeSink(const std::string& name) {
    ring<input_type>& input = decisions_.AddInput(capacity_);
    inputs_.emplace_back(name, &input);
    return [&input](Event event) { return input.Push(ToInput(std::move(event))); };
  }

  std::size_t RingCapacity() const { return capacity_; }

  /// Starts every duty and returns when the core has finished; all duties have ended then. Outputs
  /// of the role go to `to_role`, which `role` consumes. Throws std::runtime_error if the peer
  /// address cannot be used.
  void Run(duty& role, ring<output_type>& to_role, role_hooks hooks) {
    const checked<std::string> bound = peers_.Listen();
    if (!bound) throw std::runtime_error(bound.error().front().message);
    to_role_ = &to_role;
    role_ = &role;
    hooks_ = std::move(hooks);
    LogStart(bound.value());
    platform_.Start();
    WaitForSignal();
    for (duty* each : {&peer_duty_, &platform_duty_, &operator_duty_, &role}) each->Start();
    decisions_.Start();
    main_.run();
    // The other threads end first: the decisions may wait for space in one of their rings.
    for (duty* each : {&role, &operator_duty_, &platform_duty_, &peer_duty_}) each->Stop();
    decisions_.Stop();
    logger::Flush();
  }

 private:
  // The callers and peers that read nothing for so long have most likely gone.
  static constexpr std::chrono::seconds kFlushStallTime{5};
  static constexpr std::chrono::milliseconds kFlushPoll{5};
  static constexpr std::chrono::milliseconds kSignalRetry{1};
  static constexpr std::size_t kMinQueuedBytes = 8U << 20;

  static peer_manager_options PeerOptions(const process_settings& settings,
                                          const process_identity& identity) {
    const std::size_t frame = settings.limits.max_frame_bytes;
    return {.listen_address = settings.peers_address,
            .identity = identity,
            .max_frame_bytes = frame,
            .max_connections = settings.limits.max_connections,
            .max_queued_messages = settings.limits.ring_capacity,
            .max_queued_bytes = std::max(kMinQueuedBytes, 2 * frame),
            .seed = identity.incarnation};
  }

  static platform_client_options PlatformOptions(const process_settings& settings,
                                                 const process_identity& identity) {
    return {.configuration_service = settings.configuration_service,
            .instance_list = settings.instance_list,
            .seed = identity.incarnation};
  }

  template <typename Event>
  static input_type ToInput(Event event) {
    if constexpr (std::is_constructible_v<input_type, Event>) {
      return input_type(std::move(event));
    } else {
      return std::visit(
          [](auto&& alternative) {
            return input_type(std::forward<decltype(alternative)>(alternative));
          },
          std::move(event));
    }
  }

  /// Runs on the decision thread.
  bool Route(output_type& output) {
    return std::visit(
        [&](auto& value) {
          using value_type = std::decay_t<decltype(value)>;
          if constexpr (kIsOneOf<value_type, peer_connect, peer_disconnect, peer_send,
                                 heartbeat_send>) {
            return Pass(to_peers_, output);
          } else if constexpr (kIsOneOf<value_type, configuration_watch>) {
            if (!to_peers_.HasSpace() || !to_platform_.HasSpace()) return false;
            return to_platform_.Push(value) && to_peers_.Push(output);
          } else if constexpr (kIsOneOf<value_type, operator_reply>) {
            return Pass(to_operators_, value);
          } else if constexpr (kIsOneOf<value_type, process_finished>) {
            boost::asio::post(main_, [this] { HandleFinished(); });
            return true;
          } else if constexpr (kIsOneOf<value_type, log_event>) {
            logger::Event(value.level, value.module, value.name, value.fields);
            return true;
          } else {
            return Pass(*to_role_, output);
          }
        },
        output);
  }

  template <typename Value>
  static bool Pass(ring<Value>& target, Value& value) {
    return target.HasSpace() && target.Push(std::move(value));
  }

  void HandlePeerOutput(const output_type& output) {
    if (const auto* connect = std::get_if<peer_connect>(&output)) {
      peers_.Connect(*connect);
    } else if (const auto* disconnect = std::get_if<peer_disconnect>(&output)) {
      peers_.Disconnect(*disconnect);
    } else if (const auto* send = std::get_if<peer_send>(&output)) {
      peers_.Send(*send);
    } else if (const auto* beat = std::get_if<heartbeat_send>(&output)) {
      peers_.SendHeartbeat(*beat);
    } else if (const auto* watch = std::get_if<configuration_watch>(&output)) {
      peers_.SetRevision(watch->in_force);
    }
  }

  void WaitForSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int /*signal*/) {
      if (error) return;
      RequestShutdown();
      WaitForSignal();
    });
  }

  void RequestShutdown() {
    if (signal_input_.Push(shutdown_requested{})) return;
    signal_timer_.expires_after(kSignalRetry);
    signal_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) RequestShutdown();
    });
  }

  void HandleFinished() {
    ArmFinishTimer();
    CheckFlushed();
  }

  void ArmFinishTimer() {
    finish_timer_.expires_after(kFlushStallTime);
    finish_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Finish(false);
    });
  }

  /// Asks the threads that write to callers and peers, one after the other, for what is left. What
  /// the decisions sent before process_finished is then in the rings or further.
  void CheckFlushed() {
    boost::asio::post(role_->Context(), [this] {
      const bool role_flushed = to_role_->IsEmpty() && hooks_.is_flushed();
      const std::size_t role_bytes = hooks_.unwritten_bytes();
      boost::asio::post(peer_duty_.Context(), [this, role_flushed, role_bytes] {
        const std::size_t peer_bytes = peers_.UnwrittenBytes();
        const bool flushed = role_flushed && to_peers_.IsEmpty() && peer_bytes == 0;
        boost::asio::post(main_, [this, flushed, unwritten = role_bytes + peer_bytes] {
          flushed ? Finish(true) : CheckFlushedLater(unwritten);
        });
      });
    });
  }

  void CheckFlushedLater(std::size_t unwritten) {
    if (unwritten < std::exchange(unwritten_, unwritten)) ArmFinishTimer();
    flush_timer_.expires_after(kFlushPoll);
    flush_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) CheckFlushed();
    });
  }

  void Finish(bool flushed) {
    logger::Event(flushed ? log_level::kInfo : log_level::kWarning, "process", "process_finished",
                  {{"flushed", flushed ? "true" : "false"}});
    main_.stop();
  }

  void LogStart(const std::string& bound) const {
    std::vector<log_field> fields{
        {"role", identity_.role == process_role::kEntry ? "entry" : "agent"},
        {"version", BERYLBARROW_VERSION},
        {"incarnation", std::to_string(identity_.incarnation)},
        {"peers", bound},
        {"operators", settings_.operators_address}};
    fields.insert(fields.end(), hooks_.addresses.begin(), hooks_.addresses.end());
    logger::Event(log_level::kInfo, "process", "process_started", fields);
  }

  /// Runs on the operator thread.
  void HandleOperatorReply(operator_reply&& reply) {
    if (reply.kind == operator_query_kind::kMetrics) reply.body += ProcessMetrics();
    operators_.Deliver(reply);
  }

  std::string ProcessMetrics() const {
    std::string text = hooks_.counters() + CountersText(peers_.Counters()) +
                       CountersText(platform_.Counters()) +
                       "# TYPE berylbarrow_ring_rejections_total counter\n";
    for (const auto& [name, input] : inputs_) {
      text += CounterLine("ring_rejections", "ring=\"" + name + "\"", input->Rejected());
    }
    return text + "# TYPE berylbarrow_decision_output_waits_total counter\n" +
           CounterLine("decision_output_waits", "", decisions_.OutputWaits());
  }

  std::size_t capacity_;
  const process_settings& settings_;
  process_identity identity_;
  std::vector<std::pair<std::string, const ring<input_type>*>> inputs_;  // in the order of AddInput
  boost::asio::io_context main_{1};
  boost::asio::signal_set signals_{main_, SIGTERM, SIGINT};
  boost::asio::steady_timer signal_timer_{main_};
  boost::asio::steady_timer finish_timer_{main_};
  boost::asio::steady_timer flush_timer_{main_};
  std::size_t unwritten_ = 0;  // bytes, at the last check
  duty peer_duty_{"peers"};
  duty platform_duty_{"platform"};
  duty operator_duty_{"operators"};
  decision_thread<Core> decisions_;
  ring<input_type>& signal_input_;
  peer_manager peers_;
  platform_client platform_;
  operator_server operators_;
  ring<output_type> to_peers_;
  ring<configuration_watch> to_platform_;
  ring<operator_reply> to_operators_;
  ring<output_type>* to_role_ = nullptr;
  duty* role_ = nullptr;
  role_hooks hooks_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_RUNTIME_PROCESS_WIRING_H_
