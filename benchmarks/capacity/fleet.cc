#include "fleet.h"

#include <cmath>
#include <sstream>
#include <stdexcept>

namespace berylbarrow::bench {
namespace {

constexpr std::uint32_t kDomains = 5;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kNanosecondsPerMicrosecond = 1e3;
constexpr std::uint64_t kEntryRun = 0xe1;

std::string DomainName(std::uint32_t index) { return "domain-" + std::to_string(index % kDomains); }

std::string Address(std::uint32_t host, std::uint32_t port) {
  return "10.0." + std::to_string(host / 250) + "." + std::to_string(host % 250 + 1) + ":" +
         std::to_string(port);
}

void WriteService(std::ostream& out, const fleet_size& size, std::uint32_t index) {
  const bool is_plain = index + 1 == size.services;
  out << "  - name: service-" << index << "\n    kind: " << (is_plain ? "plain" : "model") << "\n";
  if (is_plain) {
    out << "    operations:\n      - {method: POST, path: /pay, idempotent: false}\n"
           "      - {method: GET, path: /status}\n";
  } else {
    out << "    model: model-" << index
        << "\n    operations:\n      - {method: POST, path: /v1/completions, idempotent: true}\n";
  }
  out << "    limits: {in_flight: 16, queue: 4096}\n    upstreams:\n";
  for (std::uint32_t i = index; i < size.upstreams; i += size.services) {
    out << "      - {name: upstream-" << i << ", domain: " << DomainName(i / size.services)
        << ", agent_address: \"" << Address(1000 + i, 7000) << "\"}\n";
  }
}

}  // namespace

fleet_size Scaled(double share, std::uint32_t services) {
  const fleet_size full;
  const auto part = [share](std::uint32_t count) {
    return static_cast<std::uint32_t>(std::lround(share * count));
  };
  return {part(full.entries), part(full.upstreams), part(full.accounts), services};
}

std::string MakeDocument(const fleet_size& size) {
  std::ostringstream out;
  out << "domains:\n";
  for (std::uint32_t i = 0; i < kDomains; ++i) {
    out << "  - {name: " << DomainName(i) << ", region: region-" << i % 2 << "}\n";
  }
  out << "entries:\n";
  for (std::uint32_t i = 0; i < size.entries; ++i) {
    out << "  - {name: entry-" << i << ", domain: " << DomainName(i) << ", caller_address: \""
        << Address(i, 8080) << "\", peer_address: \"" << Address(i, 7000) << "\"}\n";
  }
  out << "services:\n";
  for (std::uint32_t i = 0; i < size.services; ++i) {
    WriteService(out, size, i);
  }
  out << "accounts:\n";
  for (std::uint32_t i = 0; i < size.accounts; ++i) {
    out << "  - {name: account-" << i << ", weight: " << 1 + i % 8 << "}\n";
  }
  return out.str();
}

double CpuMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerMicrosecond;
}

line Fit(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  double mean_x = 0;
  double mean_y = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    mean_x += x[i] / count;
    mean_y += y[i] / count;
  }
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    covariance += (x[i] - mean_x) * (y[i] - mean_y);
    variance += (x[i] - mean_x) * (x[i] - mean_x);
  }
  const double slope = variance > 0 ? covariance / variance : 0;
  return {slope, mean_y - slope * mean_x};
}

entry_under_test::entry_under_test(const std::string& text, std::uint32_t max_requests) {
  document = parser.Parse(text, "document").value();
  core = MakeEntryCore({.identity = {.name = "entry-0",
                                     .domain = DomainName(0),
                                     .incarnation = kEntryRun,
                                     .generation = 1},
                        .limits = {.max_requests = max_requests},
                        .seed = 1},
                       parser);
  core->Advance(At(), outputs);
  Input(document_received{.number = 1, .text = text});
}

void entry_under_test::Input(const entry_input& input) { core->Handle(input, At(), outputs); }

