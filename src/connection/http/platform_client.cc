#include "berylbarrow/connection/http/platform_client.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "connection/http/http_get.h"

namespace berylbarrow {
namespace {

using boost::system::error_code;

constexpr std::chrono::milliseconds kSinkRetry{1};
// A watch that is answered early with nothing new comes from a service that does not wait.
constexpr std::chrono::seconds kEarlyAnswerPause{1};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotModified = 304;

std::optional<revision> ParseRevision(const std::string& text) {
  revision number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, number);
  if (failure != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::optional<instance_record> ParseInstance(const nlohmann::json& item) {
  if (!item.is_object()) return std::nullopt;
  for (const char* key : {"name", "address", "domain", "state"}) {
    const auto found = item.find(key);
    if (found == item.end() || !found->is_string()) return std::nullopt;
  }
  const auto& state = item["state"].get_ref<const std::string&>();
  if (state != "live" && state != "leaving") return std::nullopt;
  return instance_record{.name = item["name"].get<std::string>(),
                         .address = item["address"].get<std::string>(),
                         .domain = item["domain"].get<std::string>(),
                         .leaving = state == "leaving"};
}

/// No value if any record is malformed: a part of the list would look like the whole list.
std::optional<instances_received> ParseInstances(const std::string& body) {
  const nlohmann::json list = nlohmann::json::parse(body, nullptr, false);
  if (!list.is_array()) return std::nullopt;
  instances_received result;
  for (const nlohmann::json& item : list) {
    std::optional<instance_record> record = ParseInstance(item);
    if (!record) return std::nullopt;
    result.instances.push_back(*std::move(record));
  }
  return result;
}

}  // namespace

class platform_client::impl final : public std::enable_shared_from_this<platform_client::impl> {
 public:
  impl(boost::asio::io_context& context, platform_client_options options, platform_event_sink sink)
      : context_(context),
        options_(std::move(options)),
        sink_(std::move(sink)),
        random_(options_.seed),
        configuration_timer_(context),
        instance_timer_(context),
        sink_timer_(context) {}

  void Start();
  void Watch(const configuration_watch& watch);
  void Close();
  platform_counters Counters() const;

 private:
  using steady_time = std::chrono::steady_clock::time_point;
  using count = std::atomic<std::uint64_t>;
  using step = void (impl::*)();

  void ReadConfiguration();
  void HandleConfiguration(const http_get_reply& reply, revision after, steady_time started);
  void Refresh(const configuration_watch& watch);
  /// Delivers what the service answered. Returns the revision, or no value if it was no answer.
  std::optional<revision> Deliver(const http_get_reply& reply, revision after,
                                  std::uint64_t nonce = 0);
  void ReadInstances();
  void HandleInstances(const http_get_reply& reply);
  void Schedule(boost::asio::steady_timer& timer, duration delay, step next);
  duration Backoff(std::uint32_t& failures);
  duration Jitter(duration mean);
  http_get_options Request(const std::string& address, std::string target, duration wait) const;
  static std::string ConfigurationTarget(revision after, duration wait);
  void Emit(platform_event event);
  void ArmSinkRetry();

