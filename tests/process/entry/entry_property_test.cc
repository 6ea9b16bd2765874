#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>

#include "process/entry/entry_simulation.h"
#include "support/wrapped_core.h"

namespace berylbarrow {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kSchedules = 3000;

/// RapidCheck's own listener prints a seed that is not the one used here.
class silent_listener final : public rc::detail::TestListener {
 public:
  void onTestCaseFinished(const rc::detail::CaseDescription& /*description*/) override {}
  void onShrinkTried(const rc::detail::CaseDescription& /*shrink*/, bool /*accepted*/) override {}
  void onTestFinished(const rc::detail::TestMetadata& /*metadata*/,
                      const rc::detail::TestResult& /*result*/) override {}
};

/// Sums of the counters of the cores over all schedules.
using counter_sums = std::map<std::string, std::uint64_t>;

void AddCounters(const nlohmann::json& counters, counter_sums& sums) {
  for (const auto& [name, value] : counters.items()) {
    if (value.is_number()) {
      sums[name] += value.get<std::uint64_t>();
    }
  }
  for (const auto& item : counters.at("requests")) {
    sums[item.at("outcome")] += item.at("count").get<std::uint64_t>();
  }
}

/// Runs the schedules of the fixed seed. Returns the number that passed and the first violation.
std::pair<int, std::string> CheckSchedules(const char* name, const core_factory& make,
                                           counter_sums* sums = nullptr) {
  std::string violation;
  silent_listener listener;
  rc::detail::TestParams params;
  params.seed = kSeed;
  params.maxSuccess = kSchedules;
  params.disableShrinking = true;
  const auto property = rc::detail::toProperty([&make, &violation, sums] {
    const auto steps = *rc::gen::container<schedule>(
        rc::gen::pair(rc::gen::inRange(0, kStepKinds), rc::gen::arbitrary<std::uint32_t>()));
    entry_simulation simulation(make);
    violation = simulation.Run(steps);
    if (sums != nullptr) {
      AddCounters(simulation.core->State().at("counters"), *sums);
    }
    RC_ASSERT(violation.empty());
  });
  const auto result = rc::detail::checkProperty(property, {}, params, listener, {});
  rc::detail::SuccessResult success;
  rc::detail::FailureResult failure;
  int passed = 0;
  if (result.match(success)) {
    passed = success.numSuccess;
  } else if (result.match(failure)) {
    passed = failure.numSuccess;
  }
  std::cout << name << ": seed " << kSeed << ", " << passed << " schedules passed"
            << (violation.empty() ? "" : ", then: ") << violation << '\n';
  return {passed, violation};
}

std::unique_ptr<entry_decisions> MakeCore(const configuration_parser& parser) {
  return MakeEntryCore(entry_fixture::Options(), parser);
}

/// A core that gets its inputs changed, so that it decides as one without a rule would.
class naive_core : public wrapped_core<entry_decisions> {
 public:
  using change = std::function<void(entry_input& input)>;

  naive_core(const configuration_parser& parser, change edit)
      : wrapped_core(MakeCore(parser)), edit_(std::move(edit)) {}

  void Handle(const entry_input& input, const moment& at,
              std::vector<entry_output>& outputs) override {
    entry_input changed = input;
    edit_(changed);
    wrapped_core::Handle(changed, at, outputs);
  }

 private:
  change edit_;
};

core_factory Naive(const naive_core::change& edit) {
  return [edit](const configuration_parser& parser) {
    return std::make_unique<naive_core>(parser, edit);
  };
}

template <typename Message>
Message* MessageIn(entry_input& input) {
  auto* received = std::get_if<peer_received>(&input);
  return received == nullptr ? nullptr : std::get_if<Message>(&received->message);
}

/// Keeps no memory of what it has answered: a doubled end is answered again.
class forgetful_core final : public naive_core {
 public:
  explicit forgetful_core(const configuration_parser& parser)
      : naive_core(parser, [](entry_input& /*input*/) {}) {}

  void Handle(const entry_input& input, const moment& at,
              std::vector<entry_output>& outputs) override {
    naive_core::Handle(input, at, outputs);
    entry_input copy = input;
    const auto* part = MessageIn<answer_part>(copy);
    if (part == nullptr || part->end != answer_end::kComplete) {
      return;
    }
    const auto end = std::find_if(outputs.begin(), outputs.end(), [](const auto& output) {
      return std::holds_alternative<caller_end>(output);
    });
    if (end != outputs.end()) {
      ends_.emplace(part->id, std::get<caller_end>(*end));
    } else if (ends_.contains(part->id)) {
      outputs.emplace_back(ends_.at(part->id));
    }
  }

