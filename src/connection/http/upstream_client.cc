#include "berylbarrow/connection/http/upstream_client.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "berylbarrow/process/runtime/shared_count.h"
#include "connection/http/endpoint.h"
#include "connection/http/upstream_exchange.h"

namespace berylbarrow {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxReportBytes = 16UL * 1024;
constexpr auto kRetryTime = std::chrono::milliseconds(1);

/// Returns a report with `reachable` false if the text is not a load report.
upstream_report ParseReport(const std::string& text) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("instance") || !body["instance"].is_string()) {
    return {};
  }
  const auto number = [&body](const char* name) -> std::uint64_t {
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
  };
  return {.reachable = true,
          .instance = body["instance"].get<std::string>(),
          .uptime = std::chrono::milliseconds(number("uptime_ms")),
          .running = static_cast<std::uint32_t>(number("running")),
          .waiting = static_cast<std::uint32_t>(number("waiting"))};
}

}  // namespace

class upstream_client::impl : public std::enable_shared_from_this<upstream_client::impl> {
 public:
  impl(asio::io_context& context, upstream_client_options options, const runtime_clock& clock,
       upstream_client::sink sink)
      : context_(context),
        options_(std::move(options)),
        clock_(clock),
        sink_(std::move(sink)),
        endpoint_(ParseHttpEndpoint(options_.address)),
        poll_timer_(context) {}

  void Deliver(const upstream_start& start) {
    if (closed_ || exchanges_.count(start.execution) > 0) {
      return;
    }
    const bool full = open_ >= options_.max_connections;
    const bool late = clock_.Now() > start.not_after;
    const bool rejected = full || late;
    ++counts_.started;
    auto exchange = std::make_shared<upstream_exchange>(
        context_, options_, start.execution, MakeUpstreamRequest(start, options_.address),
        upstream_exchange::handlers{
            .head = [this](const upstream_head& head) { return sink_(head); },
            .part = [this](const upstream_part& part) { return sink_(part); },
            .end = [this](const upstream_end& end) { return PassEnd(end); },
            .closed =
                [weak = weak_from_this(), execution = start.execution, rejected] {
                  if (const auto self = weak.lock()) {
                    self->Remove(execution, rejected);
                  }
                },
            .may_send = [this, not_after = start.not_after] { return MaySend(not_after); }});
    exchanges_.emplace(start.execution, exchange);
    if (rejected) {
      ++(late ? counts_.late : counts_.refused_full);
      exchange->Reject();
      return;
    }
    ++open_;
    exchange->Start(endpoint_);
  }

  void Deliver(const upstream_cancel& cancel) {
    const auto found = exchanges_.find(cancel.execution);
    if (found != exchanges_.end()) {
      const auto exchange = found->second;
      cancelled_.insert(cancel.execution);
      exchange->Cancel();
    }
  }

  template <typename Other>
  void Deliver(const Other&) {}

  void Close() {
    closed_ = true;
    poll_timer_.cancel();
    for (const auto& [execution, exchange] : exchanges_) {
      exchange->Close();
    }
    exchanges_.clear();
    if (poll_) {
      poll_->Close();
    }
  }

  std::size_t ConnectionCount() const { return open_; }

  void Poll() {
    if (closed_) {
      return;
    }
    is_polling_ = true;
    report_text_.clear();
    report_status_ = 0;
    upstream_exchange::request_type request{boost::beast::http::verb::get, "/load", 11};
    request.set(boost::beast::http::field::host, options_.address);
    request.set(boost::beast::http::field::connection, "close");
    poll_ = std::make_shared<upstream_exchange>(
        context_, options_, 0, std::move(request),
        upstream_exchange::handlers{
            .head =
                [this](const upstream_head& head) {
                  report_status_ = head.status;
                  return true;
                },
            .part =
                [this](const upstream_part& part) {
                  if (report_text_.size() + part.bytes.size() <= kMaxReportBytes) {
                    report_text_ += part.bytes;
                  }
                  return true;
                },
            .end =
                [this](const upstream_end& end) {
                  const bool usable =
                      end.outcome == upstream_outcome::kComplete && report_status_ == 200;
                  return PassReport(usable ? ParseReport(report_text_) : upstream_report{});
                },
            .closed =
                [weak = weak_from_this()] {
                  if (const auto self = weak.lock()) {
                    self->WaitForNextPoll();
                  }
                },
            .may_send = [] { return true; }});
    // An upstream that accepts connections but never answers counts as not reachable.
    poll_timer_.expires_after(options_.connect_timeout + options_.load_poll_interval);
    poll_timer_.async_wait([poll = poll_](error_code cancelled) {
      if (!cancelled) {
        poll->Cancel();
      }
    });
    poll_->Start(endpoint_);
  }

