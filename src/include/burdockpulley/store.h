#ifndef BURDOCKPULLEY_STORE_H
#define BURDOCKPULLEY_STORE_H

#include "burdockpulley/types.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace burdockpulley {

/// How often the platform's store has come back from an older copy, counted by
/// the store; zero if it does not say. What was written between the copy and
/// the return is lost, and the numbers of its versions and leases are used
/// again.
using StoreEra = Strong<struct StoreEraTag, std::int64_t>;
/// Version of the platform's store, in the order of writes: the era, and within
/// it a number that each write makes higher; see combineWithEra().
using StoreVersion = Strong<struct StoreVersionTag, std::int64_t>;
/// A lease in the platform's store; zero is no lease.
using StoreLease = Strong<struct StoreLeaseTag, std::int64_t>;

namespace detail {
/// Bits of a number within an era; a million writes a second for half a year.
constexpr int EraShift = 44;
constexpr std::int64_t NumberMask = (std::int64_t(1) << EraShift) - 1;
} // namespace detail

/// Highest era that can be combined with a number.
constexpr StoreEra MaxStoreEra((std::int64_t(1) << (62 - detail::EraShift)) -
                               1);

/// Highest number of a version within an era.
constexpr std::int64_t MaxStoreNumber = detail::NumberMask;

/// Combines an era with the number of a version. Zero stays zero: no version.
/// Precondition: the era is at most MaxStoreEra. Thread safety: safe.
inline StoreVersion combineWithEra(StoreEra Era, std::int64_t Number) {
  return Number == 0 ? StoreVersion(0)
                     : StoreVersion((Era.value() << detail::EraShift) | Number);
}
/// The era of a version. Thread safety: safe.
inline StoreEra eraOf(StoreVersion Version) {
  return StoreEra(Version.value() >> detail::EraShift);
}
/// The number of a version within its era. Thread safety: safe.
inline std::int64_t numberInEra(StoreVersion Version) {
  return Version.value() & detail::NumberMask;
}

/// Why a call to the platform's store has no answer.
enum class StoreError {
  Unreachable,  ///< Not sent: a write has certainly not taken effect.
  Unknown,      ///< Sent, no answer: a write may have taken effect.
  Refused,      ///< Refused as a wrong call: it has not taken effect.
  BadAnswer,    ///< Answered with something that can not be read.
  LeaseExpired, ///< The lease is not there any more.
  Unavailable,  ///< The store says that it has done nothing.
  Compacted,    ///< The history that was asked for is not kept any more.
};

/// Name of an error as it stands in logs.
/// Thread safety: safe.
const char *toString(StoreError Error);

/// Largest value that the platform's store holds.
constexpr std::size_t MaxStoreValueBytes = std::size_t(1) << 20;

/// One key with its value.
struct StoreEntry {
  std::string m_key;
  std::string m_value;
  StoreVersion m_modified; ///< Version of the write that put the value there.
};

/// Answer to a range read.
struct StoreRange {
  std::vector<StoreEntry> m_entries;
  StoreVersion m_version; ///< Version of the whole store when it was read.
};

/// What to read: the keys that start with a prefix, or one key.
struct StoreQuery {
  std::string m_key;
  bool m_prefix = false;
  /// Only entries written at this version or later.
  StoreVersion m_modifiedSince;
};

/// Condition on a key: it was last written by this version. Zero means that
/// the key does not exist.
struct StoreCondition {
  std::string m_key;
  StoreVersion m_modified;
};

/// A key to write or, without a value, to delete.
struct StoreWrite {
  std::string m_key;
  std::string m_value;
  bool m_delete = false;
  StoreLease m_lease;
};

/// Writes that happen all together, if every condition holds, or not at all.
struct StoreTransaction {
  std::vector<StoreCondition> m_conditions;
  std::vector<StoreWrite> m_writes;
};

/// Answer to a transaction.
struct StoreCommit {
  bool m_applied = false;
  StoreVersion m_version;
};

/// Answer of the store, or why there is none.
template <class Answer> using StoreReply = std::variant<Answer, StoreError>;

/// Called once for each call to the store, on the loop's thread.
template <class Answer>
using StoreCallback = std::function<void(const StoreReply<Answer> &)>;

/// The platform's key-value service, the one place where something is kept.
///
/// Calls return at once; the callback runs later on the loop's thread, with
/// StoreError::Unknown at the latest when the call's time is over. Calls may
/// be answered in any order.
///
/// Thread safety: none; all calls come from the loop's thread.
class Store {
public:
  virtual ~Store() = default;

  /// Reads entries in key order.
  virtual void read(const StoreQuery &Query,
                    StoreCallback<StoreRange> Done) = 0;

  /// Compare-and-swap of one or more keys.
  /// Precondition: \p Change has at least one write.
  virtual void commit(const StoreTransaction &Change,
                      StoreCallback<StoreCommit> Done) = 0;

  /// Makes a lease; its keys are deleted when it is not kept alive.
  virtual void grantLease(Duration TimeToLive,
                          StoreCallback<StoreLease> Done) = 0;

  /// Renews a lease. StoreError::LeaseExpired when it is gone.
  virtual void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) = 0;
};

/// One change of a key, in the order of the store's versions.
struct StoreEvent {
  StoreEntry m_entry; ///< Without a value when the key was removed.
  bool m_removed = false;
};

/// Answer to a watch.
struct StoreEvents {
  std::vector<StoreEvent> m_events;
  StoreVersion m_version; ///< Where the next watch goes on.
};

/// A store that tells what has changed, so that hosts need not poll.
/// Thread safety: none; all calls come from the loop's thread.
class WatchableStore : public Store {
public:
  /// Waits up to \p Wait for changes of keys with a prefix that came after a
  /// version. StoreError::Compacted: read everything again.
  virtual void watch(const std::string &Prefix, StoreVersion After,
                     Duration Wait, StoreCallback<StoreEvents> Done) = 0;

  /// Called when the store is found to have come back from an older copy,
  /// before the callback of the call that shows it.
  std::function<void()> m_onRestored;

  /// Ends a lease; its keys are deleted.
  virtual void endLease(StoreLease Lease, StoreCallback<StoreLease> Done) = 0;
};

} // namespace burdockpulley

#endif
