#include "engine_group.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

namespace berylbarrow::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t kEpoch = 1;
// What the ranks have read and written before the case begins: all experts alike.
constexpr std::uint64_t kEarlierCounts = 1'000'000;
constexpr std::uint32_t kTokensPerEvent = 4;
constexpr std::uint32_t kPicksPerToken = 8;

std::string MakeAnswer(unsigned status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string MakeJsonAnswer(unsigned status, const json& body) {
  return MakeAnswer(status, "Content-Type: application/json\r\n", body.dump());
}

std::string Chunk(const std::string& bytes) {
  std::array<char, 16> length{};
  std::snprintf(length.data(), length.size(), "%zx", bytes.size());
  return std::string(length.data()) + "\r\n" + bytes + "\r\n";
}

std::string Event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

}  // namespace

engine_group::engine_group(const engine_group_options& options, record_file& record)
    : options_(options),
      record_(record),
      born_(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count())) {
  // Map 0: the experts in turn.
  expert_map initial(options_.sets, std::vector<std::vector<std::uint32_t>>(options_.ranks));
  for (auto& set : initial) {
    for (std::uint32_t expert = 0; expert < options_.experts; ++expert) {
      set[expert % options_.ranks].push_back(expert);
    }
  }
  for (std::uint32_t rank = 0; rank < options_.ranks; ++rank) {
    auto state = std::make_unique<rank_state>();
    state->counts.assign(std::size_t{options_.sets} * options_.experts, kEarlierCounts);
    state->mapping_content = initial;
    ranks_.push_back(std::move(state));
  }
  for (std::uint32_t rank = 0; rank < options_.ranks; ++rank) {
    ranks_[rank]->server = std::make_unique<loopback_server>(
        [this, rank](loopback_stream& stream) { Serve(rank, stream); });
  }
  passes_ = std::thread([this] { RunPasses(); });
}

engine_group::~engine_group() {
  stopping_ = true;
  produced_.notify_all();
  passes_.join();
  for (const auto& each : ranks_) each->server->Stop();
}

void engine_group::SetLateOrders(const std::optional<late_orders>& late) {
  const std::lock_guard lock(mutex_);
  late_ = late;
}

std::size_t engine_group::OrderCount(const std::string& op, std::uint32_t rank) {
  const std::lock_guard lock(mutex_);
  return order_counts_[{op, rank}];
}

std::uint64_t engine_group::MixedPasses() {
  const std::lock_guard lock(mutex_);
  return mixed_passes_;
}

std::uint64_t engine_group::Passes() {
  const std::lock_guard lock(mutex_);
  return step_;
}

bool engine_group::IsIdle() {
  const std::lock_guard lock(mutex_);
  return streams_.empty();
}

bool engine_group::IsHeld() {
  const std::lock_guard lock(mutex_);
  return std::any_of(ranks_.begin(), ranks_.end(),
                     [](const auto& each) { return each->held.has_value(); });
}

std::string engine_group::StateText() {
  const std::lock_guard lock(mutex_);
  std::string text = "step " + std::to_string(step_) + ", streams " +
                     std::to_string(streams_.size()) + ", map in use (armed, held) by rank:";
  for (const auto& each : ranks_) {
    text += " " + std::to_string(each->mapping.version);
    if (each->armed) {
      text += "(armed " + std::to_string(each->armed->version) + " for " +
              std::to_string(each->armed->step) + ")";
    }
    if (each->held) text += "(held " + std::to_string(*each->held) + ")";
  }
  return text;
}

