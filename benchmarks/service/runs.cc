#include "runs.h"

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace berylbarrow::bench {
namespace {

std::string Read(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

deployment_case MakeCase(const run_options& options, const std::string& name,
                         const std::string& domain, duration client_latency) {
  deployment_case made{.name = name,
                       .domain = domain,
                       .document = Read(options.examples + "/" + name + "/document.yaml"),
                       .document_without = {},
                       .client_latency = client_latency};
  made.document_without = made.document;
  const std::size_t place = made.document.find("state: in", made.document.find("name: " + domain));
  if (place == std::string::npos) {
    throw std::runtime_error("the document of " + name + " has no state of " + domain);
  }
  made.document_without.replace(place, 9, "state: out");
  return made;
}

}  // namespace

std::vector<deployment_case> Cases(const run_options& options) {
  std::vector<deployment_case> cases{
      MakeCase(options, "solano", "alajuela", std::chrono::milliseconds(3))};
  if (!options.is_smoke) {
    cases.push_back(MakeCase(options, "zebra", "zagreb-b", std::chrono::milliseconds(1)));
  }
  return cases;
}

void WarmUp(schedule& time, callers& source, time_point end) {
  const time_point full = time.Now() + (end - time.Now()) * 3 / 4;
  source.Run(full, 0.5);
  time.RunUntil(full);
  source.Run(end);
  time.RunUntil(end);
}

void Publish(const table& rows, const run_options& options, const std::string& name) {
  rows.Print();
  if (!options.csv.empty()) {
    rows.WriteCsv(options.csv + "/" + name + ".csv");
  }
}

}  // namespace berylbarrow::bench
