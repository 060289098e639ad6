#ifndef BURDOCKPULLEY_LIBGATEWAY_GATEWAY_METRICS_H
#define BURDOCKPULLEY_LIBGATEWAY_GATEWAY_METRICS_H

#include "burdockpulley/caller_listener.h"
#include "burdockpulley/memory_budget.h"
#include "burdockpulley/types.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>
#include <string_view>

namespace burdockpulley {

/// The metrics of one entry host. No label contains an API key, a shard key,
/// a path or a caller.
/// Thread safety: none; it belongs to the loop's thread.
class GatewayMetrics {
public:
  GatewayMetrics();

  /// A caller's request has got its final response, or the caller has gone.
  /// \p Outcome comes from a fixed set.
  void onRequestEnded(const std::string &Route, std::string_view Outcome,
                      Duration Time);
  /// A request that was refused before has got its final response. \p Outcome
  /// comes from a fixed set.
  void onReturnEnded(const std::string &Route, std::string_view Outcome);
  /// A request was refused as its team has used up its quota. Teams beyond
  /// MaxTeamLabels are counted together.
  void onQuotaRefusal(const TeamId &Team);
  /// A request was ranked behind others as its team is above its share of the
  /// capacity. Teams beyond MaxTeamLabels are counted together.
  void onAboveShare(const TeamId &Team);
  /// A request was held back as slots are reserved for other priorities.
  void onHeldForUrgent(const std::string &Route);
  /// Slots of a service that the least urgent requests leave free.
  void setReservedSlots(const ServiceId &Service, double Slots);
  /// A request needed an API key and had no known one.
  void onUnknownApiKey();
  /// An attempt at an upstream has ended. \p Outcome comes from a fixed set.
  void onAttempt(const ServiceId &Service, std::string_view Outcome);
  /// A request is sent to an upstream or a host once more. \p Charged: at the
  /// cost of one retry from the budget.
  void onRetry(const ServiceId &Service, bool Charged);
  /// Hosts whose load is known to this one, and hosts that have equal shares of
  /// the limits of all; both include this host.
  void setFleet(std::size_t Heard, std::size_t Sharing);
  /// An attempt at an upstream has failed as that had no free slot.
  void onFullUpstream(const ServiceId &Service);
  /// A call to the store has ended. \p Call and \p Result come from fixed sets.
  void onStoreCall(std::string_view Call, std::string_view Result);
  /// A grant has ended, \p Time after the decision to send it. \p Outcome comes
  /// from a fixed set.
  void onGrantEnded(std::string_view Outcome, Duration Time);
  /// A range of keys has lost its owner. \p Reason comes from a fixed set.
  void onKeysFreed(std::string_view Reason);
  /// Datagrams dropped so far because no host of the fleet has sent them.
  void setRejectedDatagrams(std::uint64_t Count);
  void setRevision(Revision Number);
  void setWaiting(std::size_t Requests);
  /// \p Lost: this host has lost its paths to all upstreams.
  void setPathsLost(bool Lost);
  void setLimitedUpstreams(std::size_t Count);
  void setPausedUpstreams(std::size_t Count);
  void setPacedUpstreams(std::size_t Count);
  void setLeavingUpstreams(std::size_t Count);
  /// The charges of \p Budget by kind.
  void setMemory(const MemoryBudget &Budget);
  /// \p Counts of a listener; \p Listener comes from a fixed set.
  void
  setCallerLimits(const char *Listener,
                  const std::array<std::uint64_t, CallerLimitCount> &Counts);
  void setCoordinating(bool IsCoordinator);
  /// Negative if the store has never responded.
  void setStoreContactAge(double Seconds);
  void setStoreNewsAge(double Seconds);

  /// All values in the Prometheus text format.
  std::string text() const;

  /// Configurations may rename teams for as long as a host runs, and each label
  /// value stays in memory.
  static constexpr std::size_t MaxTeamLabels = 200;

private:
  std::string teamLabel(const TeamId &Team);

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter> &m_requests;
  prometheus::Family<prometheus::Histogram> &m_requestSeconds;
  prometheus::Family<prometheus::Counter> &m_returns;
  prometheus::Family<prometheus::Counter> &m_quotaRefusals;
  prometheus::Family<prometheus::Counter> &m_aboveShare;
  std::set<TeamId> m_teamLabels;
  prometheus::Family<prometheus::Counter> &m_heldForUrgent;
  prometheus::Family<prometheus::Gauge> &m_reservedSlots;
  prometheus::Counter &m_unknownApiKeys;
  prometheus::Family<prometheus::Counter> &m_attempts;
  prometheus::Family<prometheus::Counter> &m_retries;
  prometheus::Family<prometheus::Counter> &m_metFullUpstream;
  prometheus::Family<prometheus::Counter> &m_storeCalls;
  prometheus::Family<prometheus::Histogram> &m_grantSeconds;
  prometheus::Family<prometheus::Counter> &m_keysFreed;
  prometheus::Family<prometheus::Gauge> &m_chargedBytes;
  prometheus::Family<prometheus::Counter> &m_callersLimited;
  prometheus::Gauge &m_maxChargedBytes;
  prometheus::Gauge &m_rejectedDatagrams;
  prometheus::Gauge &m_revision;
  prometheus::Gauge &m_waitingRequests;
  prometheus::Gauge &m_heardHosts;
  prometheus::Gauge &m_sharingHosts;
  prometheus::Gauge &m_pathsLost;
  prometheus::Gauge &m_limitedUpstreams;
  prometheus::Gauge &m_pausedUpstreams;
  prometheus::Gauge &m_pacedUpstreams;
  prometheus::Gauge &m_leavingUpstreams;
  prometheus::Gauge &m_coordinating;
  prometheus::Gauge &m_storeContactAge;
  prometheus::Gauge &m_storeNewsAge;
};

} // namespace burdockpulley

#endif
