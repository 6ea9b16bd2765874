#include "berylbarrow/process/cli/configuration_check.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <ostream>
#include <utility>

#include "berylbarrow/version/routing/configuration_changes.h"
#include "connection/http/http_get.h"
#include "process/runtime/scalar_format.h"

namespace berylbarrow {
namespace {

constexpr int kNoFindings = 0;
constexpr int kHasFindings = 1;
constexpr int kUnusable = 2;
constexpr unsigned kStatusOk = 200;
constexpr std::chrono::seconds kTimeout{5};
constexpr std::size_t kMaxBytes = 64U << 20U;

const char* KindText(review_kind kind) {
  switch (kind) {
    case review_kind::kError:
      return "error";
    case review_kind::kNeverMatches:
      return "never matches";
    case review_kind::kNoEffect:
      return "no effect";
    case review_kind::kContradiction:
      return "contradiction";
  }
  return "finding";
}

std::optional<std::string> ReadStore(const std::string& address, const configuration_format& format,
                                     std::string& problem) {
  boost::asio::io_context context;
  http_get_reply reply;
  const http_get request(context,
                         {.address = address,
                          .target = format.StoreTarget(),
                          .timeout = kTimeout,
                          .max_body_bytes = kMaxBytes},
                         [&](http_get_reply received) { reply = std::move(received); });
  context.run();
  if (!reply.error.empty()) {
    problem = reply.error;
    return std::nullopt;
  }
  if (reply.status != kStatusOk) {
    problem = "the store answered with status " + std::to_string(reply.status);
    return std::nullopt;
  }
  return format.ReadStoreAnswer(reply.body, problem);
}

/// The version in force from a file or from the store.
std::optional<routing_content> ReadInForce(const std::string& source,
                                           const configuration_format& format,
                                           std::string& problem) {
  problem = "cannot be read";
  const auto text =
      ReadAddress(source) ? ReadStore(source, format, problem) : ReadConfigurationFile(source);
  return text ? format.Decode(*text, problem) : std::nullopt;
}

void PrintChange(const configuration_change& change, const configuration_format& format,
                 std::ostream& out) {
  out << "  " << format.PlaceText(change.place) << ": ";
  if (change.before.empty() && change.place.field == configuration_field::kEntry) {
    out << "added\n";
  } else if (change.after.empty() && change.place.field == configuration_field::kEntry) {
    out << "removed\n";
  } else {
    out << change.before << " -> " << change.after << "\n";
  }
}

void PrintChanges(const routing_content& in_force, const routing_content& next,
                  const configuration_format& format, std::ostream& out) {
  const auto changes = CompareConfigurations(in_force, next);
  if (changes.empty()) {
    out << "equal to version " << in_force.version << ", which is in force\n";
    return;
  }
  out << "differs from version " << in_force.version << ", which is in force:\n";
  for (const configuration_change& each : changes) PrintChange(each, format, out);
}

}  // namespace

std::optional<std::string> ReadConfigurationFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad() || text.size() > kMaxBytes) return std::nullopt;
  return text;
}

int RunConfigurationCheck(const configuration_check_options& options, std::string_view text,
                          const configuration_format& format, std::ostream& out,
                          std::ostream& err) {
  const std::vector<std::string> form_errors = format.FormErrors(text);
  for (const std::string& each : form_errors) err << options.path << ": error: " << each << "\n";
  std::string problem;
  const auto content = format.Decode(text, problem);
  if (!content) {
    if (form_errors.empty()) err << options.path << ": error: " << problem << "\n";
    return kHasFindings;
  }
  std::size_t count = form_errors.size();
  for (const review_finding& each : ReviewConfiguration(*content)) {
    ++count;
    err << options.path << ": " << KindText(each.kind) << ": " << format.PlaceText(each.place)
        << ": " << each.message << "\n";
  }
  if (!options.in_force.empty()) {
    const auto in_force = ReadInForce(options.in_force, format, problem);
    if (!in_force) {
      err << options.in_force << ": " << problem << "\n";
      return kUnusable;
    }
    if (content->version <= in_force->version && *content != *in_force) {
      ++count;
      err << options.path
          << ": error: " << format.PlaceText({.field = configuration_field::kVersion}) << ": is "
          << content->version << "; gateways keep version " << in_force->version
          << " until a higher one is written\n";
    }
    PrintChanges(*in_force, *content, format, out);
  }
  out << options.path << ": version " << content->version << ", " << content->routes.size()
      << " routes, " << content->services.size() << " services, "
      << (content->accounts ? std::to_string(content->accounts->size()) : "no") << " accounts, "
      << count << " findings\n";
  return count == 0 ? kNoFindings : kHasFindings;
}

}  // namespace berylbarrow
