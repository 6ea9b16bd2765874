#include "berylbarrow/connection/peer/peer_manager.h"

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "berylbarrow/process/runtime/duty.h"
#include "connection/wait_for.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint Loopback(const std::string& address) {
  return {boost::asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)))};
}

/// A manager on its own thread that records what reaches its sink.
class node {
 public:
  explicit node(std::string name, peer_manager_options options = {})
      : manager_(duty_.Context(), Complete(std::move(options), std::move(name)),
                 [this](peer_event event) { return Take(std::move(event)); }) {
    address_ = manager_.Listen().value();
    duty_.Start();
  }
  ~node() { duty_.Stop(); }

  template <typename Action>
  void Run(Action action) {
    RunOn(duty_.Context(), [&] { action(manager_); });
  }
  void Connect(const std::string& name, const std::string& address) {
    Run([&](peer_manager& manager) { manager.Connect({.name = name, .address = address}); });
  }
  void Send(connection_id connection, peer_message message) {
    Run([&](peer_manager& manager) {
      manager.Send({.connection = connection, .message = std::move(message)});
    });
  }

  template <typename Event>
  std::vector<Event> Events() const {
    const std::lock_guard lock(mutex_);
    std::vector<Event> result;
    for (const peer_event& event : events_) {
      if (const auto* match = std::get_if<Event>(&event)) result.push_back(*match);
    }
    return result;
  }
  std::vector<peer_event> AllEvents() const {
    const std::lock_guard lock(mutex_);
    return events_;
  }
  /// Waits for the `count`th connection and returns its id.
  connection_id Opened(std::size_t count) const {
    BOOST_REQUIRE(WaitFor([&] { return Events<peer_opened>().size() >= count; }));
    return Events<peer_opened>()[count - 1].connection;
  }
  void SetSpace(bool space) { space_ = space; }
  const std::string& Address() const { return address_; }
  peer_counters Counters() const { return manager_.Counters(); }

 private:
  static peer_manager_options Complete(peer_manager_options options, std::string name) {
    options.listen_address = "127.0.0.1:0";
    options.identity = {.name = std::move(name),
                        .role = process_role::kEntry,
                        .domain = "heredia",
                        .incarnation = 7,
                        .generation = 1};
    return options;
  }
  bool Take(peer_event event) {
    if (!space_) return false;
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    return true;
  }

  duty duty_{"peers"};
  mutable std::mutex mutex_;
  std::vector<peer_event> events_;
  std::atomic<bool> space_{true};
  std::string address_;
  peer_manager manager_;
};

/// Forwards TCP connections. Freeze makes the open ones silent; later ones work.
class relay {
 public:
  explicit relay(const std::string& target)
      : target_(Loopback(target)),
        acceptor_(duty_.Context(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    Accept();
    duty_.Start();
  }
  ~relay() { duty_.Stop(); }
  const std::string& Address() const { return address_; }
  void Freeze() {
    RunOn(duty_.Context(), [this] {
      for (const auto& link : links_) link->frozen = true;
    });
  }

 private:
  struct link_state {
    tcp::socket near;
    tcp::socket far;
    bool frozen = false;
    std::array<char, 4096> from_near{};
    std::array<char, 4096> from_far{};
  };

  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      auto link = std::make_shared<link_state>(
          link_state{.near = std::move(socket), .far = tcp::socket(duty_.Context())});
      links_.push_back(link);
      error_code failed;
      link->far.connect(target_, failed);
      if (!failed) {
        Forward(link, link->near, link->far, link->from_near);
        Forward(link, link->far, link->near, link->from_far);
      }
      Accept();
    });
  }

  static void Forward(const std::shared_ptr<link_state>& link, tcp::socket& from, tcp::socket& to,
                      std::array<char, 4096>& buffer) {
    from.async_read_some(boost::asio::buffer(buffer),
                         [link, &from, &to, &buffer](const error_code& error, std::size_t count) {
                           if (link->frozen) return;
                           error_code ignored;
                           if (error) {
                             to.close(ignored);
                             return;
                           }
                           boost::asio::write(to, boost::asio::buffer(buffer, count), ignored);
                           Forward(link, from, to, buffer);
                         });
  }

  duty duty_{"relay"};
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::vector<std::shared_ptr<link_state>> links_;
};

