// The companions of one failure domain are killed while an order of one of them has no answer yet.
// See claim.txt.

#include <atomic>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../deployment.h"
#include "../engine_group.h"
#include "../small_store.h"

namespace berylbarrow::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using steady_clock = std::chrono::steady_clock;

constexpr const char* kService = "model-pool";
constexpr std::uint32_t kRanks = 8;
constexpr std::uint32_t kLateRank = 3;
constexpr int kCallers = 3;
constexpr const char* kKilledDomain = "zagreb-a";  // of the ranks 0, 3 and 6
constexpr auto kSettling = seconds(4);
constexpr auto kUntilKill = milliseconds(60);  // from the order that gets no answer
constexpr auto kDown = milliseconds(3000);
constexpr auto kLate = milliseconds(7000);
constexpr auto kQuiet = seconds(14);  // from the order until callers come again

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

const std::vector<std::string> kDomains{"zagreb-a", "zagreb-b", "osijek-c"};

json Configuration() {
  const json engine = {{"slots", 12},
                       {"kvCapacity", 280000},
                       {"kvTokenBytes", 35136},
                       {"linkMbps", 92000.0},
                       {"stride", 4},
                       {"step_ms", 4.55},
                       {"per_seq_ms", 0.905},
                       {"context_per_k", 0.0183},
                       {"read_per_s", 61400.0},
                       {"pairs_per_m", 0.525},
                       {"chunk", 512},
                       {"report_lag_ms", 200.0},
                       {"usual", {{"prompt", 835}, {"answer", 97}}},
                       {"sets", 6},
                       {"experts", 64},
                       {"placements", 11},
                       {"spare", 4},
                       {"expertMb", 1700.0},
                       {"expertShare", 0.85},
                       {"form_ms", 600.0}};
  return {{"version", 7},
          {"routes",
           {{{"name", "r-draft"},
             {"hostname", "h.example"},
             {"prefix", "/draft/"},
             {"routeType", "streaming"},
             {"timeoutMs", 8000},
             {"goalMs", 500},
             {"priority", 1},
             {"service", kService},
             {"maxAttempts", 2},
             {"public", false},
             {"sticky", true},
             {"resumable", true},
             {"gapTargetMs", 120}}}},
          {"services",
           {{{"name", kService},
             {"healthPath", "/healthz"},
             {"maxConns", 218},
             {"protocol", "h1"},
             {"tls", false},
             {"coldStartS", 0.0},
             {"coldPerS", 0.0},
             {"engine", engine}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 4194304},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "school"}, {"apiKeys", {"key-1"}}, {"priority", 1}}}}};
}

/// Callers that send one draft after the other, and give a draft up after a gap of two seconds.
class callers {
 public:
  callers(std::string address, record_file& record)
      : address_(std::move(address)), record_(record) {}
  ~callers() { Stop(); }

  void Start(int count) {
    stopping_ = false;
    for (int i = 0; i < count; ++i) threads_.emplace_back([this] { Run(); });
  }
  /// No more drafts; waits until those that run have ended.
  void Stop() {
    stopping_ = true;
    for (std::thread& each : threads_) each.join();
    threads_.clear();
  }
  int Answered() const { return answered_; }

