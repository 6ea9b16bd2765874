#ifndef TESTS_SUPPORT_NAIVE_PARTS_H_
#define TESTS_SUPPORT_NAIVE_PARTS_H_

#include <memory>

#include "support/fleet_processes.h"

namespace berylbarrow {

/// Fleets in which one part is naive, behind the same interface as the part of the product. Each
/// breaks a guarantee. `parser` must outlive the parts.

/// Every dispatch runs, whatever ran before (G5, G6).
fleet_parts RunningEveryDispatch(const configuration_parser& parser);
/// The upstream gets its full load at once (G2).
fleet_parts WithFixedLimit(const configuration_parser& parser);
/// Agents do not hear the request to shut down (G7).
fleet_parts IgnoringShutdown(const configuration_parser& parser);
/// Processes exit at once when they are asked to shut down (G8).
fleet_parts ExitingAtOnce(const configuration_parser& parser);
/// Entries lose one part in fifty on its way to the caller (G4).
fleet_parts LosingParts(const configuration_parser& parser);

/// Agents do not hear the steps of a plan from others (plan).
fleet_parts DeafToSteps(const configuration_parser& parser);
/// Agents follow the step that they heard last, not the highest (plan).
fleet_parts FollowingTheLastStep(const configuration_parser& parser);

/// Entries drop what agents report of requests that crash upstreams, so agents never hear of each
/// other's suspects.
fleet_parts DroppingSuspects(const configuration_parser& parser);

/// Takes no failure domain out, neither by state nor by plan (G3).
class drain_ignoring_parser final : public remembering_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override;
};

/// Takes no single upstream out (G3).
class upstream_keeping_parser final : public remembering_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override;
};

/// Refuses every document but the first (G9).
class first_text_parser final : public remembering_parser {
 public:
  checked<configuration> Parse(std::string_view text, std::string_view file) const override;

 private:
  mutable std::string first_;
};

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_NAIVE_PARTS_H_
