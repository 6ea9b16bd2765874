#include <algorithm>

#include "allocation.h"
#include "berylbarrow/connection/wire/codec.h"
#include "measures.h"

namespace berylbarrow::bench {
namespace {

constexpr double kKilobyte = 1000;
constexpr std::size_t kPacketHeaderBytes = 28;  // IPv4 and UDP
constexpr duration kBeatInterval = std::chrono::milliseconds(500);

std::string Kilobytes(double bytes) { return Fixed(bytes / kKilobyte, 1); }

/// Lowest of several runs: the others were disturbed by other work on the machine.
template <typename Action>
double LowestCpu(int runs, Action action) {
  double lowest = 1e18;
  for (int i = 0; i < runs; ++i) {
    const double begin = CpuMicroseconds();
    action();
    lowest = std::min(lowest, CpuMicroseconds() - begin);
  }
  return lowest;
}

std::vector<double> Shares(const measure_options& options) {
  return options.is_smoke ? std::vector<double>{0.05, 0.1, 0.2}
                          : std::vector<double>{0.25, 0.5, 0.75, 1.0};
}

struct beat_cost {
  double in = 0;   // microseconds per heartbeat received
  double out = 0;  // microseconds per round of sending
  std::size_t targets = 0;
  std::size_t bytes = 0;  // of one round of sending
};

template <typename Outputs>
void CountBeats(const Outputs& outputs, beat_cost& cost) {
  for (const auto& output : outputs) {
    if (const auto* beat = std::get_if<heartbeat_send>(&output)) {
      ++cost.targets;
      cost.bytes += EncodeHeartbeat(beat->content).size() + kPacketHeaderBytes;
    }
  }
}

/// Receives a round of heartbeats and then sends one, in virtual time.
template <typename Subject, typename Receive>
beat_cost RunBeats(Subject& subject, std::size_t peers, int rounds, Receive receive) {
  beat_cost cost;
  cost.in = cost.out = 1e18;
  for (int i = 0; i < rounds; ++i) {
    subject.outputs.clear();
    const double begin = CpuMicroseconds();
    receive();
    cost.in = std::min(cost.in, (CpuMicroseconds() - begin) / static_cast<double>(peers));
    subject.outputs.clear();
    subject.clock.Advance(kBeatInterval);
    const double middle = CpuMicroseconds();
    subject.core->Advance({subject.clock.Now(), subject.clock.WallNow()}, subject.outputs);
    cost.out = std::min(cost.out, CpuMicroseconds() - middle);
  }
  CountBeats(subject.outputs, cost);
  return cost;
}

}  // namespace

void Publish(const table& rows, const measure_options& options, const std::string& name) {
  rows.Print();
  if (!options.csv.empty()) {
    rows.WriteCsv(options.csv + "/" + name + ".csv");
  }
}

void MeasureDocument(const measure_options& options, slopes& result) {
  table rows("Published document by size",
             {"entries", "upstreams", "accounts", "services", "KB of text", "parse ms",
              "apply in entry ms", "apply in agent ms", "entry core KB", "agent core KB"});
  for (const double share : Shares(options)) {
    const fleet_size size = Scaled(share, 28);
    const std::string text = MakeDocument(size);
    const document_parser parser;
    result.document_bytes = static_cast<double>(text.size());
    result.parse = LowestCpu(3, [&] { (void)parser.Parse(text, "document"); });
    entry_under_test entry(text);
    agent_under_test agent(text, false);
    revision number = 1;
    result.apply_entry =
        LowestCpu(3, [&] { entry.Input(document_received{.number = ++number, .text = text}); });
    number = 1;
    result.apply_agent =
        LowestCpu(3, [&] { agent.Input(document_received{.number = ++number, .text = text}); });
    const std::size_t before = LiveBytes();
    auto next = std::make_unique<entry_under_test>(text);
    // The harness keeps a copy of the document of its own.
    const std::size_t copies = LiveBytes();
    const configuration copy = next->document;
    const std::size_t harness = LiveBytes() - copies;
    next->outputs = {};
    result.core_memory_entry = static_cast<double>(copies - before - harness);
    const std::size_t middle = LiveBytes();
    auto other = std::make_unique<agent_under_test>(text, false);
    other->outputs = {};
    result.core_memory_agent = static_cast<double>(LiveBytes() - middle - harness);
    rows.Add({std::to_string(size.entries), std::to_string(size.upstreams),
              std::to_string(size.accounts), std::to_string(size.services),
              Kilobytes(result.document_bytes), Fixed(result.parse / kKilobyte, 1),
              Fixed(result.apply_entry / kKilobyte, 1), Fixed(result.apply_agent / kKilobyte, 1),
              Kilobytes(result.core_memory_entry), Kilobytes(result.core_memory_agent)});
  }
  Publish(rows, options, "document");
}

void MeasureHeartbeats(const measure_options& options, slopes& result) {
  table rows(
      "Heartbeats by size of the fleet, two per second",
      {"role", "document", "peers it sends to", "bytes per heartbeat", "KB/s sent",
       "CPU us per heartbeat received", "CPU us per heartbeat sent", "CPU share of a core %"});
  const int rounds = options.is_smoke ? 3 : 8;
  const auto add = [&rows](const char* role, const fleet_size& size, const beat_cost& cost,
                           std::size_t heard) {
    const auto targets = static_cast<double>(cost.targets);
    const double rate = 2.0;
    const double cpu = rate * (cost.in * static_cast<double>(heard) + cost.out);
    rows.Add({role, std::to_string(size.entries) + " by " + std::to_string(size.upstreams),
              std::to_string(cost.targets), Fixed(static_cast<double>(cost.bytes) / targets, 0),
              Kilobytes(rate * static_cast<double>(cost.bytes)), Fixed(cost.in, 2),
              Fixed(cost.out / targets, 2), Fixed(cpu / 1e4, 2)});
  };
  for (const double share : Shares(options)) {
    const fleet_size size = Scaled(share, 28);
    const std::string text = MakeDocument(size);
    entry_under_test entry(text);
    entry.ConnectAll();
    const beat_cost sent = RunBeats(entry, size.upstreams, rounds, [&] { entry.Beat(); });
    add("entry", size, sent, size.upstreams);
    agent_under_test agent(text, false);
    const beat_cost replied =
        RunBeats(agent, size.entries, rounds, [&] { agent.Beat(size.entries); });
    add("agent", size, replied, size.entries);
    result.heartbeat_bytes = static_cast<double>(replied.bytes + sent.bytes) /
                             static_cast<double>(replied.targets + sent.targets);
    result.entry_beat_in = sent.in;
    result.entry_beat_out = sent.out / static_cast<double>(sent.targets);
    result.agent_beat_in = replied.in;
    result.agent_beat_out = replied.out / static_cast<double>(replied.targets);
  }
  const heartbeat sample{.sender = {.name = "upstream-599", .domain = "domain-4"}};
  constexpr int kCopies = 1000;
  result.codec_beat = LowestCpu(5,
                                [&] {
                                  for (int i = 0; i < kCopies; ++i) {
                                    (void)DecodeHeartbeat(EncodeHeartbeat(sample));
                                  }
                                }) /
                      kCopies;
  Publish(rows, options, "heartbeats");
}

}  // namespace berylbarrow::bench