answer_part Part(std::uint64_t offset, std::size_t size = 100) {
  return {.id = {.sender = 1, .sequence = 2},
          .offset = offset,
          .bytes = std::string(size, 'x'),
          .end = answer_end::kMore};
}

std::vector<std::uint64_t> Offsets(const node& receiver) {
  std::vector<std::uint64_t> offsets;
  for (const peer_received& event : receiver.Events<peer_received>()) {
    offsets.push_back(std::get<answer_part>(event.message).offset);
  }
  return offsets;
}

std::vector<std::uint64_t> UpTo(std::uint64_t count) {
  std::vector<std::uint64_t> offsets(count);
  for (std::uint64_t i = 0; i < count; ++i) offsets[i] = i;
  return offsets;
}

// Guards against a connection that is announced without the identity and revision of its peer, and
// against messages that are lost or reordered.
BOOST_AUTO_TEST_CASE(HelloIsExchangedAndMessagesArriveInOrder) {
  node entry("entry-1");
  node agent("agent-1");
  agent.Run([](peer_manager& manager) { manager.SetRevision(9); });
  entry.Connect("agent-1", agent.Address());
  const connection_id connection = entry.Opened(1);
  agent.Opened(1);
  const hello greeting = entry.Events<peer_opened>()[0].greeting;
  BOOST_TEST(greeting.sender.name == "agent-1");
  BOOST_TEST(greeting.in_force == 9U);
  BOOST_TEST(agent.Events<peer_opened>()[0].greeting.sender.name == "entry-1");

  constexpr std::uint64_t kParts = 2000;
  entry.Run([&](peer_manager& manager) {
    for (std::uint64_t i = 0; i < kParts; ++i) {
      manager.Send({.connection = connection, .message = Part(i)});
    }
  });
  BOOST_TEST(WaitFor([&] { return Offsets(agent).size() >= kParts; }));
  BOOST_TEST(Offsets(agent) == UpTo(kParts));
}

// Guards against messages that are lost or reordered while the ring to the decisions is full, and
// against heartbeats that are kept meanwhile.
BOOST_AUTO_TEST_CASE(FullSinkDelaysMessagesAndDropsHeartbeats) {
  node entry("entry-1");
  node agent("agent-1");
  entry.Connect("agent-1", agent.Address());
  const connection_id connection = entry.Opened(1);
  agent.Opened(1);
  agent.SetSpace(false);
  constexpr std::uint64_t kParts = 200;
  for (std::uint64_t i = 0; i < kParts; ++i) entry.Send(connection, Part(i));
  entry.Run([&](peer_manager& manager) {
    manager.SendHeartbeat({.to = agent.Address(), .content = {}});
  });
  BOOST_TEST(WaitFor([&] { return agent.Counters().heartbeats_dropped == 1; }));
  BOOST_TEST(WaitFor([&] { return agent.Counters().events_delayed > 0; }));
  BOOST_TEST(Offsets(agent).empty());
  agent.SetSpace(true);
  BOOST_TEST(WaitFor([&] { return Offsets(agent).size() >= kParts; }));
  BOOST_TEST(Offsets(agent) == UpTo(kParts));
}

