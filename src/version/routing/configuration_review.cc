#include "berylbarrow/version/routing/configuration_review.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <type_traits>
#include <utility>

#include "process/runtime/scalar_format.h"
#include "version/routing/canonical_host.h"

namespace berylbarrow {
namespace {

using field = configuration_field;
using kind = review_kind;
using section = configuration_section;

constexpr std::uint32_t kLowestPriority = 9;

/// One string of parts, which may be numbers.
template <typename... Parts>
std::string Text(const Parts&... parts) {
  std::string text;
  const auto append = [&text](const auto& part) {
    if constexpr (std::is_arithmetic_v<std::decay_t<decltype(part)>>) {
      text += std::to_string(part);
    } else {
      text += part;
    }
  };
  (append(parts), ...);
  return text;
}

std::string Milliseconds(duration span) { return MillisecondsText(span) + " ms"; }

/// Whether a header value or a request target can hold the text.
bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

class reviewer {
 public:
  explicit reviewer(const routing_content& content) : content_(content) {}

  std::vector<review_finding> Run() && {
    for (std::size_t i = 0; i < content_.routes.size(); ++i) ReviewRoute(i);
    for (std::size_t i = 0; i < content_.services.size(); ++i) ReviewService(i);
    if (content_.accounts) ReviewAccounts(*content_.accounts);
    ReviewLimits();
    return std::move(findings_);
  }

 private:
  void Add(kind what, section where, std::size_t index, std::string entry, field of,
           std::string message) {
    findings_.push_back(
        {.kind = what,
         .place = {.section = where, .index = index, .entry = std::move(entry), .field = of},
         .message = std::move(message)});
  }
  void AddRoute(std::size_t index, kind what, field of, std::string message) {
    Add(what, section::kRoutes, index, content_.routes[index].name, of, std::move(message));
  }
  void AddService(std::size_t index, kind what, field of, std::string message) {
    Add(what, section::kServices, index, content_.services[index].name, of, std::move(message));
  }

  const service_profile* FindService(const std::string& name) const {
    const auto found = std::find_if(content_.services.begin(), content_.services.end(),
                                    [&](const service_profile& each) { return each.name == name; });
    return found == content_.services.end() ? nullptr : &*found;
  }

  void ReviewRoute(std::size_t index) {
    const route& each = content_.routes[index];
    if (each.name.empty()) AddRoute(index, kind::kError, field::kName, "a route needs a name");
    for (std::size_t i = 0; i < index; ++i) {
      const route& earlier = content_.routes[i];
      if (!each.name.empty() && earlier.name == each.name) {
        AddRoute(index, kind::kError, field::kName, Text("routes[", i, "] has this name too"));
      }
      const bool is_same =
          CanonicalHost(earlier.host) == CanonicalHost(each.host) && earlier.prefix == each.prefix;
      if (is_same) {
        AddRoute(index, kind::kNeverMatches, field::kPrefix,
                 Text("routes[", i, "] ", Quote(earlier.name),
                      " has the same host and prefix and takes its requests"));
        break;
      }
    }
    ReviewMatch(index);
    ReviewTargets(index);
    ReviewTimes(index);
    if (each.priority > kLowestPriority) {
      AddRoute(index, kind::kError, field::kPriority,
               Text("is ", each.priority, "; allowed are 0 to ", kLowestPriority));
    }
  }

  void ReviewMatch(std::size_t index) {
    const route& each = content_.routes[index];
    const bool is_compared =
        !each.prefix.empty() && each.prefix.front() == '/' && each.prefix.back() == '/';
    if (!is_compared) {
      AddRoute(index, kind::kNeverMatches, field::kPrefix,
               Text("is ", Quote(each.prefix), "; prefixes begin and end with \"/\""));
    } else if (!IsVisible(each.prefix) || each.prefix.find('?') != std::string::npos) {
      AddRoute(index, kind::kNeverMatches, field::kPrefix,
               Text("is ", Quote(each.prefix), "; paths hold no space and no \"?\""));
    } else if (each.prefix.size() >= content_.limits.max_header_bytes) {
      AddRoute(index, kind::kNeverMatches, field::kPrefix,
               Text("has ", each.prefix.size(), " bytes; a request header may have ",
                    content_.limits.max_header_bytes));
    }
    const bool is_host = !CanonicalHost(each.host).empty() && IsVisible(each.host) &&
                         each.host.find('/') == std::string::npos;
    if (!is_host) {
      AddRoute(index, kind::kNeverMatches, field::kHost,
               Text("is ", Quote(each.host), "; needed is a host name without scheme and path"));
    }
  }

