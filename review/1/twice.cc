// Payments at a small deployment of seven gateways and two replicas of the payment service. Both
// replicas are full for some milliseconds now and then. One of them is faulty: in episodes of 5 s
// it sends three answers in a hundred once more, where the next answer is expected.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>

#include "review/stand_ins.h"

namespace berylbarrow::review {
namespace {

constexpr std::int64_t kLengthMs = 95'000;
constexpr std::int64_t kGateways = 7;
constexpr std::int64_t kClients = 4;              // of each gateway
constexpr std::int64_t kRequestIntervalMs = 130;  // of each client
constexpr int kSlots = 6;
constexpr int kWorkMs = 15;
// Other callers fill the replicas for kFullMs in each kFullPeriodMs.
constexpr std::int64_t kFullPeriodMs = 500;
constexpr std::int64_t kFullMs = 40;
// A site's dose of the disruption: a share of up to 0.6 of the replicas, 3 answers in 100, 5 s.
constexpr double kRepeatedShare = 0.03;
constexpr std::int64_t kEpisodeMs = 5'000;
constexpr std::int64_t kEpisodePeriodMs = 6'000;

/// What the replicas have run and what the gateways have answered, by Request-Attempt-Id.
class ledger {
 public:
  explicit ledger(recorder& record) : record_(record) {}

  void OnRun(const std::string& id, const std::string& replica) {
    const std::lock_guard lock(mutex_);
    payment& known = payments_[id];
    ++known.runs;
    record_.Line("run " + id + " at " + replica + (known.runs > 1 ? " AGAIN" : ""));
  }
  void OnAnswer(const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    payment& known = payments_[id];
    known.status = status;
    record_.Line("answered " + id + " " + std::to_string(status) +
                 (known.runs > 0 && IsPromise(status) ? " BUT RAN" : ""));
  }
  std::size_t Count() const { return payments_.size(); }
  /// Payments that ran more than once (TWICE).
  std::int64_t Repeated() const {
    return std::count_if(payments_.begin(), payments_.end(),
                         [](const auto& entry) { return entry.second.runs > 1; });
  }
  /// Payments that ran and were answered with the promise that they did not (REFUSED).
  std::int64_t Denied() const {
    return std::count_if(payments_.begin(), payments_.end(), [](const auto& entry) {
      return entry.second.runs > 0 && IsPromise(entry.second.status);
    });
  }

 private:
  struct payment {
    int runs = 0;
    int status = 0;  // 0: no answer
  };
  static bool IsPromise(int status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
  }

  recorder& record_;
  std::mutex mutex_;
  std::map<std::string, payment> payments_;
};

class payment_replica {
 public:
  payment_replica(std::string id, bool is_faulty, ledger& runs, recorder& record)
      : id_(std::move(id)),
        is_faulty_(is_faulty),
        runs_(runs),
        record_(record),
        server_([this](tcp_stream& stream) { Serve(stream); }) {}

  const std::string& Address() const { return server_.Address(); }
  const std::string& Id() const { return id_; }
  void Stop() { server_.Stop(); }

 private:
  bool IsRepeated() {
    const bool is_episode = is_faulty_ && NowMs() % kEpisodePeriodMs < kEpisodeMs;
    const std::lock_guard lock(mutex_);
    return is_episode && std::bernoulli_distribution(kRepeatedShare)(random_);
  }

  std::string Handle(const http_message& request) {
    const std::string attempt = request.Header("Request-Attempt-Id");
    const std::string echo = "Request-Attempt-Id: " + attempt + "\r\n";
    if (request.Header("Expect-Replica") != id_) return MakeAnswer(421, echo, "");
    const bool is_full = NowMs() % kFullPeriodMs < kFullMs;
    if (is_full || ++running_ > kSlots) {
      if (!is_full) --running_;
      record_.Line("full " + attempt + " at " + id_);
      return MakeAnswer(503, echo + "Not-Executed: 1\r\nReplica-Load: 6,0,6\r\n", "");
    }
    runs_.OnRun(attempt, id_);
    SleepMs(kWorkMs);
    --running_;
    return MakeAnswer(200, echo + "Replica-Signature: " + id_ + "." + attempt + "\r\n",
                      "paid " + attempt);
  }

