#ifndef BERYLBARROW_REVIEW_DEPLOYMENT_H_
#define BERYLBARROW_REVIEW_DEPLOYMENT_H_

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace berylbarrow::review {

/// What was sent, answered and run, with the seconds since the start of the case.
class record_file {
 public:
  explicit record_file(const std::filesystem::path& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

/// "127.0.0.1:PORT" with a port that is free for TCP and UDP.
std::string FreeAddress();

/// Waits until the condition holds; false if it does not within the limit.
bool Await(std::chrono::milliseconds limit, const std::function<bool()>& condition);

/// Status of the answer to a GET request on a new connection; 0 if there is none.
unsigned GetStatus(const std::string& address, const std::string& target);

/// Processes of the program, started with the commands of the deploy file and with settings from
/// its templates. The destructor ends all that are left.
class deployment {
 public:
  /// `root`: the repository, which is the current folder.
  deployment(std::filesystem::path folder, std::string store_address, record_file& record);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  /// All gateways must be added before the first process is started: the first is the seed.
  void AddGateway(const std::string& name, const std::string& domain);
  void AddCompanion(const std::string& name, const std::string& domain,
                    const std::string& app_address, const std::string& service);
  void Start(const std::string& name);
  void StartAll();
  /// Kills the processes at the same moment, and waits for their end.
  void Kill(const std::vector<std::string>& names);
  /// Names of processes that have ended by themselves.
  std::vector<std::string> EndedByThemselves();

  const std::string& CallersAddress(const std::string& gateway) const {
    return gateways_.at(gateway).callers;
  }
  const std::string& DirectoryAddress(const std::string& gateway) const {
    return gateways_.at(gateway).directory;
  }
  bool IsReady(const std::string& gateway) const;

 private:
  struct addresses {
    std::string callers, readiness, directory, peers;
  };
  struct process {
    std::string role;  // the argument of the program
    std::string template_path;
    std::map<std::string, std::string> fields;
    pid_t id = 0;  // 0: not running
  };

  std::filesystem::path folder_;
  std::string store_address_;
  record_file& record_;
  std::vector<std::string> seeds_;
  std::map<std::string, addresses> gateways_;
  std::map<std::string, process> processes_;
};

}  // namespace berylbarrow::review

#endif  // BERYLBARROW_REVIEW_DEPLOYMENT_H_
