#ifndef BERYLBARROW_REVIEW_STAND_INS_3_H_
#define BERYLBARROW_REVIEW_STAND_INS_3_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
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

using std::chrono::milliseconds;

/// Whether the disruption of the case is played (TROUBLE is not 0).
bool IsTroubled();

/// Milliseconds since the case began.
std::int64_t NowMs();
/// Sleeps until that time.
void SleepUntil(std::int64_t at_ms);

/// Writes record.txt: one line an event, with its time.
class recorder {
 public:
  explicit recorder(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// An "IP:port" on loopback that is free for TCP and UDP.
std::string FreeAddress();

/// A request or an answer with a Content-Length, with chunks, or without a body.
struct message {
  std::string start;  // the first line
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /// Empty if there is none. Names are compared without case.
  std::string Field(std::string_view name) const;
  /// Of a request.
  std::string Target() const;
  /// Of an answer.
  int Status() const;
};

/// A TCP connection on loopback with blocking calls.
class stream {
 public:
  explicit stream(int descriptor) : descriptor_(descriptor) {}
  ~stream();
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  /// Null if that fails.
  static std::unique_ptr<stream> Connect(const std::string& address);
  bool Send(std::string_view bytes) const;
  /// Nothing if no whole message arrives in time. `answers_head`: an answer to HEAD has no body,
  /// whatever its fields say.
  std::optional<message> Read(milliseconds limit, bool answers_head = false);
  /// Bytes that have arrived beyond the messages that were read.
  const std::string& Unread(milliseconds wait);
  /// Ends the connection, so that calls of other threads return.
  void Interrupt() const;

 private:
  bool ReadUntil(std::size_t size, std::int64_t end_ms);
  /// Takes a body in chunks from `begin` of the input. Nothing if it is not whole in time.
  std::optional<std::string> ReadChunks(std::size_t begin, std::int64_t end_ms);
  /// Reads once. Returns false at the end of the connection or of the time.
  bool ReadSome(std::int64_t end_ms);

  int descriptor_;
  std::string input_;
};

/// Listens on a free loopback port and serves each connection on a thread of its own.
class server {
 public:
  explicit server(std::function<void(stream&)> handler);
  ~server() { Stop(); }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  const std::string& Address() const { return address_; }
  /// Takes no more connections, and ends those that are open.
  void Stop();

 private:
  void Accept();

  std::function<void(stream&)> handler_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<stream>> streams_;
  std::vector<std::thread> threads_;
  std::thread accept_thread_;
};

/// The platform's store, with one revision counter, full history, and watches that it may cut while
/// they wait.
class cutting_store {
 public:
  cutting_store() : server_([this](stream& caller) { Serve(caller); }) {}
  ~cutting_store();
  cutting_store(const cutting_store&) = delete;
  cutting_store& operator=(const cutting_store&) = delete;

  const std::string& Address() const { return server_.Address(); }
  /// Both return when the store has acknowledged the write.
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);
  /// From now on, closes the connection of each watch on this prefix that has waited for `wait`;
  /// nothing: cuts none.
  void CutWatches(const std::string& prefix, std::optional<milliseconds> wait);
  int CutCount() const { return cut_count_; }
  /// Waits until so many watches have been cut. Returns false if that takes too long.
  bool AwaitCuts(int count, milliseconds limit);

 private:
  struct item {
    std::uint64_t revision = 0;
    std::string key;
    std::string value;  // base64; empty: removed
  };

  void Serve(stream& caller);
  nlohmann::json Range(const std::string& prefix);
  /// Nothing if the watch is cut.
  std::optional<nlohmann::json> Watch(const std::string& prefix, std::uint64_t after,
                                      milliseconds wait);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::vector<item> history_;
  std::string cut_prefix_;
  std::optional<milliseconds> cut_after_;
  std::atomic<int> cut_count_{0};
  std::atomic<bool> stopping_{false};
  server server_;
};

/// A request that a replica has run.
struct run_record {
  std::int64_t at_ms = 0;
  std::string id;
  std::string target;
  std::string replica;
};

/// A sound replica: runs each request that is meant for it, and answers it whole and signed. It
/// answers below /draft/ with a stream of events in chunks.
class replica {
 public:
  replica(std::string id, std::string service, milliseconds work);
  ~replica() { server_.Stop(); }
  replica(const replica&) = delete;
  replica& operator=(const replica&) = delete;

  const std::string& Id() const { return id_; }
  const std::string& Service() const { return service_; }
  /// The entry of the instance list.
  nlohmann::json Entry() const;
  std::vector<run_record> Runs() const;
  /// Ends like a process: takes no more connections, and those that are open break off.
  void Exit() { server_.Stop(); }

 private:
  void Serve(stream& caller);
  std::string AnswerTo(const message& request) const;

  std::string id_;
  std::string service_;
  milliseconds work_;
  mutable std::mutex mutex_;
  std::vector<run_record> runs_;
  server server_;
};

/// `berylbarrow gateway` as a process, with settings like those of deploy/gateway.yaml.tmpl.
class gateway_process {
 public:
  gateway_process(std::string name, std::string zone);
  ~gateway_process();
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  const std::string& Name() const { return name_; }
  const std::string& Front() const { return front_; }
  const std::string& Directory() const { return directory_; }
  const std::string& Control() const { return control_; }
  void Start(const std::string& store, const std::string& seeds, const std::string& folder);
  void Signal(int number) const;
  /// Whether GET /readyz is answered with 200.
  bool IsReady() const;
  bool AwaitReady(milliseconds limit) const;

 private:
  std::string name_;
  std::string zone_;
  std::string front_ = FreeAddress();
  std::string readiness_ = FreeAddress();
  std::string directory_ = FreeAddress();
  std::string control_ = FreeAddress();
  std::string metrics_ = FreeAddress();
  pid_t pid_ = 0;
};

/// Sends one request on a new connection. Nothing if no whole answer arrives in time.
std::optional<message> Ask(const std::string& address, const std::string& request,
                           milliseconds limit);
/// The addresses that GET /resolve names; empty if there is no answer.
std::vector<std::string> Resolve(const std::string& directory, const std::string& zone);

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_STAND_INS_3_H_
