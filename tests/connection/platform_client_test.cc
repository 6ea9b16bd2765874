#include "berylbarrow/connection/http/platform_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "berylbarrow/process/runtime/duty.h"
#include "connection/wait_for.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Stand-in for the configuration service and the instance list. Each connection serves one GET.
class platform {
 public:
  platform() { Open(0); }
  ~platform() { duty_.Stop(); }

  void Publish(revision number, std::string text) {
    RunOn(duty_.Context(), [&] {
      revision_ = number;
      text_ = std::move(text);
      for (const auto& waiting : std::exchange(waiting_, {})) Answer(waiting);
    });
  }
  /// Answers with the document however old it is, and never waits.
  void SetStale() { stale_ = true; }
  void SetInstances(std::string body) {
    RunOn(duty_.Context(), [&] { instances_ = std::move(body); });
  }
  void Down() {
    RunOn(duty_.Context(), [&] { acceptor_->close(); });
  }
  void Up() {
    RunOn(duty_.Context(), [&] { Bind(); });
  }
  /// Reads of the instance list that were answered without the list.
  int Unchanged() const { return unchanged_; }
  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }
  int Requests(const std::string& target) const {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(std::count(targets_.begin(), targets_.end(), target));
  }

 private:
  struct exchange_state {
    tcp::socket socket;
    std::string input;
    std::string target;
    std::string output;
  };
  using exchange_pointer = std::shared_ptr<exchange_state>;

  void Open(std::uint16_t port) {
    port_ = port;
    Bind();
    duty_.Start();
  }
  void Bind() {
    const tcp::endpoint local(boost::asio::ip::make_address("127.0.0.1"), port_);
    acceptor_ = std::make_unique<tcp::acceptor>(duty_.Context(), local);
    port_ = acceptor_->local_endpoint().port();
    Accept();
  }
  void Accept() {
    acceptor_->async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) return;
      auto state = std::make_shared<exchange_state>(
          exchange_state{.socket = std::move(socket), .input = {}, .target = {}, .output = {}});
      boost::asio::async_read_until(state->socket, boost::asio::dynamic_buffer(state->input),
                                    "\r\n\r\n",
                                    [this, state](const error_code& failed, std::size_t) {
                                      if (!failed) Handle(state);
                                    });
      Accept();
    });
  }
  void Handle(const exchange_pointer& state) {
    const std::size_t start = state->input.find(' ') + 1;
    state->target = state->input.substr(start, state->input.find(' ', start) - start);
    {
      const std::lock_guard lock(mutex_);
      targets_.push_back(state->target);
    }
    const bool waits = state->target.find("wait_ms=20000") != std::string::npos;
    if (waits && !stale_ && revision_ <= After(state->target)) {
      waiting_.push_back(state);
      return;
    }
    Answer(state);
  }
  static revision After(const std::string& target) {
    return std::stoull(target.substr(target.find("after=") + 6));
  }
  void Answer(const exchange_pointer& state) {
    if (state->target == "/instances") {
      const std::string etag = '"' + std::to_string(std::hash<std::string>()(instances_)) + '"';
      const bool is_known = state->input.find("If-None-Match: " + etag) != std::string::npos;
      unchanged_ += is_known ? 1 : 0;
      return is_known ? Write(state, "304 Not Modified", "", "")
                      : Write(state, "200 OK", "ETag: " + etag + "\r\n", instances_);
    }
    const std::string header = "Revision: " + std::to_string(revision_) + "\r\n";
    if (!stale_ && revision_ <= After(state->target)) {
      return Write(state, "304 Not Modified", header, "");
    }
    Write(state, "200 OK", header, text_);
  }
  static void Write(const exchange_pointer& state, const std::string& status,
                    const std::string& header, const std::string& body) {
    state->output = "HTTP/1.1 " + status + "\r\n" + header +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::async_write(state->socket, boost::asio::buffer(state->output),
                             [state](const error_code&, std::size_t) {});
  }

  duty duty_{"platform"};
  std::uint16_t port_ = 0;
  std::unique_ptr<tcp::acceptor> acceptor_;
  revision revision_ = 0;
  std::string text_;
  std::string instances_ = "[]";
  std::atomic<bool> stale_{false};
  std::atomic<int> unchanged_{0};
  std::vector<exchange_pointer> waiting_;
  mutable std::mutex mutex_;
  std::vector<std::string> targets_;
};

/// A client on its own thread that records what reaches its sink.
class reader {
 public:
  explicit reader(platform_client_options options)
      : client_(duty_.Context(), std::move(options), [this](platform_event event) {
          if (!space_) return false;
          const std::lock_guard lock(mutex_);
          events_.push_back(std::move(event));
          return true;
        }) {
    duty_.Start();
  }
  ~reader() { duty_.Stop(); }

  void Start() {
    RunOn(duty_.Context(), [this] { client_.Start(); });
  }
  void Watch(watch_mode mode, revision in_force) {
    RunOn(duty_.Context(), [&] { client_.Watch({.mode = mode, .in_force = in_force}); });
  }
  template <typename Event>
  std::vector<Event> Events() const {
    const std::lock_guard lock(mutex_);
    std::vector<Event> result;
    for (const platform_event& event : events_) {
      if (const auto* match = std::get_if<Event>(&event)) result.push_back(*match);
    }
    return result;
  }
  bool Received(revision number, const std::string& text) const {
    const auto documents = Events<document_received>();
    return std::any_of(documents.begin(), documents.end(), [&](const document_received& document) {
      return document.number == number && document.text == text;
    });
  }
  void SetSpace(bool space) { space_ = space; }
  platform_counters Counters() const { return client_.Counters(); }

