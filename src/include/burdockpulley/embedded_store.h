#ifndef BURDOCKPULLEY_EMBEDDED_STORE_H
#define BURDOCKPULLEY_EMBEDDED_STORE_H

#include "burdockpulley/store_state.h"

#include <functional>
#include <memory>

struct event_base;

namespace burdockpulley {

/// A store inside the process, for trying the product out on a single host.
/// What it holds ends with the process; it is not for production.
///
/// Thread safety: none; it belongs to the loop's thread.
class EmbeddedStore : public Store {
public:
  using Clock = std::function<Instant()>;

  /// Precondition: \p Base outlives the store.
  EmbeddedStore(event_base *Base, Clock Now);

  void read(const StoreQuery &Query, StoreCallback<StoreRange> Done) override;
  void commit(const StoreTransaction &Change,
              StoreCallback<StoreCommit> Done) override;
  void grantLease(Duration TimeToLive, StoreCallback<StoreLease> Done) override;
  void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) override;

  /// What the store holds.
  StoreState &state() { return *m_state; }

private:
  void later(std::function<void()> Call);

  event_base *m_base;
  Clock m_now;
  /// Calls under way end with the state.
  std::shared_ptr<StoreState> m_state = std::make_shared<StoreState>();
};

} // namespace burdockpulley

#endif
