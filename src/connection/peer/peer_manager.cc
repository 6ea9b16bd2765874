#include "berylbarrow/connection/peer/peer_manager.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "berylbarrow/connection/wire/codec.h"
#include "connection/peer/heartbeat_socket.h"
#include "connection/peer/peer_counts.h"
#include "connection/peer/peer_session.h"
#include "connection/wire/endpoint.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;
using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kSinkRetry{1};
// Accepting fails for lack of descriptors until another connection closes.
constexpr std::chrono::milliseconds kAcceptRetry{100};
constexpr std::size_t kReadBufferBytes = 64 << 10;
// A free TCP port chosen by the kernel may be in use for UDP.
constexpr int kPortAttempts = 16;

/// A peer to which this process keeps a connection.
struct outgoing_peer {
  explicit outgoing_peer(boost::asio::io_context& context) : timer(context) {}

  std::string address;
  connection_id connection = 0;  // 0: none
  steady_clock::time_point dialled;
  std::uint32_t failures = 0;  // connections in a row that did not last
  boost::asio::steady_timer timer;
};

struct session_entry {
  std::shared_ptr<peer_session> session;
  std::weak_ptr<outgoing_peer> outgoing;
};

findings Failure(std::string message) {
  return {{.file = {}, .line = 0, .column = 0, .message = std::move(message)}};
}

}  // namespace

class peer_manager::impl final : public session_owner,
                                 public std::enable_shared_from_this<peer_manager::impl> {
 public:
  impl(boost::asio::io_context& context, peer_manager_options options, peer_event_sink sink)
      : context_(context),
        options_(std::move(options)),
        sink_(std::move(sink)),
        acceptor_(context),
        accept_timer_(context),
        sink_timer_(context),
        random_(options_.seed),
        read_buffer_(kReadBufferBytes) {}

  checked<std::string> Listen();
  void Connect(const peer_connect& peer);
  void Disconnect(const std::string& name);
  void Send(const peer_send& send);
  void SendHeartbeat(const heartbeat_send& send);
  void SetRevision(revision in_force) { in_force_ = in_force; }
  std::size_t UnwrittenBytes() const;
  void Close();
  peer_counters Counters() const { return counts_.Values(); }

  hello Greeting() const override { return {.sender = options_.identity, .in_force = in_force_}; }
  bool OnEvent(peer_session& session, peer_event event) override;
  void OnClosed(peer_session& session, close_reason reason) override;
  void OnPing() override { ++counts_.pings_sent; }
  std::span<char> ReadBuffer() override { return read_buffer_; }

 private:
  error_code Bind(const ip_endpoint& local);
  void Accept();
  void HandleAccepted(tcp::socket socket);
  void HandleDatagram(std::string_view datagram, const udp::endpoint& from);
  void Dial(const std::shared_ptr<outgoing_peer>& peer);
  void DialLater(const std::shared_ptr<outgoing_peer>& peer);
  void Drop(outgoing_peer& peer);
  bool Full() const;
  bool Deliver(peer_event event);
  void ArmSinkRetry();
  void RetrySink();

  boost::asio::io_context& context_;
  const peer_manager_options options_;
  peer_event_sink sink_;
  revision in_force_ = 0;
  bool closing_ = false;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  boost::asio::steady_timer sink_timer_;
  std::shared_ptr<heartbeat_socket> heartbeats_;
  std::mt19937_64 random_;
  std::vector<char> read_buffer_;
  connection_id last_connection_ = 0;
  std::unordered_map<connection_id, session_entry> sessions_;
  std::map<std::string, std::shared_ptr<outgoing_peer>, std::less<>> outgoing_;
  std::deque<peer_event> pending_;                    // events the sink had no space for
  std::vector<std::weak_ptr<peer_session>> waiting_;  // sessions that read nothing until then
  peer_counts counts_;
};

checked<std::string> peer_manager::impl::Listen() {
  const std::optional<ip_endpoint> local = ParseEndpoint(options_.listen_address);
  if (!local) {
    return Failure("peer address \"" + options_.listen_address + "\" is not IP:port");
  }
  error_code error = Bind(*local);
  for (int i = 1; error && local->port == 0 && i < kPortAttempts; ++i) error = Bind(*local);
  if (error) {
    return Failure("cannot listen for peers on " + options_.listen_address + ": " +
                   error.message());
  }
  Accept();
  heartbeats_->Start();
  const tcp::endpoint bound = acceptor_.local_endpoint();
  return FormatEndpoint({.address = bound.address(), .port = bound.port()});
}

