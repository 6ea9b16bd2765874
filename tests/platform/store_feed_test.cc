#include "platform/store_feed.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "connection/socket_fixture.h"

namespace berylbarrow::platform {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// Stand-in for the store: accepts connections, and the test writes the answers.
class silent_store {
 public:
  explicit silent_store(boost::asio::io_context& context)
      : context_(context), acceptor_(context, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// Waits for a request on the connection with this index and returns its first line.
  std::string Request(std::size_t connection, std::size_t skipped_bytes = 0) {
    const bool found = RunUntil(context_, [&] {
      return connections_.size() > connection &&
             connections_[connection]->Received().find("\r\n\r\n", skipped_bytes) !=
                 std::string::npos;
    });
    if (!found) return "";
    const std::string& all = connections_[connection]->Received();
    return all.substr(skipped_bytes, all.find("\r\n", skipped_bytes) - skipped_bytes);
  }
  std::size_t BytesReceived(std::size_t connection) {
    return connections_[connection]->Received().size();
  }
  void Answer(std::size_t connection, const std::string& body) {
    connections_[connection]->Send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void Send(std::size_t connection, const std::string& bytes) {
    connections_[connection]->Send(bytes);
  }
  void Reset(std::size_t connection) { connections_[connection]->Reset(); }

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      connections_.push_back(std::make_shared<raw_socket>(std::move(socket)));
      connections_.back()->Read();
      Accept();
    });
  }

  boost::asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<raw_socket>> connections_;
};

// A lost answer to a watch that waits 1.8 s was noticed after 3.3 s, and the next watch waited as
// long again, so that keys were refused as outdated although the store was well.
BOOST_AUTO_TEST_CASE(the_first_call_after_a_lost_answer_does_not_wait) {
  boost::asio::io_context context;
  silent_store store(context);
  manual_clock clock;
  const feed_timing timing = TimingFor({.key_lifetime = std::chrono::seconds(5)});
  int current = 0;
  store_timeline timeline({});
  prefix_watcher watcher(context, {.address = store.Address(), .timing = timing},
                         {.prefix = "op/", .wait = timing.configuration_wait}, clock, timeline,
                         {.on_full_list = [&](std::vector<store_item>&&, time_point) { ++current; },
                          .on_changes = [&](std::vector<store_item>&&, time_point) { ++current; },
                          .on_reachability = [](bool, const std::string&) {},
                          .on_restoration = [](std::uint64_t, std::uint64_t) {},
                          .on_outdated_answer = [](std::uint64_t, std::uint64_t) {}});
  watcher.Start();
  BOOST_TEST(store.Request(0) == "GET /kv-range?prefix=op/ HTTP/1.1");
  const std::size_t first_bytes = store.BytesReceived(0);
  store.Answer(0, R"({"items":[],"currentRev":7,"hasMore":false})");
  BOOST_TEST(store.Request(0, first_bytes) ==
             "GET /kv-watch?prefix=op/&after=7&waitMs=1800 HTTP/1.1");
  BOOST_TEST(current == 1);
  // The answer is lost.
  clock.Advance(timing.configuration_wait + timing.call_timeout + milliseconds(1));
  watcher.Advance(clock.Now());
  clock.Advance(milliseconds(150));
  watcher.Advance(clock.Now());
  BOOST_TEST(store.Request(1) == "GET /kv-watch?prefix=op/&after=7&waitMs=0 HTTP/1.1");
  store.Answer(1, R"({"events":[],"currentRev":9})");
  BOOST_TEST(RunUntil(context, [&] { return current == 2; }));
  const duration age = clock.Now().time_since_epoch() - manual_clock().Now().time_since_epoch();
  BOOST_TEST((age < std::chrono::seconds(5)));
}

/// A watcher of the operator's items, and counts of what it reports.
struct watched_store {
  boost::asio::io_context context;
  silent_store store{context};
  manual_clock clock;
  store_timeline timeline{{}};
  int lists = 0;
  int failures = 0;
  prefix_watcher watcher{
      context,
      {.address = store.Address(), .timing = TimingFor({})},
      {.prefix = "op/", .wait = milliseconds(1800)},
      clock,
      timeline,
      {.on_full_list = [this](std::vector<store_item>&&, time_point) { ++lists; },
       .on_changes = [](std::vector<store_item>&&, time_point) {},
       .on_reachability = [this](bool reachable, const std::string&) { failures += !reachable; },
       .on_restoration = [](std::uint64_t, std::uint64_t) {},
       .on_outdated_answer = [](std::uint64_t, std::uint64_t) {}}};
};

