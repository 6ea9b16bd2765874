#ifndef BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_STORE_H_
#define BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_STORE_H_

#include <memory>
#include <string>
#include <string_view>

#include "berylbarrow/process/runtime/finding.h"
#include "berylbarrow/version/configuration/configuration.h"

namespace berylbarrow {

/// Turns the text of a published document into a configuration.
class configuration_parser {
 public:
  virtual ~configuration_parser() = default;
  /// Returns the configuration, or every finding. `file` is used in the findings only.
  virtual checked<configuration> Parse(std::string_view text, std::string_view file) const = 0;
};

/// A revision and its document. Never modified once published.
struct configuration_version {
  revision number = 0;
  std::uint64_t digest = 0;  // XXH64 of text
  std::string text;
  configuration value;
};

enum class offer_result : std::uint8_t {
  kAccepted,  // now in force
  kKnown,     // the revision in force, with the same text
  kOlder,     // below the revision in force; ignored
  kConflict,  // the revision in force with another text; ignored and counted
  kInvalid,   // refused as a whole; see LastFindings
};

/// Keeps the highest valid revision a process has seen. The revision in force never falls.
class configuration_store {
 public:
  /// `parser` must outlive the store.
  explicit configuration_store(const configuration_parser& parser) : parser_(parser) {}

  /// Considers a document that the service or a peer published under `number`.
  offer_result Offer(revision number, const std::string& text);

  /// The version in force; null before the first document was accepted.
  std::shared_ptr<const configuration_version> Current() const { return current_; }
  revision Revision() const { return current_ ? current_->number : 0; }

  /// Findings of the last document that was refused, and its revision.
  const findings& LastFindings() const { return last_findings_; }
  revision LastRefused() const { return last_refused_; }

 private:
  const configuration_parser& parser_;
  std::shared_ptr<const configuration_version> current_;
  findings last_findings_;
  revision last_refused_ = 0;
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_CONFIGURATION_CONFIGURATION_STORE_H_
