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

#include "berylbarrow/connection/http/caller_server.h"
#include "berylbarrow/process/runtime/shared_count.h"
#include "connection/http/caller_request_parser.h"
#include "connection/http/caller_stream.h"

namespace berylbarrow {

class caller_connection;

/// caller_server_counters while they are being counted.
struct caller_count_set {
  shared_count requests, malformed, refused_full, refused_connections, slow_callers, abandoned,
      handshakes_failed;
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
};

/// One connection of a caller: reads a request, passes it on, writes the answer, and repeats.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<caller_host> host);

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
  void OnBody(error_code error);
  void OnReadError(error_code error);
  void Dispatch();
  void FailRequest(const caller_error& error);
  void Refuse(const caller_reply& reply);
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
  bool head_sent_ = false;
  bool bodyless_ = false;
  bool watching_ = false;  // the read that detects a closed connection is pending
  bool writing_ = false;
  std::string outgoing_;  // not yet handed to the socket
  std::string in_write_;
  std::size_t written_ = 0;  // of in_write_
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_HTTP_CALLER_CONNECTION_H_
