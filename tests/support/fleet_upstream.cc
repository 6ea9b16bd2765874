#include "support/fleet_upstream.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace berylbarrow {
namespace {

using std::chrono::milliseconds;

constexpr duration kLeastWire = std::chrono::microseconds(100);
constexpr duration kMostWire = milliseconds(1);
constexpr duration kReportInterval = milliseconds(300);
constexpr duration kMostStop = milliseconds(50);  // until cancelled work has stopped
constexpr std::size_t kMostPieces = 6;

/// The mark as the callers wrote it: "request operation poison key".
request_mark ReadMark(const http_request& request) {
  const std::string text =
      request.body.empty() ? request.target.substr(request.target.find('?') + 1) : request.body;
  std::istringstream parts(text);
  request_mark mark;
  char separator = 0;
  parts >> mark.request >> separator >> mark.operation >> separator >> mark.is_poison;
  parts >> separator >> mark.key;
  return mark;
}

}  // namespace

std::string WriteMark(const request_mark& mark) {
  std::ostringstream text;
  text << mark.request << ';' << mark.operation << ';' << mark.is_poison << ';' << mark.key;
  return text.str();
}

std::string ExpectedAnswer(const http_request& request) {
  const std::uint64_t operation = ReadMark(request).operation;
  const std::uint64_t hash = XXH64(&operation, sizeof(operation), 0);
  const bool is_draft = request.target.starts_with("/v1/");
  std::ostringstream text;
  text << request.method << " operation " << operation << ':';
  const std::uint64_t words = is_draft ? 10 + hash % 40 : 3;
  for (std::uint64_t i = 0; i < words; ++i) {
    text << ' ' << XXH64(&i, sizeof(i), hash) % 100000;
  }
  return text.str();
}

fleet_upstream::fleet_upstream(fleet_context& context, fleet_processes& processes,
                               const fleet_place& place)
    : context_(context), processes_(processes), place_(place), run_since_(context.Now()) {
  context_.After(context_.Between(duration::zero(), kReportInterval), [this] { Report(); });
}

std::uint32_t fleet_upstream::Bearable() const {
  const bool is_draft = place_.service == "drafting";
  const std::uint32_t cold = is_draft ? kDraftColdLimit : kPaymentColdLimit;
  const std::uint32_t step = is_draft ? kDraftStep : kPaymentStep;
  const std::uint32_t most = is_draft ? kDraftInFlight : kPaymentInFlight;
  return std::min(most, cold + completed_ / step);
}

void fleet_upstream::Tell(std::uint64_t life, duration delay, const fleet_input& input) {
  last_told_ = std::max(last_told_, context_.Now() + delay);
  context_.After(last_told_ - context_.Now(),
                 [this, life, input] { processes_.Give(place_.name, life, input); });
}

void fleet_upstream::Start(const fleet_process& agent, const upstream_start& work) {
  const request_mark mark = ReadMark(work.request);
  const start_record record{.sent = context_.Now(),
                            .agent = place_.name,
                            .incarnation = agent.identity.incarnation,
                            .domain = place_.domain,
                            .key = mark.key,
                            .request = mark.request,
                            .operation = mark.operation,
                            .was_warned = is_warned_};
  const job item{.life = agent.life,
                 .execution = work.execution,
                 .request = work.request,
                 .offset = work.resume_offset};
  context_.After(context_.Between(kLeastWire, kMostWire),
                 [this, item, record] { Arrive(item, record); });
}

void fleet_upstream::Arrive(const job& work, const start_record& record) {
  if (!is_up_) {
    Tell(work.life, kMostWire,
         upstream_end{.execution = work.execution, .outcome = upstream_outcome::kNotSent});
    return;
  }
  const std::uint64_t id = ++last_job_;
  job& item = jobs_[id] = work;
  item.run = run_;
  start_record arrived = record;
  arrived.running = static_cast<std::uint32_t>(jobs_.size());
  // A restart between the agent's decision and the arrival is not the agent's fault.
  arrived.was_warned = record.was_warned && is_warned_;
  arrived.bearable = Bearable();
  context_.log.starts.push_back(arrived);
  if (ReadMark(item.request).is_poison) {
    context_.After(context_.Between(milliseconds(20), milliseconds(80)), [this, id, arrived] {
      if (jobs_.contains(id)) {
        context_.log.crashes.push_back({.at = context_.Now(),
                                        .started = arrived.sent,
                                        .agent = arrived.agent,
                                        .operation = arrived.operation});
        Die(context_.Between(milliseconds(200), milliseconds(900)));
      }
    });
    return;
  }
  std::string answer = ExpectedAnswer(item.request);
  answer.erase(0, item.offset);
  context_.After(context_.Between(milliseconds(30), milliseconds(200)),
                 [this, id, answer = std::move(answer)] { Answer(id, answer); });
}

