#ifndef BERYLBARROW_VERSION_STORE_STORE_CURSOR_H_
#define BERYLBARROW_VERSION_STORE_STORE_CURSOR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "berylbarrow/version/store/store_position.h"
#include "berylbarrow/version/store/store_timeline.h"

namespace berylbarrow {

/// The next call to the store: one page of a range, or a watch.
struct store_call {
  bool is_watch = false;
  std::string after_key;             // of a page; empty: the first one
  std::uint64_t after_revision = 0;  // of a watch
  auto operator<=>(const store_call&) const = default;
};

/// What an answer of the store says of its position; the items are left to the caller.
struct store_answer {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;         // of the store when it answered
  bool is_history_discarded = false;  // a watch: changes after its revision are missing
  bool has_more = false;              // a page: another one follows
  std::string last_key = {};          // a page: of the last item
  auto operator<=>(const store_answer&) const = default;
};

enum class cursor_step : std::uint8_t {
  kDropped,    // an answer of an earlier era: nothing changes
  kRestarted,  // items received so far are void; the next call reads the first page
  kPage,       // the items belong to the read in progress
  kFullRead,   // these items complete the read
  kChanges,    // the items have changed since the last answer
};

/// Position of one reader that mirrors a part of the store: reads all pages, then watches. Any sign
/// that the store's history is not the one that was read so far starts the read from scratch.
class store_cursor {
 public:
  /// `timeline` must outlive the cursor. Cursors that read one store share it.
  explicit store_cursor(store_timeline& timeline) : timeline_(timeline) {}

  const store_call& NextCall() const { return call_; }
  cursor_step OnAnswer(const store_answer& answer, time_point now);
  /// Another cursor has found a new era.
  void Restart();
  /// Pages received before a failed call may be outdated by the retry.
  void OnFailure();

 private:
  cursor_step OnPage(const store_answer& answer);

  store_timeline& timeline_;
  store_call call_;
  store_position position_;  // from which the next watch continues
};

}  // namespace berylbarrow

#endif  // BERYLBARROW_VERSION_STORE_STORE_CURSOR_H_
