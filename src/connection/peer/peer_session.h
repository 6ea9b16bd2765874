#ifndef BERYLBARROW_CONNECTION_PEER_PEER_SESSION_H_
#define BERYLBARROW_CONNECTION_PEER_PEER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <span>
#include <string>

#include "berylbarrow/connection/peer/peer_manager.h"
#include "berylbarrow/connection/wire/codec.h"

namespace berylbarrow {

enum class close_reason : std::uint8_t {
  kLocal,
  kConnectFailed,
  kPeer,
  kSilent,
  kNoHello,
  kQueueFull,
  kMalformed,
};

class peer_session;

/// What a session needs of its manager.
class session_owner {
 public:
  virtual hello Greeting() const = 0;
  /// Returns false if the event was kept for later: the session reads nothing more until Resume.
  virtual bool OnEvent(peer_session& session, peer_event event) = 0;
  /// Called once. The session makes no further call.
  virtual void OnClosed(peer_session& session, close_reason reason) = 0;
  virtual void OnPing() = 0;
  /// Space for one read, shared by all sessions.
  virtual std::span<char> ReadBuffer() = 0;

 protected:
  ~session_owner() = default;
};

/// One TCP connection to another process. The owner closes it before the owner is destroyed.
class peer_session final : public std::enable_shared_from_this<peer_session> {
 public:
  using tcp = boost::asio::ip::tcp;

  peer_session(tcp::socket socket, connection_id id, const peer_manager_options& options,
               session_owner& owner);

  /// Opens the connection and continues as Start does.
  void Connect(const tcp::endpoint& endpoint);
  /// Says hello on an open connection and begins to read.
  void Start();
  /// Queues a message and notes the requests that it begins or ends. Returns false if it is longer
  /// than a frame may be.
  bool Send(const peer_message& message);
  /// Goes on reading after OnEvent returned false.
  void Resume();
  void Close(close_reason reason);

  connection_id Id() const { return id_; }
  bool Greeted() const { return greeted_; }
  std::size_t QueuedBytes() const { return queued_bytes_; }

 private:
  using steady_time = std::chrono::steady_clock::time_point;

  void SendFrame(std::string frame);
  void WaitReadable();
  void Read();
  void HandleBuffered();
  bool HandleMessage(peer_message message);
  bool HandleHello(const hello& greeting);
  void Write();
  /// Begins or ends requests by a message in either direction.
  void Track(const peer_message& message);
  steady_time PingAt() const;
  /// When the connection counts as silent.
  steady_time SilentAt() const;
  void ArmPing();
  void CheckPing();
  void ArmDeadline(steady_time at);
  void CheckDeadline(steady_time armed_for);

  tcp::socket socket_;
  connection_id id_;
  const peer_manager_options& options_;
  session_owner& owner_;
  frame_reader reader_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  std::size_t writing_ = 0;  // frames at the front of the queue that are being written
  std::uint64_t ping_sequence_ = 0;
  steady_time last_byte_;
  steady_time last_ping_;
  std::set<request_id> in_flight_;  // dispatched over this connection and not ended
  steady_time busy_since_;          // when the first of them was dispatched
  boost::asio::steady_timer ping_timer_;
  boost::asio::steady_timer deadline_timer_;
  bool greeted_ = false;
  bool waiting_for_owner_ = false;
  bool closed_ = false;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_CONNECTION_PEER_PEER_SESSION_H_
