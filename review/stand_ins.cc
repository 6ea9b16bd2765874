#include "review/stand_ins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iterator>
#include <random>
#include <sstream>
#include <stdexcept>

namespace berylbarrow::review {
namespace {

using std::chrono::steady_clock;

const steady_clock::time_point kStart = steady_clock::now();

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) {
           return std::tolower(a) == std::tolower(b);
         });
}

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

std::string EncodeBase64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[group >> (18U - 6U * k) & 0x3FU] : '=';
    }
  }
  return text;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

/// A socket that is bound to a loopback address; -1 if the port is taken.
int BindLoopback(int type, std::uint16_t port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int yes = 1;
  if (type == SOCK_STREAM) {
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  }
  sockaddr_in address = ParseAddress(Loopback(port));
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - kStart)
      .count();
}

void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool IsTroubleWanted() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

void recorder::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " " << text << "\n" << std::flush;
}

std::string http_message::Header(std::string_view name) const {
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    if (!EqualsIgnoringCase(std::string_view(line).substr(0, colon), name)) continue;
    const std::size_t start = line.find_first_not_of(' ', colon + 1);
    return start == std::string::npos ? "" : line.substr(start);
  }
  return "";
}

std::string http_message::Method() const { return head.substr(0, head.find(' ')); }

std::string http_message::Target() const {
  const std::size_t start = head.find(' ') + 1;
  return head.substr(start, head.find(' ', start) - start);
}

int http_message::Status() const {
  return head.size() < 12 || head.compare(0, 7, "HTTP/1.") != 0 ? 0 : std::stoi(head.substr(9, 3));
}

tcp_stream::tcp_stream(int descriptor) : descriptor_(descriptor) {
  const int yes = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

tcp_stream::~tcp_stream() { Close(); }

std::unique_ptr<tcp_stream> tcp_stream::Connect(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in parsed = ParseAddress(address);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&parsed), sizeof(parsed)) != 0) {
    close(descriptor);
    return nullptr;
  }
  return std::make_unique<tcp_stream>(descriptor);
}

bool tcp_stream::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool tcp_stream::Fill(std::int64_t deadline_ms) {
  if (ended_) return false;
  pollfd waiting{.fd = descriptor_, .events = POLLIN, .revents = 0};
  const std::int64_t left = std::max<std::int64_t>(0, deadline_ms - NowMs());
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
  std::array<char, 16384> bytes{};
  const ssize_t count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    ended_ = true;
    return false;
  }
  input_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

void tcp_stream::ReadChunks(std::int64_t deadline_ms, http_message& message) {
  while (true) {
    std::size_t line_end = input_.find("\r\n");
    while (line_end == std::string::npos) {
      if (!Fill(deadline_ms)) return;
      line_end = input_.find("\r\n");
    }
    const std::size_t length = std::stoul(input_.substr(0, line_end), nullptr, 16);
    const std::size_t whole = line_end + 2 + length + 2;
    while (input_.size() < whole) {
      if (!Fill(deadline_ms)) return;
    }
    message.body += input_.substr(line_end + 2, length);
    input_.erase(0, whole);
    if (length > 0) continue;
    message.complete = true;
    return;
  }
}

http_message tcp_stream::Read(std::int64_t timeout_ms, bool is_answer) {
  const std::int64_t deadline_ms = NowMs() + timeout_ms;
  http_message message;
  std::size_t end = input_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline_ms)) return message;
    end = input_.find("\r\n\r\n");
  }
  message.head = input_.substr(0, end);
  input_.erase(0, end + 4);
  if (EqualsIgnoringCase(message.Header("Transfer-Encoding"), "chunked")) {
    ReadChunks(deadline_ms, message);
    return message;
  }
  const std::string length_text = message.Header("Content-Length");
  if (length_text.empty() && is_answer) {
    while (Fill(deadline_ms)) continue;
    message.body = std::exchange(input_, "");
    message.complete = ended_;
    return message;
  }
  const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
  while (input_.size() < length) {
    if (!Fill(deadline_ms)) return message;
  }
  message.body = input_.substr(0, length);
  input_.erase(0, length);
  message.complete = true;
  return message;
}

bool tcp_stream::IsClosed() {
  if (!ended_) Fill(NowMs());
  return ended_;
}

