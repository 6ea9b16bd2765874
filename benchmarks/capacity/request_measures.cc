#include <algorithm>

#include "allocation.h"
#include "berylbarrow/connection/wire/codec.h"
#include "measures.h"

namespace berylbarrow::bench {
namespace {

// A draft's prompt and one event of a streamed completion.
constexpr std::size_t kPromptBytes = 2000;
constexpr std::size_t kTokenEventBytes = 180;
constexpr std::size_t kStoredAnswerBytes = 200;
constexpr double kKilobyte = 1000;

// Requests are measured with one service of 24 upstreams: the subset of an entry.
const fleet_size kSmallFleet{.entries = 8, .upstreams = 48, .accounts = 10, .services = 2};

double Live() { return static_cast<double>(LiveBytes()); }

double EntryCpu(entry_under_test& entry, std::uint32_t tokens, int requests, caller_id& caller) {
  const std::string body(kPromptBytes, 'p');
  const std::string event(kTokenEventBytes, 't');
  double lowest = 1e18;
  for (int i = 0; i < requests; ++i) {
    const double begin = CpuMicroseconds();
    const auto [id, connection] = entry.Draft(++caller, body);
    entry.Input(peer_received{connection, answer_head{.id = id, .status = 200}});
    for (std::uint32_t token = 0; token < tokens; ++token) {
      const bool is_last = token + 1 == tokens;
      entry.outputs.clear();
      entry.Input(peer_received{
          connection, answer_part{.id = id,
                                  .offset = std::uint64_t{token} * kTokenEventBytes,
                                  .bytes = event,
                                  .end = is_last ? answer_end::kComplete : answer_end::kMore}});
    }
    lowest = std::min(lowest, CpuMicroseconds() - begin);
  }
  return lowest;
}

double AgentCpu(agent_under_test& agent, std::uint32_t tokens, int requests, std::uint64_t& id) {
  const std::string body(kPromptBytes, 'p');
  const std::string event(kTokenEventBytes, 't');
  double lowest = 1e18;
  for (int i = 0; i < requests; ++i) {
    agent.outputs.clear();
    const double begin = CpuMicroseconds();
    agent.Dispatch(++id, true, body);
    const execution_id execution = agent.LastStarted();
    agent.Input(upstream_head{.execution = execution, .status = 200});
    for (std::uint32_t token = 0; token < tokens; ++token) {
      agent.outputs.clear();
      agent.Input(upstream_part{.execution = execution, .bytes = event});
    }
    agent.Input(upstream_end{.execution = execution});
    agent.Input(peer_received{1, acknowledgement{.id = {.sender = 0xe1, .sequence = id},
                                                 .offset = std::uint64_t{tokens} * kTokenEventBytes,
                                                 .finished = true}});
    lowest = std::min(lowest, CpuMicroseconds() - begin);
  }
  return lowest;
}

double CodecCpu(const peer_message& message) {
  constexpr int kCopies = 500;
  double lowest = 1e18;
  for (int run = 0; run < 5; ++run) {
    frame_reader reader(1U << 20);
    const double begin = CpuMicroseconds();
    for (int i = 0; i < kCopies; ++i) {
      reader.Feed(EncodeFrame(message));
      (void)reader.Next();
    }
    lowest = std::min(lowest, (CpuMicroseconds() - begin) / kCopies);
  }
  return lowest;
}

dispatch SampleDispatch() {
  return {.id = {.sender = 1, .sequence = 1},
          .service = "service-0",
          .account = "account-0",
          .request = {.method = "POST",
                      .target = "/v1/completions",
                      .content_type = "application/json",
                      .body = std::string(kPromptBytes, 'p')}};
}

}  // namespace

void MeasureRequests(const measure_options& options, slopes& result) {
  table rows("CPU time per request with a prompt of 2,000 bytes, us",
             {"tokens", "entry core", "agent core"});
  const std::string text = MakeDocument(kSmallFleet);
  entry_under_test entry(text);
  entry.ConnectAll();
  agent_under_test agent(text, false);
  caller_id caller = 0;
  std::uint64_t id = 0;
  std::vector<double> tokens;
  std::vector<double> entry_cpu;
  std::vector<double> agent_cpu;
  for (const std::uint32_t count : {10U, 100U, 200U, 400U}) {
    const int requests = options.is_smoke ? 10 : 50;
    tokens.push_back(count);
    entry_cpu.push_back(EntryCpu(entry, count, requests, caller));
    agent_cpu.push_back(AgentCpu(agent, count, requests, id));
    rows.Add({std::to_string(count), Fixed(entry_cpu.back(), 1), Fixed(agent_cpu.back(), 1)});
  }
  const line entry_line = Fit(tokens, entry_cpu);
  const line agent_line = Fit(tokens, agent_cpu);
  result.entry_request = std::max(0.0, entry_line.intercept);
  result.entry_token = entry_line.slope;
  result.agent_request = std::max(0.0, agent_line.intercept);
  result.agent_token = agent_line.slope;
  rows.Add({"per token (slope)", Fixed(entry_line.slope, 3), Fixed(agent_line.slope, 3)});
  rows.Add(
      {"per request (intercept)", Fixed(entry_line.intercept, 1), Fixed(agent_line.intercept, 1)});
  Publish(rows, options, "requests");

  const answer_part part{.id = {.sender = 1, .sequence = 1},
                         .bytes = std::string(kTokenEventBytes, 't')};
  const heartbeat beat{.sender = {.name = "upstream-599", .domain = "domain-4"}};
  result.codec_request = CodecCpu(SampleDispatch());
  result.codec_token = CodecCpu(part);
  table codec("Codec: bytes of a frame, CPU time to encode and decode it",
              {"message", "bytes", "us"});
  codec.Add({"dispatch with 2,000 bytes", std::to_string(EncodeFrame(SampleDispatch()).size()),
             Fixed(result.codec_request, 2)});
  codec.Add({"answer_part with 180 bytes", std::to_string(EncodeFrame(part).size()),
             Fixed(result.codec_token, 2)});
  codec.Add({"heartbeat without suspects", std::to_string(EncodeHeartbeat(beat).size()),
             Fixed(result.codec_beat, 2)});
  codec.Add({"ping", std::to_string(EncodeFrame(ping{}).size()), Fixed(CodecCpu(ping{}), 2)});
  Publish(codec, options, "codec");
}

namespace {

/// Memory against a count, as one row per count and the slope.
class memory_series {
 public:
  explicit memory_series(std::string name) : name_(std::move(name)) {}
  void Add(double count, double bytes) {
    counts_.push_back(count);
    bytes_.push_back(bytes);
  }
  double Print(table& rows) const {
    const double slope = Fit(counts_, bytes_).slope;
    std::string sizes;
    std::string kilobytes;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      sizes += (i > 0 ? ", " : "") + Fixed(counts_[i], 0);
      kilobytes += (i > 0 ? ", " : "") + Fixed(bytes_[i] / kKilobyte, 0);
    }
    rows.Add({name_, sizes, kilobytes, Fixed(slope, 0)});
    return slope;
  }