void fleet_upstream::Answer(std::uint64_t id, const std::string& answer) {
  const auto place = jobs_.find(id);
  if (place == jobs_.end()) {
    return;
  }
  const job& work = place->second;
  Tell(work.life, kLeastWire,
       upstream_head{.execution = work.execution, .status = 200, .content_type = "text/plain"});
  const std::size_t pieces = 1 + context_.Below(kMostPieces);
  duration when = duration::zero();
  std::size_t begin = 0;
  for (std::size_t i = 1; i <= pieces; ++i) {
    const std::size_t end = answer.size() * i / pieces;
    const std::string bytes = answer.substr(begin, end - begin);
    begin = end;
    context_.After(when, [this, id, bytes] {
      const auto running = jobs_.find(id);
      if (running != jobs_.end() && !bytes.empty()) {
        Tell(running->second.life, kLeastWire,
             upstream_part{.execution = running->second.execution, .bytes = bytes});
      }
    });
    when += context_.Between(milliseconds(5), milliseconds(80));
  }
  context_.After(when, [this, id] { Finish(id); });
}

void fleet_upstream::Finish(std::uint64_t id) {
  const auto place = jobs_.find(id);
  if (place == jobs_.end()) {
    return;
  }
  const job work = place->second;
  jobs_.erase(place);
  completed_ += work.run == run_ ? 1 : 0;
  End(work, upstream_outcome::kComplete, kLeastWire);
}

void fleet_upstream::End(const job& work, upstream_outcome outcome, duration delay) {
  Tell(work.life, delay, upstream_end{.execution = work.execution, .outcome = outcome});
}

void fleet_upstream::Cancel(const fleet_process& agent, execution_id execution) {
  context_.After(context_.Between(kLeastWire, kMostStop), [this, life = agent.life, execution] {
    const auto place = std::find_if(jobs_.begin(), jobs_.end(), [&](const auto& item) {
      return item.second.life == life && item.second.execution == execution;
    });
    if (place != jobs_.end()) {
      End(place->second, upstream_outcome::kBroken, kLeastWire);
      jobs_.erase(place);
    }
  });
}

void fleet_upstream::OnAgentStopped() {
  for (const auto& [id, item] : jobs_) {
    context_.After(context_.Between(kLeastWire, kMostStop), [this, id = id] { jobs_.erase(id); });
  }
}

void fleet_upstream::OnAgentInput(const fleet_input& input) {
  const auto* report = std::get_if<upstream_report>(&input);
  const auto* end = std::get_if<upstream_end>(&input);
  const bool is_new_run = report != nullptr && report->reachable && report->instance == Instance();
  const bool is_broken = end != nullptr && end->outcome != upstream_outcome::kComplete;
  is_warned_ = is_warned_ || is_new_run || is_broken;
}

void fleet_upstream::Die(duration downtime) {
  if (!is_up_) {
    return;
  }
  is_up_ = false;
  for (const auto& [id, item] : std::exchange(jobs_, {})) {
    End(item, upstream_outcome::kBroken, context_.Between(kLeastWire, kMostWire));
  }
  // The agent reads the load report at once when a connection breaks.
  SendReport();
  context_.After(downtime, [this] { Restart(); });
}

void fleet_upstream::Restart() {
  is_up_ = true;
  TurnCold();
}

void fleet_upstream::TurnCold() {
  ++run_;
  run_since_ = context_.Now();
  completed_ = 0;
  is_warned_ = false;
}

void fleet_upstream::Report() {
  SendReport();
  context_.After(kReportInterval, [this] { Report(); });
}

void fleet_upstream::SendReport() {
  const fleet_process& agent = processes_.At(place_.name);
  const upstream_report report{.reachable = is_up_,
                               .instance = is_up_ ? Instance() : "",
                               .uptime = is_up_ ? context_.Now() - run_since_ : duration::zero(),
                               .running = static_cast<std::uint32_t>(jobs_.size())};
  Tell(agent.life, kLeastWire, report);
}

}  // namespace berylbarrow
