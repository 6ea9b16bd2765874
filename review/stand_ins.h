#ifndef BERYLBARROW_REVIEW_STAND_INS_H_
#define BERYLBARROW_REVIEW_STAND_INS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace berylbarrow::review {

/// Milliseconds of the steady clock since the start of the process.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
/// Whether the disruption of the case is to happen: the variable TROUBLE is not 0.
bool IsTroubleWanted();

/// Writes lines with the time to a file. Can be used by several threads.
class recorder {
 public:
  explicit recorder(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// One HTTP message. The start line is the first line of `head`.
struct http_message {
  std::string head;  // without the blank line
  std::string body;
  bool complete = false;  // all of it has arrived

  std::string Header(std::string_view name) const;
  /// Method and target of a request.
  std::string Method() const;
  std::string Target() const;
  /// Of an answer; 0 if there is none.
  int Status() const;
};

/// A connected TCP socket on loopback.
class tcp_stream {
 public:
  explicit tcp_stream(int descriptor);
  ~tcp_stream();
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;

  /// Connects to "IP:port"; null if that fails.
  static std::unique_ptr<tcp_stream> Connect(const std::string& address);
  bool Send(std::string_view bytes);
  /// Reads one message. `complete` is false if the connection ends or `timeout_ms` passes before.
  http_message Read(std::int64_t timeout_ms, bool is_answer);
  /// Bytes that have arrived behind the last message.
  const std::string& Pending() const { return input_; }
  /// Whether the other side has closed or reset the connection.
  bool IsClosed();
  void Close();
  /// Closes by a reset.
  void Reset();

 private:
  bool Fill(std::int64_t deadline_ms);
  void ReadChunks(std::int64_t deadline_ms, http_message& message);

  std::mutex close_mutex_;
  int descriptor_;
  std::string input_;
  bool ended_ = false;
};

/// Listens on a loopback address and serves each connection on a thread of its own.
class tcp_server {
 public:
  using connection_handler = std::function<void(tcp_stream&)>;

  explicit tcp_server(connection_handler handler);
  ~tcp_server();

  const std::string& Address() const { return address_; }
  /// Closes the listener and resets all connections, as the end of a process does.
  void Stop();

 private:
  void Accept();

  connection_handler handler_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<tcp_stream>> streams_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

/// Stand-in of the platform's store, which keeps all of its history.
class metadata_store {
 public:
  metadata_store();
  ~metadata_store();

  const std::string& Address() const { return server_->Address(); }
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  /// Another way to the store, which can be cut: what is on its way is lost without a reset.
  const std::string& CuttableAddress() const { return cuttable_server_->Address(); }
  void SetCut(bool is_cut) { is_cut_ = is_cut; }

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::optional<std::string> value;  // none: removed
  };

  void Serve(tcp_stream& stream, const std::atomic<bool>& is_cut);
  nlohmann::json Range(const std::string& prefix);
  nlohmann::json Watch(const std::string& prefix, std::uint64_t after, std::int64_t wait_ms);
  nlohmann::json Events(const std::string& prefix, std::uint64_t after) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, change> items_;
  std::vector<change> history_;
  std::atomic<bool> is_cut_{false};
  const std::atomic<bool> never_cut_{false};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<tcp_server> server_;
  std::unique_ptr<tcp_server> cuttable_server_;
};

/// A process of the project that the case has started.
class child_process {
 public:
  /// Runs `target/berylbarrow ROLE` with the settings; its output goes to a file of that name.
  child_process(std::string role, const std::string& name, const std::string& folder,
                const std::string& settings);
  ~child_process();

  void Start();
  /// SIGKILL.
  void Kill();
  /// The status of waitpid(), once the process has ended.
  std::optional<int> EndStatus();

 private:
  std::string role_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_ = -1;
};

/// A free port on loopback, below the range from which outgoing connections get theirs.
std::uint16_t FreePort();
std::string Loopback(std::uint16_t port);
/// A new folder for settings and logs.
std::string MakeTemporaryFolder();
std::string QueryValue(const std::string& target, const std::string& name);
/// A payment of a client. `fields`: further lines that end with "\r\n".
std::string MakePayment(const std::string& id, const std::string& fields, const std::string& body);
/// An answer with a Content-Length. `fields`: lines that end with "\r\n".
std::string MakeAnswer(int status, const std::string& fields, const std::string& body);

/// Addresses of a gateway.
struct gateway_addresses {
  std::string callers;
  std::string readiness;
  std::string directory;
  std::string peers;
};
gateway_addresses MakeGatewayAddresses();
/// What the template of the deploy file makes of the settings of a Solano machine.
std::string GatewaySettings(const std::string& name, const gateway_addresses& addresses,
                            const std::string& store, const std::string& seed);
/// Waits until the readiness address answers with 200. Returns false after `timeout_ms`.
bool AwaitReady(const std::string& readiness, std::int64_t timeout_ms);

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_STAND_INS_H_