void entry_under_test::ConnectAll() {
  connection_id connection = 0;
  std::vector<std::string> names;
  for (const entry_output& output : outputs) {
    if (const auto* wish = std::get_if<peer_connect>(&output)) {
      names.push_back(wish->name);
    }
  }
  outputs.clear();
  connected_ = names;
  for (const std::string& name : names) {
    Input(peer_opened{.connection = ++connection,
                      .greeting = {.sender = {.name = name,
                                              .role = process_role::kAgent,
                                              .incarnation = connection,
                                              .generation = 1},
                                   .in_force = 1}});
  }
  Beat();
  outputs.clear();
}

void entry_under_test::Beat() {
  ++sequence;
  std::uint64_t run = 0;
  for (const std::string& name : connected_) {
    ++run;
    Input(heartbeat_received{
        .from = name,
        .content = {.sender = {.name = name,
                               .role = process_role::kAgent,
                               .domain = DomainName(0),
                               .incarnation = run,
                               .generation = 1},
                    .sequence = sequence,
                    .state = process_state::kServing,
                    .in_force = 1,
                    .load = {.in_flight = 4, .queued = 0, .limit = 16, .warm = true},
                    .grant_epoch = 1}});
  }
}

std::pair<request_id, connection_id> entry_under_test::Draft(caller_id caller,
                                                             const std::string& body) {
  outputs.clear();
  Input(caller_request{.caller = caller,
                       .request = {.method = "POST",
                                   .target = "/v1/completions",
                                   .content_type = "application/json",
                                   .body = body},
                       .account = "account-0",
                       .model = "model-0",
                       .prefix_hash = caller + 1});
  for (const entry_output& output : outputs) {
    const auto* send = std::get_if<peer_send>(&output);
    const auto* work = send == nullptr ? nullptr : std::get_if<dispatch>(&send->message);
    if (work != nullptr) {
      return {work->id, send->connection};
    }
  }
  throw std::runtime_error("the entry did not dispatch the draft");
}

agent_under_test::agent_under_test(const std::string& text, bool is_plain) {
  document = parser.Parse(text, "document").value();
  const service_options& service = is_plain ? document.services.back() : document.services.front();
  service_ = service.name;
  core = MakeAgentCore({.identity = {.name = service.upstreams.front().name,
                                     .role = process_role::kAgent,
                                     .domain = service.upstreams.front().domain,
                                     .incarnation = 0xa1,
                                     .generation = 1},
                        .service = service.name,
                        .seed = 1},
                       parser);
  core->Advance(At(), outputs);
  Input(document_received{.number = 1, .text = text});
  Input(peer_opened{
      .connection = 1,
      .greeting = {.sender = {.name = "entry-0", .incarnation = kEntryRun}, .in_force = 1}});
}

void agent_under_test::Input(const agent_input& input) { core->Handle(input, At(), outputs); }

void agent_under_test::Beat(std::uint32_t entries) {
  ++sequence;
  for (std::uint32_t i = 0; i < entries; ++i) {
    Input(heartbeat_received{.from = document.entries[i].peer_address,
                             .content = {.sender = {.name = "entry-" + std::to_string(i),
                                                    .domain = DomainName(i),
                                                    .incarnation = kEntryRun + i},
                                         .sequence = sequence,
                                         .state = process_state::kServing,
                                         .in_force = 1}});
  }
}

void agent_under_test::Dispatch(std::uint64_t id, bool idempotent, const std::string& body) {
  dispatch work{.id = {.sender = kEntryRun, .sequence = id},
                .service = service_,
                .account = "account-0",
                .idempotent = idempotent,
                .fingerprint = id,
                .sender_revision = 1,
                .remaining = std::chrono::seconds(30),
                .request = {.method = "POST", .target = "/v1/completions", .body = body}};
  if (!idempotent) {
    const auto& upstream = document.services.back().upstreams.front();
    work.idempotency_key = FormatGrantKey(
        {.permission = {upstream.name, 0xa1, 1}, .nonce = "nonce-" + std::to_string(id)});
  }
  Input(peer_received{.connection = 1, .message = work});
}

execution_id agent_under_test::LastStarted() const {
  for (auto output = outputs.rbegin(); output != outputs.rend(); ++output) {
    if (const auto* start = std::get_if<upstream_start>(&*output)) {
      return start->execution;
    }
  }
  throw std::runtime_error("the agent did not start the work");
}

}  // namespace berylbarrow::bench
