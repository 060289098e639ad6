#ifndef BURDOCKPULLEY_UPSTREAM_CHOOSER_H
#define BURDOCKPULLEY_UPSTREAM_CHOOSER_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <vector>

namespace burdockpulley {

/// Finds the upstreams of one service that are slow compared with their peers.
///
/// An upstream whose mean latency is several times the median of the others is
/// ejected for a time that doubles with each ejection in a row. At most a
/// share of the upstreams is ejected at once. After the time it is on
/// probation: a few requests show whether it returns or is ejected again.
///
/// Thread safety: none.
class OutlierDetector {
public:
  enum class Standing { Good, Probation, Ejected };

  /// \p MaxShare is the largest share of upstreams ejected at once, from 0
  /// to 1.
  explicit OutlierDetector(double MaxShare) : m_maxShare(MaxShare) {}

  /// A request at an upstream has ended; a failure counts as slow.
  void onResult(const UpstreamId &Which, Duration Latency, bool Failed,
                Instant Now);

  /// Ends ejections whose time is over and makes new ones.
  /// \p Members are all upstreams of the service; others are forgotten.
  void judge(std::span<const UpstreamId> Members, Instant Now);

  Standing standing(const UpstreamId &Which) const;

  /// Mean latency of an upstream; zero when nothing is known.
  Duration latency(const UpstreamId &Which) const;

private:
  struct Row {
    Duration m_mean;
    std::uint32_t m_samples = 0; ///< Since the standing last changed.
    Standing m_standing = Standing::Good;
    Instant m_until;
    std::uint32_t m_ejections = 0; ///< In a row.
  };

  Duration medianOfOthers(const UpstreamId &Which) const;
  void judgeRow(const UpstreamId &Which, Row &Each, std::size_t &Room,
                Instant Now);

  double m_maxShare;
  std::map<UpstreamId, Row> m_rows;
};

/// What the chooser knows of one upstream.
struct UpstreamCandidate {
  std::uint32_t m_slots = 1;
  std::uint32_t m_outstanding = 0; ///< Requests of this host at it.
  Duration m_latency;              ///< Zero when unknown.
  OutlierDetector::Standing m_standing = OutlierDetector::Standing::Good;
  bool m_ownDomain = false;
  bool m_tried = false; ///< This request has been there already.
};

/// Chooses the upstream for a request without a key: the better of two random
/// ones by expected time, among those of the own failure domain when they
/// have a free slot. Upstreams that were tried before or are ejected are taken
/// only when there are no others. Returns the index, or Candidates.size()
/// when there are none.
/// Thread safety: safe but for \p Random.
std::size_t chooseUpstream(std::span<const UpstreamCandidate> Candidates,
                           std::mt19937_64 &Random);

} // namespace burdockpulley

#endif
