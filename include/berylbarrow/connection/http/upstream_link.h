#ifndef BERYLBARROW_CONNECTION_HTTP_UPSTREAM_LINK_H_
#define BERYLBARROW_CONNECTION_HTTP_UPSTREAM_LINK_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "berylbarrow/connection/http/http_parser.h"
#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

enum class link_failure : std::uint8_t {
  kNotSent,   // no byte of the request has left this process
  kNoAnswer,  // the request may have been read; no byte of an answer came
  kCutShort,  // the connection broke inside the answer
  kGarbled,   // the answer is not HTTP
  kTooLarge,  // the answer exceeds a limit
};

/// Receives the answer to one request. Every call may be the last one; `OnAnswerEnd` and
/// `OnLinkFailure` always are.
class exchange_handler {
 public:
  virtual ~exchange_handler() = default;
  /// Returns false to skip this answer, because it belongs to another request.
  virtual bool OnAnswerHead(const http_head& head) = 0;
  /// More of the body is in `body`; what the handler takes out is not shown again.
  virtual void OnAnswerBody(std::string& body) = 0;
  virtual void OnAnswerEnd(const http_head& head, std::string&& body) = 0;
  virtual void OnLinkFailure(link_failure failure) = 0;
};

/// Limits the bytes that the links of a process hold at one time. Up to `free_bytes` of each holder
/// do not count, so that a few large answers cannot make usual ones fail.
class byte_budget {
 public:
  byte_budget(std::size_t limit, std::size_t free_bytes) : limit_(limit), free_bytes_(free_bytes) {}
  /// Replaces `held` bytes of one holder by `wanted`. Returns false, and changes nothing, if that
  /// exceeds the limit.
  bool Replace(std::size_t held, std::size_t wanted) {
    const std::size_t before = Counted(held);
    const std::size_t after = Counted(wanted);
    if (after > before && after - before > limit_ - used_) return false;
    used_ = used_ - before + after;
    return true;
  }
  std::size_t Used() const { return used_; }

 private:
  std::size_t Counted(std::size_t bytes) const {
    return bytes > free_bytes_ ? bytes - free_bytes_ : 0;
  }

  std::size_t limit_;
  std::size_t free_bytes_;
  std::size_t used_ = 0;
};

struct upstream_link_options {
  std::string address;       // "IP:port"
  std::uint64_t serial = 0;  // tells the links of a process apart in its log
  std::uint64_t max_answer_bytes = 8U << 20U;
  std::shared_ptr<byte_budget> answer_budget;  // shared by all links; null: none
  duration connect_timeout = std::chrono::milliseconds(500);
  duration silence_limit = std::chrono::seconds(3);  // of unacknowledged bytes
};

/// One connection to an upstream. Serves one request at a time.
class upstream_link final : public std::enable_shared_from_this<upstream_link> {
 public:
  /// `on_idle_end` is called when the connection ends while no request uses it.
  upstream_link(boost::asio::io_context& context, const upstream_link_options& options,
                const runtime_clock& clock, std::function<void(upstream_link&)> on_idle_end);
  ~upstream_link();

  /// Sends `request`, a message without its body, and `body`, which may be null, and gives the
  /// answer to `handler`. Connects first if needed. `is_head`: the answer has no body whatever its
  /// fields say.
  void Exchange(std::string request, bool is_head, exchange_handler* handler,
                std::shared_ptr<const std::string> body = nullptr);
  /// Ends the connection. The handler is not called any more.
  void Close();
  /// Ends the connection in the midst of an exchange by a reset: what has not reached the upstream
  /// yet is not delivered later, after a partition or a pause of the upstream.
  void Abort();
  /// Called regularly: gives up a connection attempt that takes too long.
  void CheckTimeouts(time_point now);

  bool IsIdle() const { return state_ == state::kIdle; }
  time_point IdleSince() const { return idle_since_; }
  /// How long the upstream keeps an idle connection, if it said so.
  std::optional<duration> KeepAliveHint() const { return keep_alive_; }
  const std::string& Address() const { return options_.address; }
  std::uint64_t Serial() const { return options_.serial; }
  /// Number of requests sent on this connection, including the present one.
  std::uint32_t ExchangeCount() const { return exchange_count_; }
  /// Head of the answer that is being read.
  const http_head& AnswerHead() const { return parser_->Head(); }

 private:
  enum class state : std::uint8_t { kNew, kConnecting, kIdle, kBusy, kClosed };
  enum class write_state : std::uint8_t { kPending, kDone, kFailed };

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void ParseInput();
  void HandleComplete();
  void HandleEnd(const boost::system::error_code& error);
  void BeginParser();
  /// Accounts for the part of the answer that this link holds. Returns false if the budget is used
  /// up.
  bool HoldBytes(std::size_t size);
  /// How an answer that cannot be parsed has failed.
  link_failure ParseFailure() const;
  void Fail(link_failure failure);
  void ReadKeepAlive(const http_head& head);

  boost::asio::ip::tcp::socket socket_;
  upstream_link_options options_;
  const runtime_clock& clock_;
  std::function<void(upstream_link&)> on_idle_end_;
  state state_ = state::kNew;
  exchange_handler* handler_ = nullptr;
  std::string output_;
  std::shared_ptr<const std::string> body_;  // sent after `output_`; shared with other attempts
  write_state write_state_ = write_state::kDone;  // of the present request
  bool reading_ = false;
  bool is_head_ = false;
  bool head_shown_ = false;
  bool skipping_ = false;
  std::uint32_t exchange_count_ = 0;
  std::uint32_t ignored_answers_ = 0;  // interim answers and answers to other requests
  std::size_t held_bytes_ = 0;         // of `answer_budget`
  std::string input_;
  std::optional<response_parser> parser_;
  time_point connect_started_;
  time_point idle_since_;
  std::optional<duration> keep_alive_;
  static constexpr std::size_t kReadBytes = 8192;
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_UPSTREAM_LINK_H_
