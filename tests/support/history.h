#ifndef TESTS_SUPPORT_HISTORY_H_
#define TESTS_SUPPORT_HISTORY_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"
#include "berylbarrow/version/configuration/configuration.h"

namespace berylbarrow {

/// How a request ended for its caller.
enum class request_end : std::uint8_t {
  kPending,
  kWhole,
  kNotRun,
  kUnknown,
  kCut,      // the answer ended visibly before its end
  kBroken,   // the connection to the entry broke
  kGivenUp,  // the caller lost patience
};
constexpr std::size_t kRequestEnds = 7;
const char* EndName(request_end end);

enum class work_kind : std::uint8_t { kDraft, kLookup, kPayment };

/// One request as its caller sees it.
struct request_record {
  std::uint64_t request = 0;    // unique
  std::uint64_t operation = 0;  // what the caller wants; the same for every repetition
  work_kind kind = work_kind::kDraft;
  std::string key;
  std::uint32_t attempt = 1;
  std::string entry;
  time_point sent;
  time_point due;  // the deadline that the caller stated
  request_end end = request_end::kPending;
  time_point ended;
  std::string received;
  std::string expected;
  std::uint32_t ends = 0;        // replies and ends from the entry
  bool was_turned_away = false;  // by an entry that had left although its address was valid
  bool entry_was_slow = false;   // paused, or asked to leave, while the request was open
};

/// A request arrived at an upstream.
struct start_record {
  time_point sent;  // when the agent decided it
  std::string agent;
  std::uint64_t incarnation = 0;  // of the agent
  std::string domain;
  std::string key;
  std::uint64_t request = 0;
  std::uint64_t operation = 0;
  std::uint32_t running = 0;   // at the upstream, this one included
  std::uint32_t bearable = 0;  // by the upstream's own count of completed work
  bool was_warned = true;      // the agent had evidence of the upstream's last restart
};

/// A document that operators published, or a step of its plan that a process began as the first.
struct publication_record {
  time_point at;
  revision number = 0;
  std::uint32_t step = 0;
  std::uint32_t steps = 0;  // of the plan
  bool is_valid = true;
  std::set<std::string> out;  // failure domains and upstreams
};

/// State of a process, sampled at a fixed interval.
struct sample_record {
  time_point at;
  std::string process;
  std::uint64_t incarnation = 0;
  bool is_paused = false;
  revision in_force = 0;
  revision offered = 0;  // highest valid revision of the service and the processes in reach
  std::uint32_t step = 0;
  std::uint32_t offered_step = 0;  // of `offered`, by the processes in reach
};

/// A process has another revision in force or is at another step of its plan.
struct in_force_record {
  time_point at;
  std::string process;
  std::uint64_t incarnation = 0;
  revision number = 0;
  std::uint32_t step = 0;
};

struct leaving_record {
  time_point at;
  std::string agent;
  std::uint64_t incarnation = 0;
};

/// A process that was asked to shut down has ended.
struct finish_record {
  time_point at;
  std::string process;
  std::uint32_t open_requests = 0;  // of callers, or running at the upstream
};

/// A request has crashed an upstream.
struct crash_record {
  time_point at;
  time_point started;  // when the agent decided it
  std::string agent;
  std::uint64_t operation = 0;
};

/// Processes that knew of crashes were lost, or could not tell others.
struct disruption_record {
  time_point from;
  time_point until;
};

/// A process stood still.
struct pause_record {
  time_point from;
  time_point until;
  std::string process;
};

struct history {
  std::vector<request_record> requests;
  std::vector<start_record> starts;
  std::vector<publication_record> publications;
  std::vector<sample_record> samples;
  std::vector<in_force_record> in_force;
  std::vector<leaving_record> leavings;
  std::vector<finish_record> finishes;
  std::vector<crash_record> crashes;
  std::vector<disruption_record> disruptions;
  std::vector<pause_record> pauses;
  std::vector<std::string> oddities;  // outputs that no caller can use
  bool only_shutdowns = false;        // no other fault was injected
};

/// Each check returns what it found in words, with time, process and request.
using violations = std::vector<std::string>;

/// G2: concurrent work never exceeds what the upstream bears by its own count, except for work
/// decided before the agent could know of a restart.
violations CheckColdStart(const history& log);
/// G3: no start more than 5 s after the document or a step of its plan took the failure domain or
/// the upstream out.
violations CheckDrain(const history& log);
/// G4: complete answers have the expected bytes, others a prefix; each request ends once.
violations CheckAnswers(const history& log);
/// G5: nothing that was called "not run" reaches an upstream.
violations CheckNotRun(const history& log);
/// G6: no key and no payment reaches upstreams twice.
violations CheckAtMostOnce(const history& log);
/// G7: no start at an upstream more than 5 s after it announced to leave.
violations CheckLeaving(const history& log);
/// G8: a graceful shutdown cuts no answer and loses no request.
violations CheckShutdown(const history& log);
/// G9: the newest valid revision is in force within 7 s of contact, and none falls.
violations CheckConfiguration(const history& log);

/// The step of a plan never falls within a revision, and every process reaches the last step.
violations CheckPlan(const history& log);

/// Requests that crash every upstream: at most two crashes of each. Two is the number of deaths
/// after which a request is refused: the first makes it a suspect, which goes to one upstream at a
/// time, and its retry carries the count. A further crash is accepted only if its run was decided
/// after a partition, or after the end of a process, since the first crash: both can take the count
/// away. A crash during a pause of its agent counts only for runs decided after the pause, because
/// no other process can tell it from an upstream that is slow.
violations CheckCrashes(const history& log);

/// All checks; each line begins with the guarantee.
violations CheckAll(const history& log);

}  // namespace berylbarrow

#endif  // TESTS_SUPPORT_HISTORY_H_
