#include "stand_ins_3.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdlib>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace berylbarrow::review {
namespace {

using std::chrono::steady_clock;

const steady_clock::time_point kBegin = steady_clock::now();

std::string EncodeBase64(const std::string& bytes) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (unsigned k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : kDigits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const char* const mark : {"?", "&"}) {
    const std::string field = mark + name + "=";
    const auto found = target.find(field);
    if (found == std::string::npos) continue;
    const auto start = found + field.size();
    std::string value = target.substr(start, target.find('&', start) - start);
    for (auto at = value.find("%2F"); at != std::string::npos; at = value.find("%2F")) {
      value.replace(at, 3, "/");
    }
    return value;
  }
  return "0";
}

}  // namespace

bool IsTroubled() {
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - kBegin).count();
}

void SleepUntil(std::int64_t at_ms) { std::this_thread::sleep_until(kBegin + milliseconds(at_ms)); }

void recorder::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::string time = std::to_string(NowMs());
  time.insert(0, time.size() < 6 ? 6 - time.size() : 0, ' ');
  file_ << time << " ms  " << text << std::endl;
}

std::string FreeAddress() {
  // Below the ports that the system gives to outgoing connections.
  static int next = 12000 + static_cast<int>(getpid()) * 37 % 18000;
  while (true) {
    const auto port = static_cast<std::uint16_t>(12000 + (next++ - 12000) % 19000);
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::asio::ip::udp::socket datagrams(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.bind({loopback, port}, error);
    if (error) continue;
    datagrams.open(boost::asio::ip::udp::v4(), error);
    datagrams.bind({loopback, port}, error);
    if (!error) return "127.0.0.1:" + std::to_string(port);
  }
}

cutting_store::~cutting_store() {
  stopping_ = true;
  changed_.notify_all();
  server_.Stop();
}

void cutting_store::Put(const std::string& key, const nlohmann::json& value) {
  const std::lock_guard lock(mutex_);
  history_.push_back({.revision = ++revision_, .key = key, .value = EncodeBase64(value.dump())});
  changed_.notify_all();
}

void cutting_store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  history_.push_back({.revision = ++revision_, .key = key, .value = ""});
  changed_.notify_all();
}

void cutting_store::CutWatches(const std::string& prefix, std::optional<milliseconds> wait) {
  const std::lock_guard lock(mutex_);
  cut_prefix_ = prefix;
  cut_after_ = wait;
}

bool cutting_store::AwaitCuts(int count, milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  while (cut_count_ < count && steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return cut_count_ >= count;
}

nlohmann::json cutting_store::Range(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, const item*> last;
  for (const item& each : history_) {
    if (each.key.starts_with(prefix)) last[each.key] = &each;
  }
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, each] : last) {
    if (each->value.empty()) continue;
    items.push_back({{"key", key},
                     {"value", each->value},
                     {"revision", each->revision},
                     {"created", each->revision},
                     {"lease", 0}});
  }
  return {{"items", items}, {"hasMore", false}, {"currentRev", revision_}};
}

std::optional<nlohmann::json> cutting_store::Watch(const std::string& prefix, std::uint64_t after,
                                                   milliseconds wait) {
  const auto begin = steady_clock::now();
  std::unique_lock lock(mutex_);
  while (true) {
    nlohmann::json events = nlohmann::json::array();
    for (const item& each : history_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) continue;
      nlohmann::json event = {{"key", each.key}, {"revision", each.revision}};
      if (each.value.empty()) {
        event["tombstone"] = true;
      } else {
        event.update({{"value", each.value}, {"created", each.revision}, {"lease", 0}});
      }
      events.push_back(std::move(event));
    }
    const auto waited = steady_clock::now() - begin;
    if (!events.empty() || waited >= wait || stopping_) {
      return nlohmann::json{{"events", events}, {"currentRev", revision_}};
    }
    if (cut_after_ && prefix == cut_prefix_ && waited >= *cut_after_) return std::nullopt;
    changed_.wait_for(lock, milliseconds(5));
  }
}

