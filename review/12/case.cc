// A replica leaves while the store cuts watches that wait.

#include <algorithm>
#include <atomic>
#include <thread>

#include "../stand_ins_3.h"

namespace berylbarrow::review {
namespace {

// Figures of the pages; see claim.txt.
constexpr int kDrainMs = 2000;

constexpr int kCutAtMs = 5000;       // the first watch that waits from then on is cut
constexpr int kRemovalAfterMs = 20;  // the replica leaves so long after the cut
constexpr int kCutForMs = 1400;      // in this time after it, the watches that wait are cut again
constexpr int kWaitMs = 100;         // a watch is cut when it has waited for so long
constexpr int kExitAfterMs = kDrainMs + 600;
constexpr int kEndMs = 12000;
constexpr int kClients = 6;
constexpr int kPauseMs = 40;
// What arrives so shortly after the bound is not counted.
constexpr int kMarginMs = 50;

nlohmann::json Configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-booking"},
             {"hostname", "h.example"},
             {"prefix", "/booking/"},
             {"routeType", "non_idempotent"},
             {"timeoutMs", 2500},
             {"goalMs", 150},
             {"priority", 2},
             {"service", "caja"},
             {"maxAttempts", 1},
             {"public", false}}}},
          {"services",
           {{{"name", "caja"},
             {"healthPath", "/healthz"},
             {"maxConns", 100},
             {"protocol", "h1"},
             {"tls", false},
             {"coldStartS", 0.0},
             {"coldPerS", 0.0}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "counter"}, {"apiKeys", {"key-of-counter"}}}}}};
}

class case_run {
 public:
  case_run(recorder& record, const std::string& folder) : record_(record), folder_(folder) {}

  int Run();

 private:
  bool StartAll();
  void SendBookings(int client);
  int Judge(std::int64_t removed_ms);
  static int Join(std::vector<std::thread>& clients, int result);

  recorder& record_;
  std::string folder_;
  cutting_store store_;
  replica leaving_{"i-leaving", "caja", milliseconds(40)};
  replica second_{"i-second", "caja", milliseconds(40)};
  replica third_{"i-third", "caja", milliseconds(40)};
  gateway_process gateways_[2]{{"edge-a-1", "zone-a"}, {"edge-a-2", "zone-a"}};
  std::atomic<int> sent_{0};
  std::atomic<int> unknown_{0};  // ended by 502, 504 or without an answer
};

bool case_run::StartAll() {
  store_.Put("op/config", Configuration());
  for (const replica* each : {&leaving_, &second_, &third_}) {
    store_.Put("servers/" + each->Id(), each->Entry());
  }
  const std::string seeds = gateways_[0].Control() + "," + gateways_[1].Control();
  for (gateway_process& each : gateways_) each.Start(store_.Address(), seeds, folder_);
  const bool is_ready = std::all_of(std::begin(gateways_), std::end(gateways_),
                                    [](auto& each) { return each.AwaitReady(milliseconds(3000)); });
  record_.Line(is_ready ? "both gateways are ready" : "the gateways do not become ready");
  return is_ready;
}

void case_run::SendBookings(int client) {
  for (int number = 0; NowMs() < kEndMs; ++number) {
    const std::string id = "booking-" + std::to_string(client) + "-" + std::to_string(number);
    const gateway_process& gateway = gateways_[(client + number) % 2];
    const std::int64_t sent_ms = NowMs();
    const auto answer =
        Ask(gateway.Front(),
            "POST /booking/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: " + id +
                "\r\nDeadline-Remaining-Ms: 2500\r\n" + "Authorization: Token key-of-counter\r\n" +
                "Content-Length: 5\r\n\r\nseat1",
            milliseconds(3000));
    ++sent_;
    if (!answer || answer->Status() == 502 || answer->Status() == 504) {
      ++unknown_;
      record_.Line(id + " sent to " + gateway.Name() + " at " + std::to_string(sent_ms) +
                   " ms: " + (answer ? std::to_string(answer->Status()) : "no answer"));
    }
    std::this_thread::sleep_for(milliseconds(kPauseMs));
  }
}

int case_run::Judge(std::int64_t removed_ms) {
  int late = 0;
  std::int64_t last_ms = 0;
  int before = 0;
  for (const run_record& run : leaving_.Runs()) {
    if (run.at_ms < removed_ms) ++before;
    if (run.at_ms <= removed_ms + kDrainMs + kMarginMs) continue;
    ++late;
    last_ms = run.at_ms;
    record_.Line(run.id + " reached " + run.replica + " at " + std::to_string(run.at_ms) + " ms, " +
                 std::to_string(run.at_ms - removed_ms) + " ms after the acknowledgement");
  }
  record_.Line(std::to_string(sent_) + " bookings; " + std::to_string(before) +
               " reached i-leaving before it left, " + std::to_string(late) +
               " later than drainMs after the acknowledgement; " + std::to_string(unknown_) +
               " bookings ended with an unknown outcome; " + std::to_string(store_.CutCount()) +
               " watches were cut");
  if (before == 0) return 2;
  return last_ms > 0 ? 1 : 0;
}

int case_run::Join(std::vector<std::thread>& clients, int result) {
  for (std::thread& each : clients) each.join();
  return result;
}

int case_run::Run() {
  if (!StartAll()) return 2;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) clients.emplace_back([this, i] { SendBookings(i); });
  SleepUntil(kCutAtMs);
  if (IsTroubled()) {
    store_.CutWatches("servers/", milliseconds(kWaitMs));
    if (!store_.AwaitCuts(1, milliseconds(3000))) return Join(clients, 2);
    record_.Line("the store has cut a watch on the instance list that waited");
  }
  std::this_thread::sleep_for(milliseconds(kRemovalAfterMs));
  store_.Remove("servers/i-leaving");
  const std::int64_t removed_ms = NowMs();
  record_.Line("the store acknowledges that the entry of i-leaving is removed");
  SleepUntil(removed_ms + kCutForMs);
  store_.CutWatches("servers/", std::nullopt);
  record_.Line("the store has cut " + std::to_string(store_.CutCount()) + " watches; no more");
  SleepUntil(removed_ms + kExitAfterMs);
  leaving_.Exit();
  record_.Line("i-leaving has ended");
  Join(clients, 0);
  return Judge(removed_ms);
}

}  // namespace
}  // namespace berylbarrow::review

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  berylbarrow::review::recorder record(std::string(argv[1]) + "/record.txt");
  try {
    const int result = berylbarrow::review::case_run(record, argv[2]).Run();
    record.Line("result " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    record.Line(std::string("cannot run: ") + error.what());
    return 2;
  }
}
