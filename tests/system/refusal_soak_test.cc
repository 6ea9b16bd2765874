#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/gateway_fleet.h"

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;
using steady_clock = std::chrono::steady_clock;

constexpr int kCallersPerGateway = 5;
// Requests go on this long after the last disruption, until the last delayed run has happened.
constexpr milliseconds kQuietTime{4500};

std::uint64_t ReadNumber(const char* variable, std::uint64_t otherwise) {
  const char* const text = std::getenv(variable);  // NOLINT(concurrency-mt-unsafe)
  return text == nullptr ? otherwise : std::stoull(text);
}

/// The faults of upstreams that BERYLBARROW_SOAK_FAULTS names by their numbers, separated by
/// commas; all of them if it is not set.
std::vector<upstream_fault> ReadFaults() {
  constexpr int kFaults = static_cast<int>(upstream_fault::kDelayedRun) + 1;
  std::vector<upstream_fault> faults;
  const char* const text = std::getenv("BERYLBARROW_SOAK_FAULTS");  // NOLINT(concurrency-mt-unsafe)
  std::istringstream numbers(text == nullptr ? "" : text);
  for (std::string number; std::getline(numbers, number, ',');) {
    faults.push_back(static_cast<upstream_fault>(std::stoi(number) % kFaults));
  }
  for (int i = 0; text == nullptr && i < kFaults; ++i) {
    faults.push_back(static_cast<upstream_fault>(i));
  }
  return faults;
}

class random_source {
 public:
  explicit random_source(std::uint64_t seed) : engine_(seed) {}
  int Between(int lowest, int highest) {
    return std::uniform_int_distribution<int>(lowest, highest)(engine_);
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(engine_); }
  milliseconds Time(int lowest_ms, int highest_ms) {
    return milliseconds(Between(lowest_ms, highest_ms));
  }

 private:
  std::mt19937_64 engine_;
};

/// Sends requests of all kinds one after the other until it is told to stop. Keeps connections open
/// for many requests, and now and then leaves before the answer has come.
class soak_caller {
 public:
  soak_caller(int number, std::uint64_t seed, const gateway_fleet& fleet, request_ledger& ledger)
      : number_(number), random_(seed), fleet_(fleet), ledger_(ledger), thread_([this] {
          SendRequests();
        }) {}

  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

 private:
  struct kind_traits {
    call_kind kind;
    const char* path;
    bool is_stream;
  };

  kind_traits ChooseKind() {
    const int choice = random_.Between(1, 10);
    if (choice <= 6) return {call_kind::kPayment, "/pay/x", false};
    if (choice == 7) return {call_kind::kNote, "/note/x", true};
    if (choice == 8) return {call_kind::kDraft, "/draft/x", true};
    return {call_kind::kLookup, "/read/x", false};
  }

  void SendRequests() {
    for (int i = 0; !stopping_; ++i) {
      SendRequest("c" + std::to_string(number_) + "n" + std::to_string(i));
      std::this_thread::sleep_for(random_.Time(5, 60));
    }
  }