  void ReviewTargets(std::size_t index) {
    const route& each = content_.routes[index];
    bool has_weight = false;
    for (const weighted_service& target : each.services) {
      has_weight = has_weight || target.weight > 0;
      if (FindService(target.service) == nullptr) {
        AddRoute(index, kind::kError, field::kServices,
                 Text("there is no service ", Quote(target.service)));
      }
    }
    if (!has_weight) {
      AddRoute(index, kind::kError, field::kServices,
               "all weights are 0; one of them needs to be at least 1");
      return;
    }
    for (const weighted_service& target : each.services) {
      if (target.weight > 0) continue;
      AddRoute(index, kind::kNoEffect, field::kServices,
               Text("the weight of ", Quote(target.service), " is 0, so it is never chosen"));
    }
  }

  void ReviewTimes(std::size_t index) {
    const route& each = content_.routes[index];
    const bool is_stream = each.kind == request_kind::kStreaming;
    if (each.timeout <= duration::zero()) {
      AddRoute(index, kind::kError, field::kTimeout,
               Text("is ", Milliseconds(each.timeout), "; allowed is 1 ms and more"));
    }
    if (each.goal > each.timeout) {
      AddRoute(index, kind::kContradiction, field::kGoal,
               Text("is ", Milliseconds(each.goal), ", above the timeout of ",
                    Milliseconds(each.timeout)));
    }
    if (each.gap_target > each.timeout) {
      AddRoute(index, kind::kContradiction, field::kGapTarget,
               Text("is ", Milliseconds(each.gap_target), ", above the timeout of ",
                    Milliseconds(each.timeout)));
    }
    if (!is_stream && each.gap_target > duration::zero()) {
      AddRoute(index, kind::kNoEffect, field::kGapTarget, "applies to streaming routes only");
    }
    if (!is_stream && each.resumable) {
      AddRoute(index, kind::kNoEffect, field::kResumable, "applies to streaming routes only");
    }
    if (is_stream) ReviewStream(index);
  }

  /// Compares the times of a route with the cost model of the engines that it leads to.
  void ReviewStream(std::size_t index) {
    const route& each = content_.routes[index];
    for (const weighted_service& target : each.services) {
      const service_profile* const service = FindService(target.service);
      if (service == nullptr || !service->engine) continue;
      const engine_profile& engine = *service->engine;
      // An idle engine that writes for one request.
      const double step_ms = engine.step_ms + engine.per_sequence_ms;
      const double pass_ms = step_ms * engine.stride;
      const double answer_ms = step_ms * engine.usual_answer;
      const double read_ms =
          engine.read_tokens_per_ms > 0 ? engine.usual_prompt / engine.read_tokens_per_ms : 0;
      const auto check = [&](field of, duration allowed, double needed_ms, std::string_view what) {
        if (allowed <= duration::zero()) return;
        if (needed_ms <= std::chrono::duration<double, std::milli>(allowed).count()) return;
        AddRoute(index, kind::kContradiction, of,
                 Text("is ", Milliseconds(allowed), ", but ", what, " of the idle service ",
                      Quote(target.service), " takes ", static_cast<std::uint64_t>(needed_ms + 1),
                      " ms"));
      };
      check(field::kGoal, each.goal, read_ms, "reading the usual prompt");
      check(field::kGapTarget, each.gap_target, pass_ms, "a pass");
      check(field::kTimeout, each.timeout, read_ms + answer_ms, "the usual answer");
    }
  }

