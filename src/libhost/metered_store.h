#ifndef BURDOCKPULLEY_LIBHOST_METERED_STORE_H
#define BURDOCKPULLEY_LIBHOST_METERED_STORE_H

#include "burdockpulley/store.h"
#include "metrics.h"

#include <memory>
#include <optional>

namespace burdockpulley {

/// Counts the calls to a store and remembers when it last answered.
/// Thread safety: none; it belongs to the loop's thread.
class MeteredStore : public Store {
public:
  /// Precondition: \p Metrics outlives the store and its calls.
  MeteredStore(std::unique_ptr<Store> Inner, HostMetrics &Metrics)
      : m_inner(std::move(Inner)), m_metrics(Metrics) {}

  void read(const StoreQuery &Query, StoreCallback<StoreRange> Done) override;
  void commit(const StoreTransaction &Change,
              StoreCallback<StoreCommit> Done) override;
  void grantLease(Duration TimeToLive, StoreCallback<StoreLease> Done) override;
  void keepAlive(StoreLease Lease, StoreCallback<StoreLease> Done) override;

  /// Time since the last answer; nothing when there was none.
  std::optional<Duration> contactAge(Instant Now) const;

private:
  template <class Answer>
  StoreCallback<Answer> counted(const char *Call, StoreCallback<Answer> Done);

  std::unique_ptr<Store> m_inner;
  HostMetrics &m_metrics;
  std::optional<Instant> m_lastAnswer;
};

} // namespace burdockpulley

#endif
