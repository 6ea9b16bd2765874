#ifndef BERYLBARROW_PROCESS_CLI_CONFIGURATION_CHECK_H_
#define BERYLBARROW_PROCESS_CLI_CONFIGURATION_CHECK_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "berylbarrow/version/routing/configuration_review.h"
#include "berylbarrow/version/routing/routing_view.h"

namespace berylbarrow {

/// The form in which a platform's operator writes a configuration.
class configuration_format {
 public:
  virtual ~configuration_format() = default;
  /// Whether the text is meant to be a configuration.
  virtual bool IsConfiguration(std::string_view text) const = 0;
  /// `PLACE: message` for each key that is missing, unknown, of a wrong type or out of range.
  virtual std::vector<std::string> FormErrors(std::string_view text) const = 0;
  /// Nothing, with the reason in `problem`, if gateways could not read the text.
  virtual std::optional<routing_content> Decode(std::string_view text,
                                                std::string& problem) const = 0;
  /// The place in the words of the document.
  virtual std::string PlaceText(const configuration_place& place) const = 0;
  /// Target of the GET that reads the version in force from the platform's store.
  virtual std::string StoreTarget() const = 0;
  /// The configuration in the body of the answer; nothing, with the reason in `problem`, if it
  /// holds none.
  virtual std::optional<std::string> ReadStoreAnswer(std::string_view body,
                                                     std::string& problem) const = 0;
};

struct configuration_check_options {
  std::string path;
  /// File with the version in force, or the store's address as IP:port; empty: not compared.
  std::string in_force;
};

/// Checks a configuration before it is sent. Writes a line for each finding to `err`, and what
/// differs from the version in force and a summary to `out`. Returns 0 if there are no findings,
/// 1 if there are, 2 if the file or the version in force cannot be read.
int RunConfigurationCheck(const configuration_check_options& options, std::string_view text,
                          const configuration_format& format, std::ostream& out, std::ostream& err);

/// The text of a file; nothing if it cannot be read or has more than 64 MiB.
std::optional<std::string> ReadConfigurationFile(const std::string& path);

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_CLI_CONFIGURATION_CHECK_H_
