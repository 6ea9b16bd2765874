#ifndef BERYLBARROW_TESTS_SUPPORT_PROCESS_FLEET_H_
#define BERYLBARROW_TESTS_SUPPORT_PROCESS_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/tcp_relay.h"

namespace berylbarrow {

struct http_answer {
  unsigned status = 0;    // 0: no complete head
  bool complete = false;  // the body ended as its head promised
  std::string body;
};

/// One HTTP exchange on a connection of its own. `limit` covers all of it.
http_answer Exchange(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body = "",
                     const std::vector<std::pair<std::string, std::string>>& headers = {},
                     std::chrono::milliseconds limit = std::chrono::seconds(45));

/// Waits until the condition holds; false if it does not within the limit.
bool Eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(45));

struct process_fleet_options {
  double service_ms = 5;               // of the plain upstreams
  double token_ms = 10;                // of the model upstreams
  std::string out;                     // failure domain that revision 1 takes out of service
  std::string entry_settings = {};     // further lines of the settings of entries
  std::string payments_upstream = {};  // of both agents, served by the test; empty: one for each
};

/// A deployment of real processes on free loopback ports: the platform stand-in, entry-1 and
/// entry-2, and in each of the failure domains heredia and alajuela an agent DOMAIN-draft and an
/// agent DOMAIN-payments, each with an upstream stand-in AGENT-upstream. Entries reach
/// alajuela-draft through a relay. The destructor ends every process that is left.
class process_fleet {
 public:
  explicit process_fleet(const process_fleet_options& options = {});
  ~process_fleet();
  process_fleet(const process_fleet&) = delete;
  process_fleet& operator=(const process_fleet&) = delete;

  /// Starts a process of the deployment again, with the same settings.
  void Start(const std::string& name);
  void Signal(const std::string& name, int signal);
  /// Waits for the end of the process: its exit code, 128 + signal, or -1 if it does not end.
  int WaitExit(const std::string& name);
  void Kill(const std::string& name);
  /// Whether the process has not ended.
  bool IsRunning(const std::string& name);
  /// The largest amount of memory that the process has used so far; 0 if it has ended.
  std::size_t PeakMemoryBytes(const std::string& name) const;
  std::size_t OpenDescriptors(const std::string& name) const;

  /// The document with these failure domains out of service.
  std::string Document(const std::set<std::string>& out = {}) const;
  /// Publishes a document as the next revision.
  void Publish(const std::string& document);
  void SetPlatformFault(const std::string& mode);

  /// Starts berylbarrow-load against both entries; its result is read by FinishLoad.
  void StartLoad(const std::vector<std::string>& options);
  /// Waits for the load: its exit code. `output` is its table.
  int FinishLoad(std::string* output = nullptr);
  /// Runs the program `berylbarrow` with these arguments: its exit code and output.
  int Command(std::vector<std::string> arguments, std::string* output);
  /// Runs `berylbarrow check` on a document.
  int Check(const std::string& document, std::string* output);

  const std::string& Callers(const std::string& entry) const { return callers_.at(entry); }
  const std::string& Peers(const std::string& process) const { return peers_.at(process); }
  const std::string& Operators(const std::string& process) const { return operators_.at(process); }
  /// The processes with an operator endpoint: entries and agents.
  std::vector<std::string> Processes() const;
  tcp_relay& Relay() { return *relay_; }

  nlohmann::json State(const std::string& process) const;
  std::uint64_t Revision(const std::string& process) const;
  /// Value of a metric; 0 if it is missing or the process does not answer.
  double Metric(const std::string& process, const std::string& name) const;
  /// Operations and lookups that the plain upstream of the agent has run.
  std::size_t Runs(const std::string& agent) const;
  /// Bodies of the operations that the plain upstream of the agent has run.
  std::vector<std::string> Operations(const std::string& agent) const;
  /// The grant of a new key for the service payments, through this entry.
  std::string Grant(const std::string& entry) const;
  /// A completion request through this entry.
  http_answer Draft(const std::string& entry, const std::string& body) const;

 protected:
  /// Makes the folder of the deployment; starts nothing.
  explicit process_fleet(const char* build);

  std::string FreeAddress();
  void Add(const std::string& name, std::vector<std::string> command);
  std::string WriteSettings(const std::string& name, const std::string& domain,
                            const std::string& lines) const;

  std::filesystem::path build_;
  std::filesystem::path folder_;
  std::string platform_;
  std::map<std::string, std::string> callers_;
  std::map<std::string, std::string> peers_;
  std::map<std::string, std::string> operators_;

 private:
  struct child {
    std::vector<std::string> command;
    pid_t pid = -1;  // -1: ended and collected
    int exit_code = -1;
  };

  void AddAgent(const std::string& domain, const std::string& service,
                const process_fleet_options& options);
  void AddEntry(const std::string& name, const std::string& domain,
                const std::string& further_settings);
  bool Collect(child& process, bool wait) const;
  bool IsServing() const;

  std::set<std::uint16_t> used_ports_;
  std::map<std::string, std::string> announced_;  // the address in the document, if not peers_
  std::map<std::string, std::string> upstreams_;
  std::map<std::string, child> children_;
  std::unique_ptr<tcp_relay> relay_;
};

/// A streamed completion request for `tokens` tokens; the answer depends on `prompt`.
std::string DraftBody(const std::string& prompt, int tokens);

}  // namespace berylbarrow

#endif  // BERYLBARROW_TESTS_SUPPORT_PROCESS_FLEET_H_
