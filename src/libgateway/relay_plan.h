#ifndef BURDOCKPULLEY_LIBGATEWAY_RELAY_PLAN_H
#define BURDOCKPULLEY_LIBGATEWAY_RELAY_PLAN_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <vector>

namespace burdockpulley {

/// A host that is to receive a message.
struct RelayCandidate {
  HostId m_host;
  DomainId m_domain;
  /// It passes messages on to its failure domain, has bandwidth for that, and
  /// has sent something lately.
  bool m_canRelay = false;
};

/// How a message goes to all hosts.
struct RelayPlan {
  /// Hosts that pass the message on to their failure domains.
  std::vector<HostId> m_relays;
  std::vector<HostId> m_direct; ///< Hosts of the other failure domains.
  /// Messages that the busiest host sends for each one, if there are many in a
  /// row and each has the next \p Round.
  double m_busiestSends = 0;
};

/// Plans how a message goes to all hosts, so that no host sends many copies.
///
/// Used when owners of keys change many times a second in a fleet of hundreds
/// of hosts: a host that sends each change to all others itself takes longer
/// for a change the more hosts there are, and requests go to the former owners
/// meanwhile. Two hosts of each failure domain pass a message on, so that the
/// loss of one costs nothing; they change with \p Round, so that all share the
/// work. A failure domain of few hosts, or with fewer than two that can relay,
/// is sent to directly.
/// Thread safety: safe.
RelayPlan planRelays(const std::vector<RelayCandidate> &Hosts,
                     std::uint64_t Round);

} // namespace burdockpulley

#endif
