#ifndef TESTS_SUPPORT_FLEET_DOCUMENT_H_
#define TESTS_SUPPORT_FLEET_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/version/configuration/document_parser.h"

namespace berylbarrow {

/// A process of the fleet and where it runs.
struct fleet_place {
  std::string name;
  std::string domain;
  std::string service;  // of an agent; empty for entries
  std::string address;
  std::string caller_address;
};

/// Three entries, and three agents each of the services "drafting" and "payments", in the failure
/// domains "a" and "b".
const std::vector<fleet_place>& FleetPlaces();

constexpr std::uint32_t kDraftColdLimit = 2;
constexpr std::uint32_t kDraftStep = 2;
constexpr std::uint32_t kDraftInFlight = 5;
constexpr std::uint32_t kPaymentColdLimit = 1;
constexpr std::uint32_t kPaymentStep = 2;
constexpr std::uint32_t kPaymentInFlight = 3;

/// What operators want.
struct fleet_state {
  std::set<std::string> out;       // failure domains and upstreams
  std::string planned;             // failure domain that the plan empties and fills again, or empty
  std::uint32_t subset_size = 24;  // agents per service that an entry connects to
};
constexpr std::uint32_t kPlanSteps = 3;

/// The failure domains that are out when `step` steps of the plan have begun.
std::set<std::string> OutAt(const fleet_state& wanted, std::uint32_t step);

/// The text of a document. `mark` makes texts differ.
std::string FleetDocument(const fleet_state& wanted, std::uint64_t mark);

/// The parser of the product with a memory, because every process parses every document.
class remembering_parser : public configuration_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override;

 private:
  document_parser parser_;
  mutable std::map<std::string, checked<configuration>, std::less<>> known_;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_FLEET_DOCUMENT_H_