error_code peer_manager::impl::Bind(const ip_endpoint& local) {
  error_code error;
  error_code ignored;
  acceptor_.close(ignored);
  const tcp::endpoint wanted(local.address, local.port);
  acceptor_.open(wanted.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(wanted, error);
  if (!error) acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) return error;
  const tcp::endpoint bound = acceptor_.local_endpoint(error);
  if (error) return error;
  heartbeats_ = std::make_shared<heartbeat_socket>(
      context_, [this](std::string_view datagram, const udp::endpoint& from) {
        HandleDatagram(datagram, from);
      });
  return heartbeats_->Bind(udp::endpoint(bound.address(), bound.port()));
}

void peer_manager::impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](const error_code& error, tcp::socket socket) {
    if (self->closing_) return;
    if (!error) {
      self->HandleAccepted(std::move(socket));
      if (!self->closing_) self->Accept();
      return;
    }
    self->accept_timer_.expires_after(kAcceptRetry);
    self->accept_timer_.async_wait([self](const error_code& /*cancelled*/) {
      if (!self->closing_) self->Accept();
    });
  });
}

void peer_manager::impl::HandleAccepted(tcp::socket socket) {
  if (Full()) {
    ++counts_.refused_connections;
    return;
  }
  const connection_id id = ++last_connection_;
  auto session = std::make_shared<peer_session>(std::move(socket), id, options_, *this);
  sessions_.emplace(id, session_entry{.session = session, .outgoing = {}});
  session->Start();
}

void peer_manager::impl::HandleDatagram(std::string_view datagram, const udp::endpoint& from) {
  decoded<heartbeat> content = DecodeHeartbeat(datagram);
  if (!content) {
    ++counts_.heartbeats_malformed;
    return;
  }
  ++counts_.heartbeats_received;
  const std::string sender = FormatEndpoint({.address = from.address(), .port = from.port()});
  if (!sink_(heartbeat_received{.from = sender, .content = std::move(content.value())})) {
    ++counts_.heartbeats_dropped;
  }
}

void peer_manager::impl::Connect(const peer_connect& peer) {
  if (closing_) return;
  std::shared_ptr<outgoing_peer>& entry = outgoing_[peer.name];
  if (entry && entry->address == peer.address) return;
  if (entry) Drop(*entry);
  // A new object, so that handlers of the old one find it gone.
  entry = std::make_shared<outgoing_peer>(context_);
  entry->address = peer.address;
  Dial(entry);
}

void peer_manager::impl::Disconnect(const std::string& name) {
  const auto found = outgoing_.find(name);
  if (found == outgoing_.end()) return;
  const std::shared_ptr<outgoing_peer> peer = found->second;
  outgoing_.erase(found);
  Drop(*peer);
}

void peer_manager::impl::Drop(outgoing_peer& peer) {
  peer.timer.cancel();
  const auto found = sessions_.find(peer.connection);
  if (found == sessions_.end()) return;
  found->second.outgoing.reset();
  const std::shared_ptr<peer_session> session = found->second.session;
  session->Close(close_reason::kLocal);
}

void peer_manager::impl::Dial(const std::shared_ptr<outgoing_peer>& peer) {
  const std::optional<ip_endpoint> remote = ParseEndpoint(peer->address);
  if (!remote) {
    ++counts_.bad_addresses;
    return;
  }
  peer->dialled = steady_clock::now();
  if (Full()) {
    ++counts_.refused_connections;
    return DialLater(peer);
  }
  const connection_id id = ++last_connection_;
  auto session = std::make_shared<peer_session>(tcp::socket(context_), id, options_, *this);
  sessions_.emplace(id, session_entry{.session = session, .outgoing = peer});
  peer->connection = id;
  session->Connect(tcp::endpoint(remote->address, remote->port));
}

void peer_manager::impl::DialLater(const std::shared_ptr<outgoing_peer>& peer) {
  // A connection that lasted is replaced quickly; one that fails at once is tried ever more rarely.
  const bool lasted = steady_clock::now() - peer->dialled > 2 * options_.reconnect_max;
  if (lasted) peer->failures = 0;
  constexpr std::uint32_t kMaxDoublings = 16;
  const duration limit =
      std::min(options_.reconnect_max,
               options_.reconnect_min * (1U << std::min(peer->failures, kMaxDoublings)));
  ++peer->failures;
  std::uniform_int_distribution<duration::rep> jitter(limit.count() / 2, limit.count());
  peer->timer.expires_after(duration(jitter(random_)));
  peer->timer.async_wait(
      [self = shared_from_this(), weak = std::weak_ptr(peer)](const error_code& error) {
        const std::shared_ptr<outgoing_peer> still_wanted = weak.lock();
        if (error || self->closing_ || !still_wanted) return;
        self->Dial(still_wanted);
      });
}

