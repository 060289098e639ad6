#ifndef BURDOCKPULLEY_LIBHOST_LOAD_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_LOAD_DRIVER_H

#include "burdockpulley/repeating_timer.h"
#include "host_state.h"

#include "burdockpulley/load_meter.h"
#include "burdockpulley/peer.h"

#include <map>

namespace burdockpulley {

namespace wire {
class LoadReport;
} // namespace wire

/// Counts the requests of the partitions that this host keeps, and reports
/// their rates to the host that plans moves.
///
/// Thread safety: none; it belongs to the loop's thread.
class LoadDriver {
public:
  LoadDriver(event_base *Base, HostState &State, PeerNetwork &Peers);

  /// Counts a request that has come for an upstream.
  void count(const UpstreamId &Upstream, PartitionIndex Partition);

  /// Takes over the report of another keeper.
  void onReport(const wire::LoadReport &Report);

private:
  void report(Instant Now);

  HostState &m_state;
  PeerNetwork &m_peers;
  std::map<UpstreamId, LoadMeter> m_meters;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
