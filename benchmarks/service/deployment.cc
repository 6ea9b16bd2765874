#include "deployment.h"

#include <algorithm>
#include <stdexcept>
#include <type_traits>
#include <utility>
#include <vector>

namespace berylbarrow::bench {
namespace {

constexpr duration kBetweenDomains = std::chrono::milliseconds(1);
constexpr duration kInsideDomain = std::chrono::microseconds(200);
constexpr duration kReconnect = std::chrono::milliseconds(200);
constexpr duration kPollInterval = std::chrono::seconds(30);
// Two deadlines of a core are at least this far apart, so that a late one cannot stop the time.
constexpr duration kMinStep = std::chrono::microseconds(100);
// Switches the retry budget off.
constexpr double kUnbounded = 1e12;

}  // namespace

deployment::deployment(schedule& time, const deployment_options& options)
    : time_(time), options_(options), text_(options.document) {
  auto parsed = parser_.Parse(text_, "document");
  if (!parsed) {
    throw std::runtime_error("the document is not valid: " + parsed.error().front().message);
  }
  document_ = std::move(parsed.value());
  AddNodes();
}

void deployment::AddNodes() {
  for (const entry_options& item : document_.entries) {
    node& added = nodes_[item.peer_address];
    added.name = item.name;
    added.address = item.peer_address;
    added.domain = item.domain;
    added.caller_address = item.caller_address;
    added.is_entry = true;
    by_caller_[item.caller_address] = &added;
  }
  for (const service_options& service : document_.services) {
    for (const upstream_options& item : service.upstreams) {
      node& added = nodes_[item.agent_address];
      added.name = item.name;
      added.address = item.agent_address;
      added.domain = item.domain;
      added.service = service.name;
      const engine_options kind{.is_model = service.kind == service_kind::kModel};
      added.upstream = std::make_unique<engine>(time_, kind, [this, &added](const auto& input) {
        if (added.is_alive) {
          std::visit([this, &added](const auto& event) { Deliver(added, event); }, input);
        }
      });
      added.upstream->StartWarm();
      ReportLoad(added);
    }
  }
}

void deployment::StartAll() {
  for (auto& [address, target] : nodes_) {
    Launch(target);
  }
}

void deployment::Launch(node& target) {
  ++launches_;
  target.is_alive = true;
  target.in_force = 0;
  target.wake = time_point::max();
  target.identity = {.name = target.name,
                     .role = target.is_entry ? process_role::kEntry : process_role::kAgent,
                     .domain = target.domain,
                     .incarnation = options_.seed * 1000 + launches_,
                     .generation = launches_};
  std::vector<std::string> seeds;
  for (const entry_options& item : document_.entries) {
    seeds.push_back(item.peer_address);
  }
  if (target.is_entry) {
    entry_core_options core{
        .identity = target.identity, .seeds = seeds, .seed = options_.seed + launches_};
    if (!options_.kind.has_retry_budget) {
      core.retries = {.retries_per_request = kUnbounded,
                      .min_retries_per_second = kUnbounded,
                      .burst = kUnbounded};
    }
    target.entry =
        MakeEntryCore(core, parser_, options_.kind.policy ? options_.kind.policy() : nullptr);
  } else {
    std::unique_ptr<admission_limit> limit = std::make_unique<cold_start_limit>();
    if (!options_.kind.has_cold_limit) {
      limit = std::make_unique<fixed_limit>();
    }
    target.agent = std::make_unique<agent_core>(
        agent_core_options{.identity = target.identity,
                           .service = target.service,
                           .seeds = seeds,
                           .seed = options_.seed + launches_},
        parser_, std::make_unique<grant_key_policy>(), std::move(limit));
  }
  Advance(target);
  Later(target, kPollInterval, [this, &target] { Poll(target); });
}

void deployment::End(node& target) {
  target.is_alive = false;
  ++target.run;
  target.entry.reset();
  target.agent.reset();
  target.wanted.clear();
  std::vector<connection_id> lost;
  for (const auto& [connection, item] : links_) {
    if (item.client == &target || item.server == &target) {
      lost.push_back(connection);
    }
  }
  for (const connection_id connection : lost) {
    Close(connection, &target);
  }
  if (target.is_entry && on_entry_lost_) {
    time_.After(options_.client_latency,
                [this, address = target.caller_address] { on_entry_lost_(address); });
  }
}

void deployment::Kill(const std::string& domain) {
  for (auto& [address, target] : nodes_) {
    if (target.domain == domain) {
      End(target);
      if (target.upstream) {
        target.upstream->Restart();
      }
    }
  }
}

void deployment::Replace(const std::string& domain) {
  for (auto& [address, target] : nodes_) {
    if (target.domain == domain) {
      Launch(target);
    }
  }
}

void deployment::RestartEngines(const std::string& domain) {
  for (auto& [address, target] : nodes_) {
    if (target.domain == domain && target.upstream) {
      target.upstream->Restart();
    }
  }
}

std::size_t deployment::Running(const std::string& domain) const {
  std::size_t running = 0;
  for (const auto& [address, target] : nodes_) {
    running += target.domain == domain && target.upstream ? target.upstream->Running() : 0;
  }
  return running;
}

bool deployment::IsWarm(const std::string& domain) const {
  return std::all_of(nodes_.begin(), nodes_.end(), [&domain](const auto& item) {
    const node& target = item.second;
    return target.domain != domain || !target.upstream || target.upstream->IsWarm();
  });
}

engine_counts deployment::EngineCounts() const {
  engine_counts total;
  for (const auto& [address, target] : nodes_) {
    if (target.upstream) {
      total.lookups += target.upstream->Counts().lookups;
      total.hits += target.upstream->Counts().hits;
      total.crashes += target.upstream->Counts().crashes;
    }
  }
  return total;
}

void deployment::Publish(const std::string& text) {
  text_ = text;
  ++number_;
  for (auto& [address, target] : nodes_) {
    if (target.is_alive && target.mode == watch_mode::kWatch) {
      SendDocument(target, 0);
    }
  }
}

void deployment::SendDocument(node& target, std::uint64_t nonce) {
  const document_received answer{
      .number = number_, .text = number_ > target.in_force ? text_ : "", .nonce = nonce};
  Later(target, kBetweenDomains, [this, &target, answer] { Deliver(target, answer); });
}

void deployment::Poll(node& target) {
  SendDocument(target, 0);
  Later(target, kPollInterval, [this, &target] { Poll(target); });
}

void deployment::ReportLoad(node& target) {
  target.upstream->Report();
  time_.After(engine_options{}.report_lag, [this, &target] { ReportLoad(target); });
}

duration deployment::Latency(const node& a, const node& b) const {
  return a.domain == b.domain ? kInsideDomain : kBetweenDomains;
}

void deployment::Later(node& target, duration delay, std::function<void()> action) {
  time_.After(delay, [&target, run = target.run, action = std::move(action)] {
    if (target.is_alive && target.run == run) {
      action();
    }
  });
}

bool deployment::IsAlive(const std::string& caller_address) const {
  return by_caller_.at(caller_address)->is_alive;
}

void deployment::Submit(const std::string& caller_address, const entry_input& input) {
  node& target = *by_caller_.at(caller_address);
  if (const auto* request = std::get_if<caller_request>(&input)) {
    deadlines_[ParseOrder(request->request.body).call] = request->deadline;
  }
  std::visit([this, &target](const auto& event) { Deliver(target, event); }, input);
}

template <typename Event>
void deployment::Deliver(node& target, const Event& event) {
  if constexpr (std::is_constructible_v<entry_input, Event>) {
    if (target.is_entry) {
      std::vector<entry_output> outputs;
      target.entry->Handle(event, time_.At(), outputs);
      Settle(target, *target.entry, outputs);
      return;
    }
  }
  if constexpr (std::is_constructible_v<agent_input, Event>) {
    if (!target.is_entry) {
      std::vector<agent_output> outputs;
      target.agent->Handle(event, time_.At(), outputs);
      Settle(target, *target.agent, outputs);
    }
  }
}

void deployment::Advance(node& target) {
  if (target.is_entry) {
    std::vector<entry_output> outputs;
    target.entry->Advance(time_.At(), outputs);
    Settle(target, *target.entry, outputs);
    return;
  }
  std::vector<agent_output> outputs;
  target.agent->Advance(time_.At(), outputs);
  Settle(target, *target.agent, outputs);
}

template <typename Core>
void deployment::Settle(node& target, Core& core,
                        const std::vector<typename Core::output_type>& outputs) {
  for (const auto& output : outputs) {
    std::visit([this, &target](const auto& item) { Do(target, item); }, output);
  }
  const time_point next = std::max(core.NextDeadline(), time_.Now() + kMinStep);
  if (next >= target.wake) {
    return;
  }
  target.wake = next;
  Later(target, next - time_.Now(), [this, &target, next] {
    if (target.wake == next) {
      target.wake = time_point::max();
      Advance(target);
    }
  });
}

void deployment::Do(node& source, const peer_connect& output) {
  source.wanted[output.name] = output.address;
  TryConnect(source, output.name);
}

void deployment::TryConnect(node& client, const std::string& name) {
  const auto wish = client.wanted.find(name);
  if (wish == client.wanted.end()) {
    return;
  }
  node& server = nodes_.at(wish->second);
  if (&server == &client) {
    return;
  }
  if (!server.is_alive) {
    Later(client, kReconnect, [this, &client, name] { TryConnect(client, name); });
    return;
  }
  Later(client, 2 * Latency(client, server), [this, &client, &server, name] {
    if (!server.is_alive || !client.wanted.contains(name)) {
      TryConnect(client, name);
      return;
    }
    const connection_id connection = ++last_connection_;
    links_[connection] = {&client, &server, name};
    Deliver(server, peer_opened{connection, {client.identity, client.in_force}});
    Deliver(client, peer_opened{connection, {server.identity, server.in_force}});
  });
}

void deployment::Close(connection_id connection, const node* ended) {
  const link lost = links_.at(connection);
  links_.erase(connection);
  for (node* side : {lost.client, lost.server}) {
    if (side == ended || !side->is_alive) {
      continue;
    }
    Later(*side, kBetweenDomains,
          [this, side, connection] { Deliver(*side, peer_closed{connection}); });
    if (side == lost.client) {
      Later(*side, kReconnect, [this, side, name = lost.peer] { TryConnect(*side, name); });
    }
  }
}

void deployment::Do(node& source, const peer_disconnect& output) {
  source.wanted.erase(output.name);
  for (const auto& [connection, item] : links_) {
    if (item.client == &source && item.peer == output.name) {
      Close(connection, nullptr);
      return;
    }
  }
}

void deployment::Do(node& source, const peer_send& output) {
  const auto place = links_.find(output.connection);
  if (place == links_.end()) {
    return;
  }
  node& target = place->second.client == &source ? *place->second.server : *place->second.client;
  peer_received event{output.connection, output.message};
  if (auto* work = std::get_if<dispatch>(&event.message)) {
    ++counts_.dispatches;
    if (!options_.kind.is_fair) {
      work->account = "all";
    }
    const auto given = deadlines_.find(ParseOrder(work->request.body).call);
    if (!options_.kind.sends_remaining && given != deadlines_.end()) {
      work->remaining = given->second;
    }
  }
  Later(target, Latency(source, target), [this, &target, event = std::move(event)] {
    if (links_.contains(event.connection)) {
      Deliver(target, event);
    }
  });
}

void deployment::Do(node& source, const heartbeat_send& output) {
  source.in_force = output.content.in_force;
  node& target = nodes_.at(output.to);
  Later(target, Latency(source, target),
        [this, &target, event = heartbeat_received{source.address, output.content}] {
          Deliver(target, event);
        });
}

void deployment::Do(node& source, const configuration_watch& output) {
  source.in_force = output.in_force;
  if (output.mode != watch_mode::kRefresh) {
    source.mode = output.mode;
  }
  if (output.mode == watch_mode::kRefresh || number_ > output.in_force) {
    SendDocument(source, output.nonce);
  }
}

void deployment::Do(node& source, const upstream_start& output) {
  ++counts_.starts;
  if (on_start_) {
    on_start_(source.domain, ParseOrder(output.request.body));
  }
  source.upstream->Start(output);
}

void deployment::Do(node& source, const upstream_cancel& output) {
  source.upstream->Cancel(output.execution);
}

void deployment::Do(node& /*source*/, const entry_output& output) {
  time_.After(options_.client_latency, [this, output] { to_callers_(output); });
}

}  // namespace berylbarrow::bench
