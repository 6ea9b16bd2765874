#include "support/process_fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <sstream>
#include <stdexcept>

// POSIX leaves its declaration to the program.
extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace berylbarrow {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

const std::vector<std::string> kDomains{"heredia", "alajuela"};
const std::vector<std::string> kServices{"draft", "payments"};

tcp::endpoint Parse(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

std::string ReadAll(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return std::move(text).str();
}

std::string NameOf(std::string domain, const std::string& service) {
  return domain.append("-").append(service);
}

}  // namespace

http_answer Exchange(const std::string& address, const std::string& method,
                     const std::string& target, const std::string& body,
                     const std::vector<std::pair<std::string, std::string>>& headers,
                     std::chrono::milliseconds limit) {
  asio::io_context context;
  boost::beast::tcp_stream stream(context);
  stream.expires_after(limit);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, address);
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : headers) request.set(name, value);
  request.body() = body;
  request.prepare_payload();
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  boost::beast::flat_buffer buffer;
  http_answer answer;
  stream.async_connect(Parse(address), [&](error_code connect_error) {
    if (connect_error) return;
    // A server may answer before it has read the whole request, so a failed write is no verdict.
    http::async_write(stream, request, [](error_code /*error*/, std::size_t /*bytes*/) {});
    http::async_read(stream, buffer, parser, [&](error_code read_error, std::size_t /*bytes*/) {
      answer.complete = !read_error;
      stream.close();
    });
  });
  context.run();
  answer.status = parser.is_header_done() ? parser.get().result_int() : 0;
  answer.body = parser.get().body();
  return answer;
}

