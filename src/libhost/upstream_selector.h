#ifndef BURDOCKPULLEY_LIBHOST_UPSTREAM_SELECTOR_H
#define BURDOCKPULLEY_LIBHOST_UPSTREAM_SELECTOR_H

#include "host_state.h"

#include "burdockpulley/retry_budget.h"
#include "burdockpulley/upstream_chooser.h"

#include <map>
#include <random>
#include <vector>

namespace burdockpulley {

/// Chooses upstreams for requests without a key, from what this host has seen
/// of them, and holds the retry budget of each service.
///
/// Thread safety: none; it belongs to the loop's thread.
class UpstreamSelector {
public:
  explicit UpstreamSelector(const HostState &State);

  /// Chooses an upstream in service; null when there is none.
  const Upstream *choose(const Service &Target,
                         const std::vector<UpstreamId> &Tried);

  /// True when an upstream in service has not been tried.
  bool hasOther(const ServiceId &Target, const std::vector<UpstreamId> &Tried);

  /// A request has been sent to an upstream.
  void onSent(const Upstream &Which);

  /// It has ended. Without \p Counts it says nothing of the latency.
  void onEnd(const ServiceId &Target, const UpstreamId &Which, Duration Latency,
             bool Failed, bool Counts, Instant Now);

  /// Finds upstreams that are slow compared with their peers.
  void judge(Instant Now);

  RetryBudget &budget(const ServiceId &Target);

private:
  struct Row {
    Row();
    std::vector<const Upstream *> m_members;
    std::vector<UpstreamId> m_names;
    std::map<UpstreamId, std::uint32_t> m_outstanding;
    OutlierDetector m_outliers;
    RetryBudget m_budget;
  };

  Row &find(const ServiceId &Target);
  void refresh();

  const HostState &m_state;
  std::shared_ptr<const PublishedSet> m_set; ///< What the rows point into.
  std::map<ServiceId, Row> m_rows;
  std::mt19937_64 m_random;
};

} // namespace burdockpulley

#endif
