#include "berylbarrow/connection/http/engine_client.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <utility>

#include "berylbarrow/process/runtime/shared_count.h"
#include "connection/http/expert_map_text.h"
#include "connection/http/http_get.h"

namespace berylbarrow {
namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;

const char* Target(engine_action action) {
  switch (action) {
    case engine_action::kPrepare:
      return "/expert-map/prepare";
    case engine_action::kCommit:
      return "/expert-map/commit";
    case engine_action::kAbort:
      return "/expert-map/abort";
  }
  return "";
}

}  // namespace

class engine_client::impl : public std::enable_shared_from_this<engine_client::impl> {
 public:
  impl(boost::asio::io_context& context, engine_client_options options, const runtime_clock& clock,
       engine_client::sink sink)
      : context_(context),
        options_(std::move(options)),
        clock_(clock),
        sink_(std::move(sink)),
        timer_(context) {}

  void Deliver(const engine_watch& watch) {
    enabled_ = watch.enabled;
    Next();
  }

  void Deliver(const engine_order& order) {
    orders_.push_back(order);
    timer_.cancel();
    Next();
  }

  template <typename Other>
  void Deliver(const Other& /*output*/) {}

  void Close() {
    closed_ = true;
    timer_.cancel();
    exchange_.reset();
  }

  engine_client_counters Counters() const {
    return {.states = counts_.states,
            .states_missing = counts_.states_missing,
            .orders_sent = counts_.orders_sent,
            .orders_refused = counts_.orders_refused,
            .orders_late = counts_.orders_late,
            .orders_fenced = counts_.orders_fenced};
  }

 private:
  struct count_set {
    shared_count states, states_missing, orders_sent, orders_refused, orders_late, orders_fenced;
  };

  /// Reads the state, for an order or for a poll.
  void Next() {
    if (closed_ || busy_ || (orders_.empty() && !enabled_)) {
      return;
    }
    busy_ = true;
    Run({.address = options_.address,
         .target = "/expert-map",
         .timeout = options_.timeout,
         .max_body_bytes = options_.max_state_bytes},
        &impl::OnRead);
  }

  void OnRead(engine_state state, unsigned /*status*/) {
    if (orders_.empty()) {
      Finish(std::move(state));
      return;
    }
    const engine_order order = std::move(orders_.front());
    orders_.pop_front();
    state.order = order.order;
    const bool is_late = clock_.Now() > order.not_after;
    const bool is_fenced = state.token > order.token;
    if (!state.reachable || is_late || is_fenced) {
      if (is_late) ++counts_.orders_late;
      if (is_fenced) ++counts_.orders_fenced;
      Finish(std::move(state));
      return;
    }
    ++counts_.orders_sent;
    sent_order_ = order.order;
    Run({.address = options_.address,
         .target = Target(order.action),
         .timeout = options_.timeout,
         .max_body_bytes = options_.max_state_bytes,
         .body = OrderText(order)},
        &impl::OnOrdered);
  }

  void OnOrdered(engine_state state, unsigned status) {
    if (status == kStatusConflict) ++counts_.orders_refused;
    state.order = sent_order_;
    Finish(std::move(state));
  }

  void Run(http_get_options options, void (impl::*next)(engine_state, unsigned)) {
    exchange_ = std::make_unique<http_get>(
        context_, std::move(options), [weak = weak_from_this(), next](const http_get_reply& reply) {
          const auto self = weak.lock();
          if (!self || self->closed_) {
            return;
          }
          const bool is_answer = reply.status == kStatusOk || reply.status == kStatusConflict;
          ((*self).*next)(is_answer ? ParseEngineState(reply.body) : engine_state{}, reply.status);
        });
  }

  void Finish(engine_state state) {
    ++(state.reachable ? counts_.states : counts_.states_missing);
    sink_(std::move(state));
    busy_ = false;
    if (!orders_.empty()) {
      Next();
      return;
    }
    timer_.expires_after(options_.poll_interval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code cancelled) {
      const auto self = weak.lock();
      if (!cancelled && self) {
        self->Next();
      }
    });
  }

  boost::asio::io_context& context_;
  engine_client_options options_;
  const runtime_clock& clock_;
  engine_client::sink sink_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<http_get> exchange_;
  std::deque<engine_order> orders_;
  std::uint64_t sent_order_ = 0;
  bool enabled_ = false;
  bool busy_ = false;
  bool closed_ = false;
  count_set counts_;
};

engine_client::engine_client(boost::asio::io_context& context, engine_client_options options,
                             const runtime_clock& clock, engine_client::sink sink)
    : impl_(std::make_shared<impl>(context, std::move(options), clock, std::move(sink))) {}

engine_client::~engine_client() { impl_->Close(); }

void engine_client::Deliver(const agent_output& output) {
  std::visit([this](const auto& content) { impl_->Deliver(content); }, output);
}

engine_client_counters engine_client::Counters() const { return impl_->Counters(); }

}  // namespace berylbarrow