bool Eventually(const std::function<bool()>& condition, std::chrono::milliseconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::string DraftBody(const std::string& prompt, int tokens) {
  return nlohmann::json{
      {"model", "draft"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", true}}
      .dump();
}

process_fleet::process_fleet(const char* build) {
  if (build == nullptr) throw std::runtime_error("BERYLBARROW_BUILD is not set");
  build_ = build;
  std::string pattern = std::filesystem::temp_directory_path() / "berylbarrow-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot make " + pattern);
  folder_ = pattern;
}

// Delegates, so that the destructor ends the processes if the rest of the constructor throws.
process_fleet::process_fleet(const process_fleet_options& options)
    : process_fleet(std::getenv("BERYLBARROW_BUILD")) {  // NOLINT(concurrency-mt-unsafe)
  platform_ = FreeAddress();
  for (const std::string entry : {"entry-1", "entry-2"}) {
    callers_[entry] = FreeAddress();
    peers_[entry] = FreeAddress();
  }
  for (const std::string& domain : kDomains) {
    for (const std::string& service : kServices) {
      peers_[NameOf(domain, service)] = FreeAddress();
      const bool is_given = service == "payments" && !options.payments_upstream.empty();
      upstreams_[NameOf(domain, service)] = is_given ? options.payments_upstream : FreeAddress();
    }
  }
  announced_["alajuela-draft"] = FreeAddress();
  relay_ = std::make_unique<tcp_relay>(announced_["alajuela-draft"], peers_["alajuela-draft"]);
  std::ofstream(folder_ / "document.yaml")
      << Document(options.out.empty() ? std::set<std::string>{} : std::set{options.out});
  Add("platform", {build_ / "berylbarrow-platform", "--listen", platform_, "--config",
                   folder_ / "document.yaml"});
  for (const std::string& domain : kDomains) {
    for (const std::string& service : kServices) AddAgent(domain, service, options);
  }
  AddEntry("entry-1", kDomains.front(), options.entry_settings);
  AddEntry("entry-2", kDomains.back(), options.entry_settings);
  if (!Eventually([this] { return IsServing(); })) {
    throw std::runtime_error("the fleet does not serve; entry-1:\n" +
                             ReadAll(folder_ / "entry-1.log"));
  }
}

process_fleet::~process_fleet() {
  for (auto& [name, process] : children_) {
    if (!Collect(process, false)) kill(process.pid, SIGKILL);
    Collect(process, true);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string process_fleet::FreeAddress() {
  // Below the range from which the kernel takes ports of outgoing connections, and beside those of
  // the examples. Fleets of other processes start elsewhere: a free port is taken only when the
  // process that gets it has started.
  constexpr unsigned kFirstPort = 26000;
  constexpr unsigned kPorts = 6000;
  constexpr unsigned kPortsOfFleet = 40;
  static unsigned next = static_cast<unsigned>(getpid()) * kPortsOfFleet;
  asio::io_context context;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    error_code tcp_error;
    error_code udp_error;
    tcp::acceptor stream(context, tcp::v4());
    stream.set_option(tcp::acceptor::reuse_address(true));
    stream.bind({asio::ip::address_v4::loopback(), port}, tcp_error);
    asio::ip::udp::socket datagram(context, asio::ip::udp::v4());
    datagram.bind({asio::ip::address_v4::loopback(), port}, udp_error);
    if (!tcp_error && !udp_error && used_ports_.insert(port).second) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

std::string process_fleet::Document(const std::set<std::string>& out) const {
  std::ostringstream text;
  text << "domains:\n";
  for (const std::string& domain : kDomains) {
    text << "  - {name: " << domain
         << ", region: central-valley, state: " << (out.contains(domain) ? "out" : "in") << "}\n";
  }
  text << "entries:\n";
  for (const auto& [entry, address] : callers_) {
    text << "  - {name: " << entry << ", domain: " << kDomains.at(entry == "entry-1" ? 0 : 1)
         << ", caller_address: " << address << ", peer_address: " << peers_.at(entry) << "}\n";
  }
  text << "services:\n";
  for (const std::string& service : kServices) {
    text << "  - name: " << service << "\n";
    text << (service == "draft"
                 ? "    kind: model\n    model: draft\n    resumes_streams: true\n    operations:\n"
                   "      - {method: POST, path: /v1/completions, idempotent: true}\n"
                 : "    kind: plain\n    operations:\n"
                   "      - {method: POST, path: /payments, idempotent: false}\n"
                   "      - {method: GET, path: /status, idempotent: true}\n");
    text << "    deadline: 30s\n    cold_start: {limit: 4, step_completions: 2}\n"
            "    limits: {in_flight: 16, queue: 64}\n    upstreams:\n";
    for (const std::string& domain : kDomains) {
      const std::string name = NameOf(domain, service);
      const auto announced = announced_.find(name);
      text << "      - {name: " << name << ", domain: " << domain << ", agent_address: "
           << (announced == announced_.end() ? peers_.at(name) : announced->second) << "}\n";
    }
  }
  text << "accounts:\n  - {name: counter, weight: 1}\n"
          "address_lifetime: 1s\nisolation_timeout: 4s\n"
          "grant: {epoch: 60s, epochs_kept: 3}\nsubset_size: 24\n";
  return std::move(text).str();
}

std::string process_fleet::WriteSettings(const std::string& name, const std::string& domain,
                                         const std::string& lines) const {
  const auto path = folder_ / (name + ".yaml");
  std::ofstream(path) << "process: {name: " << name << ", domain: " << domain << "}\n"
                      << "listen:\n  peers: " << peers_.at(name)
                      << "\n  operators: " << operators_.at(name) << "\n"
                      << lines << "\nplatform: {configuration_service: " << platform_
                      << ", instance_list: " << platform_ << "}\nseeds: [" << peers_.at("entry-1")
                      << ", " << peers_.at("entry-2") << "]\n";
  return path;
}

void process_fleet::AddAgent(const std::string& domain, const std::string& service,
                             const process_fleet_options& options) {
  const std::string name = NameOf(domain, service);
  operators_[name] = FreeAddress();
  const bool is_served = upstreams_.at(name) == options.payments_upstream;
  if (!is_served) {
    Add(name + "-upstream",
        {build_ / "berylbarrow-upstream", "--listen", upstreams_.at(name), "--kind",
         service == "draft" ? "model" : "plain", "--service-ms", std::to_string(options.service_ms),
         "--token-ms", std::to_string(options.token_ms)});
  }
  Add(name, {build_ / "berylbarrow", "agent",
             WriteSettings(
                 name, domain,
                 "upstream: {address: " + upstreams_.at(name) + ", service: " + service + "}")});
}

void process_fleet::AddEntry(const std::string& name, const std::string& domain,
                             const std::string& further_settings) {
  operators_[name] = FreeAddress();
  Add(name,
      {build_ / "berylbarrow", "entry",
       WriteSettings(name, domain, "  callers: " + callers_.at(name) + "\n" + further_settings)});
}

void process_fleet::Add(const std::string& name, std::vector<std::string> command) {
  children_[name].command = std::move(command);
  Start(name);
}

void process_fleet::Start(const std::string& name) {
  child& process = children_.at(name);
  std::vector<char*> arguments;
  for (std::string& word : process.command) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const std::string log = folder_ / (name + ".log");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&process.pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    process.pid = -1;
    throw std::runtime_error("cannot start " + process.command.front());
  }
}

/// Returns true if the process has ended.
bool process_fleet::Collect(child& process, bool wait) const {
  if (process.pid < 0) return true;
  int status = 0;
  if (waitpid(process.pid, &status, wait ? 0 : WNOHANG) != process.pid) return false;
  constexpr int kSignalBase = 128;
  process.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  process.pid = -1;
  return true;
}

void process_fleet::Signal(const std::string& name, int signal) {
  const child& process = children_.at(name);
  if (process.pid > 0) kill(process.pid, signal);
}

int process_fleet::WaitExit(const std::string& name) {
  child& process = children_.at(name);
  return Eventually([&] { return Collect(process, false); }) ? process.exit_code : -1;
}

void process_fleet::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  WaitExit(name);
}

bool process_fleet::IsRunning(const std::string& name) {
  return !Collect(children_.at(name), false);
}

std::size_t process_fleet::PeakMemoryBytes(const std::string& name) const {
  std::ifstream status("/proc/" + std::to_string(children_.at(name).pid) + "/status");
  for (std::string key; status >> key;) {
    std::size_t kibibytes = 0;
    if (key == "VmHWM:" && status >> kibibytes) return kibibytes << 10U;
  }
  return 0;
}

std::size_t process_fleet::OpenDescriptors(const std::string& name) const {
  const std::filesystem::directory_iterator open("/proc/" + std::to_string(children_.at(name).pid) +
                                                 "/fd");
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

void process_fleet::Publish(const std::string& document) {
  if (Exchange(platform_, "PUT", "/admin/config", document).status != 200) {
    throw std::runtime_error("cannot publish");
  }
}

void process_fleet::SetPlatformFault(const std::string& mode) {
  Exchange(platform_, "POST", "/admin/fault?mode=" + mode);
}

void process_fleet::StartLoad(const std::vector<std::string>& options) {
  std::filesystem::remove(folder_ / "load.log");
  std::vector<std::string> command{
      build_ / "berylbarrow-load",
      "--entries",
      callers_.at("entry-1") + "," + callers_.at("entry-2"),
      "--draft-service",
      "draft",
      "--model",
      "draft",
      "--lookup-path",
      "/status",
      "--payment-path",
      "/payments",
      "--accounts",
      "counter",
      "--ledgers",
      upstreams_.at("heredia-payments") + "," + upstreams_.at("alajuela-payments")};
  command.insert(command.end(), options.begin(), options.end());
  Add("load", std::move(command));
}

int process_fleet::FinishLoad(std::string* output) {
  const int code = WaitExit("load");
  if (output != nullptr) *output = ReadAll(folder_ / "load.log");
  return code;
}

int process_fleet::Command(std::vector<std::string> arguments, std::string* output) {
  std::filesystem::remove(folder_ / "command.log");
  arguments.insert(arguments.begin(), build_ / "berylbarrow");
  Add("command", std::move(arguments));
  const int code = WaitExit("command");
  *output = ReadAll(folder_ / "command.log");
  return code;
}

int process_fleet::Check(const std::string& document, std::string* output) {
  const std::string path = folder_ / "checked.yaml";
  std::ofstream(path) << document;
  return Command({"check", path}, output);
}

std::vector<std::string> process_fleet::Processes() const {
  std::vector<std::string> names;
  for (const auto& [name, address] : operators_) names.push_back(name);
  return names;
}

nlohmann::json process_fleet::State(const std::string& process) const {
  const http_answer answer =
      Exchange(operators_.at(process), "GET", "/state", "", {}, std::chrono::seconds(2));
  return nlohmann::json::parse(answer.body, nullptr, false);
}

std::uint64_t process_fleet::Revision(const std::string& process) const {
  const nlohmann::json state = State(process);
  return state.is_object()
             ? state.at("fleet").at("configuration").at("revision").get<std::uint64_t>()
             : 0;
}

double process_fleet::Metric(const std::string& process, const std::string& name) const {
  std::istringstream text(
      Exchange(operators_.at(process), "GET", "/metrics", "", {}, std::chrono::seconds(2)).body);
  for (std::string line; std::getline(text, line);) {
    if (line.rfind(name + " ", 0) == 0) return std::stod(line.substr(name.size() + 1));
  }
  return 0;
}

std::size_t process_fleet::Runs(const std::string& agent) const {
  const auto ledger = nlohmann::json::parse(Exchange(upstreams_.at(agent), "GET", "/ledger").body);
  return ledger.at("operations").size() + ledger.at("lookups").get<std::size_t>();
}

std::vector<std::string> process_fleet::Operations(const std::string& agent) const {
  std::vector<std::string> bodies;
  const auto ledger = nlohmann::json::parse(Exchange(upstreams_.at(agent), "GET", "/ledger").body);
  for (const auto& operation : ledger.at("operations")) bodies.push_back(operation.at("body"));
  return bodies;
}

std::string process_fleet::Grant(const std::string& entry) const {
  const auto answer =
      Exchange(callers_.at(entry), "GET", "/v1/address?service=payments&account=counter", "", {},
               std::chrono::seconds(2));
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return body.is_object() ? body.value("grant", "") : "";
}

http_answer process_fleet::Draft(const std::string& entry, const std::string& body) const {
  return Exchange(callers_.at(entry), "POST", "/v1/completions", body,
                  {{"Berylbarrow-Account", "counter"}, {"Content-Type", "application/json"}});
}

/// Every entry gives grants and reaches a model upstream.
bool process_fleet::IsServing() const {
  return std::all_of(callers_.begin(), callers_.end(), [this](const auto& entry) {
    return !Grant(entry.first).empty() && Draft(entry.first, DraftBody("probe", 1)).status == 200;
  });
}

}  // namespace berylbarrow
