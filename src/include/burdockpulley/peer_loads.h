#ifndef BURDOCKPULLEY_PEER_LOADS_H
#define BURDOCKPULLEY_PEER_LOADS_H

#include "burdockpulley/upstream_registry.h"

#include <unordered_map>
#include <vector>

namespace burdockpulley {

/// Short name of an upstream or service between hosts of one deployment.
using NameHash = Strong<struct NameHashTag, std::int32_t>;

/// Thread safety: safe.
NameHash nameHash(const std::string &Name);

/// Load that one host tells of one upstream.
struct PeerUpstreamLoad {
  NameHash m_upstream;
  std::uint32_t m_outstanding = 0; ///< The host's requests at it.
  std::uint32_t m_waiting = 0;     ///< Those that wait for it at the host.
  double m_serviceTimeRatio = 1;   ///< Mean of new observations.
  std::uint32_t m_serviceTimeSamples = 0;
  bool m_reported = false; ///< The rest is there.
  LoadReport m_report;     ///< Newest that the host has seen.
  Duration m_reportAge{};
};

/// All that one host tells of its load.
struct PeerLoad {
  std::vector<PeerUpstreamLoad> m_upstreams;
  std::map<NameHash, std::uint32_t> m_waiting; ///< By service.
};

/// How often each of \p Hosts hosts tells its load to the others of its
/// failure domain: less often when there are many, so that a host's messages
/// grow no faster than their number. Thread safety: safe.
Duration statusInterval(std::size_t Hosts);

/// Adds up what the other hosts tell of their load, into the registry's rows.
/// A host that has not been heard of for a while counts for nothing.
/// Thread safety: none.
class PeerLoads {
public:
  /// Precondition: \p Registry outlives the object.
  explicit PeerLoads(UpstreamRegistry &Registry) : m_registry(Registry) {}

  /// Replaces what a host has told before.
  void onLoad(const HostId &Host, PeerLoad Told, Instant Now);

  /// Forgets hosts that have not been heard of.
  void expire(Instant Now);

  /// The upstream of a short name; null when it is not known here.
  UpstreamState *find(NameHash Upstream);

  /// Requests of a service that wait at other hosts.
  std::uint32_t waiting(const ServiceId &Service) const;

  /// Hosts heard of lately, without this one.
  std::size_t hosts() const { return m_hosts.size(); }

private:
  struct Row {
    PeerLoad m_load;
    Instant m_heard;
  };

  void count(const PeerLoad &Load, int Sign);

  UpstreamRegistry &m_registry;
  std::map<HostId, Row> m_hosts;
  std::unordered_map<NameHash, UpstreamId> m_names;
  std::uint64_t m_namesOf = 0; ///< The registry's membership that they show.
};

} // namespace burdockpulley

#endif