// Guards against a peer that stays unconnected after its connection broke, and against one that is
// reconnected although it is no longer wanted.
BOOST_AUTO_TEST_CASE(ConnectionsAreReplacedUntilDisconnect) {
  node entry("entry-1");
  auto agent = std::make_unique<node>("agent-1");
  const std::string address = agent->Address();
  entry.Connect("agent-1", address);
  const connection_id first = entry.Opened(1);
  agent->Opened(1);
  agent->Run([](peer_manager& manager) { manager.Close(); });
  BOOST_TEST(WaitFor([&] { return entry.Events<peer_closed>().size() == 1; }));
  BOOST_TEST(entry.Events<peer_closed>()[0].connection == first);
  BOOST_TEST(WaitFor([&] { return entry.Counters().connect_failures > 0; }));

  node successor("agent-1");
  entry.Connect("agent-1", successor.Address());
  BOOST_TEST(entry.Opened(2) != first);
  successor.Opened(1);
  entry.Run([](peer_manager& manager) { manager.Disconnect({.name = "agent-1"}); });
  BOOST_TEST(WaitFor([&] { return successor.Events<peer_closed>().size() == 1; }));
  BOOST_TEST(WaitFor([&] { return entry.Events<peer_closed>().size() == 2; }));
  BOOST_TEST(entry.Counters().open == 0U);
  entry.Send(first, Part(0));
  BOOST_TEST(entry.Counters().sends_dropped == 1U);
}

// Guards against a connection that became silent and is used for ever, although a new one works.
BOOST_AUTO_TEST_CASE(SilentConnectionIsFoundAndReplaced) {
  node entry("entry-1");
  node agent("agent-1");
  relay between(agent.Address());
  entry.Connect("agent-1", between.Address());
  const connection_id first = entry.Opened(1);
  agent.Opened(1);
  between.Freeze();
  const connection_id second = entry.Opened(2);
  BOOST_TEST(second != first);
  BOOST_TEST(entry.Counters().closed_silent == 1U);
  BOOST_TEST(WaitFor([&] { return agent.Counters().closed_silent == 1; }));
  agent.Opened(2);
  entry.Send(second, Part(1));
  BOOST_TEST(WaitFor([&] { return Offsets(agent) == std::vector<std::uint64_t>{1}; }));
}

// Guards against a silent connection with a request in flight that is found only as late as an idle
// one.
BOOST_AUTO_TEST_CASE(SilentConnectionWithARequestIsFoundSooner) {
  const peer_manager_options options{.idle_ping_interval = std::chrono::seconds(30)};
  node entry("entry-1", options);
  node agent("agent-1", options);
  relay between(agent.Address());
  entry.Connect("agent-1", between.Address());
  const connection_id first = entry.Opened(1);
  agent.Opened(1);
  entry.Send(first, dispatch{.id = {.sender = 1, .sequence = 2}});
  BOOST_TEST(WaitFor([&] { return agent.Events<peer_received>().size() == 1; }));
  between.Freeze();
  const auto frozen = std::chrono::steady_clock::now();
  entry.Opened(2);
  BOOST_TEST(WaitFor([&] { return agent.Counters().closed_silent == 1; }));
  // The machine may be busy; an idle connection would take 32 s.
  BOOST_TEST((std::chrono::steady_clock::now() - frozen < std::chrono::seconds(10)));
}

// Guards against pings that take the place of other traffic: on an idle connection as often as
// under way, or while the peer is heard anyway.
BOOST_AUTO_TEST_CASE(PingsAreSentOnlyWhileARequestWaits) {
  const peer_manager_options options{.ping_interval = std::chrono::milliseconds(200),
                                     .idle_ping_interval = std::chrono::seconds(30),
                                     .silence_limit = std::chrono::seconds(30)};
  node entry("entry-1", options);
  node agent("agent-1", options);
  entry.Connect("agent-1", agent.Address());
  const connection_id connection = entry.Opened(1);
  const connection_id back = agent.Opened(1);
  entry.Send(connection, dispatch{.id = {.sender = 1, .sequence = 2}});
  BOOST_TEST(
      WaitFor([&] { return entry.Counters().pings_sent + agent.Counters().pings_sent >= 3; }));
  answer_part last = Part(0);
  last.end = answer_end::kComplete;
  agent.Send(back, last);
  BOOST_TEST(WaitFor([&] { return entry.Events<peer_received>().size() == 1; }));
  const auto pings = entry.Counters().pings_sent + agent.Counters().pings_sent;
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(entry.Counters().pings_sent + agent.Counters().pings_sent == pings);
}

