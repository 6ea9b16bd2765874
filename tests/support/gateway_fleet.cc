#include "support/gateway_fleet.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace berylbarrow {
namespace {

using nlohmann::json;

constexpr const char* kService = "roster";
constexpr int kSlots = 6;

std::string DomainOf(std::size_t index) { return index % 2 == 0 ? "zagreb-a" : "osijek-c"; }

json MakeRoute(const std::string& name, const std::string& type, bool resumable, int max_attempts,
               int timeout_ms) {
  return {{"name", "r-" + name}, {"hostname", "h.example"}, {"prefix", "/" + name + "/"},
          {"routeType", type},   {"timeoutMs", timeout_ms}, {"goalMs", 150},
          {"priority", 2},       {"service", kService},     {"maxAttempts", max_attempts},
          {"public", false},     {"sticky", false},         {"resumable", resumable}};
}

}  // namespace

gateway_fleet::gateway_fleet(const gateway_fleet_options& options, request_ledger& ledger)
    : process_fleet(std::getenv("BERYLBARROW_BUILD")),  // NOLINT(concurrency-mt-unsafe)
      max_body_bytes_(options.max_body_bytes) {
  for (int i = 0; i < options.upstreams; ++i) {
    upstreams_.push_back(std::make_unique<faulty_upstream>("i-" + std::to_string(i), ledger,
                                                           options.seed * 100 + i));
    const std::string& own = upstreams_.back()->Address();
    const bool is_relayed = i % 2 == 1;
    listed_addresses_.push_back(is_relayed ? FreeAddress() : own);
    relays_.push_back(is_relayed ? std::make_unique<tcp_relay>(listed_addresses_.back(), own)
                                 : nullptr);
    ListUpstream(static_cast<std::size_t>(i), "ready");
  }
  PublishConfiguration(1, 8000);
  for (int i = 0; i < options.gateways; ++i) {
    callers_[GatewayName(i)] = FreeAddress();
    peers_[GatewayName(i)] = FreeAddress();
    ready_.push_back(FreeAddress());
  }
  for (int i = 0; i < options.gateways; ++i) {
    const std::string name = GatewayName(i);
    if (options.leaves_logs_unread) MakeUnreadLog(name);
    Add(name, {build_ / "berylbarrow", "gateway", WriteGatewaySettings(name, i, options.settings)});
  }
}

gateway_fleet::~gateway_fleet() {
  for (const int descriptor : unread_logs_) close(descriptor);
}

void gateway_fleet::MakeUnreadLog(const std::string& name) {
  const std::string path = folder_ / (name + ".log");
  if (mkfifo(path.c_str(), 0600) != 0) throw std::runtime_error("cannot make " + path);
  unread_logs_.push_back(open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
}

std::string gateway_fleet::WriteGatewaySettings(const std::string& name, int index,
                                                const std::string& further_settings) {
  const auto path = folder_ / (name + ".yaml");
  directories_[name] = FreeAddress();
  std::ofstream(path)
      << "process: {name: " << name << ", domain: " << DomainOf(static_cast<std::size_t>(index))
      << "}\nlisten:\n  callers: " << callers_.at(name)
      << "\n  readiness: " << ready_.at(static_cast<std::size_t>(index))
      << "\n  directory: " << directories_.at(name) << "\n  peers: " << peers_.at(name)
      << "\nstore: {address: " << store_.Address() << "}\nseeds: [" << peers_.at(GatewayName(0))
      << "]\nbounds: {shutdown_grace: 8s, key_lifetime: 5000ms, strict_keys: true}\n"
         "log: {format: json, max_events_per_second: 100000}\n"
      << further_settings << "\n";
  return path;
}

bool gateway_fleet::AwaitReady() const {
  return std::all_of(ready_.begin(), ready_.end(), [](const std::string& address) {
    return Eventually([&] {
      return Exchange(address, "GET", "/readyz", "", {}, std::chrono::seconds(1)).status == 200;
    });
  });
}

std::vector<std::string> gateway_fleet::LogLines(const std::string& text) const {
  std::vector<std::string> found;
  for (int i = 0; i < GatewayCount(); ++i) {
    std::ifstream log(folder_ / (GatewayName(i) + ".log"));
    for (std::string line; std::getline(log, line);) {
      if (line.find(text) != std::string::npos) found.push_back(line);
    }
  }
  return found;
}

void gateway_fleet::ListUpstream(std::size_t index, const std::string& state) {
  store_.Put("servers/" + upstreams_.at(index)->Id(), {{"service", kService},
                                                       {"address", listed_addresses_.at(index)},
                                                       {"zone", DomainOf(index)},
                                                       {"version", "v1"},
                                                       {"slots", kSlots},
                                                       {"state", state},
                                                       {"coldMs", 0},
                                                       {"seq", 1}});
}

void gateway_fleet::PublishConfiguration(int max_attempts, int timeout_ms) {
  store_.Put("op/config",
             {{"version", ++version_},
              {"routes",
               {MakeRoute("pay", "non_idempotent", false, max_attempts, timeout_ms),
                MakeRoute("note", "streaming", false, max_attempts, timeout_ms),
                MakeRoute("read", "idempotent", false, max_attempts, timeout_ms),
                MakeRoute("draft", "streaming", true, max_attempts, timeout_ms)}},
              {"services",
               {{{"name", kService},
                 {"healthPath", "/healthz"},
                 {"maxConns", 200},
                 {"protocol", "h1"},
                 {"tls", false},
                 {"coldStartS", 0.0},
                 {"coldPerS", 0.0}}}},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", max_body_bytes_},
                {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}},
              {"tenants", {{{"name", "school"}, {"apiKeys", {"k1"}}, {"priority", 1}}}}});
}

}  // namespace berylbarrow