// A gateway that had missed many versions dropped the answer to its watch, asked for the same
// changes again without end, and went on with an old version (review/11).
BOOST_AUTO_TEST_CASE(changes_that_are_too_large_are_replaced_by_a_full_read) {
  const std::string too_large((4U << 20U) + 1, ' ');
  const std::string length = "Content-Length: " + std::to_string(too_large.size()) + "\r\n\r\n";
  for (const std::string& answer :
       {length, length + too_large, "Transfer-Encoding: chunked\r\n\r\n400001\r\n" + too_large,
        "\r\n" + too_large}) {
    BOOST_TEST_CONTEXT(answer.substr(0, 60)) {
      watched_store watched;
      watched.watcher.Start();
      BOOST_TEST_REQUIRE(!watched.store.Request(0).empty());
      const std::size_t first_bytes = watched.store.BytesReceived(0);
      watched.store.Answer(0, R"({"items":[],"currentRev":7,"hasMore":false})");
      BOOST_TEST(watched.store.Request(0, first_bytes) ==
                 "GET /kv-watch?prefix=op/&after=7&waitMs=1800 HTTP/1.1");
      watched.store.Send(0, "HTTP/1.1 200 OK\r\n" + answer);
      BOOST_TEST_REQUIRE(RunUntil(watched.context, [&] { return watched.failures > 0; }));
      watched.clock.Advance(milliseconds(100));
      watched.watcher.Advance(watched.clock.Now());
      BOOST_TEST(watched.store.Request(1) == "GET /kv-range?prefix=op/ HTTP/1.1");
      const std::size_t second_bytes = watched.store.BytesReceived(1);
      watched.store.Answer(1, R"({"items":[],"currentRev":9,"hasMore":false})");
      BOOST_TEST(watched.store.Request(1, second_bytes) ==
                 "GET /kv-watch?prefix=op/&after=9&waitMs=1800 HTTP/1.1");
      BOOST_TEST(watched.lists == 2);
    }
  }
}

struct broken_answer {
  std::string name;
  std::string head;
  bool is_reset = false;
};

// A store in trouble sends answers that are none. Their body must not be read, although it is a
// whole list.
BOOST_AUTO_TEST_CASE(the_body_of_a_broken_answer_is_not_read) {
  const std::string body = R"({"items":[],"currentRev":7,"hasMore":false})";
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<broken_answer> answers{
      {"status 000", "HTTP/1.1 000 X\r\n" + length},
      {"status 700", "HTTP/1.1 700 X\r\n" + length},
      {"a line that begins with a blank", ok + length + " X: a\r\n"},
      {"a line that begins with a tab", ok + "X: a\r\n\tY: b\r\n" + length},
      {"a blank in a name", ok + "X Y: a\r\n" + length},
      {"a control byte in a name", ok + "X\x01: a\r\n" + length},
      {"a reset", ok, true}};
  for (const broken_answer& each : answers) {
    BOOST_TEST_CONTEXT(each.name) {
      watched_store watched;
      watched.watcher.Start();
      BOOST_TEST_REQUIRE(!watched.store.Request(0).empty());
      watched.store.Send(0, each.head + "\r\n" + body);
      if (each.is_reset) {
        RunFor(watched.context, milliseconds(50));  // the answer arrives before the reset
        watched.store.Reset(0);
      }
      BOOST_TEST(RunUntil(watched.context, [&] { return watched.lists + watched.failures > 0; }));
      BOOST_TEST(watched.lists == 0);
      BOOST_TEST(watched.failures == 1);
    }
  }
}

/// Counts what a feed reports of the configuration.
class recording_sink final : public platform_sink {
 public:
  void OnRouting(routing_content&& content) override { version = content.version; }
  void OnEvacuatedDomains(const std::set<std::string>&) override { ++applied_reads; }
  void OnConfigurationCurrent(time_point) override { ++confirmations; }
  void OnUpstreamList(const std::vector<upstream_record>&) override {}
  void OnUpstreamChanges(const std::vector<upstream_change>&) override {}
  void OnStoreReachability(bool, const std::string&) override {}
  void OnStoreEvent(const store_event&) override {}
  void OnUnreadableItem(const std::string&, const std::string&) override { ++unreadable_items; }

  std::uint64_t version = 0;
  int applied_reads = 0;
  int confirmations = 0;
  int unreadable_items = 0;
};

// Guards against keys that stay valid because the version that took them away cannot be read: the
// version before it was still reported as current.
BOOST_AUTO_TEST_CASE(a_configuration_is_not_current_while_the_store_holds_one_that_is_unreadable) {
  boost::asio::io_context context;
  silent_store store(context);
  manual_clock clock;
  recording_sink sink;
  store_feed feed(context, {.address = store.Address(), .timing = TimingFor({})}, clock, sink);
  feed.Start();
  BOOST_TEST_REQUIRE(!store.Request(1).empty());
  const std::size_t link = store.Request(0).find("prefix=op/") != std::string::npos ? 0 : 1;
  const auto answer_next = [&](const std::string& body) {
    const int reads = sink.applied_reads;
    const std::size_t bytes = store.BytesReceived(link);
    store.Answer(link, body);
    BOOST_TEST_REQUIRE(RunUntil(context, [&] { return sink.applied_reads > reads; }));
    BOOST_TEST_REQUIRE(!store.Request(link, bytes).empty());
  };
  // {"version":3,"routes":[],"services":[]}
  const std::string readable =
      R"({"key":"op/config","value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"})";
  answer_next(R"({"items":[)" + readable + R"(],"currentRev":5,"hasMore":false})");
  BOOST_TEST(sink.version == 3U);
  BOOST_TEST(sink.confirmations == 1);
  answer_next(R"({"events":[{"key":"op/config","value":"e30="}],"currentRev":6})");
  answer_next(R"({"events":[],"currentRev":7})");
  BOOST_TEST(sink.unreadable_items == 1);
  BOOST_TEST(sink.confirmations == 1);
  answer_next(R"({"events":[)" + readable + R"(],"currentRev":8})");
  BOOST_TEST(sink.confirmations == 2);
  answer_next(R"({"events":[{"key":"op/config","tombstone":true}],"currentRev":9})");
  BOOST_TEST(sink.unreadable_items == 2);
  BOOST_TEST(sink.confirmations == 2);
}

}  // namespace
}  // namespace berylbarrow::platform