void tcp_stream::Close() {
  const std::lock_guard lock(close_mutex_);
  if (descriptor_ < 0) return;
  shutdown(descriptor_, SHUT_RDWR);
  close(std::exchange(descriptor_, -1));
}

void tcp_stream::Reset() {
  const std::lock_guard lock(close_mutex_);
  if (descriptor_ < 0) return;
  const linger now{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  shutdown(descriptor_, SHUT_RD);  // wakes the thread that reads
  close(std::exchange(descriptor_, -1));
}

tcp_server::tcp_server(connection_handler handler) : handler_(std::move(handler)) {
  const std::uint16_t port = FreePort();
  listener_ = BindLoopback(SOCK_STREAM, port);
  if (listener_ < 0 || listen(listener_, 256) != 0) {
    throw std::runtime_error("cannot listen on " + Loopback(port));
  }
  address_ = Loopback(port);
  accept_thread_ = std::thread([this] { Accept(); });
}

tcp_server::~tcp_server() { Stop(); }

void tcp_server::Accept() {
  while (!stopping_) {
    pollfd waiting{.fd = listener_, .events = POLLIN, .revents = 0};
    if (poll(&waiting, 1, 20) <= 0) continue;
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const std::lock_guard lock(mutex_);
    const auto stream = std::make_shared<tcp_stream>(descriptor);
    streams_.push_back(stream);
    threads_.emplace_back([this, stream] {
      handler_(*stream);
      stream->Close();
    });
  }
}

void tcp_server::Stop() {
  if (stopping_.exchange(true)) return;
  accept_thread_.join();
  close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& stream : streams_) stream->Reset();
  }
  for (std::thread& each : threads_) each.join();
}

metadata_store::metadata_store()
    : server_(std::make_unique<tcp_server>([this](tcp_stream& s) { Serve(s, never_cut_); })),
      cuttable_server_(std::make_unique<tcp_server>([this](tcp_stream& s) { Serve(s, is_cut_); })) {
}

metadata_store::~metadata_store() {
  stopping_ = true;
  changed_.notify_all();
  server_->Stop();
  cuttable_server_->Stop();
}

void metadata_store::Put(const std::string& key, const nlohmann::json& value) {
  const std::lock_guard lock(mutex_);
  const change made{.revision = ++revision_, .key = key, .value = EncodeBase64(value.dump())};
  items_[key] = made;
  history_.push_back(made);
  changed_.notify_all();
}

void metadata_store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  items_.erase(key);
  history_.push_back({.revision = ++revision_, .key = key, .value = std::nullopt});
  changed_.notify_all();
}

nlohmann::json metadata_store::Range(const std::string& prefix) {
  const std::lock_guard lock(mutex_);
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, item] : items_) {
    if (key.compare(0, prefix.size(), prefix) != 0) continue;
    items.push_back({{"key", key},
                     {"value", *item.value},
                     {"revision", item.revision},
                     {"created", item.revision},
                     {"lease", 0}});
  }
  return {{"items", items}, {"hasMore", false}, {"currentRev", revision_}};
}

nlohmann::json metadata_store::Events(const std::string& prefix, std::uint64_t after) const {
  nlohmann::json events = nlohmann::json::array();
  for (const change& each : history_) {
    if (each.revision <= after || each.key.compare(0, prefix.size(), prefix) != 0) continue;
    nlohmann::json event = {{"key", each.key}, {"revision", each.revision}};
    if (each.value) {
      event["value"] = *each.value;
      event["created"] = each.revision;
      event["lease"] = 0;
    } else {
      event["tombstone"] = true;
    }
    events.push_back(std::move(event));
  }
  return events;
}

nlohmann::json metadata_store::Watch(const std::string& prefix, std::uint64_t after,
                                     std::int64_t wait_ms) {
  std::unique_lock lock(mutex_);
  nlohmann::json events;
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    events = Events(prefix, after);
    return !events.empty() || stopping_;
  });
  return {{"events", events}, {"currentRev", revision_}};
}

