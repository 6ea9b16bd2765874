#include "support/fleet_document.h"

#include <sstream>

namespace berylbarrow {
namespace {

void WriteService(std::ostringstream& text, const std::string& service,
                  const std::set<std::string>& out) {
  text << "    upstreams:\n";
  for (const fleet_place& place : FleetPlaces()) {
    if (place.service == service) {
      text << "      - {name: " << place.name << ", domain: " << place.domain
           << ", agent_address: \"" << place.address
           << "\", state: " << (out.contains(place.name) ? "out" : "in") << "}\n";
    }
  }
}

}  // namespace

const std::vector<fleet_place>& FleetPlaces() {
  static const std::vector<fleet_place> kPlaces = {
      {"entry-1", "a", "", "10.0.0.1:1", "10.0.1.1:80"},
      {"entry-2", "b", "", "10.0.0.2:1", "10.0.1.2:80"},
      {"entry-3", "b", "", "10.0.0.3:1", "10.0.1.3:80"},
      {"draft-1", "a", "drafting", "10.0.0.4:1", ""},
      {"draft-2", "b", "drafting", "10.0.0.5:1", ""},
      {"draft-3", "a", "drafting", "10.0.0.6:1", ""},
      {"pay-1", "a", "payments", "10.0.0.7:1", ""},
      {"pay-2", "b", "payments", "10.0.0.8:1", ""},
      {"pay-3", "b", "payments", "10.0.0.9:1", ""}};
  return kPlaces;
}

std::set<std::string> OutAt(const fleet_state& wanted, std::uint32_t step) {
  std::set<std::string> out = wanted.out;
  if (wanted.planned.empty()) {
    return out;
  }
  constexpr std::uint32_t kEmptyStep = 2;
  const std::string other = wanted.planned == "a" ? "b" : "a";
  if (step == 0) {
    out.insert(other);
  } else if (step == kEmptyStep) {
    out.insert(wanted.planned);
  }
  return out;
}

std::string FleetDocument(const fleet_state& wanted, std::uint64_t mark) {
  const std::set<std::string> out = OutAt(wanted, 0);
  std::ostringstream text;
  text << "# " << mark << "\ndomains:\n";
  for (const char* domain : {"a", "b"}) {
    text << "  - {name: " << domain
         << ", region: r, state: " << (out.contains(domain) ? "out" : "in") << "}\n";
  }
  text << "entries:\n";
  for (const fleet_place& place : FleetPlaces()) {
    if (place.service.empty()) {
      text << "  - {name: " << place.name << ", domain: " << place.domain << ", caller_address: \""
           << place.caller_address << "\", peer_address: \"" << place.address << "\"}\n";
    }
  }
  text << "services:\n  - name: drafting\n    kind: model\n    model: draft\n"
       << "    resumes_streams: true\n    deadline: 4s\n    operations:\n"
       << "      - {method: POST, path: /v1/completions, idempotent: true}\n"
       << "    cold_start: {limit: " << kDraftColdLimit << ", step_completions: " << kDraftStep
       << "}\n    limits: {in_flight: " << kDraftInFlight << ", queue: 4}\n";
  WriteService(text, "drafting", out);
  text << "  - name: payments\n    kind: plain\n    deadline: 3s\n    operations:\n"
       << "      - {method: POST, path: /payments, idempotent: false}\n"
       << "      - {method: GET, path: /status, idempotent: true}\n"
       << "    cold_start: {limit: " << kPaymentColdLimit << ", step_completions: " << kPaymentStep
       << "}\n    limits: {in_flight: " << kPaymentInFlight << ", queue: 3}\n";
  WriteService(text, "payments", out);
  text << "accounts:\n  - {name: large, weight: 4}\n  - {name: small, weight: 1}\n"
       << "address_lifetime: 2s\nisolation_timeout: 2s\ngrant: {epoch: 3s, epochs_kept: 2}\n"
       << "subset_size: " << wanted.subset_size << '\n';
  if (!wanted.planned.empty()) {
    text << "move_plan:\n  - {name: fill, fill: [" << (wanted.planned == "a" ? "b" : "a")
         << "], proceed_when: {warm_share_at_least: 0.5, hold: 1s}}\n  - {name: empty, empty: ["
         << wanted.planned << "], proceed_when: {in_flight_at_most: 0, hold: 7s}}\n"
         << "  - {name: return, fill: [" << wanted.planned << "]}\n";
  }
  return text.str();
}

checked<configuration> remembering_parser::Parse(std::string_view text,
                                                 std::string_view file) const {
  const auto place = known_.find(text);
  if (place != known_.end()) {
    return place->second;
  }
  return known_.emplace(std::string(text), parser_.Parse(text, file)).first->second;
}

}  // namespace berylbarrow