void engine_group::Serve(std::uint32_t rank, loopback_stream& stream) {
  while (!stopping_) {
    const auto request = stream.ReadRequest(std::chrono::minutes(2));
    if (!request) return;
    const std::string& method = request->head.method;
    const std::string& target = request->head.target;
    if (method == "POST" && target == "/order") {
      const auto status = TakeOrder(rank, request->body);
      if (!status) {
        while (!stopping_ && !stream.IsEnded()) std::this_thread::sleep_for(milliseconds(5));
        return;
      }
      if (!stream.Send(MakeJsonAnswer(*status, json::object()))) return;
    } else if (target == "/report") {
      if (!stream.Send(MakeJsonAnswer(200, Report(rank)))) return;
    } else if (target == "/picked") {
      if (!stream.Send(MakeJsonAnswer(200, Counts(rank)))) return;
    } else if (target.rfind("/picked?", 0) == 0) {
      if (!stream.Send(MakeJsonAnswer(200, Lists(rank)))) return;
    } else if (target == "/healthz") {
      if (!stream.Send(MakeAnswer(200, "Replica-Id: " + Id(rank) + "\r\n", ""))) return;
    } else if (!ServeStream(rank, stream, request->head)) {
      return;
    }
  }
}

bool engine_group::ServeStream(std::uint32_t rank, loopback_stream& stream, const http_head& head) {
  const std::string attempt(head.Find("Request-Attempt-Id"));
  const std::string_view expected = head.Find("Expect-Replica");
  const std::string fields = "Request-Attempt-Id: " + attempt + "\r\n";
  if (!expected.empty() && expected != Id(rank)) {
    return stream.Send(MakeAnswer(421, fields + "Replica-Id: " + Id(rank) + "\r\n", ""));
  }
  const std::string last(head.Find("Last-Event-Id"));
  const std::string usage(head.Find("Token-Usage"));
  const auto comma = usage.find(',');
  const std::uint64_t tokens =
      comma == std::string::npos ? 40 : std::stoull(usage.substr(comma + 1));
  std::uint64_t sent = last.empty() ? 0 : std::stoull(last);
  std::unique_lock lock(mutex_);
  const auto work = streams_.insert(
      streams_.end(), {.rank = rank, .produced = sent, .total = tokens / kTokensPerEvent});
  record_.Line("rank " + std::to_string(rank) + " gets " + attempt +
               (last.empty() ? "" : ", to go on after " + last));
  bool is_open = true;
  bool has_head = false;
  while (is_open && !stopping_ && sent < work->total) {
    produced_.wait_for(lock, milliseconds(10), [&] { return work->produced > sent || stopping_; });
    const std::uint64_t produced = work->produced;
    lock.unlock();
    std::string bytes;
    if (produced > sent && !std::exchange(has_head, true)) {
      bytes = "HTTP/1.1 200 OK\r\n";
      bytes.append(fields)
          .append("Replica-Signature: ")
          .append(Id(rank))
          .append(".")
          .append(attempt);
      bytes += "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\n";
      bytes += "Transfer-Encoding: chunked\r\n\r\n";
    }
    for (; sent < produced; ++sent) bytes += Chunk(Event(sent + 1));
    is_open = !stream.IsEnded() && stream.Send(bytes);
    lock.lock();
  }
  const bool is_complete = sent >= work->total;
  streams_.erase(work);
  lock.unlock();
  record_.Line("rank " + std::to_string(rank) + (is_complete ? " has answered " : " drops ") +
               attempt + " after event " + std::to_string(sent));
  return is_complete && stream.Send("0\r\n\r\n");
}