 private:
  std::string name_;
  std::vector<double> counts_;
  std::vector<double> bytes_;
};

double CoreBytes(const fleet_size& size) {
  const std::string text = MakeDocument(size);
  const double before = Live();
  entry_under_test entry(text);
  entry.outputs = {};
  const double middle = Live();
  const configuration copy = entry.document;
  return middle - before - (Live() - middle);
}

}  // namespace

void MeasureMemory(const measure_options& options, slopes& result) {
  table rows("Memory by count", {"what", "counts", "KB", "bytes each"});
  memory_series accounts("account of the document, entry");
  memory_series upstreams("upstream of the document, entry, not connected");
  memory_series peers("connected agent, entry");
  for (const std::uint32_t count : {500U, 1000U, 2000U}) {
    accounts.Add(count,
                 CoreBytes({.entries = 8, .upstreams = 8, .accounts = count, .services = 2}));
  }
  for (const std::uint32_t count : {100U, 300U, 600U}) {
    // One model service: the subset of 24 stays the same.
    upstreams.Add(count,
                  CoreBytes({.entries = 8, .upstreams = count, .accounts = 8, .services = 2}));
    entry_under_test entry(
        MakeDocument({.entries = 8, .upstreams = count, .accounts = 8, .services = count / 20}));
    const double before = Live();
    entry.ConnectAll();
    entry.outputs = {};
    peers.Add(count, Live() - before);
  }
  accounts.Print(rows);
  upstreams.Print(rows);
  result.peer_memory = peers.Print(rows);

  memory_series requests("request in flight, entry, with a body of 2,000 bytes");
  for (const std::uint32_t count : {250U, 500U, 1000U}) {
    entry_under_test entry(MakeDocument(kSmallFleet));
    entry.ConnectAll();
    const double before = Live();
    for (caller_id caller = 1; caller <= count; ++caller) {
      (void)entry.Draft(caller, std::string(kPromptBytes, 'p'));
    }
    entry.outputs = {};
    requests.Add(count, Live() - before);
  }
  result.request_memory = requests.Print(rows);

  memory_series executions("stored execution of a key, agent, with an answer of 200 bytes");
  for (const std::uint32_t count : {500U, 1000U, 2000U}) {
    agent_under_test agent(MakeDocument(kSmallFleet), true);
    const double before = Live();
    for (std::uint64_t id = 1; id <= count; ++id) {
      agent.Dispatch(id, false, "pay");
      const execution_id execution = agent.LastStarted();
      agent.Input(upstream_head{.execution = execution, .status = 200});
      agent.Input(
          upstream_part{.execution = execution, .bytes = std::string(kStoredAnswerBytes, 'a')});
      agent.Input(upstream_end{.execution = execution});
      agent.outputs = {};
    }
    executions.Add(count, Live() - before);
  }
  result.execution_memory = executions.Print(rows);
  Publish(rows, options, "memory");
}

}  // namespace berylbarrow::bench
