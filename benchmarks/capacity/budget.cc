#include "berylbarrow/connection/wire/codec.h"
#include "measures.h"

namespace berylbarrow::bench {
namespace {

// The size to design for.
constexpr double kEntries = 340;
constexpr double kUpstreams = 600;
constexpr double kDomains = 5;
constexpr double kRequests = 3200;  // per second
constexpr double kTokens = 820000;  // per second
constexpr double kChangesPerDay = 260;
constexpr double kRestartsPerDay = 155;
constexpr double kSecondsPerDay = 86400;
constexpr double kServiceSeconds = 10;  // a request is in flight for this time
constexpr double kBodyBytes = 2000;

// Of the mechanisms.
constexpr double kBeatsPerSecond = 2;
constexpr double kEntryPeers = 4;  // other entries that get an entry's heartbeats
// With entries_per_service 36 and subset_size 6; checked by process.entry.service_choice_test.
constexpr double kEntryLinks = 17.8;
constexpr double kAgentLinks = 10.1;
constexpr double kPingsPerSecond = 0.5;  // exchanges on an idle connection; each serves both sides
constexpr double kTcpHeaderBytes = 40;   // IPv4 and TCP
constexpr double kWatchersPerDomain = 2;
constexpr double kWatchSeconds = 20;
constexpr double kPollSeconds = 30;
constexpr double kInstanceSeconds = 2;
constexpr double kInstanceBytes = 88;  // one record of the instance list
// An instance that is restarted leaves the list and comes back.
constexpr double kInstanceChangesPerDay = 2 * kRestartsPerDay;
constexpr double kHttpBytes = 350;  // headers of a request and its answer
constexpr double kMaxExecutions = 4096;

constexpr double kMega = 1e6;
constexpr double kKilo = 1e3;
constexpr double kPercentOfMicroseconds = 1e-4;  // us per second to % of a core

struct cost {
  double cpu = 0;     // us per second
  double memory = 0;  // bytes
  double wire = 0;    // bytes per second, sent and received
};

class budget {
 public:
  budget(table& rows, std::string role) : rows_(rows), role_(std::move(role)) {}
  void Add(const std::string& item, const std::string& count, const cost& value) {
    total_.cpu += value.cpu;
    total_.memory += value.memory;
    total_.wire += value.wire;
    Row(item, count, value);
  }
  void Total() { Row("**control, sum**", "limit 2 %, 32 MB, 9 KB/s", total_); }
  void Apart(const std::string& item, const std::string& count, const cost& value) {
    Row(item, count, value);
  }

