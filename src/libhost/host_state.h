#ifndef BURDOCKPULLEY_LIBHOST_HOST_STATE_H
#define BURDOCKPULLEY_LIBHOST_HOST_STATE_H

#include "burdockpulley/configuration.h"
#include "burdockpulley/keepers.h"
#include "burdockpulley/ownership.h"
#include "burdockpulley/placement.h"
#include "burdockpulley/settings.h"
#include "burdockpulley/trace.h"
#include "request_observer.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace burdockpulley {

/// The tables that the systems of one host share.
/// Thread safety: none.
struct HostState {
  HostSettings m_settings;
  std::shared_ptr<const PublishedSet> m_set =
      std::make_shared<const PublishedSet>();
  OwnershipTable m_ownership;
  KeeperTable m_keepers;
  StoreVersion m_tablesSeen;    ///< Owners and keepers are complete up to here.
  std::set<HostId> m_lostHosts; ///< Hosts that do not answer.
  std::set<HostId> m_leavingHosts; ///< Hosts that are stopping.
  LoadTable m_loads;               ///< What keepers have reported to this host.
  RequestObserver *m_observer = nullptr; ///< May be null.
  Tracer *m_tracer = nullptr;            ///< Null without traces.

  /// Asked before a keyed request goes to an upstream that does not check its
  /// grants; set by the composition root.
  std::function<bool(const UpstreamId &, PartitionIndex, FencingToken, Instant)>
      m_mayServe;

  const Declarations &declared() const { return m_set->m_declarations; }

  /// Hosts of a failure domain that are neither lost nor stopping.
  std::vector<HostId> liveHosts(const DomainId &Domain) const;

  /// The host that keeps an upstream: the recorded one or, when there is no
  /// record, the preferred one. Empty when its domain has none.
  HostId keeperOf(const Upstream &Which) const;

  /// The live hosts in the order in which they plan moves: the first one
  /// plans, the next ones help out when it does not get through.
  std::vector<HostId> plannerRanks() const;
};

} // namespace burdockpulley

#endif