 private:
  void Run() {
    while (!stopping_) {
      SendDraft();
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
  void SendDraft() {
    const std::string id = "draft-" + std::to_string(++sent_);
    const auto stream = loopback_stream::Connect(address_);
    if (!stream) return;
    stream->Send("POST /draft/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: " + id +
                 "\r\nModel: m\r\nToken-Usage: 835,160\r\nPrompt-Prefix: a1:40,b" + id.substr(6) +
                 ":795\r\nDeadline-Remaining-Ms: 8000\r\nAuthorization: Token key-1\r\n"
                 "Content-Length: 5\r\n\r\nhello");
    record_.Line("caller sends " + id);
    // A draft takes 0.8 s; one that has stood still for two seconds is given up.
    const auto answer = stream->ReadAnswer(milliseconds(2800));
    record_.Line("caller " + std::string(answer ? "has the answer " : "gives up ") + id +
                 (answer ? ": " + std::to_string(answer->head.status) : ""));
    if (answer && answer->head.status == 200) ++answered_;
  }

  std::string address_;
  record_file& record_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> sent_{0};
  std::atomic<int> answered_{0};
  std::vector<std::thread> threads_;
};

/// The replicas write to the store about every 1.2 s.
class heartbeats {
 public:
  heartbeats(small_store& store, engine_group& group)
      : store_(store), group_(group), thread_([this] { Run(); }) {}
  ~heartbeats() {
    stopping_ = true;
    thread_.join();
  }

 private:
  void Run() {
    for (int sequence = 1; !stopping_; ++sequence) {
      for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
        store_.Put("servers/" + group_.Id(rank), {{"service", kService},
                                                  {"address", group_.Address(rank)},
                                                  {"zone", kDomains[rank % kDomains.size()]},
                                                  {"version", "v1"},
                                                  {"slots", 12},
                                                  {"state", "ready"},
                                                  {"coldMs", 0},
                                                  {"born", group_.Born()},
                                                  {"seq", sequence}});
      }
      for (int i = 0; i < 24 && !stopping_; ++i) std::this_thread::sleep_for(milliseconds(50));
    }
  }

  small_store& store_;
  engine_group& group_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

std::string CompanionName(std::uint32_t rank) { return "side-" + std::to_string(rank); }

/// What happens beside the usual traffic.
struct disruptions {
  bool has_late_order = false;
  bool has_kill = false;
};

int Run(const std::filesystem::path& folder, record_file& record, const disruptions& trouble) {
  small_store store;
  store.Put("op/config", Configuration());
  engine_group group({.ranks = kRanks}, record);
  const heartbeats beats(store, group);
  deployment fleet(folder, store.Address(), record);
  fleet.AddGateway("edge-a", kDomains[0]);
  fleet.AddGateway("edge-b", kDomains[1]);
  std::vector<std::string> killed;
  for (std::uint32_t rank = 0; rank < kRanks; ++rank) {
    const std::string& domain = kDomains[rank % kDomains.size()];
    if (domain == kKilledDomain) killed.push_back(CompanionName(rank));
    fleet.AddCompanion(CompanionName(rank), domain, group.Address(rank), kService);
  }
  fleet.StartAll();
  const bool is_ready =
      Await(seconds(15), [&] { return fleet.IsReady("edge-a") && fleet.IsReady("edge-b"); });
  if (!is_ready) {
    record.Line("gateways are not ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kSettling);
  if (trouble.has_late_order) {
    group.SetLateOrders(late_orders{.op = "arm", .rank = kLateRank, .late = kLate});
  }
  callers drafts(fleet.CallersAddress("edge-a"), record);
  drafts.Start(kCallers);
  if (!Await(seconds(25), [&] { return group.OrderCount("arm", kLateRank) > 0; })) {
    record.Line("no order to arm");
    return kCouldNotRun;
  }
  const auto armed_at = steady_clock::now();
  if (trouble.has_kill) {
    std::this_thread::sleep_for(kUntilKill);
    fleet.Kill(killed);
    record.Line(group.StateText());
  }
  std::thread stopping([&] { drafts.Stop(); });
  std::this_thread::sleep_until(armed_at + kUntilKill);
  group.SetLateOrders(std::nullopt);
  if (trouble.has_kill) {
    std::this_thread::sleep_for(kDown);
    for (const std::string& name : killed) fleet.Start(name);
  }
  stopping.join();
  record.Line("callers are quiet: " + group.StateText());
  while (steady_clock::now() < armed_at + kQuiet) {
    std::this_thread::sleep_for(seconds(1));
    record.Line(group.StateText());
  }
  const std::uint64_t passes = group.Passes();
  drafts.Start(kCallers);
  std::this_thread::sleep_for(seconds(4));
  drafts.Stop();
  record.Line(group.StateText());
  record.Line("passes with different maps: " + std::to_string(group.MixedPasses()) + " of " +
              std::to_string(group.Passes()));
  for (const std::string& name : fleet.EndedByThemselves()) record.Line("ended by itself: " + name);
  if (group.MixedPasses() > 0) return kBroken;
  return group.Passes() > passes && drafts.Answered() > 0 ? kHeld : kCouldNotRun;
}

}  // namespace
}  // namespace berylbarrow::review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: review-6 FOLDER RECORD none|late|kill|both\n";
    return 2;
  }
  const std::string trouble = argv[3];
  berylbarrow::review::record_file record(argv[2]);
  return berylbarrow::review::Run(argv[1], record,
                                  {.has_late_order = trouble == "late" || trouble == "both",
                                   .has_kill = trouble == "kill" || trouble == "both"});
}