void metadata_store::Serve(tcp_stream& stream, const std::atomic<bool>& is_cut) {
  while (!stopping_) {
    const http_message request = stream.Read(60'000, false);
    if (!request.complete) return;
    const std::string target = request.Target();
    const std::string prefix = QueryValue(target, "prefix");
    const bool is_range = target.compare(0, 9, "/kv-range") == 0;
    if (!is_range && target.compare(0, 9, "/kv-watch") != 0) {
      if (!stream.Send(MakeAnswer(404, "", ""))) return;
      continue;
    }
    const nlohmann::json body = is_range ? Range(prefix)
                                         : Watch(prefix, std::stoull(QueryValue(target, "after")),
                                                 std::stoll(QueryValue(target, "waitMs")));
    if (is_cut) {
      // A connection on which an answer is lost gives nothing more.
      while (!stopping_ && !stream.IsClosed()) SleepMs(20);
      return;
    }
    if (!stream.Send(MakeAnswer(200, "Content-Type: application/json\r\n", body.dump()))) return;
  }
}

child_process::child_process(std::string role, const std::string& name, const std::string& folder,
                             const std::string& settings)
    : role_(std::move(role)),
      settings_path_(folder + "/" + name + ".yaml"),
      log_path_(folder + "/" + name + ".log") {
  std::ofstream(settings_path_) << settings;
}

child_process::~child_process() { Kill(); }

void child_process::Start() {
  std::string variable = "BERYLBARROW_SETTINGS=" + settings_path_;
  std::string path = "PATH=/usr/bin:/bin";
  std::string program = "target/berylbarrow";
  std::array<char*, 3> arguments{program.data(), role_.data(), nullptr};
  std::array<char*, 3> environment{variable.data(), path.data(), nullptr};
  const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the case itself is killed
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  close(log);
}

void child_process::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(std::exchange(pid_, -1), nullptr, 0);
}

std::optional<int> child_process::EndStatus() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = -1;
  return status;
}

std::uint16_t FreePort() {
  static std::mutex mutex;
  static std::mt19937 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  std::uniform_int_distribution<int> ports(11'000, 31'000);
  for (int i = 0; i < 1000; ++i) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    const int stream = BindLoopback(SOCK_STREAM, port);
    const int datagram = BindLoopback(SOCK_DGRAM, port);
    if (stream >= 0) close(stream);
    if (datagram >= 0) close(datagram);
    if (stream >= 0 && datagram >= 0) return port;
  }
  throw std::runtime_error("no free port");
}

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::string MakeTemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  return pattern;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const std::string key = mark + name + '=';
    const std::size_t found = target.find(key);
    if (found == std::string::npos) continue;
    const std::size_t start = found + key.size();
    return DecodePercent(target.substr(start, target.find('&', start) - start));
  }
  return "";
}

std::string MakePayment(const std::string& id, const std::string& fields, const std::string& body) {
  return "POST /pay/1 HTTP/1.1\r\nHost: solano.example\r\nRequest-Attempt-Id: " + id +
         "\r\nDeadline-Remaining-Ms: 600\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeAnswer(int status, const std::string& fields, const std::string& body) {
  std::string answer = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Failed");
  answer += "\r\n" + fields;
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return answer + body;
}

gateway_addresses MakeGatewayAddresses() {
  return {.callers = Loopback(FreePort()),
          .readiness = Loopback(FreePort()),
          .directory = Loopback(FreePort()),
          .peers = Loopback(FreePort())};
}

std::string GatewaySettings(const std::string& name, const gateway_addresses& addresses,
                            const std::string& store, const std::string& seed) {
  std::ostringstream text;
  text << "process:\n  name: " << name << "\n  domain: zona-heredia\nlisten:\n"
       << "  callers: " << addresses.callers << "\n  readiness: " << addresses.readiness
       << "\n  directory: " << addresses.directory << "\n  peers: " << addresses.peers
       << "\n  metrics: " << Loopback(FreePort()) << "\nstore:\n  address: " << store
       << "\nseeds: [" << seed << "]\nbounds:\n"
       << "  shutdown_grace: 8s\n  key_lifetime: 5000ms\n  strict_keys: true\n"
       << "  upstream_drain: 2000ms\n  retry_window: 10s\n  retry_share: 0.2\n"
       << "  retry_slack: 90\nlog:\n  format: json\n  max_events_per_second: 200\n";
  return text.str();
}

bool AwaitReady(const std::string& readiness, std::int64_t timeout_ms) {
  const std::int64_t deadline_ms = NowMs() + timeout_ms;
  while (NowMs() < deadline_ms) {
    if (const auto stream = tcp_stream::Connect(readiness)) {
      stream->Send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (stream->Read(500, true).Status() == 200) return true;
    }
    SleepMs(50);
  }
  return false;
}

}  // namespace berylbarrow::review