 private:
  void Row(const std::string& item, const std::string& count, const cost& value) {
    rows_.Add({role_, item, count, Fixed(value.cpu * kPercentOfMicroseconds, 3),
               Fixed(value.memory / kMega, 2), Fixed(value.wire / kKilo, 2)});
  }
  table& rows_;
  std::string role_;
  cost total_;
};

std::string Text(double value) { return Fixed(value, 0); }

double PingBytes() {
  return static_cast<double>(EncodeFrame(ping{}).size() + EncodeFrame(pong{}).size()) +
         2 * kTcpHeaderBytes;
}

void AddPlatform(budget& role, const slopes& s, double apply) {
  const double changes = kChangesPerDay / kSecondsPerDay;
  role.Add("document in force", Text(kChangesPerDay) + " changes a day",
           {.cpu = changes * (s.parse + apply), .wire = changes * s.document_bytes});
  role.Add("poll of the configuration service", "every 30 s", {.wire = kHttpBytes / kPollSeconds});
  role.Add("instance list",
           "read every 2 s; " + Text(kEntries + kUpstreams) + " records sent at " +
               Text(kInstanceChangesPerDay) + " changes a day",
           {.memory = (kEntries + kUpstreams) * 200,
            .wire = kHttpBytes / kInstanceSeconds + (kEntries + kUpstreams) * kInstanceBytes *
                                                        kInstanceChangesPerDay / kSecondsPerDay});
}

void AddEntry(table& rows, const slopes& s) {
  budget role(rows, "entry");
  const double peers = kEntryLinks;
  role.Add("core with the document", "", {.memory = s.core_memory_entry});
  role.Add("heartbeats received", Fixed(peers + kEntryPeers, 1) + " peers",
           {.cpu = kBeatsPerSecond * (peers + kEntryPeers) * (s.entry_beat_in + s.codec_beat / 2),
            .memory = s.peer_memory * peers,
            .wire = kBeatsPerSecond * (peers + kEntryPeers) * s.heartbeat_bytes});
  role.Add("heartbeats sent", Fixed(peers + kEntryPeers, 1) + " peers",
           {.cpu = kBeatsPerSecond * (peers + kEntryPeers) * (s.entry_beat_out + s.codec_beat / 2),
            .wire = kBeatsPerSecond * (peers + kEntryPeers) * s.heartbeat_bytes});
  role.Add("pings", Fixed(peers, 1) + " idle connections",
           {.wire = kPingsPerSecond * peers * PingBytes()});
  AddPlatform(role, s, s.apply_entry);
  role.Total();
  const double requests = kRequests / kEntries;
  const double tokens = kTokens / kEntries;
  role.Apart("requests (not control)",
             Fixed(requests, 1) + " requests/s, " + Text(tokens) + " tokens/s",
             {.cpu = requests * (s.entry_request + s.codec_request / 2) +
                     tokens * (s.entry_token + s.codec_token / 2),
              .memory = requests * kServiceSeconds * (s.request_memory + kBodyBytes)});
}

void AddAgent(table& rows, const slopes& s) {
  budget role(rows, "agent");
  role.Add("core with the document", "", {.memory = s.core_memory_agent});
  role.Add("heartbeats received", Fixed(kAgentLinks, 1) + " entries",
           {.cpu = kBeatsPerSecond * kAgentLinks * (s.agent_beat_in + s.codec_beat / 2),
            .wire = kBeatsPerSecond * kAgentLinks * s.heartbeat_bytes});
  role.Add("heartbeats sent", Fixed(kAgentLinks, 1) + " entries",
           {.cpu = kBeatsPerSecond * kAgentLinks * (s.agent_beat_out + s.codec_beat / 2),
            .wire = kBeatsPerSecond * kAgentLinks * s.heartbeat_bytes});
  role.Add("pings", Fixed(kAgentLinks, 1) + " idle connections",
           {.wire = kPingsPerSecond * kAgentLinks * PingBytes()});
  AddPlatform(role, s, s.apply_agent);
  role.Total();
  const double requests = kRequests / kUpstreams;
  const double tokens = kTokens / kUpstreams;
  role.Apart("requests (not control)",
             Fixed(requests, 1) + " requests/s, " + Text(tokens) + " tokens/s",
             {.cpu = requests * (s.agent_request + s.codec_request / 2) +
                     tokens * (s.agent_token + s.codec_token / 2)});
  role.Apart("stored executions (not control), full table", Text(kMaxExecutions),
             {.memory = kMaxExecutions * s.execution_memory});
}

void AddCoordinator(table& rows, const slopes& s) {
  budget role(rows, "rank group coordinator (added to its agent)");
  constexpr double kChangeSeconds = 60;  // one map change a minute
  role.Add("map changes of 128 ranks and 128 experts",
           Text(s.coordinator_messages) + " messages a change, one a minute",
           {.cpu = s.coordinator_round / kChangeSeconds,
            .memory = s.coordinator_memory,
            .wire = s.coordinator_wire / kChangeSeconds});
  role.Total();
}

void PrintReads(const measure_options& options) {
  table rows("Reads per second of the configuration service (limit 2,000)",
             {"reader", "count", "reads/s"});
  const double processes = kEntries + kUpstreams;
  const double watchers = kDomains * kWatchersPerDomain;
  rows.Add({"waiting watches", Text(watchers) + " watchers, each read held 20 s",
            Fixed(watchers / kWatchSeconds, 2)});
  rows.Add({"waiting watches, counted while they wait", Text(watchers), Fixed(watchers, 0)});
  rows.Add({"polls", Text(processes - watchers) + " processes every 30 s",
            Fixed((processes - watchers) / kPollSeconds, 2)});
  rows.Add(
      {"starts", Text(kRestartsPerDay) + " a day", Fixed(kRestartsPerDay / kSecondsPerDay, 4)});
  rows.Add({"all processes start in one second", Text(processes), Fixed(processes, 0)});
  rows.Add({"all processes refresh after a pause, every 250 ms", Text(processes),
            Fixed(processes * 4, 0)});
  rows.Add({"for comparison: instance list", Text(processes) + " processes every 2 s",
            Fixed(processes / kInstanceSeconds, 0)});
  Publish(rows, options, "reads");
}

}  // namespace

void PrintBudget(const measure_options& options, const slopes& result) {
  table rows("Roles at the design size, from the slopes",
             {"role", "item", "count", "CPU %", "MB", "KB/s"});
  AddEntry(rows, result);
  AddAgent(rows, result);
  AddCoordinator(rows, result);
  Publish(rows, options, "budget");
  PrintReads(options);
}

}  // namespace berylbarrow::bench
