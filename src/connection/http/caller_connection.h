#ifndef BERYLBARROW_CONNECTION_HTTP_CALLER_CONNECTION_H_
#define BERYLBARROW_CONNECTION_HTTP_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "berylbarrow/connection/arrival/arrival_budget.h"
#include "berylbarrow/connection/http/caller_server.h"
#include "berylbarrow/process/runtime/shared_count.h"
#include "connection/http/caller_request_parser.h"
#include "connection/http/caller_stream.h"

namespace berylbarrow {

class caller_connection;

/// caller_server_counters while they are being counted.
struct caller_count_set {
  shared_count requests, malformed, refused_full, refused_connections, slow_callers, abandoned,
      handshakes_failed, refused_memory;
};

/// What a connection needs of its server.
class caller_host {
 public:
  virtual ~caller_host() = default;
  virtual const caller_server_options& Options() const = 0;
  virtual caller_count_set& Count() = 0;
  virtual bool Stopping() const = 0;
  /// Null if callers use plain TCP.
  virtual boost::asio::ssl::context* Tls() = 0;
  /// Passes a message to the core. Returns the id given to it, or nothing if there is no space.
  virtual std::optional<caller_id> Begin(const std::shared_ptr<caller_connection>& connection,
                                         caller_message message) = 0;
  /// The exchange is over; `abandoned` if the caller left before its answer was complete.
  virtual void Finish(caller_id caller, bool abandoned) = 0;
  virtual void Forget(caller_connection* connection) = 0;
  virtual arrival_budget& Budget() = 0;
  virtual time_point Now() const = 0;
};

/// One connection of a caller: reads a request, passes it on, writes the answer, and repeats.
class caller_connection : public arrival_holder,
                          public std::enable_shared_from_this<caller_connection> {
 public:
  /// `address`: IP address of the caller.
  caller_connection(boost::asio::ip::tcp::socket socket, const std::string& address,
                    std::shared_ptr<caller_host> host);
  ~caller_connection() override;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  void Start();
  /// Answers with `reply` before any request and closes.
  void StartRefusing(caller_reply reply);

  void Reply(const caller_reply& reply);
  void Head(const caller_head& head);
  void Part(std::string_view bytes);
  void End(bool complete);

  /// Whether a request has begun to arrive, or its answer is not completely written.
  bool IsUnfinished() const;
  /// Bytes that the socket has not taken yet.
  std::size_t UnwrittenBytes() const { return outgoing_.size() + in_write_.size() - written_; }
  /// Closes the connection if no request has begun to arrive.
  void CloseIfIdle();
  void Close();
  void Yield(yield_reason reason) override;

 private:
  enum class phase : std::uint8_t {
    kHandshake,  // of TLS
    kReading,    // waits for a request or receives one
    kWaiting,    // the core has the request
    kFlushing,   // the answer is complete and being written
    kLinger,     // sending is shut down; incoming bytes are discarded
    kClosed,
  };

  using error_code = boost::system::error_code;
  using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  template <typename Next>
  void Handshake(Next next);
  void ReadRequest();
  void OnHeader(error_code error);
  /// `progress`: bytes that have just been read.
  void ReadBody(std::size_t progress);
  void OnBody(error_code error, std::size_t bytes);
  void OnReadError(error_code error);
  void Dispatch();
  void FailRequest(const caller_error& error);
  void Refuse(const caller_reply& reply);
  bool HasRequestBegun() const { return buffer_.size() > 0 || (parser_ && parser_->got_some()); }
  holder_use MemoryUse() const;
  /// Tells the budget what the connection holds. Returns false if it has to release it.
  bool UpdateBudget(std::size_t progress);
  void OnYield();
  void RefuseForMemory();
  void WatchForClose();
  void OnWatched(error_code error, std::size_t bytes);
  void FinishExchange();
  void Write(std::string_view bytes);
  void WriteSome();
  void OnFlushed();
  void StartLinger();
  void Discard();
  void Abandon();
  void ArmReadTimer(duration limit);
  void ArmWriteTimer();
  void OnReadTimeout();
  bool KeepAlive() const { return keep_alive_ && !host_->Stopping(); }

  caller_stream stream_;
  boost::asio::steady_timer read_timer_;
  boost::asio::steady_timer write_timer_;
  std::shared_ptr<caller_host> host_;
  boost::beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  phase phase_ = phase::kReading;
  caller_id caller_ = 0;  // 0: no request is with the core
  bool keep_alive_ = true;
  bool refused_ = false;  // the answer is the last one, and no request is read any more
  bool head_sent_ = false;
  bool bodyless_ = false;
  bool watching_ = false;  // the read that detects a closed connection is pending
  bool writing_ = false;
  std::string outgoing_;  // not yet handed to the socket
  std::string in_write_;
  std::size_t written_ = 0;        // of in_write_
  std::size_t request_bytes_ = 0;  // of the request that the core has
  std::size_t head_bytes_ = 0;     // of the request that is arriving
  holder_id holder_;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_CALLER_CONNECTION_H_
