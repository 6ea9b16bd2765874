#include "platform/gateway_fixture.h"

#include <unistd.h>

#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <utility>

#include "platform/exchange.h"

namespace berylbarrow {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

tcp::endpoint MakeEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

route MakeRoute(const std::string& name, request_kind kind, std::uint32_t max_attempts,
                duration timeout) {
  return {.name = name,
          .host = "h.example",
          .prefix = "/" + name + "/",
          .kind = kind,
          .timeout = timeout,
          .goal = milliseconds(500),
          .max_attempts = max_attempts,
          .resumable = kind == request_kind::kStreaming,
          .services = {{"app", 1}}};
}

routing_content MakeRoutingContent(duration timeout) {
  routing_content content{.version = 4};
  content.routes = {MakeRoute("pay", request_kind::kNonIdempotent, 1, timeout),
                    MakeRoute("read", request_kind::kIdempotent, 2, timeout),
                    MakeRoute("draft", request_kind::kStreaming, 2, timeout)};
  content.services = {{.name = "app"}};
  content.accounts = std::vector<client_account>{{.name = "counter", .keys = {"key-1"}}};
  return content;
}

class fake_platform_feed final : public platform_feed {
 public:
  fake_platform_feed(platform_sink& sink, std::vector<upstream_record> records,
                     duration route_timeout, const std::atomic<std::int64_t>& stale_age_ns,
                     std::atomic<std::int64_t>& block_ns)
      : sink_(sink),
        records_(std::move(records)),
        route_timeout_(route_timeout),
        stale_age_ns_(stale_age_ns),
        block_ns_(block_ns) {}

  void Start() override {
    sink_.OnRouting(MakeRoutingContent(route_timeout_));
    sink_.OnUpstreamList(records_);
  }
  void RefreshUpstreams() override {}
  store_view View() const override { return {.version = 4}; }
  void OnPeerProof(const store_view& view, time_point time) override {
    if (view == View()) sink_.OnConfigurationCurrent(time);
  }
  void Advance(time_point now) override {
    std::this_thread::sleep_for(std::chrono::nanoseconds(block_ns_.exchange(0)));
    if (stale_age_ns_ == 0) sink_.OnConfigurationCurrent(now);
  }

 private:
  platform_sink& sink_;
  std::vector<upstream_record> records_;
  duration route_timeout_;
  const std::atomic<std::int64_t>& stale_age_ns_;
  std::atomic<std::int64_t>& block_ns_;
};

}  // namespace

std::string FreeLoopbackAddress() {
  constexpr unsigned kFirstPort = 12000;
  constexpr unsigned kPorts = 8000;
  // Tests that run at the same time often have adjacent process ids. A test uses fewer ports.
  constexpr unsigned kPortsOfTest = 509;
  static std::atomic<unsigned> next{static_cast<unsigned>(getpid()) * kPortsOfTest};
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::asio::ip::udp::socket datagrams(context);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind({loopback, port}, error);
    if (error) continue;
    datagrams.open(boost::asio::ip::udp::v4(), error);
    datagrams.bind({loopback, port}, error);
    if (!error) return "127.0.0.1:" + std::to_string(port);
  }
}

