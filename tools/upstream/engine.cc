#include "upstream/engine.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "common/expected_answer.h"

namespace berylbarrow::tools {
namespace {

constexpr double kColdFactor = 4;
constexpr double kKnownPrefixFactor = 0.25;
constexpr std::size_t kPrefixBytes = 256;
constexpr int kCrashExitCode = 3;
constexpr std::uint64_t kDefaultStallMilliseconds = 5000;
const char* const kCrashMark = "crash-upstream";

template <typename Duration>
std::uint64_t Milliseconds(Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::chrono::steady_clock::duration FromMilliseconds(double value) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double, std::milli>(value));
}

// Ends like a crash: connections break, and nothing is written or cleaned up.
[[noreturn]] void Crash() { std::_Exit(kCrashExitCode); }

std::uint64_t ToNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

engine::engine(boost::asio::io_context& context, engine_options options)
    : context_(context),
      options_(std::move(options)),
      cold_until_(start_ + FromMilliseconds(options_.cold_seconds * 1000)),
      load_timer_(context),
      server_(context, options_.listen,
              [this](const connection_ptr& connection) { OnRequest(connection); }) {
  if (!options_.ledger_file.empty()) {
    ledger_file_.open(options_.ledger_file, std::ios::app);
  }
  SampleLoad();
}

void engine::OnRequest(const connection_ptr& connection) {
  const auto path = connection->Path();
  if (path.rfind("/fault/", 0) == 0) {
    OnFault(connection);
    return;
  }
  if (path == "/ledger") {
    connection->Reply(200, "application/json",
                      nlohmann::json{{"operations", ledger_}, {"lookups", lookups_}}.dump(
                          -1, ' ', false, nlohmann::json::error_handler_t::replace));
    return;
  }
  if (clock::now() < stalled_until_) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, stalled_until_);
    timer->async_wait([this, timer, connection](boost::system::error_code) {
      if (!connection->Closed()) {
        OnRequest(connection);
      }
    });
    return;
  }
  if (path == "/load") {
    connection->Reply(200, "application/json", Load().dump());
    return;
  }
  if (options_.model && path != "/v1/completions") {
    connection->Reply(404, "application/json", R"({"error":"no such path"})");
    return;
  }
  Begin(connection);
}

void engine::OnFault(const connection_ptr& connection) {
  const auto path = connection->Path();
  if (path == "/fault/cold") {
    cold_until_ = clock::now() + FromMilliseconds(options_.cold_seconds * 1000);
    cache_.clear();
  } else if (path == "/fault/stall") {
    stalled_until_ = clock::now() + std::chrono::milliseconds(
                                        connection->QueryNumber("ms", kDefaultStallMilliseconds));
  } else if (path == "/fault/reset") {
    server_.ResetAll(connection);
  } else if (path == "/fault/crash") {
    Crash();
  } else {
    connection->Reply(404, "application/json", R"({"error":"no such fault"})");
    return;
  }
  connection->Reply(200, "application/json", "{}");
}

void engine::Begin(const connection_ptr& connection) {
  const auto& body = connection->Request().body();
  auto pieces = options_.model ? ExpectedPieces(body)
                               : std::vector<std::string>{ExpectedPlainAnswer(
                                     connection->Method(), connection->Target(), body)};
  const auto job = std::make_shared<engine::job>(engine::job{
      .connection = connection,
      .timer = boost::asio::steady_timer(context_),
      .pieces = std::move(pieces),
      .skip = ToNumber(connection->Header("Berylbarrow-Resume-Offset")),
      .priority =
          static_cast<std::uint32_t>(ToNumber(connection->Header("Berylbarrow-Priority")))});
  connection->OnClosed([this, weak = std::weak_ptr(job)] {
    if (const auto gone = weak.lock()) {
      Remove(gone);
    }
  });
  const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&job](const job_ptr& other) {
    return other->priority < job->priority;
  });
  waiting_.insert(place, job);
  StartWaiting();
}

void engine::StartWaiting() {
  while (!waiting_.empty() && running_ < options_.max_running) {
    const auto job = waiting_.front();
    waiting_.pop_front();
    Run(job);
  }
}