  void Serve(tcp_stream& stream) {
    std::string late_copy;
    while (true) {
      const http_message request = stream.Read(60'000, false);
      if (!request.complete) return;
      if (!late_copy.empty()) {
        record_.Line("late copy at " + id_ + " before " + request.Header("Request-Attempt-Id"));
        if (!stream.Send(std::exchange(late_copy, ""))) return;
      }
      const std::string answer = Handle(request);
      if (!stream.Send(answer)) return;
      if (IsTroubleWanted() && IsRepeated()) late_copy = answer;
    }
  }

  std::string id_;
  bool is_faulty_;
  ledger& runs_;
  recorder& record_;
  std::mutex mutex_;
  std::mt19937 random_{std::random_device{}()};
  std::atomic<int> running_{0};
  tcp_server server_;
};

nlohmann::json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-pay"},
             {"hostname", "solano.example"},
             {"prefix", "/pay/"},
             {"routeType", "non_idempotent"},
             {"timeoutMs", 10'000},
             {"goalMs", 100},
             {"priority", 2},
             {"service", "caja"},
             {"maxAttempts", 1},
             {"public", false},
             {"sticky", false},
             {"resumable", false}}}},
          {"services",
           {{{"name", "caja"},
             {"healthPath", "/healthz"},
             {"maxConns", 100},
             {"protocol", "h1"},
             {"tls", false},
             {"coldStartS", 0.0},
             {"coldPerS", 0.0}}}},
          {"limits",
           {{"maxHeaderBytes", 16'384},
            {"maxBodyBytes", 4'194'304},
            {"headerTimeoutMs", 3'000},
            {"idleTimeoutMs", 15'000}}},
          {"tenants", {{{"name", "notaria"}, {"apiKeys", {"k1"}}, {"priority", 1}}}}};
}

nlohmann::json Entry(const payment_replica& replica) {
  return {{"service", "caja"},
          {"address", replica.Address()},
          {"zone", "zona-heredia"},
          {"version", "v1"},
          {"slots", kSlots},
          {"state", "ready"},
          {"coldMs", 0},
          {"seq", 1}};
}

void SendPayments(std::int64_t client, const std::string& address, ledger& runs, recorder& record) {
  std::unique_ptr<tcp_stream> stream;
  SleepMs(client * kRequestIntervalMs / (kClients * kGateways));
  for (int i = 0; NowMs() < kLengthMs; ++i) {
    const std::int64_t next = NowMs() + kRequestIntervalMs;
    if (!stream || stream->IsClosed()) stream = tcp_stream::Connect(address);
    if (stream == nullptr) continue;
    const std::string id = "c" + std::to_string(client) + "n" + std::to_string(i);
    const std::string body = "fee 1500 for " + id;
    record.Line("sent " + id);
    stream->Send(MakePayment(id, "Authorization: Token k1\r\n", body));
    const http_message answer = stream->Read(1'500, true);
    runs.OnAnswer(id, answer.complete ? answer.Status() : 0);
    if (!answer.complete || answer.Header("Connection") == "close") stream.reset();
    if (NowMs() < next) SleepMs(next - NowMs());
  }
}

int Run(const std::string& folder) {
  recorder record(folder + "/record.txt");
  ledger runs(record);
  metadata_store store;
  payment_replica sound("i-sound", false, runs, record);
  payment_replica faulty("i-faulty", true, runs, record);
  store.Put("op/config", Configuration());
  for (const auto* each : {&sound, &faulty}) store.Put("servers/" + each->Id(), Entry(*each));
  const std::string temporary = MakeTemporaryFolder();
  std::vector<gateway_addresses> addresses;
  std::vector<std::unique_ptr<child_process>> gateways;
  for (std::int64_t i = 0; i < kGateways; ++i) {
    addresses.push_back(MakeGatewayAddresses());
    const std::string name = "gateway-" + std::to_string(i);
    gateways.push_back(std::make_unique<child_process>(
        "gateway", name, temporary,
        GatewaySettings(name, addresses.back(), store.Address(), addresses.front().peers)));
    gateways.back()->Start();
  }
  bool is_usable = true;
  for (const auto& each : addresses) is_usable = is_usable && AwaitReady(each.readiness, 10'000);
  if (is_usable) {
    std::vector<std::thread> clients;
    for (std::int64_t i = 0; i < kClients * kGateways; ++i) {
      const std::string& address = addresses[static_cast<std::size_t>(i % kGateways)].callers;
      clients.emplace_back([&, address, i] { SendPayments(i, address, runs, record); });
    }
    for (std::thread& each : clients) each.join();
    SleepMs(1'000);
  }
  for (const auto& each : gateways) is_usable = is_usable && !each->EndStatus();
  gateways.clear();
  sound.Stop();
  faulty.Stop();
  std::filesystem::remove_all(temporary);
  if (!is_usable || runs.Count() < 1'000) return 2;
  const std::string result = std::to_string(runs.Count()) + " payments; " +
                             std::to_string(runs.Denied()) + " ran and were answered 503; " +
                             std::to_string(runs.Repeated()) + " ran more than once";
  record.Line("result: " + result);
  std::cout << result << "\n";
  return runs.Denied() + runs.Repeated() > 0 ? 1 : 0;
}

}  // namespace
}  // namespace berylbarrow::review

int main(int argc, char** argv) {
  try {
    return argc == 2 ? berylbarrow::review::Run(argv[1]) : 2;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