gateway_fixture::gateway_fixture(const std::vector<const scripted_upstream*>& upstreams,
                                 const gateway_fixture_options& options) {
  settings_ = {.name = "entry-a",
               .domain = "north",
               .callers_address = FreeLoopbackAddress(),
               .readiness_address = FreeLoopbackAddress(),
               .directory_address = FreeLoopbackAddress(),
               .peers_address = FreeLoopbackAddress(),
               .bounds = {.shutdown_grace = options.shutdown_grace,
                          .address_lifetime = options.address_lifetime}};
  std::vector<upstream_record> records;
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    records.push_back(
        {.id = "i-" + std::to_string(i + 1),
         .service = "app",
         .address = upstreams[i]->Address(),
         // Only the first upstream is in the gateway's failure domain, so it is preferred.
         .domain = i == 0 ? "north" : "south",
         .slots = 6});
  }
  thread_ = std::thread([this, records, route_timeout = options.route_timeout] {
    const platform::header_codec exchange;
    const platform::discovery_api directory;
    const gateway_platform fake_platform{
        .exchange = exchange,
        .directory = directory,
        .make_feed = [&](boost::asio::io_context&, platform_sink& sink) {
          return std::make_unique<fake_platform_feed>(sink, records, route_timeout, stale_age_ns_,
                                                      block_ns_);
        }};
    RunGateway(settings_, fake_platform, clock_);
  });
  for (int attempt = 0; attempt < 200; ++attempt) {
    boost::asio::io_context context;
    tcp::socket probe(context);
    boost::system::error_code error;
    probe.connect(MakeEndpoint(settings_.directory_address), error);
    if (!error) break;
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(50));
}

gateway_fixture::~gateway_fixture() {
  RequestShutdown();
  WaitForEnd();
}

void gateway_fixture::RequestShutdown() {
  // Once the gateway has ended, nothing handles the signal any more.
  if (std::exchange(shutdown_requested_, true)) return;
  // Each tick of the gateway writes this, so its signal handlers are visible to this thread.
  (void)block_ns_.load();
  std::raise(SIGTERM);
}

boost::asio::ip::udp::endpoint gateway_fixture::PeersEndpoint() const {
  const tcp::endpoint address = MakeEndpoint(settings_.peers_address);
  return {address.address(), address.port()};
}

void gateway_fixture::WaitForEnd() {
  if (thread_.joinable()) thread_.join();
}

void gateway_fixture::MakeConfigurationStale(duration age) {
  stale_age_ns_ = age.count();
  std::this_thread::sleep_for(age);
}

tcp::socket gateway_fixture::Send(boost::asio::io_context& context,
                                  const std::string& request) const {
  tcp::socket socket(context);
  socket.connect(MakeEndpoint(settings_.callers_address));
  boost::asio::write(socket, boost::asio::buffer(request));
  return socket;
}

std::string gateway_fixture::SendAndReceive(const std::string& request,
                                            milliseconds idle_timeout) const {
  boost::asio::io_context context;
  tcp::socket socket = Send(context, request);
  std::string received;
  std::array<char, 4096> bytes{};
  bool received_data = true;
  last_connection_was_reset_ = false;
  while (received_data) {
    received_data = false;
    socket.async_read_some(
        boost::asio::buffer(bytes), [&](const boost::system::error_code& error, std::size_t size) {
          received.append(bytes.data(), size);
          received_data = !error;
          last_connection_was_reset_ = error == boost::asio::error::connection_reset;
        });
    context.restart();
    context.run_for(idle_timeout);
  }
  return received;
}

std::string MakeRequest(const std::string& route, const std::string& id, const std::string& key,
                        milliseconds deadline) {
  return "POST /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: " + id +
         "\r\nAuthorization: Token " + key +
         "\r\nDeadline-Remaining-Ms: " + std::to_string(deadline.count()) +
         "\r\nContent-Length: 3\r\n\r\nabc";
}

std::string MakeChunk(const std::string& bytes) {
  std::array<char, 16> length{};
  std::snprintf(length.data(), length.size(), "%zx\r\n", bytes.size());
  return length.data() + bytes + "\r\n";
}

std::string MakeStreamResponse(const std::string& request, const std::vector<std::string>& chunks,
                               bool complete) {
  std::string text =
      "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
      "\r\nReplica-Signature: sig\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& chunk : chunks) text += MakeChunk(chunk);
  return complete ? text + "0\r\n\r\n" : text;
}

std::string MakeSignedResponse(const std::string& request, unsigned status, const std::string& body,
                               const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Some\r\nRequest-Attempt-Id: " + HeaderValue(request, "Request-Attempt-Id") +
         "\r\nReplica-Signature: sig\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace berylbarrow
