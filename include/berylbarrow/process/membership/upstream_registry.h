#ifndef BERYLBARROW_PROCESS_MEMBERSHIP_UPSTREAM_REGISTRY_H_
#define BERYLBARROW_PROCESS_MEMBERSHIP_UPSTREAM_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "berylbarrow/process/runtime/time.h"

namespace berylbarrow {

/// What an upstream publishes of itself.
struct upstream_record {
  std::string id;
  std::string service;
  std::string address;  // "IP:port"
  std::string domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  duration cold_left = duration::zero();  // when it was published
  std::uint64_t born = 0;                 // start of the incarnation; 0: unknown
  auto operator<=>(const upstream_record&) const = default;
};

struct upstream_registry_options {
  /// Records that vanished while the instance list was away stay in use for so long after its
  /// return: live upstreams publish again within that time.
  duration lapse_grace = std::chrono::milliseconds(1800);
  /// How long the instance list has to be away for records of live upstreams to lapse.
  duration shortest_lapse = std::chrono::milliseconds(2400);
  /// How long an upstream that has said that it leaves may take to end. Later its announcement is
  /// forgotten, unless it is still in the instance list.
  duration longest_leave = std::chrono::minutes(10);
  /// After a restoration of the store: removals from before it are remembered for so long.
  duration removal_memory = std::chrono::seconds(60);
  /// A removed upstream that a restored store lists again is used after this time, or when its
  /// record changes. The platform removes the record of an upstream that has ended sooner.
  duration reappearance_delay = std::chrono::seconds(6);
};

struct known_upstream {
  upstream_record record;
  time_point cold_until = time_point::min();
  std::optional<time_point> missing_since;  // lapsed while the instance list was away
  time_point started_at;  // when this incarnation was first published, as far as is known
};

/// The upstreams that may be used, from an instance list that lags and is away at times.
class upstream_registry {
 public:
  explicit upstream_registry(const upstream_registry_options& options) : options_(options) {}

  void Put(const upstream_record& record, time_point now);
  void Remove(const std::string& id, time_point now);
  /// The upstream has said that it leaves, in the answer to a request of `sent_at`. It counts as
  /// leaving until it starts again, whatever the instance list says. Returns whether that is news.
  bool OnLeavingAnnounced(const std::string& id, time_point sent_at, time_point now);
  /// The whole list. Upstreams that are not in it are removed.
  void Replace(const std::vector<upstream_record>& records, time_point now);
  /// The instance list does not answer.
  void OnSourceLost();
  /// It answers. To be called for each answer, before what it answers is put in.
  void OnSourceAnswered(time_point now);
  /// The next list comes from a restored backup and may be older than what is known. It takes back
  /// no leaving, no removal, no restart and no cold start.
  void OnSourceRestored() { restored_ = true; }
  /// Forgets the lapsed records whose grace is over, and old announcements and removals.
  void Advance(time_point now);

  const std::map<std::string, known_upstream>& Upstreams() const { return upstreams_; }
  /// Rises with every change.
  std::uint64_t Revision() const { return revision_; }

 private:
  struct leave_announcement {
    std::uint64_t born = 0;  // of the incarnation that leaves
    time_point announced_at;
  };

  struct removal {
    std::uint64_t born = 0;  // of the incarnation that was removed
    bool leaving = false;
    time_point removed_at;
  };
  struct reappeared_upstream {
    upstream_record published;
    upstream_record record;  // as it will be used
    time_point usable_at;
  };

  /// Puts in a record of a restored store.
  void PutRestored(const upstream_record& published, time_point now);
  /// Whether the record has reappeared in a restored store and has not changed since.
  bool IsWithheld(const upstream_record& published) const;
  void Erase(std::map<std::string, known_upstream>::iterator place, time_point now);
  void AdvanceReappeared(time_point now);
  /// Whether this incarnation has said that it leaves. Forgets what another one has said. `is_new`:
  /// the upstream was not known.
  bool HasAnnouncedLeaving(const upstream_record& record, bool is_new);
  void ExpireAnnouncements(time_point now);

  upstream_registry_options options_;
  std::map<std::string, known_upstream> upstreams_;
  std::map<std::string, leave_announcement> leave_announcements_;  // by id
  std::map<std::string, removal> removals_;                        // by id
  std::map<std::string, reappeared_upstream> reappeared_;          // by id; not in use yet
  std::uint64_t revision_ = 0;
  bool source_lost_ = false;
  std::optional<time_point> source_answered_at_;
  bool restored_ = false;  // the next list comes from a restored store
  time_point grace_until_ = time_point::min();
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_PROCESS_MEMBERSHIP_UPSTREAM_REGISTRY_H_