  void SendRequest(const std::string& id) {
    if (!stream_ || stream_->IsEnded() || random_.Chance(0.05)) {
      gateway_ = random_.Between(0, fleet_.GatewayCount() - 1);
      stream_ = loopback_stream::Connect(fleet_.CallersAddress(gateway_));
    }
    if (!stream_) return;
    const kind_traits traits = ChooseKind();
    const int deadline_ms = random_.Chance(0.5) ? 600 : 2500;
    const std::string body = "book " + id;
    ledger_.OnSent(id, traits.kind, body, fleet_.GatewayName(gateway_));
    stream_->Send(
        std::string("POST ") + traits.path +
        " HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: " + id +
        "\r\nAuthorization: Token k1\r\nDeadline-Remaining-Ms: " + std::to_string(deadline_ms) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const bool leaves = random_.Chance(0.03);
    const auto answer =
        stream_->ReadAnswer(leaves ? random_.Time(1, 80) : milliseconds(deadline_ms + 500));
    if (!answer) {
      stream_.reset();
      return;
    }
    const std::string expected = traits.is_stream ? ExpectedEvents(id) : ExpectedBody(id);
    ledger_.OnAnswer(id, answer->head.status, answer->body == expected);
    if (answer->head.Find("Connection") == "close") stream_.reset();
  }

  int number_;
  random_source random_;
  const gateway_fleet& fleet_;
  request_ledger& ledger_;
  std::unique_ptr<loopback_stream> stream_;
  int gateway_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// Disturbs upstreams, the store and gateways at random times; some disruptions overlap.
class disruption_schedule {
 public:
  disruption_schedule(gateway_fleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  void Run(milliseconds length) {
    const auto end = steady_clock::now() + length;
    while (steady_clock::now() < end) {
      ApplyDue();
      DisturbUpstream();
      if (random_.Chance(0.5)) DisturbGateway();
      if (random_.Chance(0.15)) DisturbStore();
      const auto next = steady_clock::now() + random_.Time(100, 700);
      while (steady_clock::now() < next) {
        ApplyDue();
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
    Repair();
  }

  int Restarts() const { return restarts_; }
  /// Gateways that have ended although nobody stopped them.
  const std::vector<std::string>& UnexpectedEnds() const { return unexpected_ends_; }

 private:
  using action = std::function<void()>;

  void After(milliseconds delay, action what) {
    pending_.push_back({steady_clock::now() + delay, std::move(what)});
  }

  void ApplyDue() {
    for (std::size_t i = 0; i < pending_.size();) {
      if (pending_[i].first > steady_clock::now()) {
        ++i;
        continue;
      }
      const action what = std::move(pending_[i].second);
      pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(i));
      what();
    }
  }

  fault_shares ChooseFaults() {
    fault_shares shares;
    const int last = static_cast<int>(faults_.size()) - 1;
    for (int i = random_.Between(0, 4); i > 0 && last >= 0; --i) {
      shares[faults_[static_cast<std::size_t>(random_.Between(0, last))]] =
          random_.Between(3, 40) / 100.0;
    }
    // Copies of refusals matter only if there are refusals.
    if (random_.Chance(0.5)) shares[upstream_fault::kRefusal] = 0.3;
    return shares;
  }

  void DisturbUpstream() {
    const auto index =
        static_cast<std::size_t>(random_.Between(0, static_cast<int>(fleet_.UpstreamCount()) - 1));
    faulty_upstream& upstream = fleet_.Upstream(index);
    tcp_relay* const relay = fleet_.RelayOf(index);
    switch (random_.Between(0, 9)) {
      case 0:
        return FillAll();
      case 1:
        return upstream.Pause(random_.Time(100, 2500));
      case 2:
        return upstream.EndConnections();
      case 3:
        if (relay != nullptr) relay->Silence();
        return;
      case 4:
        if (relay != nullptr) relay->Cut();
        return;
      case 5:
        if (relay != nullptr) relay->Delay(random_.Time(0, 150));
        return;
      case 6:
        return ReuseAddress(index);
      case 7:
        fleet_.ListUpstream(index, "draining");
        return After(random_.Time(200, 2000), [=, this] { fleet_.ListUpstream(index, "ready"); });
      default:
        upstream.SetFaults(ChooseFaults());
    }
  }

  /// All upstreams are full for a moment, so that refused requests are queued and sent again.
  void FillAll() {
    const milliseconds time = random_.Time(20, 300);
    for (std::size_t i = 0; i < fleet_.UpstreamCount(); ++i) fleet_.Upstream(i).FillUp(time);
  }

  /// Another upstream starts at the address; the instance list shows it later.
  void ReuseAddress(std::size_t index) {
    faulty_upstream& upstream = fleet_.Upstream(index);
    const std::string old_id = upstream.Id();
    upstream.Replace("i-" + std::to_string(index) + "-" + std::to_string(++replacements_));
    After(random_.Time(0, 1500), [=, this] { fleet_.UnlistUpstream(old_id); });
    After(random_.Time(0, 1500), [=, this] { fleet_.ListUpstream(index, "ready"); });
  }

  void DisturbStore() {
    if (random_.Chance(0.5)) {
      fleet_.PublishConfiguration(random_.Between(1, 3), random_.Between(1, 8) * 1000);
      return;
    }
    fleet_.Store().SetFault(random_.Chance(0.5) ? store_stand_in::fault::kSilent
                                                : store_stand_in::fault::kRefusing);
    After(random_.Time(200, 3000),
          [this] { fleet_.Store().SetFault(store_stand_in::fault::kNone); });
  }

  void DisturbGateway() {
    const std::string name = fleet_.GatewayName(random_.Between(0, fleet_.GatewayCount() - 1));
    if (!restarting_.contains(name) && !fleet_.IsRunning(name)) {
      unexpected_ends_.push_back(name);
      return fleet_.Start(name);
    }
    switch (random_.Between(0, 5)) {
      case 0:
        return fleet_.Signal(name, SIGHUP);
      case 1:
        Restart(name, SIGKILL, milliseconds(0));
        return;
      case 2:
        return Restart(name, SIGTERM, random_.Time(0, 300));
      default:
        fleet_.Signal(name, SIGSTOP);
        // A SIGTERM that comes meanwhile takes effect with SIGCONT.
        if (random_.Chance(0.2)) Restart(name, SIGTERM, milliseconds(0));
        After(random_.Time(20, 2500), [=, this] { fleet_.Signal(name, SIGCONT); });
    }
  }

  void Restart(const std::string& name, int signal, milliseconds delay) {
    if (!restarting_.insert(name).second) return;
    ++restarts_;
    After(delay, [=, this] {
      fleet_.Signal(name, signal);
      StartWhenEnded(name);
    });
  }

  void StartWhenEnded(const std::string& name) {
    if (!fleet_.IsRunning(name)) {
      restarting_.erase(name);
      return fleet_.Start(name);
    }
    After(milliseconds(50), [=, this] { StartWhenEnded(name); });
  }

  void Repair() {
    const auto limit = steady_clock::now() + std::chrono::seconds(12);
    while (!pending_.empty() && steady_clock::now() < limit) {
      ApplyDue();
      std::this_thread::sleep_for(milliseconds(10));
    }
    for (std::size_t i = 0; i < fleet_.UpstreamCount(); ++i) {
      fleet_.Upstream(i).SetFaults({});
      if (fleet_.RelayOf(i) != nullptr) fleet_.RelayOf(i)->Delay(milliseconds(0));
    }
  }

  gateway_fleet& fleet_;
  random_source random_;
  const std::vector<upstream_fault> faults_ = ReadFaults();
  std::vector<std::pair<steady_clock::time_point, action>> pending_;
  std::set<std::string> restarting_;
  std::vector<std::string> unexpected_ends_;
  int restarts_ = 0;
  int replacements_ = 0;
};

/// Returns a description of all broken promises; empty if there are none.
std::string Describe(const request_ledger& ledger, const gateway_fleet& fleet) {
  std::ostringstream text;
  for (const request_ledger::violation& each : ledger.Violations()) {
    text << each.rule << " " << each.id << "\n";
    for (const std::string& line : each.history) text << "  " << line << "\n";
    for (const std::string& line : fleet.LogLines('"' + each.id + '"'))
      text << "  log " << line << "\n";
  }
  return std::move(text).str();
}

// Guards against requests that were refused as not run and ran (issue 37), ran twice, or got the
// answer of another request, while upstreams fail in many ways and gateways are stopped, paused,
// killed and restarted. BERYLBARROW_SOAK_SECONDS, BERYLBARROW_SEED and BERYLBARROW_SOAK_FAULTS
// choose a longer or another run.
BOOST_AUTO_TEST_CASE(what_was_refused_as_not_run_does_not_run) {
  const std::uint64_t seed = ReadNumber("BERYLBARROW_SEED", 1);
  const milliseconds length = std::chrono::seconds(ReadNumber("BERYLBARROW_SOAK_SECONDS", 20));
  request_ledger ledger;
  gateway_fleet fleet({.seed = seed}, ledger);
  if (!fleet.AwaitReady()) {
    for (const std::string& line : fleet.LogLines("")) BOOST_TEST_MESSAGE(line);
    BOOST_FAIL("the gateways are not ready");
  }
  const int caller_count = kCallersPerGateway * fleet.GatewayCount();
  std::vector<std::unique_ptr<soak_caller>> callers;
  callers.reserve(static_cast<std::size_t>(caller_count));
  for (int i = 0; i < caller_count; ++i) {
    callers.push_back(std::make_unique<soak_caller>(i, seed * 1000 + i, fleet, ledger));
  }
  disruption_schedule schedule(fleet, seed);
  schedule.Run(length);
  std::this_thread::sleep_for(kQuietTime);
  for (const auto& each : callers) each->Stop();
  std::this_thread::sleep_for(kQuietTime);

  std::ostringstream counts;
  for (const auto& [status, count] : ledger.Statuses()) counts << " " << status << ":" << count;
  BOOST_TEST_MESSAGE("seed " << seed << ", requests by status:" << counts.str() << ", run "
                             << ledger.RunCount() << ", restarts " << schedule.Restarts());
  const std::string violations = Describe(ledger, fleet);
  BOOST_TEST(violations.empty(), "seed " << seed << "\n" << violations);
  BOOST_TEST(schedule.UnexpectedEnds().empty());
  // The run means something only if requests were both served and refused.
  BOOST_TEST(ledger.Statuses()[200] > 0U);
  BOOST_TEST(ledger.Statuses()[503] > 0U);
}

}  // namespace
}  // namespace berylbarrow