void cutting_store::Serve(loopback_stream& stream) {
  while (const auto request = stream.ReadRequest(std::chrono::minutes(5))) {
    const std::string& target = request->head.target;
    const std::string prefix = QueryValue(target, "prefix");
    std::optional<nlohmann::json> body;
    if (target.starts_with("/kv-range")) {
      body = Range(prefix);
    } else {
      body = Watch(prefix, std::stoull(QueryValue(target, "after")),
                   milliseconds(std::stoll(QueryValue(target, "waitMs"))));
    }
    if (!body) {
      ++cut_count_;
      return;
    }
    const std::string text = body->dump();
    if (!stream.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

replica::replica(std::string id, std::string service, milliseconds work)
    : id_(std::move(id)),
      service_(std::move(service)),
      work_(work),
      server_([this](loopback_stream& stream) { Serve(stream); }) {}

nlohmann::json replica::Entry() const {
  return {{"service", service_},
          {"address", server_.Address()},
          {"zone", "zone-a"},
          {"version", 1},
          {"slots", 6},
          {"state", "ready"},
          {"coldMs", 0},
          {"seq", 1},
          {"born", 1764000000000U}};
}

std::vector<run_record> replica::Runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void replica::Serve(loopback_stream& stream) {
  while (const auto request = stream.ReadRequest(std::chrono::minutes(5))) {
    const std::string id(request->head.Find("Request-Attempt-Id"));
    if (request->head.Find("Expect-Replica") != id_) {
      if (!stream.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")) return;
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({.at_ms = NowMs(), .id = id, .target = request->head.target, .replica = id_});
    }
    std::this_thread::sleep_for(work_);
    const std::string body = "done by " + id_ + "\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: " + id +
                               "\r\nReplica-Signature: " + id_ + ".1\r\nReplica-Load: 1,0,6" +
                               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                               body;
    if (!stream.Send(answer)) return;
  }
}

gateway_process::gateway_process(std::string name, std::string zone)
    : name_(std::move(name)), zone_(std::move(zone)) {}

gateway_process::~gateway_process() {
  if (pid_ == 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void gateway_process::Start(const std::string& store, const std::string& seeds,
                            const std::string& folder) {
  const std::string settings = folder + "/" + name_ + ".yaml";
  std::ofstream(settings) << "process:\n  name: " << name_ << "\n  domain: " << zone_
                          << "\nlisten:\n  callers: " << front_ << "\n  readiness: " << readiness_
                          << "\n  directory: " << directory_ << "\n  peers: " << control_
                          << "\n  metrics: " << metrics_ << "\nstore:\n  address: " << store
                          << "\nseeds: [" << seeds << "]\n"
                          << "bounds:\n  shutdown_grace: 8s\n  key_lifetime: 5000ms\n"
                          << "  strict_keys: true\n  upstream_drain: 2000ms\n"
                          << "  retry_window: 10s\n  retry_share: 0.2\n  retry_slack: 90\n"
                          << "limits:\n  memory_mb: 260\n  max_descriptors: 4100\n"
                          << "log:\n  format: json\n  max_events_per_second: 200\n";
  const std::string log = folder + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start a process");
  if (pid_ > 0) return;
  const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  setenv("BERYLBARROW_SETTINGS", settings.c_str(), 1);
  execl("target/berylbarrow", "target/berylbarrow", "gateway", nullptr);
  _exit(127);
}

void gateway_process::Signal(int number) const { kill(pid_, number); }

bool gateway_process::IsReady() const {
  const auto answer =
      Ask(readiness_, "GET /readyz HTTP/1.1\r\nHost: readiness\r\n\r\n", milliseconds(300));
  return answer && answer->head.status == 200;
}

bool gateway_process::AwaitReady(milliseconds limit) const {
  const std::int64_t end = NowMs() + limit.count();
  while (NowMs() < end) {
    if (IsReady()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

std::optional<http_message> Ask(const std::string& address, const std::string& request,
                                milliseconds limit) {
  const auto stream = loopback_stream::Connect(address);
  if (stream == nullptr || !stream->Send(request)) return std::nullopt;
  return stream->ReadAnswer(limit);
}

std::vector<std::string> Resolve(const std::string& directory, const std::string& zone) {
  const auto answer = Ask(
      directory,
      "GET /resolve?name=h.example&region=r&zone=" + zone + " HTTP/1.1\r\nHost: directory\r\n\r\n",
      milliseconds(1000));
  if (!answer || answer->head.status != 200) return {};
  const auto body = nlohmann::json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("addresses")) return {};
  return body["addresses"].get<std::vector<std::string>>();
}

}  // namespace berylbarrow::review
