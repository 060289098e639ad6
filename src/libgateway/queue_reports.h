#ifndef BURDOCKPULLEY_LIBGATEWAY_QUEUE_REPORTS_H
#define BURDOCKPULLEY_LIBGATEWAY_QUEUE_REPORTS_H

#include "burdockpulley/peer_loads.h"
#include "gateway_types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace burdockpulley {

/// Priorities that a status message tells apart in each service. The least
/// urgent ones count together, as the last of them.
constexpr std::size_t MaxQueuedPriorities = 8;

/// What a status message says of the requests of one service: those that wait
/// at this host, and its load by priority, if that is not empty. Demand that
/// rounds to zero is left out. Thread safety: safe.
wire::QueueLength encodeQueue(NameHash Service,
                              const std::map<std::uint32_t, QueuedWork> &Queued,
                              const std::vector<PriorityDemand> &Demands);

/// Adds to \p Load what a status message says of the requests of one service.
/// Counts that no host can have are replaced by the nearest possible ones, and
/// priorities above MaxQueuedPriorities are left out. Thread safety: safe.
void decodeQueue(const wire::QueueLength &Queue, PeerLoad &Load);

} // namespace burdockpulley

#endif