  upstream_client_counters Counters() const {
    return {.started = counts_.started,
            .completed = counts_.completed,
            .broken = counts_.broken,
            .not_sent = counts_.not_sent,
            .late = counts_.late,
            .refused_full = counts_.refused_full,
            .reports = counts_.reports,
            .reports_missing = counts_.reports_missing};
  }

 private:
  struct count_set {
    shared_count started, completed, broken, not_sent, late, refused_full, reports, reports_missing;
  };

  bool MaySend(time_point not_after) {
    const bool in_time = clock_.Now() <= not_after;
    if (!in_time) {
      ++counts_.late;
    }
    return in_time;
  }

  bool PassEnd(const upstream_end& end) {
    if (!sink_(end)) {
      return false;
    }
    switch (end.outcome) {
      case upstream_outcome::kComplete:
        ++counts_.completed;
        break;
      case upstream_outcome::kNotSent:
        ++counts_.not_sent;
        break;
      case upstream_outcome::kBroken:
        ++counts_.broken;
        if (cancelled_.erase(end.execution) == 0) {
          PollAtOnce();
        }
        break;
    }
    return true;
  }

  /// Tells whether a broken connection is a death. A report that is under way may have been made
  /// before the break, so it is dropped.
  void PollAtOnce() {
    if (!is_polling_) {
      Poll();
      return;
    }
    is_report_outdated_ = true;
    const auto poll = poll_;
    poll->Cancel();
  }

  bool PassReport(const upstream_report& report) {
    if (is_report_outdated_) {
      return true;
    }
    if (!sink_(report)) {
      return false;
    }
    ++(report.reachable ? counts_.reports : counts_.reports_missing);
    return true;
  }

  void WaitForNextPoll() {
    is_polling_ = false;
    if (closed_) {
      return;
    }
    if (std::exchange(is_report_outdated_, false)) {
      Poll();
      return;
    }
    poll_timer_.expires_after(options_.load_poll_interval);
    poll_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !self->is_polling_) {
        self->Poll();
      }
    });
  }

  void Remove(execution_id execution, bool rejected) {
    exchanges_.erase(execution);
    cancelled_.erase(execution);
    open_ -= rejected ? 0 : 1;
  }

  asio::io_context& context_;
  upstream_client_options options_;
  const runtime_clock& clock_;
  upstream_client::sink sink_;
  asio::ip::tcp::endpoint endpoint_;
  asio::steady_timer poll_timer_;
  std::shared_ptr<upstream_exchange> poll_;
  std::string report_text_;
  std::uint16_t report_status_ = 0;
  bool is_polling_ = false;
  bool is_report_outdated_ = false;             // of the poll under way
  std::unordered_set<execution_id> cancelled_;  // whose end is no sign of a death
  std::unordered_map<execution_id, std::shared_ptr<upstream_exchange>> exchanges_;
  std::size_t open_ = 0;
  bool closed_ = false;
  count_set counts_;
};

upstream_client::upstream_client(asio::io_context& context, upstream_client_options options,
                                 const runtime_clock& clock, upstream_client::sink sink)
    : impl_(std::make_shared<impl>(context, std::move(options), clock, std::move(sink))) {
  impl_->Poll();
}

upstream_client::~upstream_client() { impl_->Close(); }

void upstream_client::Deliver(const agent_output& output) {
  std::visit([this](const auto& content) { impl_->Deliver(content); }, output);
}

void upstream_client::Close() { impl_->Close(); }

std::size_t upstream_client::ConnectionCount() const { return impl_->ConnectionCount(); }

upstream_client_counters upstream_client::Counters() const { return impl_->Counters(); }

}  // namespace berylbarrow
