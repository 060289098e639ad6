#ifndef BURDOCKPULLEY_PEER_LOADS_H
#define BURDOCKPULLEY_PEER_LOADS_H

#include "burdockpulley/slot_reserve.h"
#include "burdockpulley/upstream_registry.h"
#include "burdockpulley/wait_queue.h"

#include <unordered_map>
#include <vector>

namespace burdockpulley {

/// Hash of the name of an upstream or service, sent in place of the name
/// between hosts of one deployment.
using NameHash = Strong<struct NameHashTag, std::int32_t>;

/// Hashes a name; the same on all hosts. Thread safety: safe.
NameHash nameHash(const std::string &Name);

/// Load of one upstream as reported by one host.
struct PeerUpstreamLoad {
  NameHash m_upstream;
  std::uint32_t m_outstanding = 0; ///< The host's requests at the upstream.
  std::uint32_t m_waiting = 0;     ///< Requests waiting for it at the host.
  double m_serviceTimeRatio = 1;   ///< Mean of the new samples.
  std::uint32_t m_serviceTimeSamples = 0;
  std::uint32_t m_failures = 0; ///< Samples that were refusals or failures.
  bool m_hasReport = false;     ///< True when the members below are set.
  LoadReport m_report;          ///< Newest report that the host has received.
  Duration m_reportAge{};
  /// Time since the upstream's last response to the host, if it is recent.
  std::optional<Duration> m_answeredAge;
  bool m_hasRequestLimit = false; ///< True when the two members below are set.
  std::optional<double> m_requestLimit; ///< See RequestLimit::m_rate.
  Duration m_requestLimitAge{};
  /// Requests that the host has sent to the upstream since the host's start;
  /// only reported while the upstream limits them, is cold or is paced.
  std::optional<std::uint32_t> m_sent;
  /// The start of the upstream that has said to the host that it leaves.
  std::optional<UpstreamIncarnation> m_leavingIncarnation;
};

/// Load report of one host.
struct PeerLoad {
  std::vector<PeerUpstreamLoad> m_upstreams;
  std::map<NameHash, std::uint32_t> m_waiting; ///< Requests by service.
  /// The same by priority; missing for services of older hosts.
  std::map<NameHash, std::vector<PriorityLoad>> m_priorities;
  /// Load by priority of the services whose requests compete for slots. What
  /// waits is not part of it. Missing for services of older hosts.
  std::map<NameHash, std::vector<PriorityDemand>> m_demands;
};

/// Requests of one service that wait at other hosts.
struct PeerQueues {
  std::uint32_t m_unknownPriority = 0; ///< At older hosts.
  std::map<std::uint32_t, QueuedWork> m_byPriority;

  /// Number of all, and of those more urgent than \p Priority. Those of unknown
  /// priority count as equally urgent.
  double total() const;
  double moreUrgent(std::uint32_t Priority) const;
  /// Adds \p Waiting of them to what a request waits for. Hosts report the
  /// priorities of a service's requests, but not those for each owner of keys:
  /// these are taken to be in proportion.
  void addTo(ServiceCapacity &Capacity, double Waiting) const;
};

/// Hosts of other failure domains receive one load report out of this many.
constexpr std::uint64_t RemoteStatusPeriod = 3;

/// Interval at which each of \p Hosts hosts sends its load to the others of its
/// failure domain. It grows with the number of hosts, so that the messages of
/// one host grow no faster than that number. Thread safety: safe.
Duration statusInterval(std::size_t Hosts);

/// Time after which a host counts as silent if its status messages, of which
/// one may be lost, are all that is heard of it. \p InOtherDomain: it belongs
/// to another failure domain than this host. Thread safety: safe.
Duration statusSilenceLimit(std::size_t Hosts, bool InOtherDomain);

/// Adds up the load reports of the other hosts in the upstreams of the
/// registry. Hosts that have stopped reporting are not counted.
/// Thread safety: none.
class PeerLoads {
public:
  /// Precondition: \p Registry outlives the object.
  explicit PeerLoads(UpstreamRegistry &Registry) : m_registry(Registry) {}

  /// Replaces the previous report of a host.
  void onLoad(const HostId &Host, PeerLoad Load, Instant Now);

  /// Removes hosts that have stopped reporting. The cost is constant until one
  /// may have.
  void expire(Instant Now);

  /// The upstream with this name hash; null when the registry has none.
  UpstreamState *find(NameHash Hash);

  /// Requests of a service that wait at other hosts.
  const PeerQueues &queues(const ServiceId &Service) const;

  /// The same of all services for which requests wait.
  const std::map<NameHash, PeerQueues> &queues() const { return m_queues; }

  /// Load of the other hosts at a service, by priority: what they report of it,
  /// and the requests that wait there.
  std::vector<PriorityDemand> demands(const ServiceId &Service) const;

  /// Number of other hosts that are reporting.
  std::size_t hosts() const { return m_hosts.size(); }

private:
  struct HostLoad {
    PeerLoad m_load;
    Instant m_receivedAt;
  };

  /// Applies what a host reports of one upstream. \p Previous is the host's
  /// previous report.
  void onUpstreamLoad(const HostId &Host, const PeerUpstreamLoad &Reported,
                      const PeerLoad &Previous, Instant Now);
  /// Adds the requests that a host has sent since its previous report.
  static void addSent(UpstreamState &Upstream, const PeerUpstreamLoad &Reported,
                      const PeerLoad &Previous);
  /// Adds the requests that wait at a host to the totals, or subtracts them if
  /// \p Sign is negative.
  void addQueues(const PeerLoad &Load, int Sign);
  /// Adds the load by priority that a host reports, or subtracts it if \p Sign
  /// is negative.
  void addDemands(const PeerLoad &Load, int Sign);
  /// Adds a host's load to the totals, or subtracts it if \p Sign is negative.
  void addToTotals(const PeerLoad &Load, int Sign);

  UpstreamRegistry &m_registry;
  std::map<HostId, HostLoad> m_hosts;
  /// No report of m_hosts is older.
  Instant m_oldestReport;
  std::map<NameHash, PeerQueues> m_queues; ///< By service.
  /// Without what waits, by service and priority.
  std::map<NameHash, std::map<std::uint32_t, PriorityDemand>> m_demands;
  std::unordered_map<NameHash, UpstreamId> m_idsByHash;
  /// UpstreamRegistry::membership() from which m_idsByHash was built.
  std::uint64_t m_indexedMembership = 0;
};

} // namespace burdockpulley

#endif
