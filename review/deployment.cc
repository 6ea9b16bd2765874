#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "../tests/support/loopback_stream.h"

namespace berylbarrow::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kProgram = "target/berylbarrow";

/// Replaces each placeholder {{NAME}} of the template.
std::string Render(const std::string& template_path,
                   const std::map<std::string, std::string>& fields) {
  std::ifstream file(template_path);
  std::stringstream text;
  text << file.rdbuf();
  std::string rendered = text.str();
  for (const auto& [name, value] : fields) {
    const std::string placeholder = "{{" + name + "}}";
    for (auto at = rendered.find(placeholder); at != std::string::npos;
         at = rendered.find(placeholder, at + value.size())) {
      rendered.replace(at, placeholder.size(), value);
    }
  }
  if (rendered.empty() || rendered.find("{{") != std::string::npos) {
    throw std::runtime_error("cannot render " + template_path);
  }
  return rendered;
}

bool IsFree(int type, std::uint16_t port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free =
      bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(descriptor);
  return is_free;
}

}  // namespace

record_file::record_file(const std::filesystem::path& path) : file_(path) {}

void record_file::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  const std::chrono::duration<double> since = steady_clock::now() - start_;
  std::array<char, 16> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", since.count());
  file_ << time.data() << text << std::endl;
}

std::string FreeAddress() {
  // Below the range from which the system gives ports to outgoing connections.
  static std::uint16_t next = static_cast<std::uint16_t>(11000 + std::random_device()() % 18000);
  for (int tries = 0; tries < 5000; ++tries) {
    next = next >= 30000 ? 11000 : static_cast<std::uint16_t>(next + 1);
    if (IsFree(SOCK_STREAM, next) && IsFree(SOCK_DGRAM, next)) {
      return "127.0.0.1:" + std::to_string(next);
    }
  }
  throw std::runtime_error("no free port");
}

bool Await(milliseconds limit, const std::function<bool()>& condition) {
  const auto end = steady_clock::now() + limit;
  while (!condition()) {
    if (steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

unsigned GetStatus(const std::string& address, const std::string& target) {
  const auto stream = loopback_stream::Connect(address);
  if (!stream || !stream->Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")) return 0;
  const auto answer = stream->ReadAnswer(std::chrono::seconds(1));
  return answer ? answer->head.status : 0;
}

deployment::deployment(std::filesystem::path folder, std::string store_address, record_file& record)
    : folder_(std::move(folder)), store_address_(std::move(store_address)), record_(record) {}

deployment::~deployment() {
  for (auto& [name, each] : processes_) {
    if (each.id > 0) kill(each.id, SIGKILL);
  }
  for (auto& [name, each] : processes_) {
    if (each.id > 0) waitpid(each.id, nullptr, 0);
  }
}

void deployment::AddGateway(const std::string& name, const std::string& domain) {
  const addresses own{.callers = FreeAddress(),
                      .readiness = FreeAddress(),
                      .directory = FreeAddress(),
                      .peers = FreeAddress()};
  const std::string metrics = FreeAddress();
  if (seeds_.size() < 3) seeds_.push_back(own.peers);
  gateways_[name] = own;
  processes_[name] = {.role = "gateway",
                      .template_path = "deploy/gateway.yaml.tmpl",
                      .fields = {{"nodeName", name},
                                 {"zone", domain},
                                 {"listen.front", own.callers},
                                 {"listen.readiness", own.readiness},
                                 {"listen.directory", own.directory},
                                 {"listen.control", own.peers},
                                 {"ip", metrics.substr(0, metrics.find(':'))},
                                 {"portRange.0", metrics.substr(metrics.find(':') + 1)},
                                 {"bounds.graceS", "8"},
                                 {"bounds.revokeMs", "5000"},
                                 {"bounds.strictRevoke", "true"},
                                 {"bounds.drainMs", "2000"},
                                 {"bounds.retryWindowS", "10"},
                                 {"bounds.retryBudgetRatio", "0.2"},
                                 {"bounds.budgetSlack", "94"},
                                 {"limits.memoryMb", "260"},
                                 {"limits.maxFds", "4100"}}};
}

void deployment::AddCompanion(const std::string& name, const std::string& domain,
                              const std::string& app_address, const std::string& service) {
  const std::string peers = FreeAddress();
  const std::string metrics = FreeAddress();
  processes_[name] = {.role = "companion",
                      .template_path = "deploy/companion.yaml.tmpl",
                      .fields = {{"nodeName", name},
                                 {"zone", domain},
                                 {"ip", "127.0.0.1"},
                                 {"portRange.0", peers.substr(peers.find(':') + 1)},
                                 {"portRange.1", metrics.substr(metrics.find(':') + 1)},
                                 {"app", app_address},
                                 {"service", service}}};
}

void deployment::Start(const std::string& name) {
  process& starting = processes_.at(name);
  std::string seeds;
  for (const std::string& seed : seeds_) seeds += (seeds.empty() ? "" : ",") + seed;
  std::map<std::string, std::string> fields = starting.fields;
  fields["seeds"] = seeds;
  fields["platform.address"] = store_address_;
  const std::string settings = folder_ / (name + ".yaml");
  std::ofstream(settings) << Render(starting.template_path, fields);
  const std::string log = folder_ / (name + ".log");
  const std::string variable = "BERYLBARROW_SETTINGS=" + settings;
  const std::array<char*, 2> environment{const_cast<char*>(variable.c_str()), nullptr};
  const std::array<char*, 3> arguments{const_cast<char*>(kProgram),
                                       const_cast<char*>(starting.role.c_str()), nullptr};
  const pid_t id = fork();
  if (id < 0) throw std::runtime_error("cannot start " + name);
  if (id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(kProgram, arguments.data(), environment.data());
    _exit(127);
  }
  starting.id = id;
  record_.Line("started " + name);
}

void deployment::StartAll() {
  for (const auto& [name, each] : processes_) Start(name);
}

void deployment::Kill(const std::vector<std::string>& names) {
  for (const std::string& name : names) kill(processes_.at(name).id, SIGKILL);
  for (const std::string& name : names) {
    waitpid(std::exchange(processes_.at(name).id, 0), nullptr, 0);
    record_.Line("killed " + name);
  }
}

std::vector<std::string> deployment::EndedByThemselves() {
  std::vector<std::string> ended;
  for (auto& [name, each] : processes_) {
    if (each.id <= 0 || waitpid(each.id, nullptr, WNOHANG) != each.id) continue;
    each.id = 0;
    ended.push_back(name);
  }
  return ended;
}

bool deployment::IsReady(const std::string& gateway) const {
  return GetStatus(gateways_.at(gateway).readiness, "/readyz") == 200;
}

}  // namespace berylbarrow::review