 private:
  duty duty_{"reader"};
  mutable std::mutex mutex_;
  std::vector<platform_event> events_;
  std::atomic<bool> space_{true};
  platform_client client_;
};

// Guards against a new document that a watching process notices late or twice.
BOOST_AUTO_TEST_CASE(WatchDeliversEachDocumentOnce) {
  platform service;
  service.Publish(3, "three");
  reader client({.configuration_service = service.Address()});
  client.Watch(watch_mode::kWatch, 0);
  BOOST_TEST(WaitFor([&] { return client.Received(3, "three"); }));
  BOOST_TEST(WaitFor([&] { return service.Requests("/config?after=3&wait_ms=20000") == 1; }));
  service.Publish(4, "four");
  BOOST_TEST(WaitFor([&] { return client.Received(4, "four"); }));
  BOOST_TEST(client.Events<document_received>().size() == 2U);
}

// Guards against an older revision that is handed on as new, and against a loop of requests at full
// speed when the service does not wait.
BOOST_AUTO_TEST_CASE(OlderRevisionIsReportedWithoutItsText) {
  platform service;
  service.Publish(3, "three");
  service.SetStale();
  reader client({.configuration_service = service.Address()});
  client.Watch(watch_mode::kWatch, 7);
  BOOST_TEST(WaitFor([&] { return client.Counters().older_revisions >= 2; }));
  BOOST_TEST(client.Received(3, ""));
  BOOST_TEST(!client.Received(3, "three"));
  const auto requests = [&] { return service.Requests("/config?after=7&wait_ms=20000"); };
  const auto start = std::chrono::steady_clock::now();
  const int before = requests();
  BOOST_TEST(WaitFor([&] { return requests() >= before + 2; }));
  BOOST_TEST((std::chrono::steady_clock::now() - start > std::chrono::milliseconds(500)));
}

// Guards against a client that gives up on a service that is down, or reports it as unchanged.
BOOST_AUTO_TEST_CASE(ServiceThatReturnsIsReadAgain) {
  platform service;
  service.Publish(1, "one");
  service.Down();
  reader client(
      {.configuration_service = service.Address(), .poll_interval = std::chrono::milliseconds(20)});
  client.Watch(watch_mode::kPoll, 0);
  BOOST_TEST(WaitFor([&] { return client.Counters().configuration_failures >= 3; }));
  BOOST_TEST(client.Events<document_received>().empty());
  service.Up();
  BOOST_TEST(WaitFor([&] { return client.Received(1, "one"); }));
  BOOST_TEST(WaitFor([&] { return client.Received(1, ""); }));
}

// Guards against a refresh that waits for the next poll, and against a full ring that loses it.
BOOST_AUTO_TEST_CASE(RefreshReadsAtOnce) {
  platform service;
  service.Publish(5, "five");
  reader client({.configuration_service = service.Address()});
  client.SetSpace(false);
  client.Watch(watch_mode::kRefresh, 4);
  BOOST_TEST(WaitFor([&] { return client.Counters().events_delayed == 1; }));
  client.SetSpace(true);
  BOOST_TEST(WaitFor([&] { return client.Received(5, "five"); }));
  client.Watch(watch_mode::kRefresh, 5);
  BOOST_TEST(WaitFor([&] { return client.Received(5, ""); }));
  BOOST_TEST(service.Requests("/config?after=5&wait_ms=0") == 1);
}

// Guards against a document above the limit that fills the memory of every process.
BOOST_AUTO_TEST_CASE(DocumentAboveTheLimitIsAFailure) {
  platform service;
  service.Publish(1, std::string((1 << 20) + 1, 'x'));
  reader client({.configuration_service = service.Address()});
  client.Watch(watch_mode::kRefresh, 0);
  BOOST_TEST(WaitFor([&] { return client.Counters().configuration_failures == 1; }));
  BOOST_TEST(client.Events<document_received>().empty());
}

// Guards against a malformed list that is taken for one without the missing instances.
BOOST_AUTO_TEST_CASE(InstancesAreAllOrNothing) {
  platform service;
  service.SetInstances(R"([{"name":"a","address":"127.0.0.1:1","domain":"d","state":"gone"}])");
  reader client(
      {.instance_list = service.Address(), .instance_interval = std::chrono::milliseconds(20)});
  client.Start();
  BOOST_TEST(WaitFor([&] { return client.Counters().instance_failures >= 2; }));
  BOOST_TEST(client.Events<instances_received>().empty());
  service.SetInstances(R"([{"name":"a","address":"127.0.0.1:1","domain":"d","state":"leaving"}])");
  BOOST_TEST(WaitFor([&] { return !client.Events<instances_received>().empty(); }));
  const instance_record expected{
      .name = "a", .address = "127.0.0.1:1", .domain = "d", .leaving = true};
  BOOST_TEST((client.Events<instances_received>()[0].instances == std::vector{expected}));
}

// Guards against reading the whole list again and again, and against a change that is missed.
BOOST_AUTO_TEST_CASE(UnchangedInstancesAreNotSentAgain) {
  platform service;
  reader client(
      {.instance_list = service.Address(), .instance_interval = std::chrono::milliseconds(20)});
  client.Start();
  BOOST_TEST(WaitFor([&] { return service.Unchanged() >= 3; }));
  BOOST_TEST(client.Events<instances_received>().size() == 1U);
  service.SetInstances(R"([{"name":"a","address":"127.0.0.1:1","domain":"d","state":"leaving"}])");
  BOOST_TEST(WaitFor([&] { return client.Events<instances_received>().size() == 2U; }));
  BOOST_TEST(client.Counters().instance_failures == 0U);
}

}  // namespace
}  // namespace berylbarrow
