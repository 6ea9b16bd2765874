#include "stand_ins_3.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
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

std::string message::Field(std::string_view name) const {
  for (const auto& [field, value] : fields) {
    if (field.size() == name.size() && strncasecmp(field.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

std::string message::Target() const {
  const auto begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}

int message::Status() const { return std::atoi(start.c_str() + start.find(' ')); }

stream::~stream() { close(descriptor_); }

std::unique_ptr<stream> stream::Connect(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  auto made = std::make_unique<stream>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int result =
      connect(made->descriptor_, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  return result == 0 ? std::move(made) : nullptr;
}

bool stream::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

void stream::Interrupt() const { shutdown(descriptor_, SHUT_RDWR); }

bool stream::ReadSome(std::int64_t end_ms) {
  pollfd waiting{.fd = descriptor_, .events = POLLIN, .revents = 0};
  const auto left = std::max<std::int64_t>(0, end_ms - NowMs());
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
  std::array<char, 65536> bytes{};
  const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

bool stream::ReadUntil(std::size_t size, std::int64_t end_ms) {
  while (input_.size() < size) {
    if (!ReadSome(end_ms)) return false;
  }
  return true;
}

std::optional<std::string> stream::ReadChunks(std::size_t begin, std::int64_t end_ms) {
  std::string body;
  while (true) {
    while (input_.find("\r\n", begin) == std::string::npos) {
      if (!ReadSome(end_ms)) return std::nullopt;
    }
    const std::size_t data = input_.find("\r\n", begin) + 2;
    const std::size_t size = std::stoul(input_.substr(begin, data - begin), nullptr, 16);
    if (!ReadUntil(data + size + 2, end_ms)) return std::nullopt;
    body += input_.substr(data, size);
    begin = data + size + 2;
    if (size > 0) continue;
    input_.erase(0, begin);
    return body;
  }
}

const std::string& stream::Unread(milliseconds wait) {
  const std::int64_t end_ms = NowMs() + wait.count();
  while (ReadSome(end_ms)) continue;
  return input_;
}

std::optional<message> stream::Read(milliseconds limit, bool answers_head) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  const std::int64_t end_ms = NowMs() + limit.count();
  while (input_.find(kEnd) == std::string::npos) {
    if (!ReadSome(end_ms)) return std::nullopt;
  }
  const std::size_t head_size = input_.find(kEnd) + kEnd.size();
  message read;
  for (std::size_t begin = 0; begin + 2 < head_size;) {
    const std::size_t end = input_.find("\r\n", begin);
    const std::string line = input_.substr(begin, end - begin);
    const std::size_t colon = line.find(": ");
    if (begin == 0) {
      read.start = line;
    } else if (colon != std::string::npos) {
      read.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    begin = end + 2;
  }
  if (!answers_head && read.Field("Transfer-Encoding") == "chunked") {
    auto body = ReadChunks(head_size, end_ms);
    if (!body) return std::nullopt;
    read.body = std::move(*body);
    return read;
  }
  const std::string length = answers_head ? "" : read.Field("Content-Length");
  const std::size_t size = head_size + (length.empty() ? 0 : std::stoul(length));
  if (!ReadUntil(size, end_ms)) return std::nullopt;
  read.body = input_.substr(head_size, size - head_size);
  input_.erase(0, size);
  return read;
}

server::server(std::function<void(stream&)> handler)
    : handler_(std::move(handler)), listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof local;
  const bool is_listening = bind(listener_, reinterpret_cast<const sockaddr*>(&local), size) == 0 &&
                            listen(listener_, 128) == 0 &&
                            getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size) == 0;
  if (!is_listening) throw std::runtime_error("cannot listen on loopback");
  address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
  accept_thread_ = std::thread([this] { Accept(); });
}

void server::Accept() {
  while (!stopping_) {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto accepted = std::make_shared<stream>(descriptor);
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    streams_.push_back(accepted);
    threads_.emplace_back([this, accepted] {
      handler_(*accepted);
      accepted->Interrupt();
    });
  }
}

void server::Stop() {
  if (stopping_.exchange(true)) return;
  shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  close(listener_);
  const std::lock_guard lock(mutex_);
  for (const auto& each : streams_) each->Interrupt();
  for (std::thread& each : threads_) each.join();
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

void cutting_store::Serve(stream& caller) {
  while (const auto request = caller.Read(std::chrono::minutes(5))) {
    const std::string target = request->Target();
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
    if (!caller.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(text.size()) + "\r\n\r\n" + text)) {
      return;
    }
  }
}

replica::replica(std::string id, std::string service, milliseconds work)
    : id_(std::move(id)),
      service_(std::move(service)),
      work_(work),
      server_([this](stream& caller) { Serve(caller); }) {}

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

void replica::Serve(stream& caller) {
  while (const auto request = caller.Read(std::chrono::minutes(5))) {
    const std::string id = request->Field("Request-Attempt-Id");
    if (request->Field("Expect-Replica") != id_) {
      if (!caller.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")) return;
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({.at_ms = NowMs(), .id = id, .target = request->Target(), .replica = id_});
    }
    std::this_thread::sleep_for(work_);
    if (!caller.Send(AnswerTo(*request))) return;
  }
}

std::string replica::AnswerTo(const message& request) const {
  std::string answer = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: ";
  answer.append(request.Field("Request-Attempt-Id")).append("\r\nReplica-Signature: ").append(id_);
  answer.append(".1\r\nReplica-Load: 1,0,6\r\n");
  const bool is_head = request.start.starts_with("HEAD ");
  if (request.Target().starts_with("/draft/")) {
    answer.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!is_head) answer.append("12\r\nid: 1\ndata: dear\n\n\r\n0\r\n\r\n");
    return answer;
  }
  const std::string body = "done by " + id_ + "\n";
  answer.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
  return is_head ? answer : answer.append(body);
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
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case is ended in the midst
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
  return answer && answer->Status() == 200;
}

bool gateway_process::AwaitReady(milliseconds limit) const {
  const std::int64_t end = NowMs() + limit.count();
  while (NowMs() < end) {
    if (IsReady()) return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

std::optional<message> Ask(const std::string& address, const std::string& request,
                           milliseconds limit) {
  const auto connection = stream::Connect(address);
  if (connection == nullptr || !connection->Send(request)) return std::nullopt;
  return connection->Read(limit);
}

std::vector<std::string> Resolve(const std::string& directory, const std::string& zone) {
  std::string request = "GET /resolve?name=h.example&region=r&zone=";
  request.append(zone).append(" HTTP/1.1\r\nHost: directory\r\n\r\n");
  const auto answer = Ask(directory, request, milliseconds(1000));
  if (!answer || answer->Status() != 200) return {};
  const auto body = nlohmann::json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("addresses")) return {};
  return body["addresses"].get<std::vector<std::string>>();
}

}  // namespace berylbarrow::review
