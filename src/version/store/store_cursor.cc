#include "berylbarrow/version/store/store_cursor.h"

#include <algorithm>

namespace berylbarrow {

cursor_step store_cursor::OnAnswer(const store_answer& answer, time_point now) {
  const answer_era era = timeline_.Judge(answer.era, now);
  if (era == answer_era::kOutdated) return cursor_step::kDropped;
  // Even a watch that was answered without error has a gap: its revision is of the lost history.
  // The pages of one read must not come from two histories either.
  if (era == answer_era::kNew || answer.is_history_discarded) {
    Restart();
    return cursor_step::kRestarted;
  }
  if (!call_.is_watch) return OnPage(answer);
  position_ = std::max(position_, {.era = answer.era, .revision = answer.revision});
  call_.after_revision = position_.revision;
  return cursor_step::kChanges;
}

cursor_step store_cursor::OnPage(const store_answer& answer) {
  // The pages are not one snapshot: keys may change between them. Watching from the revision of the
  // first page covers these changes.
  if (call_.after_key.empty()) position_ = {.era = answer.era, .revision = answer.revision};
  if (answer.has_more) {
    call_.after_key = answer.last_key;
    return cursor_step::kPage;
  }
  call_ = {.is_watch = true, .after_revision = position_.revision};
  return cursor_step::kFullRead;
}

void store_cursor::Restart() { call_ = {}; }

void store_cursor::OnFailure() {
  if (!call_.is_watch) call_ = {};
}

}  // namespace berylbarrow