engine_group::json engine_group::Report(std::uint32_t rank) {
  const std::lock_guard lock(mutex_);
  FinishCopies();
  const rank_state& state = *ranks_[rank];
  const auto running = std::count_if(streams_.begin(), streams_.end(),
                                     [&](const stream_work& each) { return each.rank == rank; });
  json report = {{"stage", "unified"},
                 {"models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}}},
                 {"busy", state.copied_at.has_value()},
                 {"seq", state.accepted_orders},
                 {"queued", 0},
                 {"running", running},
                 {"kvUsed", 1000 * running},
                 {"kvTotal", 280000},
                 {"handles", 0},
                 {"pace", 1.0},
                 {"born", born_},
                 {"size", options_.ranks},
                 {"group", {{"name", "g-1"}, {"epoch", kEpoch}, {"rank", rank}, {"state", "open"}}},
                 {"step", step_},
                 {"mapping", state.mapping.version},
                 {"prepared", nullptr},
                 {"armed", nullptr},
                 {"held", nullptr}};
  if (state.prepared && !state.copied_at) report["prepared"] = *state.prepared;
  if (state.armed) {
    report["armed"] = {{"version", state.armed->version}, {"step", state.armed->step}};
  }
  if (state.held) report["held"] = *state.held;
  return report;
}

engine_group::json engine_group::Counts(std::uint32_t rank) {
  const std::lock_guard lock(mutex_);
  return {{"step", step_}, {"epoch", kEpoch}, {"counts", ranks_[rank]->counts}, {"born", born_}};
}

engine_group::json engine_group::Lists(std::uint32_t rank) {
  const std::lock_guard lock(mutex_);
  FinishCopies();
  const rank_state& state = *ranks_[rank];
  const auto own = [&](const expert_map& map) {
    expert_lists lists;
    for (const auto& set : map) lists.push_back(set[rank]);
    return lists;
  };
  json lists = {
      {"step", step_},
      {"epoch", kEpoch},
      {"born", born_},
      {"mapping", {{"version", state.mapping.version}, {"experts", own(state.mapping_content)}}},
      {"prepared", nullptr}};
  if (state.prepared && !state.copied_at) {
    lists["prepared"] = {{"version", *state.prepared}, {"experts", own(state.prepared_content)}};
  }
  return lists;
}

std::optional<unsigned> engine_group::TakeOrder(std::uint32_t rank, const std::string& text) {
  const json order = json::parse(text);
  const std::string op = order.at("op");
  std::string what = "rank " + std::to_string(rank) + " gets the order " + op;
  if (order.contains("version")) what += " " + order.at("version").dump();
  if (order.contains("step")) what += " for pass " + order.at("step").dump();
  const std::lock_guard lock(mutex_);
  ++order_counts_[{op, rank}];
  if (late_ && late_->op == op && late_->rank == rank) {
    postponed_.push_back({.due = steady_clock::now() + late_->late, .rank = rank, .body = order});
    record_.Line(what + ": no answer, carried out " + std::to_string(late_->late.count()) +
                 " ms later");
    return std::nullopt;
  }
  const unsigned status = CarryOut(rank, order);
  record_.Line(what + ": " + std::to_string(status) + ", step " + std::to_string(step_));
  return status;
}

unsigned engine_group::Prepare(rank_state& state, std::uint32_t rank, const json& order) {
  const std::uint64_t version = order.at("version");
  if (state.prepared == version || state.mapping.version == version) return 200;
  if (version <= state.highest_version || state.armed) return 409;
  auto map = order.at("mapping").get<expert_map>();
  std::size_t most_new = 0;
  for (std::uint32_t set = 0; set < options_.sets; ++set) {
    std::set<std::uint32_t> all;
    for (const auto& experts : map.at(set)) {
      if (experts.size() > options_.placements) return 409;
      all.insert(experts.begin(), experts.end());
    }
    if (all.size() != options_.experts) return 409;
    const auto& known = state.mapping_content[set][rank];
    const auto& wanted = map[set].at(rank);
    const auto added = std::count_if(wanted.begin(), wanted.end(), [&](std::uint32_t expert) {
      return std::find(known.begin(), known.end(), expert) == known.end();
    });
    most_new = std::max(most_new, static_cast<std::size_t>(added));
  }
  if (most_new > options_.spare) return 409;
  state.prepared = state.highest_version = version;
  state.prepared_content = std::move(map);
  state.copied_at = steady_clock::now() + most_new * options_.copy;
  return 202;
}

unsigned engine_group::Arm(rank_state& state, const json& order, std::uint64_t step) {
  const map_version wanted{.version = order.at("version"), .step = order.at("step")};
  if (state.armed) {
    const bool is_same = state.armed->version == wanted.version && state.armed->step == wanted.step;
    return is_same ? 200 : 409;
  }
  if (state.prepared != wanted.version || state.copied_at || step >= wanted.step) return 409;
  state.armed = wanted;
  return 202;
}

unsigned engine_group::CarryOut(std::uint32_t rank, const json& order) {
  FinishCopies();
  rank_state& state = *ranks_[rank];
  const std::string op = order.at("op");
  if (order.contains("epoch") && order.at("epoch") != kEpoch) return 409;
  unsigned status = 400;
  if (op == "prepare") {
    status = Prepare(state, rank, order);
  } else if (op == "arm") {
    status = Arm(state, order, step_);
  } else if (op == "disarm") {
    if (order.at("version") == state.mapping.version) return 409;
    const bool is_armed = state.armed && state.armed->version == order.at("version");
    if (is_armed) state.armed.reset();
    status = is_armed ? 202 : 200;
  } else if (op == "hold") {
    const std::uint64_t step = order.at("step");
    if (state.held == step) return 200;
    if (state.held || step <= step_) return 409;
    state.held = step;
    status = 202;
  } else if (op == "go") {
    if (state.held != order.at("step").get<std::uint64_t>()) return 200;
    state.held.reset();
    status = 202;
  }
  if (status == 202) ++state.accepted_orders;
  return status;
}

void engine_group::FinishCopies() {
  for (const auto& each : ranks_) {
    if (each->copied_at && steady_clock::now() >= *each->copied_at) each->copied_at.reset();
  }
}

void engine_group::RunPostponed() {
  for (auto each = postponed_.begin(); each != postponed_.end();) {
    if (steady_clock::now() < each->due) {
      ++each;
      continue;
    }
    const unsigned status = CarryOut(each->rank, each->body);
    record_.Line("rank " + std::to_string(each->rank) + " carries out the late order " +
                 each->body.at("op").get<std::string>() + ": " + std::to_string(status) +
                 ", step " + std::to_string(step_));
    each = postponed_.erase(each);
  }
}

void engine_group::CountExperts(std::uint32_t rank) {
  // Three in four picks are of four experts that rank 2 has in map 0.
  auto& counts = ranks_[rank]->counts;
  for (std::uint32_t set = 0; set < options_.sets; ++set) {
    for (std::uint32_t pick = 0; pick < kTokensPerEvent * kPicksPerToken; ++pick) {
      ++draws_;
      const std::uint64_t expert =
          draws_ % 4 != 0 ? 2 + 8 * (draws_ / 4 % 4) : draws_ * 2654435761U / 64 % options_.experts;
      ++counts[std::size_t{set} * options_.experts + expert];
    }
  }
}

void engine_group::BeginPass() {
  const std::uint64_t next = step_ + 1;
  const bool is_held = std::any_of(ranks_.begin(), ranks_.end(),
                                   [&](const auto& each) { return each->held == next; });
  if (streams_.empty() || is_held) return;
  step_ = next;
  for (const auto& each : ranks_) {
    if (!each->armed || each->armed->step > step_) continue;
    each->mapping = *each->armed;
    each->mapping_content = each->prepared_content;
    each->armed.reset();
    each->prepared.reset();
  }
  const rank_state& first = *ranks_.front();
  const bool is_mixed = std::any_of(ranks_.begin(), ranks_.end(), [&](const auto& each) {
    return each->mapping.version != first.mapping.version ||
           each->mapping_content != first.mapping_content;
  });
  if (is_mixed && ++mixed_passes_ <= 20) {
    std::string line = "MAP: pass " + std::to_string(step_) + " begins with the maps";
    for (const auto& each : ranks_) line += " " + std::to_string(each->mapping.version);
    record_.Line(line);
  }
  for (stream_work& each : streams_) {
    if (each.produced >= each.total) continue;
    ++each.produced;
    CountExperts(each.rank);
  }
  produced_.notify_all();
}

void engine_group::RunPasses() {
  auto next = steady_clock::now();
  while (!stopping_) {
    next += options_.pass;
    std::this_thread::sleep_until(next);
    const std::lock_guard lock(mutex_);
    FinishCopies();
    RunPostponed();
    BeginPass();
  }
}

}  // namespace berylbarrow::review
