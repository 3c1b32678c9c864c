#ifndef PERIDOTFORK_INTERNAL_LIMITS_SUSPECT_TABLE_H_
#define PERIDOTFORK_INTERNAL_LIMITS_SUSPECT_TABLE_H_

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <vector>

#include "peridotfork/core/clock.h"
#include "peridotfork/core/ids.h"

namespace peridotfork {

// A loss that no answer from its group has cleared.
struct CountedLoss {
  GroupIndex group;
  // Round to which the loss belongs. A loss starts a new round only if its attempt was sent after
  // the first loss of the current round was noticed; otherwise both may have one cause.
  std::uint32_t round = 0;
  // True if no other attempt was in flight on the target.
  bool alone = false;
};

// Loss history of one request of one caller.
struct Suspect {
  CallerId caller;
  std::uint64_t fingerprint = 0;
  std::vector<CountedLoss> losses;
  std::uint32_t round = 0;
  BootTime round_start;
  bool was_quarantined = false;
  BootTime quarantined_until;
  // When this entry is erased.
  BootTime expires;
};

// Suspects, indexed by request and by expiry time.
using SuspectTable = boost::multi_index_container<
    Suspect,
    boost::multi_index::indexed_by<
        boost::multi_index::ordered_unique<boost::multi_index::composite_key<
            Suspect,
            boost::multi_index::member<Suspect, CallerId, &Suspect::caller>,
            boost::multi_index::member<Suspect, std::uint64_t, &Suspect::fingerprint>>>,
        boost::multi_index::ordered_non_unique<
            boost::multi_index::member<Suspect, BootTime, &Suspect::expires>>>>;

}  // namespace peridotfork

#endif  // PERIDOTFORK_INTERNAL_LIMITS_SUSPECT_TABLE_H_
