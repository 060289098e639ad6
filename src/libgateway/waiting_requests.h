#ifndef BURDOCKPULLEY_LIBGATEWAY_WAITING_REQUESTS_H
#define BURDOCKPULLEY_LIBGATEWAY_WAITING_REQUESTS_H

#include "pending_request.h"

#include "burdockpulley/key_owners.h"
#include "burdockpulley/peer_loads.h"
#include "burdockpulley/upstream_registry.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace burdockpulley {

/// The queues of requests that wait at this host, one for each service without
/// keys and one for each owner of keys.
/// Thread safety: none; it belongs to the loop's thread.
class WaitingRequests {
public:
  /// Precondition: \p Registry outlives the object.
  explicit WaitingRequests(UpstreamRegistry &Registry) : m_registry(Registry) {}

  /// The queue in which the request waits, or would have to wait.
  static QueueKey queueOf(const PendingRequest &Pending,
                          const KeyOwners &Owners) {
    const ServiceId &Service = Pending.m_service->m_name;
    return {Service, Pending.m_key ? Owners.owner(Service, *Pending.m_key)
                                   : UpstreamId()};
  }

  /// Queues a request, or refuses it if it would not be served in time.
  std::optional<Refusal> add(PendingRequest &Pending, const QueueKey &Key,
                             const ServiceCapacity &Capacity, Instant Now);
  /// What add() would decide now. Changes nothing.
  WaitProspect prospect(const PendingRequest &Pending, const QueueKey &Key,
                        const ServiceCapacity &Capacity, Instant Now) const;
  /// Does nothing if the request does not wait.
  void remove(PendingRequest &Pending);

  /// True if a request that is to be sent before \p Pending waits in a queue.
  bool anyBefore(const PendingRequest &Pending, const QueueKey &Key,
                 Instant Now);
  bool anyIn(const QueueKey &Key) const;
  /// The first request of a queue, the one after a request, and the first one
  /// with a less urgent priority of team and route; nothing if there is none.
  std::optional<RequestNumber> first(const QueueKey &Key, Instant Now);
  std::optional<RequestNumber> after(const QueueKey &Key,
                                     RequestNumber Number) const;
  std::optional<RequestNumber> afterPriority(const QueueKey &Key,
                                             RequestNumber Number) const;
  /// The queues in which requests wait.
  std::vector<QueueKey> queues() const;

  /// Removes and returns the requests that can no longer be served in time.
  /// \p CapacityFor: the capacity for the first request of a queue; nothing if
  /// that request is not known.
  using CapacityFunction =
      std::function<std::optional<ServiceCapacity>(RequestNumber)>;
  std::vector<RequestNumber> giveUp(const CapacityFunction &CapacityFor,
                                    Instant Now);

  /// Discards queues that are no longer needed. Call it a few times a second.
  void sweep(Instant Now);

  std::size_t size() const;
  /// The waiting requests of each service by priority; services without any are
  /// left out.
  std::map<ServiceId, std::map<std::uint32_t, QueuedWork>> byService() const;

private:
  void updateWaitingCount(const QueueKey &Key);

  UpstreamRegistry &m_registry;
  std::map<QueueKey, WaitQueue> m_queues;
};

/// Reason of the refusal of a request that would have to wait too long for
/// \p Capacity. Thread safety: safe.
const char *refusalReason(const ServiceCapacity &Capacity);

/// True if requests wait in a queue of this host, or for its service at other
/// hosts. Thread safety: safe.
bool anyWaits(const WaitingRequests &Here, const PeerLoads &Elsewhere,
              const QueueKey &Key);

} // namespace burdockpulley

#endif
