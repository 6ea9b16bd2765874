#ifndef BERYLBARROW_VERSION_EXPERT_EXPERT_MESSAGE_H_
#define BERYLBARROW_VERSION_EXPERT_EXPERT_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "berylbarrow/version/expert/expert_map.h"

namespace berylbarrow {

/// Fencing token of a coordinator: a later term wins, then the higher rank.
struct fencing_token {
  std::uint64_t term = 0;
  std::uint32_t rank = 0;

  auto operator<=>(const fencing_token&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(term, rank);
  }
};

/// A map and the first step that runs on it.
struct scheduled_map {
  expert_map map;
  std::uint64_t activation_step = 0;

  auto operator<=>(const scheduled_map&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(map, activation_step);
  }
};

/// A new coordinator asks a rank for its state. The rank follows no lower token afterwards.
struct map_query {
  fencing_token token;
  auto operator<=>(const map_query&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token);
  }
};

/// State of a rank, in answer to a query, or with a higher token as a refusal of a lower one.
struct map_report {
  fencing_token token;  // the highest the rank has promised to follow
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;           // of the run of the rank
  std::uint64_t step = 0;                  // next step of the rank
  std::optional<scheduled_map> previous;   // in use until `committed` activates
  std::optional<scheduled_map> committed;  // empty if the rank has just started
  std::optional<scheduled_map> pending;    // acknowledged, decision unknown
  auto operator<=>(const map_report&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, rank, incarnation, step, previous, committed, pending);
  }
};

/// Sent to the run of a rank that answered the query. A later run has forgotten what it knew and
/// must be asked again.
struct map_proposal {
  fencing_token token;
  std::uint64_t incarnation = 0;
  scheduled_map proposed;
  auto operator<=>(const map_proposal&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, incarnation, proposed);
  }
};

/// The rank has loaded the weights and waits for the decision before the activation step.
struct map_acknowledgement {
  fencing_token token;
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  bool accepted = false;   // false: the activation step is already over
  std::uint64_t step = 0;  // next step of the rank
  auto operator<=>(const map_acknowledgement&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, rank, incarnation, version, accepted, step);
  }
};

/// The decision on a proposal. A rank that has just started takes both maps from here. Answered by
/// a map_report.
struct map_decision {
  fencing_token token;
  std::uint64_t incarnation = 0;
  std::optional<scheduled_map> previous;
  scheduled_map decided;
  bool committed = false;
  auto operator<=>(const map_decision&) const = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(token, incarnation, previous, decided, committed);
  }
};

using expert_message =
    std::variant<map_query, map_report, map_proposal, map_acknowledgement, map_decision>;

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_EXPERT_EXPERT_MESSAGE_H_
