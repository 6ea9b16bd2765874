#include "process/entry/entry_simulation.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kPieceBytes = 16;

}  // namespace

std::string AnswerTo(const std::string& body) {
  std::string answer;
  for (int i = 0; i < 9; ++i) {
    answer += body + '.' + std::to_string(i) + ';';
  }
  return answer;
}

entry_simulation::entry_simulation(const core_factory& make) {
  core = make(parser);
  for (const char* name : {"d-1", "d-2", "d-3", "p-1", "p-2"}) {
    agents_[name].name = name;
  }
  next_beat_ = clock.Now();
}

std::string entry_simulation::Run(const schedule& steps) {
  core->Advance(At(), outputs);
  Collect();
  Publish("all in");
  for (auto& [name, agent] : agents_) {
    Connect(agent);
  }
  BeatAll();
  for (const auto& [kind, number] : steps) {
    Step(kind, number);
    if (!violation_.empty()) {
      return violation_;
    }
  }
  Finish();
  CheckCallers();
  core->State();
  return violation_;
}

void entry_simulation::Step(int kind, std::uint32_t number) {
  auto place = agents_.begin();
  std::advance(place, number % agents_.size());
  fake_agent& agent = place->second;
  if (kind < 9) {
    StepCaller(kind, number);
  } else if (kind < 18) {
    StepAgent(kind, agent, number / 8);
  } else if (kind == 18) {
    clock.Advance(milliseconds(1200 + number % 5000));  // paused
    is_stale_ = true;
    core->Advance(At(), outputs);
  } else if (kind == 19) {
    Publish(number % 3 == 0 ? "a-out" : (number % 3 == 1 ? "b-out" : "all in"));
  } else if (kind == 20) {
    Garbage(number);
  } else if (kind == 21) {
    Elapse(milliseconds(100 + number % 1500));
  } else if (kind < 24 && !to_core_.empty()) {
    DeliverToCore(number % to_core_.size(), kind == 23);  // out of order, or doubled
  } else if (kind < 26 && !to_agents_.empty()) {
    DeliverToAgent(number % to_agents_.size(), kind == 25);
  } else {
    ProgressAll();
    if (kind >= 29) {
      DeliverAll();
      Elapse(milliseconds(number % 60));
    }
  }
  Collect();
}

void entry_simulation::StepCaller(int kind, std::uint32_t number) {
  if (kind < 4) {
    Ask("", 0);
    return;
  }
  if (kind < 6) {
    const fake_agent& owner = agents_.at(number % 2 == 0 ? "p-1" : "p-2");
    // Every fourth grant is of a run that the entry has not met or that has ended.
    const std::uint64_t run = number % 4 == 3 ? owner.run + 1 - number % 3 : owner.run;
    std::ostringstream key;
    key << owner.name << '/' << std::hex << run << std::dec << "/5/n" << next_caller_;
    Ask(key.str(), number % 8 == 0 ? 0 : 1);
    return;
  }
  if (callers_.empty()) {
    return;
  }
  auto place = callers_.begin();
  std::advance(place, number % callers_.size());
  caller_record& record = place->second;
  if (kind == 6 && record.ends == 0) {
    record.is_aborted = true;
    Input(caller_closed{place->first});
  } else if (kind > 6 && !record.key.empty()) {
    const bool has_given_up = record.is_aborted || record.outcome == "unknown" ||
                              (record.ends > 0 && record.outcome.empty());
    const std::uint32_t next = record.attempt == 0 ? 0 : record.attempt + 1;
    if (kind == 8 || has_given_up) {
      Ask(record.key, kind == 7 ? next : record.attempt);  // again, or a copy that was late
    }
  }
}

void entry_simulation::StepAgent(int kind, fake_agent& agent, std::uint32_t number) {
  if (kind == 9) {
    Disconnect(agent, number % 4 != 0);
  } else if (kind < 12) {
    Connect(agent);
  } else if (kind == 12) {
    Restart(agent);
  } else if (kind < 15) {
    agent.mode = static_cast<agent_mode>(number % 4);
  } else if (kind == 15) {
    for (auto& [id, execution] : agent.executions) {
      execution.is_broken = true;
    }
  } else if (kind == 16) {
    agent.is_leaving = !agent.is_leaving;
  } else {
    agent.is_silent = number % 3 != 0;
    const bool is_listed = number % 5 == 0;
    leaving_listed_ = is_listed ? std::set<std::string>{agent.name} : std::set<std::string>{};
    Input(instances_received{{{.name = agent.name, .leaving = is_listed}}});
  }
}

