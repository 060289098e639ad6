#ifndef BURDOCKPULLEY_LIBGATEWAY_SERVICE_RESERVES_H
#define BURDOCKPULLEY_LIBGATEWAY_SERVICE_RESERVES_H

#include "burdockpulley/peer_loads.h"
#include "burdockpulley/slot_reserve.h"
#include "burdockpulley/upstream_registry.h"

#include <map>
#include <vector>

namespace burdockpulley {

/// Slots that may be used while the upstream is paced. Thread safety: safe.
double usableSlots(const UpstreamState &Upstream);

/// The slot reserves of the services without keys and with 32 slots or more,
/// with the load of each as this host sees it. Services for which no request
/// has arrived lately have none. Priorities are those of priorityOf(). Thread
/// safety: none.
class ServiceReserves {
public:
  /// Precondition: the arguments outlive the object. \p WorkTimes: expected
  /// service times by service.
  ServiceReserves(UpstreamRegistry &Registry, const PeerLoads &Loads,
                  const std::map<ServiceId, Duration> &WorkTimes)
      : m_registry(Registry), m_loads(Loads), m_workTimes(WorkTimes) {}

  /// See SlotReserve::onArrival(). \p WorkTime: at an upstream of usual speed.
  void onArrival(const ServiceId &Service, std::uint32_t Priority,
                 Duration WorkTime, Instant Now);
  /// See SlotReserve::onSent() and SlotReserve::onEnded().
  void onSent(const ServiceId &Service, std::uint32_t Priority);
  void onEnded(const ServiceId &Service, std::uint32_t Priority);

  /// True if update() would compute limits now.
  bool updateDue(Instant Now) const;
  /// Computes the limits of the services for which that is due. \p Waiting:
  /// requests that wait at this host, by service and priority.
  using WaitingByService =
      std::map<ServiceId, std::map<std::uint32_t, QueuedWork>>;
  void update(const WaitingByService &Waiting, Instant Now);

  /// See SlotReserve::allows() and SlotReserve::limited().
  bool allows(const ServiceId &Service, std::uint32_t Priority) const;
  bool limited(const ServiceId &Service, std::uint32_t Priority) const;
  /// Adds the limits of a service to its capacity.
  void addLimits(const ServiceId &Service, ServiceCapacity &Capacity) const;
  /// SlotReserve::reserved() of each service.
  std::map<ServiceId, double> reserved() const;
  /// SlotReserve::report() of each service for which it is not empty.
  std::map<ServiceId, std::vector<PriorityDemand>> report(Instant Now) const;

  /// Discards reserves that hold nothing. Call it a few times a second.
  void sweep();

private:
  struct Reserve {
    SlotReserve m_slots;
    /// Mean of the upstreams as of the last update, weighted by slots. Above 1,
    /// requests take their slots for longer than usual.
    double m_slowness = 1;
  };

  const Reserve *find(const ServiceId &Service) const;
  /// Reads what the reserve of a service needs to know, and its slowness.
  SlotReserve::ServiceView view(const ServiceId &Service, double &Slowness,
                                Instant Now) const;

  UpstreamRegistry &m_registry;
  const PeerLoads &m_loads;
  const std::map<ServiceId, Duration> &m_workTimes;
  std::map<ServiceId, Reserve> m_reserves;
};

} // namespace burdockpulley

#endif