 private:
  std::map<request_id, caller_end> ends_;
};

/// Chooses the agent by hashing the key over the agents it is connected to.
class hashed_key_routing final : public key_routing {
 public:
  std::optional<agent_run> OwnerOf(const std::string& key,
                                   const std::vector<agent_run>& connected) const override {
    if (key.empty() || connected.empty()) {
      return std::nullopt;
    }
    return connected[std::hash<std::string>()(key) % connected.size()];
  }
};

// Guards against any schedule of late, doubled or reordered messages, lost connections, restarts,
// pauses, refusals and drains that breaks a guarantee of the entry.
BOOST_AUTO_TEST_CASE(GuaranteesHoldInGeneratedSchedules) {
  counter_sums sums;
  const auto [passed, violation] = CheckSchedules("entry_core", MakeCore, &sums);
  BOOST_TEST(violation == "");
  BOOST_TEST(passed == kSchedules);
  // Schedules that never reach a case would prove nothing about it.
  for (const char* name :
       {"complete", "incomplete", "not-run", "unknown", "aborted", "reattachments", "resends",
        "resumptions", "parts_dropped", "retries_refused", "refused_keys", "unexpected_messages"}) {
    std::cout << name << ' ' << sums[name] << '\n';
    BOOST_TEST(sums[name] > 100U, name);
  }
}

// Guards against a check of the answer bytes that never fails.
BOOST_AUTO_TEST_CASE(OffsetBlindRelayIsFound) {
  // Passes on every part as it comes, whatever its offset. Ids repeat from one schedule to the
  // next.
  std::map<request_id, std::uint64_t> offsets;
  const auto make = Naive([&offsets](entry_input& input) {
    const auto* document = std::get_if<document_received>(&input);
    if (document != nullptr && document->number == 1) {
      offsets.clear();
    } else if (auto* part = MessageIn<answer_part>(input)) {
      part->offset = std::exchange(offsets[part->id], offsets[part->id] + part->bytes.size());
    }
  });
  const auto [passed, violation] = CheckSchedules("offset_blind", make);
  BOOST_TEST(violation.find("wrong bytes") != std::string::npos);
}

// Guards against a check for exactly one answer that never fails.
BOOST_AUTO_TEST_CASE(SecondAnswerIsFound) {
  const auto [passed, violation] = CheckSchedules(
      "forgetful", [](const auto& parser) { return std::make_unique<forgetful_core>(parser); });
  BOOST_TEST(violation.find("more than one answer") != std::string::npos);
}

// Guards against a check of "not run" that never fails.
BOOST_AUTO_TEST_CASE(UntrueNotRunIsFound) {
  // Takes every failure for a request that has not run.
  const auto make = Naive([](entry_input& input) {
    if (auto* content = MessageIn<refusal>(input)) {
      content->certainty = run_certainty::kNotRun;
    }
  });
  const auto [passed, violation] = CheckSchedules("hopeful", make);
  BOOST_TEST(violation.find("but it ran") != std::string::npos);
}

// Guards against a check for work to upstreams out of service that never fails.
BOOST_AUTO_TEST_CASE(WorkForAnUpstreamOutOfServiceIsFound) {
  // Goes on with the first document and the first state of each agent.
  const auto make = Naive([](entry_input& input) {
    if (auto* document = std::get_if<document_received>(&input)) {
      document->text = document->number == 1 ? document->text : "";
    } else if (auto* beat = std::get_if<heartbeat_received>(&input)) {
      beat->content.state = process_state::kServing;
    }
  });
  const auto [passed, violation] = CheckSchedules("stale", make);
  BOOST_TEST(violation.find("out of service") != std::string::npos);
}

// Guards against a check for keys sent to two runs that never fails.
BOOST_AUTO_TEST_CASE(KeySentToTwoRunsIsFound) {
  const auto make = [](const configuration_parser& parser) {
    return MakeEntryCore(entry_fixture::Options(), parser, nullptr,
                         std::make_unique<hashed_key_routing>());
  };
  const auto [passed, violation] = CheckSchedules("hashed_keys", make);
  BOOST_TEST(violation.find("sent to two runs") != std::string::npos);
}

/// Dispatches beyond one per request in one second in which every agent refuses.
std::size_t RetriesWhenAllRefuse(const entry_core_options& options, std::size_t requests) {
  entry_fixture fixture;
  fixture.core = MakeEntryCore(options, fixture.parser);
  fixture.Start();
  std::size_t dispatches = 0;
  for (std::size_t caller = 1; caller <= requests; ++caller) {
    fixture.Draft(caller);
    for (auto sent = fixture.Sent<dispatch>(); !sent.empty(); sent = fixture.Sent<dispatch>()) {
      ++dispatches;
      fixture.Receive(sent[0].first, refusal{.id = sent[0].second.id, .load = {.limit = 1}});
    }
  }
  return dispatches - requests;
}

// Guards against refusals of a full fleet that multiply its load. The check must fail without the
// budget.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudgetWhenAllRefuse) {
  entry_core_options unbounded = entry_fixture::Options();
  unbounded.retries.retries_per_request = 1000;
  unbounded.retries.burst = 1000;
  for (const std::size_t requests : {1U, 10U, 100U, 300U}) {
    BOOST_TEST(RetriesWhenAllRefuse(entry_fixture::Options(), requests) <= 1 + requests / 10);
    BOOST_TEST(RetriesWhenAllRefuse(unbounded, requests) > 1 + requests / 10);
  }
}

}  // namespace
}  // namespace berylbarrow