bool peer_manager::impl::Full() const {
  // While the sink takes nothing, closing and reconnecting would make the pending events grow.
  return sessions_.size() >= options_.max_connections ||
         pending_.size() >= options_.max_connections;
}

void peer_manager::impl::Send(const peer_send& send) {
  const auto found = sessions_.find(send.connection);
  if (found == sessions_.end() || !found->second.session->Greeted()) {
    ++counts_.sends_dropped;
    return;
  }
  const std::shared_ptr<peer_session> session = found->second.session;
  if (!session->Send(send.message)) ++counts_.sends_too_long;
}

void peer_manager::impl::SendHeartbeat(const heartbeat_send& send) {
  if (closing_ || !heartbeats_) return;
  const std::optional<ip_endpoint> to = ParseEndpoint(send.to);
  if (!to) {
    ++counts_.bad_addresses;
    return;
  }
  const std::string datagram = EncodeHeartbeat(send.content);
  const bool sent = datagram.size() <= kMaxHeartbeatBytes &&
                    heartbeats_->Send(datagram, udp::endpoint(to->address, to->port));
  ++(sent ? counts_.heartbeats_sent : counts_.heartbeats_not_sent);
}

bool peer_manager::impl::OnEvent(peer_session& session, peer_event event) {
  if (closing_) return true;
  if (std::holds_alternative<peer_opened>(event)) {
    ++counts_.open;
    ++counts_.opened;
  }
  if (Deliver(std::move(event))) return true;
  waiting_.push_back(session.weak_from_this());
  return false;
}

void peer_manager::impl::OnClosed(peer_session& session, close_reason reason) {
  counts_.Count(reason);
  const auto found = sessions_.find(session.Id());
  if (found == sessions_.end()) return;
  const std::shared_ptr<outgoing_peer> peer = found->second.outgoing.lock();
  sessions_.erase(found);
  if (session.Greeted()) --counts_.open;
  if (closing_) return;
  if (session.Greeted()) Deliver(peer_closed{.connection = session.Id()});
  if (!peer) return;
  peer->connection = 0;
  DialLater(peer);
}

bool peer_manager::impl::Deliver(peer_event event) {
  if (pending_.empty() && sink_(event)) return true;
  ++counts_.events_delayed;
  pending_.push_back(std::move(event));
  if (pending_.size() == 1) ArmSinkRetry();
  return false;
}

void peer_manager::impl::ArmSinkRetry() {
  sink_timer_.expires_after(kSinkRetry);
  sink_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closing_) return;
    self->RetrySink();
  });
}

void peer_manager::impl::RetrySink() {
  while (!pending_.empty()) {
    if (!sink_(pending_.front())) return ArmSinkRetry();
    pending_.pop_front();
  }
  for (const std::weak_ptr<peer_session>& weak : std::exchange(waiting_, {})) {
    if (const std::shared_ptr<peer_session> session = weak.lock()) session->Resume();
  }
}

std::size_t peer_manager::impl::UnwrittenBytes() const {
  std::size_t sum = 0;
  for (const auto& [id, entry] : sessions_) {
    // The hello to a peer that does not answer is not worth waiting for.
    if (entry.session->Greeted()) sum += entry.session->QueuedBytes();
  }
  return sum;
}

void peer_manager::impl::Close() {
  if (closing_) return;
  closing_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  sink_timer_.cancel();
  if (heartbeats_) heartbeats_->Close();
  outgoing_.clear();
  for (const auto& [id, entry] : std::exchange(sessions_, {})) {
    entry.session->Close(close_reason::kLocal);
  }
  pending_.clear();
}

peer_manager::peer_manager(boost::asio::io_context& context, peer_manager_options options,
                           peer_event_sink sink)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(sink))) {}

peer_manager::~peer_manager() { Close(); }

checked<std::string> peer_manager::Listen() { return impl_->Listen(); }
void peer_manager::Connect(const peer_connect& peer) { impl_->Connect(peer); }
void peer_manager::Disconnect(const peer_disconnect& peer) { impl_->Disconnect(peer.name); }
void peer_manager::Send(const peer_send& send) { impl_->Send(send); }
void peer_manager::SendHeartbeat(const heartbeat_send& send) { impl_->SendHeartbeat(send); }
void peer_manager::SetRevision(revision in_force) { impl_->SetRevision(in_force); }
std::size_t peer_manager::UnwrittenBytes() const { return impl_->UnwrittenBytes(); }

void peer_manager::Close() { impl_->Close(); }
peer_counters peer_manager::Counters() const { return impl_->Counters(); }

}  // namespace berylbarrow