void engine::Run(const job_ptr& job) {
  ++running_;
  job->running = true;
  const auto& body = job->connection->Request().body();
  if (body.find(kCrashMark) != std::string::npos || (Cold() && running_ > options_.cold_limit)) {
    Crash();
  }
  if (!options_.model) {
    Record(*job);
    Wait(job, options_.service_ms);
    return;
  }
  const auto completion = ReadCompletion(body);
  job->first_known = KnownPrefix(completion.prompt);
  double delay = options_.first_token_ms * (job->first_known ? kKnownPrefixFactor : 1);
  if (!completion.stream) {
    delay += options_.token_ms * static_cast<double>(completion.tokens);
  }
  Wait(job, delay);
}

void engine::Record(const job& job) {
  const auto& connection = *job.connection;
  if (connection.Method() == "GET") {
    ++lookups_;
    return;
  }
  ledger_.push_back({{"request_id", connection.Header("X-Request-Id")},
                     {"idempotency_key", connection.Header("Idempotency-Key")},
                     {"method", connection.Method()},
                     {"target", connection.Target()},
                     {"body", connection.Request().body()}});
  if (ledger_file_.is_open()) {
    ledger_file_ << ledger_.back().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                 << '\n'
                 << std::flush;
  }
}

void engine::Wait(const job_ptr& job, double milliseconds) {
  job->timer.expires_after(FromMilliseconds(milliseconds * (Cold() ? kColdFactor : 1)));
  job->timer.async_wait([this, job](boost::system::error_code cancelled) {
    if (cancelled || !job->running) {
      return;
    }
    if (clock::now() < stalled_until_) {
      Wait(job, static_cast<double>(Milliseconds(stalled_until_ - clock::now())) + 1);
      return;
    }
    Step(job);
  });
}

void engine::Step(const job_ptr& job) {
  auto& connection = *job->connection;
  if (!std::exchange(job->headed, true)) {
    connection.Head(200, job->pieces.size() > 1 ? "text/event-stream" : "application/json");
  }
  // Tokens the other side already has take no time.
  while (job->next < job->pieces.size() && job->skip >= job->pieces[job->next].size()) {
    job->skip -= job->pieces[job->next++].size();
  }
  if (job->next < job->pieces.size()) {
    connection.Part(std::string_view(job->pieces[job->next++]).substr(job->skip));
    job->skip = 0;
  }
  // The end of the stream follows the last token at once.
  if (job->pieces.size() > 1 && job->next + 1 == job->pieces.size()) {
    connection.Part(job->pieces[job->next++]);
  }
  if (job->next < job->pieces.size()) {
    Wait(job, options_.token_ms);
    return;
  }
  connection.End();
  Remove(job);
}

void engine::Remove(const job_ptr& job) {
  waiting_.remove(job);
  if (std::exchange(job->running, false)) {
    --running_;
    job->timer.cancel();
    StartWaiting();
  }
}

bool engine::KnownPrefix(const std::string& prompt) {
  const auto hash = XXH64(prompt.data(), std::min(prompt.size(), kPrefixBytes), 0);
  const auto found = std::find(cache_.begin(), cache_.end(), hash);
  const bool known = found != cache_.end();
  if (known) {
    cache_.erase(found);
  }
  cache_.push_front(hash);
  if (cache_.size() > options_.cache_entries) {
    cache_.pop_back();
  }
  return known;
}

void engine::SampleLoad() {
  reported_running_ = running_;
  reported_waiting_ = static_cast<std::uint32_t>(waiting_.size());
  load_timer_.expires_after(std::chrono::milliseconds(std::max(1U, options_.load_lag_ms)));
  load_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      SampleLoad();
    }
  });
}

nlohmann::json engine::Load() const {
  return {{"instance", options_.instance},
          {"uptime_ms", Milliseconds(clock::now() - start_)},
          {"running", reported_running_},
          {"waiting", reported_waiting_}};
}

}  // namespace berylbarrow::tools
