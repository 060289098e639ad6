#ifndef BURDOCKPULLEY_STORE_STATE_H
#define BURDOCKPULLEY_STORE_STATE_H

#include "burdockpulley/store.h"

#include <map>

namespace burdockpulley {

/// A key-value map with versions and leases, in memory. It stands behind the
/// embedded store and the store stand-in.
///
/// Thread safety: none.
class StoreState {
public:
  /// Reads entries in key order.
  StoreRange read(const StoreQuery &Query) const;

  /// Applies a transaction if all its conditions hold.
  StoreCommit commit(const StoreTransaction &Change);

  /// Makes a lease that ends at \p Now plus \p TimeToLive.
  StoreLease grantLease(Duration TimeToLive, Instant Now);

  /// Renews a lease; false when it is gone.
  bool keepAlive(StoreLease Lease, Instant Now);

  /// Ends a lease; its keys are deleted with the next expire().
  void endLease(StoreLease Lease, Instant Now);

  /// Ends all leases. Their keys stay.
  void endAllLeases();

  /// Ends leases whose time is over and deletes their keys.
  void expire(Instant Now);

private:
  struct Value {
    std::string m_text;
    StoreVersion m_modified;
    StoreLease m_lease;
  };

  struct LeaseRow {
    Duration m_timeToLive;
    Instant m_end;
  };

  std::map<std::string, Value> m_values;
  std::map<StoreLease, LeaseRow> m_leases;
  StoreVersion m_version{1};
  std::int64_t m_lastLease = 0;
};

} // namespace burdockpulley

#endif
