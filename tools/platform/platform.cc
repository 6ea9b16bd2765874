#include "platform/platform.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylbarrow::tools {
namespace {

constexpr std::size_t kMaxDocumentBytes = 1UL << 20;
constexpr std::uint64_t kMaxWaitMilliseconds = 60'000;
const char* const kJson = "application/json";

std::string ErrorText(const std::string& message) {
  return nlohmann::json{{"error", message}}.dump();
}

}  // namespace

platform::platform(boost::asio::io_context& context, const std::string& address,
                   std::uint32_t instances_lag_ms)
    : context_(context),
      instances_lag_ms_(instances_lag_ms),
      server_(context, address,
              [this](const connection_ptr& connection) { OnRequest(connection); }) {}

std::uint64_t platform::Publish(std::string text) {
  documents_.push_back(std::move(text));
  WakeWaiters();
  return documents_.size();
}

void platform::SetInstances(std::string json) { instances_ = std::move(json); }

std::uint64_t platform::Visible() const {
  if (fault_ == fault::kStale) {
    return frozen_;
  }
  return fault_ == fault::kOlder && documents_.size() > 1 ? documents_.size() - 1
                                                          : documents_.size();
}

void platform::OnRequest(const connection_ptr& connection) {
  const auto path = connection->Path();
  if (path.rfind("/admin/", 0) == 0) {
    OnAdmin(connection);
  } else if (path == "/config" && connection->Method() == "GET") {
    OnConfig(connection);
  } else if (path == "/instances" && connection->Method() == "GET") {
    OnInstanceRead(connection);
  } else {
    connection->Reply(404, kJson, ErrorText("no such path"));
  }
}

void platform::OnAdmin(const connection_ptr& connection) {
  const auto path = connection->Path();
  const auto method = connection->Method();
  if (path == "/admin/config" && method == "PUT") {
    if (connection->Request().body().size() > kMaxDocumentBytes) {
      connection->Reply(413, kJson, ErrorText("a document has at most 1 MB"));
      return;
    }
    const auto number = Publish(connection->Request().body());
    connection->Reply(200, kJson, nlohmann::json{{"revision", number}}.dump());
  } else if (path == "/admin/instances" && method == "PUT") {
    OnInstances(connection);
  } else if (path == "/admin/fault" && method == "POST") {
    OnFault(connection);
  } else if (path == "/admin/reads") {
    connection->Reply(200, kJson, nlohmann::json{{"reads", reads_}}.dump());
  } else {
    connection->Reply(404, kJson, ErrorText("no such path"));
  }
}

void platform::OnFault(const connection_ptr& connection) {
  const auto mode = connection->QueryText("mode");
  if (mode == "down") {
    fault_ = fault::kDown;
    for (const auto& waiting : std::exchange(waiters_, {})) {
      waiting->timer.cancel();
      waiting->connection->Reset();
    }
  } else if (mode == "stale") {
    frozen_ = Visible();
    fault_ = fault::kStale;
  } else if (mode == "older") {
    fault_ = fault::kOlder;
  } else if (mode == "ok") {
    fault_ = fault::kNone;
    WakeWaiters();
  } else {
    connection->Reply(400, kJson, ErrorText("mode must be down, stale, older or ok"));
    return;
  }
  connection->Reply(200, kJson, "{}");
}

void platform::OnInstanceRead(const connection_ptr& connection) {
  const std::string etag =
      '"' + std::to_string(XXH64(instances_.data(), instances_.size(), 0)) + '"';
  const bool is_known = connection->Header("If-None-Match") == etag;
  connection->Reply(is_known ? 304 : 200, kJson, is_known ? "" : instances_, {{"ETag", etag}});
}

void platform::OnInstances(const connection_ptr& connection) {
  auto text = connection->Request().body();
  if (!nlohmann::json::parse(text, nullptr, false).is_array()) {
    connection->Reply(400, kJson, ErrorText("the body must be a JSON array"));
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      context_, std::chrono::milliseconds(instances_lag_ms_));
  timer->async_wait(
      [this, timer, text = std::move(text)](boost::system::error_code) { SetInstances(text); });
  connection->Reply(200, kJson, "{}");
}

void platform::OnConfig(const connection_ptr& connection) {
  ++reads_;
  if (fault_ == fault::kDown) {
    connection->Reset();
    return;
  }
  const auto after = connection->QueryNumber("after", 0);
  const auto wait = std::min(connection->QueryNumber("wait_ms", 0), kMaxWaitMilliseconds);
  // A service that lost its last revisions answers a reader that has them at once, with less.
  if (Visible() > after || wait == 0 || fault_ == fault::kOlder) {
    Answer(connection, fault_ == fault::kOlder ? 0 : after);
    return;
  }
  const auto waiting = std::make_shared<waiter>(
      waiter{.connection = connection,
             .after = after,
             .timer = boost::asio::steady_timer(context_, std::chrono::milliseconds(wait))});
  waiters_.push_back(waiting);
  const auto finish = [this, weak = std::weak_ptr(waiting)](bool answer) {
    const auto self = weak.lock();
    if (self && waiters_.remove(self) > 0) {
      self->timer.cancel();
      if (answer) {
        Answer(self->connection, self->after);
      }
    }
  };
  connection->OnClosed([finish] { finish(false); });
  waiting->timer.async_wait([finish](boost::system::error_code cancelled) {
    if (!cancelled) {
      finish(true);
    }
  });
}

void platform::Answer(const connection_ptr& connection, std::uint64_t after) {
  const auto number = Visible();
  connection->Reply(200, "application/yaml", number > after ? documents_[number - 1] : "",
                    {{"Revision", std::to_string(number)}});
}

void platform::WakeWaiters() {
  const auto all = std::exchange(waiters_, {});
  for (const auto& waiting : all) {
    if (Visible() > waiting->after) {
      waiting->timer.cancel();
      Answer(waiting->connection, waiting->after);
    } else {
      waiters_.push_back(waiting);
    }
  }
}

}  // namespace berylbarrow::tools