  boost::asio::io_context& context_;
  const platform_client_options options_;
  platform_event_sink sink_;
  std::mt19937_64 random_;
  bool closed_ = false;
  std::optional<watch_mode> mode_;  // kWatch or kPoll; none before the first Watch
  revision known_ = 0;              // highest revision in force or delivered
  std::uint32_t configuration_failures_in_a_row_ = 0;
  std::uint32_t instance_failures_in_a_row_ = 0;
  std::unique_ptr<http_get> configuration_request_;
  std::unique_ptr<http_get> refresh_request_;
  std::unique_ptr<http_get> instance_request_;
  std::string instances_etag_;  // of the last list passed on
  boost::asio::steady_timer configuration_timer_;
  boost::asio::steady_timer instance_timer_;
  boost::asio::steady_timer sink_timer_;
  std::deque<platform_event> pending_;  // events the sink had no space for
  count configuration_reads_{0};
  count configuration_failures_{0};
  count older_revisions_{0};
  count instance_reads_{0};
  count instance_failures_{0};
  count events_delayed_{0};
};

void platform_client::impl::Start() {
  if (closed_ || options_.instance_list.empty()) return;
  ReadInstances();
}

void platform_client::impl::Watch(const configuration_watch& watch) {
  if (closed_ || options_.configuration_service.empty()) return;
  if (watch.mode == watch_mode::kRefresh) return Refresh(watch);
  known_ = std::max(known_, watch.in_force);
  if (mode_ == watch.mode) return;
  mode_ = watch.mode;
  configuration_request_.reset();
  configuration_timer_.cancel();
  ReadConfiguration();
}

void platform_client::impl::ReadConfiguration() {
  const duration wait = mode_ == watch_mode::kWatch ? options_.watch_wait : duration::zero();
  const auto started = std::chrono::steady_clock::now();
  configuration_request_ = std::make_unique<http_get>(
      context_, Request(options_.configuration_service, ConfigurationTarget(known_, wait), wait),
      [this, after = known_, started](const http_get_reply& reply) {
        HandleConfiguration(reply, after, started);
      });
}

void platform_client::impl::HandleConfiguration(const http_get_reply& reply, revision after,
                                                steady_time started) {
  // A peer may have published a later document while the service held the watch open.
  const std::optional<revision> number = Deliver(reply, std::max(after, known_));
  duration delay = duration::zero();
  if (!number) {
    delay = Backoff(configuration_failures_in_a_row_);
  } else if (mode_ == watch_mode::kPoll) {
    configuration_failures_in_a_row_ = 0;
    delay = Jitter(options_.poll_interval);
  } else {
    configuration_failures_in_a_row_ = 0;
    const duration taken = std::chrono::steady_clock::now() - started;
    const bool early = *number <= after && taken < options_.watch_wait / 2;
    if (early) delay = Jitter(kEarlyAnswerPause);
  }
  Schedule(configuration_timer_, delay, &impl::ReadConfiguration);
}

void platform_client::impl::Refresh(const configuration_watch& watch) {
  // A new request, because one that began before a pause of the process may be answered with what
  // was true then.
  refresh_request_ = std::make_unique<http_get>(
      context_,
      Request(options_.configuration_service, ConfigurationTarget(watch.in_force, duration::zero()),
              duration::zero()),
      [this, watch](const http_get_reply& reply) { Deliver(reply, watch.in_force, watch.nonce); });
}

std::optional<revision> platform_client::impl::Deliver(const http_get_reply& reply, revision after,
                                                       std::uint64_t nonce) {
  std::optional<revision> number = ParseRevision(reply.revision);
  if (reply.status == kStatusNotModified && reply.revision.empty()) number = after;
  const bool answered = reply.status == kStatusOk || reply.status == kStatusNotModified;
  if (!reply.error.empty() || !answered || !number) {
    ++configuration_failures_;
    return std::nullopt;
  }
  ++configuration_reads_;
  if (*number < after) ++older_revisions_;
  const bool newer = reply.status == kStatusOk && *number > after;
  if (newer) known_ = std::max(known_, *number);
  Emit(document_received{
      .number = *number, .text = newer ? reply.body : std::string(), .nonce = nonce});
  return number;
}

void platform_client::impl::ReadInstances() {
  http_get_options request = Request(options_.instance_list, "/instances", duration::zero());
  request.etag = instances_etag_;
  instance_request_ =
      std::make_unique<http_get>(context_, std::move(request),
                                 [this](const http_get_reply& reply) { HandleInstances(reply); });
}

void platform_client::impl::HandleInstances(const http_get_reply& reply) {
  const bool is_unchanged =
      reply.error.empty() && reply.status == kStatusNotModified && !instances_etag_.empty();
  std::optional<instances_received> list;
  if (reply.error.empty() && reply.status == kStatusOk) list = ParseInstances(reply.body);
  if (!list && !is_unchanged) {
    ++instance_failures_;
    const duration backoff = Backoff(instance_failures_in_a_row_);
    return Schedule(instance_timer_, std::max(backoff, options_.instance_interval / 2),
                    &impl::ReadInstances);
  }
  ++instance_reads_;
  instance_failures_in_a_row_ = 0;
  if (list) {
    instances_etag_ = reply.etag;
    Emit(*std::move(list));
  }
  Schedule(instance_timer_, Jitter(options_.instance_interval), &impl::ReadInstances);
}

void platform_client::impl::Schedule(boost::asio::steady_timer& timer, duration delay, step next) {
  if (closed_) return;
  // Reading on while the sink takes nothing would make the pending events grow.
  if (!pending_.empty()) delay = std::max<duration>(delay, kSinkRetry);
  timer.expires_after(delay);
  timer.async_wait([self = shared_from_this(), &timer, next](const error_code& error) {
    if (error || self->closed_) return;
    if (!self->pending_.empty()) return self->Schedule(timer, kSinkRetry, next);
    ((*self).*next)();
  });
}

duration platform_client::impl::Backoff(std::uint32_t& failures) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const duration limit = std::min(options_.backoff_max,
                                  options_.backoff_min * (1U << std::min(failures, kMaxDoublings)));
  ++failures;
  std::uniform_int_distribution<duration::rep> jitter(limit.count() / 2, limit.count());
  return duration(jitter(random_));
}

duration platform_client::impl::Jitter(duration mean) {
  std::uniform_int_distribution<duration::rep> jitter(mean.count() * 4 / 5, mean.count() * 6 / 5);
  return duration(jitter(random_));
}

http_get_options platform_client::impl::Request(const std::string& address, std::string target,
                                                duration wait) const {
  const bool waits = wait > duration::zero();
  return {.address = address,
          .target = std::move(target),
          .timeout = waits ? wait + options_.watch_margin : options_.request_timeout,
          .max_body_bytes = options_.max_body_bytes};
}

std::string platform_client::impl::ConfigurationTarget(revision after, duration wait) {
  // Reads that do not wait name the known revision too, so that an unchanged document is not sent.
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return "/config?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms);
}

void platform_client::impl::Emit(platform_event event) {
  if (pending_.empty() && sink_(event)) return;
  ++events_delayed_;
  pending_.push_back(std::move(event));
  if (pending_.size() == 1) ArmSinkRetry();
}

void platform_client::impl::ArmSinkRetry() {
  sink_timer_.expires_after(kSinkRetry);
  sink_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_) return;
    while (!self->pending_.empty()) {
      if (!self->sink_(self->pending_.front())) return self->ArmSinkRetry();
      self->pending_.pop_front();
    }
  });
}

void platform_client::impl::Close() {
  closed_ = true;
  configuration_request_.reset();
  refresh_request_.reset();
  instance_request_.reset();
  configuration_timer_.cancel();
  instance_timer_.cancel();
  sink_timer_.cancel();
  pending_.clear();
}

platform_counters platform_client::impl::Counters() const {
  return {.configuration_reads = configuration_reads_,
          .configuration_failures = configuration_failures_,
          .older_revisions = older_revisions_,
          .instance_reads = instance_reads_,
          .instance_failures = instance_failures_,
          .events_delayed = events_delayed_};
}

platform_client::platform_client(boost::asio::io_context& context, platform_client_options options,
                                 platform_event_sink sink)
    : impl_(std::make_shared<impl>(context, std::move(options), std::move(sink))) {}

platform_client::~platform_client() { Close(); }

void platform_client::Start() { impl_->Start(); }
void platform_client::Watch(const configuration_watch& watch) { impl_->Watch(watch); }
void platform_client::Close() { impl_->Close(); }
platform_counters platform_client::Counters() const { return impl_->Counters(); }

}  // namespace berylbarrow
