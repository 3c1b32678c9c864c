#ifndef PERIDOTFORK_DISCOVERY_CHANGE_BACKLOG_H_
#define PERIDOTFORK_DISCOVERY_CHANGE_BACKLOG_H_

#include <cstddef>

#include "peridotfork/discovery/metadata_store.h"

namespace peridotfork {

// How a follower reads on after a reply to a watch.
enum class NextRead {
  // Wait for a change.
  kWatch,
  // The same after a pause, so that changes in quick succession share a call.
  kPause,
  // Ask at once for what the reply left out.
  kReadOn,
  // List the current state, which takes fewer replies than the changes since the last one.
  kList,
};

// Decides from the replies to watches whether a follower has read all changes, so that it pauses
// only then. Answers the load "large configurations in quick succession, and a host that was cut
// off meanwhile". Not thread-safe.
class ChangeBacklog {
 public:
  // Records a complete listing of `pages` replies.
  void OnListed(std::size_t pages);

  NextRead OnWatched(const StoreReply& reply);

 private:
  void Reset();

  std::size_t listing_pages_ = 1;
  // Long replies since the follower had last read all changes.
  std::size_t long_replies_ = 0;
  bool follows_long_reply_ = false;
};

}  // namespace peridotfork

#endif  // PERIDOTFORK_DISCOVERY_CHANGE_BACKLOG_H_
