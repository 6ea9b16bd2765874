#include "support/tcp_relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylbarrow {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

asio::ip::tcp::endpoint Parse(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

/// Two connections and what is on its way between them.
struct tcp_relay::link {
  explicit link(tcp::socket accepted)
      : near(std::move(accepted)),
        far(near.get_executor()),
        to_far(far.get_executor()),
        to_near(far.get_executor()) {}

  void Close() {
    error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }

  tcp::socket near;
  tcp::socket far;
  asio::steady_timer to_far;
  asio::steady_timer to_near;
  std::array<std::array<char, 16384>, 2> buffers{};
  bool silent = false;
};

tcp_relay::tcp_relay(const std::string& listen, const std::string& target)
    : acceptor_(context_, Parse(listen)), target_(Parse(target)) {
  Accept();
  thread_ = std::thread([this] { context_.run(); });
}

tcp_relay::~tcp_relay() {
  context_.stop();
  thread_.join();
}

void tcp_relay::Cut() {
  asio::post(context_, [this] {
    for (const auto& weak : std::exchange(links_, {})) {
      if (const auto open = weak.lock()) open->Close();
    }
  });
}

void tcp_relay::Silence() {
  asio::post(context_, [this] {
    for (const auto& weak : links_) {
      if (const auto open = weak.lock()) {
        open->silent = true;
        held_.push_back(open);
      }
    }
  });
}

void tcp_relay::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    ++accepted_;
    auto added = std::make_shared<link>(std::move(socket));
    links_.push_back(added);
    added->far.async_connect(target_, [this, added](error_code failed) {
      if (failed) return added->Close();
      Pump(added, false);
      Pump(added, true);
    });
    Accept();
  });
}

void tcp_relay::Pump(const std::shared_ptr<link>& link, bool from_target) {
  tcp::socket& source = from_target ? link->far : link->near;
  auto& buffer = link->buffers.at(from_target ? 1 : 0);
  source.async_read_some(
      asio::buffer(buffer), [this, link, from_target](error_code error, std::size_t count) {
        // A silent connection takes bytes and stays open, whatever its ends do.
        if (link->silent && !error) Pump(link, from_target);
        if (link->silent) return;
        if (error) return link->Close();
        if (from_target) bytes_from_target_ += count;
        asio::steady_timer& timer = from_target ? link->to_near : link->to_far;
        timer.expires_after(std::chrono::milliseconds(delay_ms_));
        timer.async_wait([this, link, from_target, count](error_code /*never cancelled*/) {
          if (link->silent) return;
          tcp::socket& sink = from_target ? link->near : link->far;
          asio::async_write(sink, asio::buffer(link->buffers.at(from_target ? 1 : 0), count),
                            [this, link, from_target](error_code failed, std::size_t) {
                              if (failed) return link->Close();
                              Pump(link, from_target);
                            });
        });
      });
}

}  // namespace berylbarrow
