#include "peridotfork/discovery/change_backlog.h"

#include <algorithm>

namespace peridotfork {

void ChangeBacklog::OnListed(std::size_t pages) {
  listing_pages_ = std::max<std::size_t>(pages, 1);
  Reset();
}

NextRead ChangeBacklog::OnWatched(const StoreReply& reply) {
  if (reply.is_long) {
    ++long_replies_;
    follows_long_reply_ = true;
    return long_replies_ > listing_pages_ ? NextRead::kList : NextRead::kReadOn;
  }
  const bool has_changes = !reply.changes.empty();
  if (has_changes && follows_long_reply_) {
    // The store ends a reply before a change that does not fit. A short reply may therefore be
    // incomplete, but then the next one is long.
    follows_long_reply_ = false;
    return NextRead::kReadOn;
  }
  const bool has_caught_up = long_replies_ > 0;
  Reset();
  return has_changes || has_caught_up ? NextRead::kPause : NextRead::kWatch;
}

void ChangeBacklog::Reset() {
  long_replies_ = 0;
  follows_long_reply_ = false;
}

}  // namespace peridotfork