void entry_simulation::Ask(const std::string& key, std::uint32_t attempt) {
  const caller_id caller = next_caller_++;
  // A keyed operation has the same body in each attempt, as the same payment is asked for again.
  const std::string body = key.empty() ? "draft" + std::to_string(caller) : "pay " + key;
  callers_[caller] = {.body = body, .key = key, .attempt = attempt};
  Input(caller_request{.caller = caller,
                       .request = {.method = "POST",
                                   .target = key.empty() ? "/v1/completions" : "/pay",
                                   .body = body},
                       .account = caller % 3 == 0 ? "big" : "acme",
                       .service = key.empty() ? "" : "payments",
                       .model = key.empty() ? "m" : "",
                       .idempotency_key = key,
                       .attempt = attempt});
}

void entry_simulation::DeliverToCore(std::size_t index, bool keeps) {
  const auto [connection, message] = to_core_[index];
  if (!keeps) {
    to_core_.erase(to_core_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  Receive(connection, message);
  Collect();
}

void entry_simulation::DeliverToAgent(std::size_t index, bool keeps) {
  const sent_message sent = to_agents_[index];
  if (!keeps) {
    to_agents_.erase(to_agents_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  fake_agent& agent = agents_.at(sent.agent);
  if (agent.run != sent.run) {
    return;
  }
  if (const auto* work = std::get_if<dispatch>(&sent.message)) {
    OnDispatch(agent, *work);
  } else if (const auto* stop = std::get_if<cancel>(&sent.message)) {
    const auto place = agent.executions.find(stop->id);
    if (place != agent.executions.end() && !place->second.refused) {
      place->second.is_broken = true;
    }
  }
}

void entry_simulation::OnDispatch(fake_agent& agent, const dispatch& work) {
  auto [place, is_new] = agent.executions.try_emplace(work.id, fake_execution{.work = work});
  fake_execution& execution = place->second;
  execution.next = work.answer_offset;
  execution.has_sent_head = false;
  if (!is_new) {
    return execution.refused ? Reply(agent, *execution.refused) : void();
  }
  const std::string& key = work.idempotency_key;
  if (!key.empty() && agent.tombstones.contains(key)) {
    RefuseWork(agent, execution, refusal_reason::kKeyRefused);
  } else if (!key.empty() && agent.keys.contains(key)) {
    return;  // joins the one that runs
  } else if (agent.mode == agent_mode::kRefuse || agent.mode == agent_mode::kDrain) {
    RefuseWork(
        agent, execution,
        agent.mode == agent_mode::kDrain ? refusal_reason::kDraining : refusal_reason::kOverload);
  } else {
    accepted_.insert(work.request.body);
    agent.keys.insert(key);
    if (agent.mode == agent_mode::kFailAfterStart) {
      execution.refused = refusal{.id = work.id,
                                  .reason = refusal_reason::kUpstreamGone,
                                  .certainty = run_certainty::kUnknown};
      Reply(agent, *execution.refused);
    }
  }
}

void entry_simulation::Progress(fake_agent& agent, fake_execution& execution) {
  const request_id& id = execution.work.id;
  const std::string answer = AnswerTo(execution.work.request.body);
  if (execution.next > answer.size()) {
    return;
  }
  if (!std::exchange(execution.has_sent_head, true)) {
    Reply(agent, answer_head{.id = id, .status = 200, .content_type = "text/plain"});
  }
  answer_part part{.id = id, .offset = execution.next};
  part.bytes = answer.substr(execution.next, kPieceBytes);
  execution.next += part.bytes.size();
  if (execution.is_broken) {
    part.end = answer_end::kBroken;
  } else if (execution.next == answer.size()) {
    part.end = answer_end::kComplete;
  }
  execution.next += part.end == answer_end::kMore ? 0 : answer.size();
  Reply(agent, part);
}

void entry_simulation::Garbage(std::uint32_t number) {
  const request_id id{.sender = number % 2 == 0 ? kEntryIncarnation : 1, .sequence = number % 9};
  const connection_id connection = 100 + number % 12;
  const answer_part huge{.id = id, .offset = ~std::uint64_t{0}, .bytes = "no"};
  const std::vector<entry_input> kinds{
      peer_received{connection, huge},
      peer_received{connection + 50, answer_head{.id = id, .status = 999}},
      peer_received{connection, refusal{.id = {.sender = 7, .sequence = id.sequence}}},
      peer_received{connection, dispatch{.id = id, .sender_revision = 1}},
      peer_closed{connection + 100},
      caller_closed{~std::uint64_t{0}},
      operator_query{.kind = static_cast<operator_query_kind>(number % 3)}};
  Input(kinds[number % kinds.size()]);
}

void entry_simulation::Collect() {
  while (!outputs.empty()) {
    const std::vector<entry_output> taken = std::exchange(outputs, {});
    for (const entry_output& output : taken) {
      if (const auto* send = std::get_if<peer_send>(&output)) {
        CollectSend(*send);
      } else if (const auto* watch = std::get_if<configuration_watch>(&output)) {
        if (watch->mode == watch_mode::kRefresh) {
          from_service_.push_back({.number = revision_ - 1, .nonce = watch->nonce});
        }
      } else if (const auto* reply = std::get_if<caller_reply>(&output)) {
        caller_record& record = callers_[reply->caller];
        record.outcome = HeaderOf(*reply, "Berylbarrow-Outcome");
        ++record.starts;
        ++record.ends;
      } else if (const auto* head = std::get_if<caller_head>(&output)) {
        ++callers_[head->caller].starts;
      } else if (const auto* part = std::get_if<caller_part>(&output)) {
        callers_[part->caller].bytes += part->bytes;
      } else if (const auto* end = std::get_if<caller_end>(&output)) {
        ++callers_[end->caller].ends;
        callers_[end->caller].is_complete = end->complete;
      }
    }
  }
}

void entry_simulation::CollectSend(const peer_send& send) {
  const auto run = runs_.find(send.connection);
  if (run == runs_.end()) {
    Violate("message over an unknown connection");
    return;
  }
  const auto& [agent, incarnation] = run->second;
  if (const auto* work = std::get_if<dispatch>(&send.message)) {
    CollectDispatch(*work, agents_.at(agent), incarnation);
  }
  to_agents_.push_back({send.connection, agent, incarnation, send.message});
}

void entry_simulation::CollectDispatch(const dispatch& work, const fake_agent& agent,
                                       std::uint64_t run) {
  if (!work.idempotent) {
    const auto [place, is_new] =
        key_runs_.emplace(work.idempotency_key, std::make_pair(agent.name, run));
    if (place->second != std::make_pair(agent.name, run)) {
      Violate("key " + work.idempotency_key + " was sent to two runs");
    }
  }
  const bool is_new_work =
      dispatched_.insert(work.id).second && (work.idempotent || work.attempt == 1);
  if (is_new_work && IsKnownOut(agent.name)) {
    Violate("new work was sent to " + agent.name + ", which is known to be out of service");
  }
  if (is_new_work && is_stale_) {
    Violate("new work was sent on the view from before a pause");
  }
  if (work.remaining <= duration::zero()) {
    Violate("a dispatch was sent after its deadline");
  }
}

void entry_simulation::Finish() {
  Publish("all in");
  leaving_listed_.clear();
  Input(instances_received{});
  for (auto& [name, agent] : agents_) {
    agent.mode = agent_mode::kAccept;
    agent.is_silent = agent.is_leaving = false;
    Connect(agent);
  }
  const auto is_pending = [](const auto& item) {
    return item.second.ends == 0 && !item.second.is_aborted;
  };
  // Longer than the deadline of every service.
  for (int i = 0; i < 400 && std::any_of(callers_.begin(), callers_.end(), is_pending); ++i) {
    DeliverAll();
    ProgressAll();
    Elapse(milliseconds(100));
  }
}

void entry_simulation::CheckCallers() {
  for (const auto& [caller, record] : callers_) {
    const std::string who = "caller " + std::to_string(caller) + ": ";
    if (record.body.empty()) {
      Violate(who + "never asked");
    }
    if (record.starts > 1 || record.ends > 1 || record.ends > record.starts) {
      Violate(who + "got more than one answer");
    }
    if (record.ends == 0 && !record.is_aborted) {
      Violate(who + "got no answer");
    }
    const std::string expected = AnswerTo(record.body);
    if (expected.substr(0, record.bytes.size()) != record.bytes ||
        (record.is_complete && expected != record.bytes)) {
      Violate(who + "got the wrong bytes: " + record.bytes);
    }
    if (record.outcome == "not-run" && accepted_.contains(record.body)) {
      Violate(who + "was told \"not run\", but it ran: " + record.body);
    }
  }
}

}  // namespace berylbarrow
