#ifndef BURDOCKPULLEY_KEY_PLANNER_H
#define BURDOCKPULLEY_KEY_PLANNER_H

#include "burdockpulley/key_table.h"

#include <map>
#include <vector>

namespace burdockpulley {

/// Requests a second for each key, forgetting what is long past.
/// Thread safety: none.
class KeyLoad {
public:
  KeyLoad();

  /// Requests for a key have come to some host.
  void add(ShardKey Key, double Count);

  /// Lets the past fade.
  void age(Instant Now);

  /// Requests a second for the keys from \p First to \p Last.
  double rate(std::uint32_t First, std::uint32_t Last) const;

  double total() const { return rate(0, ShardKeyCount - 1); }

private:
  /// A Fenwick tree over the counts.
  void addAt(std::uint32_t Key, double Count);
  double sumBelow(std::uint32_t Key) const;

  std::vector<double> m_tree;
  double m_scale = 1; ///< What a new count is worth; grows instead of fading.
  bool m_begun = false;
  Instant m_at;
};

/// An upstream that may own keys.
struct KeyCandidate {
  UpstreamId m_id;
  UpstreamIncarnation m_incarnation;
  double m_capacity = 1;      ///< Slots, weighted by speed.
  bool m_eligible = false;    ///< May be given keys.
  bool m_mustRelease = false; ///< Draining, gone, or its domain is out.
  /// The process to which keys were given has ended.
  bool m_processEnded = false;
};

using KeyCandidates = std::map<UpstreamId, KeyCandidate>;

/// Keys to be given to an upstream.
struct KeyPlacement {
  std::uint32_t m_first;
  std::uint32_t m_last;
  UpstreamId m_owner;
};

/// Places keys that nobody owns, in pieces, where they make the busiest
/// candidate least busy. \p Owned are the rest of the keys. Empty when nobody
/// may receive keys.
/// Thread safety: safe.
std::vector<KeyPlacement> placeFreeKeys(const std::vector<KeyRange> &Free,
                                        const std::vector<KeyRange> &Owned,
                                        const KeyCandidates &Candidates,
                                        const KeyLoad &Load);

/// Bounds of planMoves().
struct MoveLimits {
  std::size_t m_moves = 0; ///< Placements at the most.
  /// Requests a second, for each unit of capacity, below which no owner counts
  /// as busy.
  double m_busyRate = 0;
};

/// Chooses keys to move from busy owners to idle ones. It answers keys that
/// become hot together, and upstreams that join with nothing to do. Each
/// placement lies within one range of \p Owned.
/// Thread safety: safe.
std::vector<KeyPlacement> planMoves(const std::vector<KeyRange> &Owned,
                                    const KeyCandidates &Candidates,
                                    const KeyLoad &Load,
                                    const MoveLimits &Limits);

} // namespace burdockpulley

#endif