// Guards against an idle connection that is taken for a silent one, and against pings that reach
// the decisions.
BOOST_AUTO_TEST_CASE(IdleConnectionStaysOpen) {
  const peer_manager_options options{.idle_ping_interval = std::chrono::milliseconds(20)};
  node entry("entry-1", options);
  node agent("agent-1", options);
  entry.Connect("agent-1", agent.Address());
  agent.Opened(1);
  const auto opened = std::chrono::steady_clock::now();
  BOOST_TEST(WaitFor(
      [&] { return std::chrono::steady_clock::now() - opened > options.silence_limit * 3 / 2; }));
  BOOST_TEST(entry.AllEvents().size() == 1U);
  BOOST_TEST(agent.AllEvents().size() == 1U);
  BOOST_TEST(entry.Counters().open == 1U);
}

// Guards against connections that occupy a place without saying who they are, and against bytes
// that are not the protocol.
BOOST_AUTO_TEST_CASE(ConnectionsWithoutHelloAreClosed) {
  node agent("agent-1", {.hello_limit = std::chrono::milliseconds(100)});
  boost::asio::io_context context;
  tcp::socket mute(context);
  mute.connect(Loopback(agent.Address()));
  BOOST_TEST(WaitFor([&] { return agent.Counters().closed_without_hello == 1; }));

  tcp::socket garbage(context);
  garbage.connect(Loopback(agent.Address()));
  boost::asio::write(garbage, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  BOOST_TEST(WaitFor([&] { return agent.Counters().closed_malformed == 1; }));
  BOOST_TEST(agent.AllEvents().empty());
}

// Guards against a process whose memory grows with what a peer does not read, and against more
// connections than its limit.
BOOST_AUTO_TEST_CASE(QueueAndConnectionsAreBounded) {
  node agent("agent-1", {.max_connections = 1, .max_queued_messages = 8});
  node entry("entry-1");
  entry.Connect("agent-1", agent.Address());
  entry.Opened(1);
  const connection_id connection = agent.Opened(1);
  boost::asio::io_context context;
  tcp::socket second(context);
  second.connect(Loopback(agent.Address()));
  BOOST_TEST(WaitFor([&] { return agent.Counters().refused_connections == 1; }));

  agent.Run([&](peer_manager& manager) {
    for (std::uint64_t i = 0; i < 100; ++i) {
      manager.Send({.connection = connection, .message = Part(i, 1 << 20)});
    }
  });
  BOOST_TEST(WaitFor([&] { return agent.Counters().closed_queue_full == 1; }));
  BOOST_TEST(agent.Events<peer_closed>().size() == 1U);
}

// Guards against heartbeats that are altered on the way or whose sender is unknown.
BOOST_AUTO_TEST_CASE(HeartbeatsArrive) {
  node entry("entry-1");
  node agent("agent-1");
  heartbeat sent;
  sent.sender.name = "entry-1";
  sent.sequence = 3;
  entry.Run([&](peer_manager& manager) {
    manager.SendHeartbeat({.to = agent.Address(), .content = sent});
    manager.SendHeartbeat({.to = "nowhere", .content = sent});
  });
  BOOST_TEST(WaitFor([&] { return !agent.Events<heartbeat_received>().empty(); }));
  BOOST_TEST((agent.Events<heartbeat_received>()[0].content == sent));
  BOOST_TEST(agent.Events<heartbeat_received>()[0].from == entry.Address());
  BOOST_TEST(entry.Counters().bad_addresses == 1U);
}

// Guards against a process that starts although another one has its address.
BOOST_AUTO_TEST_CASE(AddressInUseIsReported) {
  node agent("agent-1");
  boost::asio::io_context context;
  peer_manager second(context, {.listen_address = agent.Address()},
                      [](const peer_event&) { return true; });
  const checked<std::string> bound = second.Listen();
  BOOST_REQUIRE(bound.has_error());
  BOOST_TEST(bound.error()[0].message.find(agent.Address()) != std::string::npos);
}

}  // namespace
}  // namespace berylbarrow