  void ReviewService(std::size_t index) {
    const service_profile& each = content_.services[index];
    if (each.name.empty()) {
      AddService(index, kind::kError, field::kName, "a service needs a name");
    }
    for (std::size_t i = 0; i < index; ++i) {
      if (each.name.empty() || content_.services[i].name != each.name) continue;
      AddService(index, kind::kError, field::kName, Text("services[", i, "] has this name too"));
    }
    const bool is_used =
        std::any_of(content_.routes.begin(), content_.routes.end(), [&](const route& from) {
          return std::any_of(
              from.services.begin(), from.services.end(),
              [&](const weighted_service& target) { return target.service == each.name; });
        });
    if (!is_used) {
      AddService(index, kind::kNoEffect, field::kEntry, "no route leads to this service");
    }
    if (!each.health_path.empty() && each.health_path.front() != '/') {
      AddService(index, kind::kError, field::kHealthPath,
                 Text("is ", Quote(each.health_path), "; a path begins with \"/\""));
    }
    const bool is_cold = each.cold_start > duration::zero();
    const bool has_rate = each.cold_requests_per_second > 0;
    if (is_cold != has_rate) {
      AddService(index, kind::kNoEffect, is_cold ? field::kColdStart : field::kColdRate,
                 "a cold start needs both a length and a rate");
    }
    if (each.engine) ReviewEngine(index, *each.engine);
  }

  void ReviewEngine(std::size_t index, const engine_profile& engine) {
    if (engine.slots == 0) {
      AddService(index, kind::kError, field::kEngine, "has 0 slots; allowed is 1 and more");
    }
    const std::uint32_t connections = content_.services[index].max_connections;
    if (connections > 0 && connections < engine.slots) {
      AddService(index, kind::kContradiction, field::kMaxConnections,
                 Text("is ", connections, ", so that the ", engine.slots,
                      " slots of an engine cannot be filled"));
    }
    const bool has_experts = engine.expert_layers > 0;
    if (has_experts && (engine.experts == 0 || engine.expert_slots == 0)) {
      AddService(index, kind::kError, field::kEngine,
                 Text("has ", engine.expert_layers, " layers of experts, but ", engine.experts,
                      " experts and ", engine.expert_slots, " slots for them in a layer"));
    }
  }

  void ReviewAccounts(const std::vector<client_account>& accounts) {
    const bool all_public = std::all_of(content_.routes.begin(), content_.routes.end(),
                                        [](const route& each) { return each.is_public; });
    if (accounts.empty() && !all_public) {
      Add(kind::kContradiction, section::kAccounts, 0, "", field::kEntry,
          "routes need keys and no account is listed, so that they refuse every request");
    }
    if (!accounts.empty() && all_public) {
      Add(kind::kNoEffect, section::kAccounts, 0, "", field::kEntry, "no route needs a key");
    }
    std::set<std::string> names;
    std::map<std::string, std::string> owners;  // account, by key
    for (std::size_t i = 0; i < accounts.size(); ++i) {
      const client_account& each = accounts[i];
      const auto add = [&](kind what, field of, std::string message) {
        Add(what, section::kAccounts, i, each.name, of, std::move(message));
      };
      if (each.name.empty()) {
        add(kind::kError, field::kName, "an account needs a name");
      } else if (!names.insert(each.name).second) {
        add(kind::kError, field::kName, "another account has this name");
      }
      if (each.priority && *each.priority > kLowestPriority) {
        add(kind::kError, field::kPriority,
            Text("is ", *each.priority, "; allowed are 0 to ", kLowestPriority));
      }
      if (each.keys.empty()) add(kind::kNoEffect, field::kEntry, "has no key");
      for (std::size_t k = 0; k < each.keys.size(); ++k) {
        const std::string& key = each.keys[k];
        if (key.empty() || !IsVisible(key)) {
          add(kind::kNeverMatches, field::kKeys,
              Text("key ", k, " is empty or holds a character that no header can hold"));
          continue;
        }
        const auto [owner, is_new] = owners.emplace(key, each.name);
        if (is_new) continue;
        add(owner->second == each.name ? kind::kNoEffect : kind::kNeverMatches, field::kKeys,
            Text("key ", k, " is listed before, for the account ", Quote(owner->second)));
      }
    }
  }

  void ReviewLimits() {
    const caller_limits& limits = content_.limits;
    const auto check = [&](field of, bool is_positive) {
      if (is_positive) return;
      Add(kind::kError, section::kLimits, 0, "", of,
          "is 0 or less, which refuses every request; allowed is 1 and more");
    };
    check(field::kHeaderBytes, limits.max_header_bytes > 0);
    check(field::kHeaderTimeout, limits.header_timeout > duration::zero());
    check(field::kIdleTimeout, limits.idle_timeout > duration::zero());
  }

  const routing_content& content_;
  std::vector<review_finding> findings_;
};

}  // namespace

std::vector<review_finding> ReviewConfiguration(const routing_content& content) {
  return reviewer(content).Run();
}

}  // namespace berylbarrow
