#ifndef BURDOCKPULLEY_KEY_PLANNER_H
#define BURDOCKPULLEY_KEY_PLANNER_H

#include "burdockpulley/key_table.h"

#include <limits>
#include <map>
#include <vector>

namespace burdockpulley {

/// Requests a second for each key, as an average that decays exponentially.
/// Thread safety: none.
class KeyLoad {
public:
  KeyLoad();

  /// Adds \p Count requests for a key, received by any host. Keys out of range
  /// are ignored.
  void add(ShardKey Key, double Count);

  /// Decays the counts by the time since the last call.
  void decay(Instant Now);

  /// Requests a second for the keys from \p First to \p Last, inclusive.
  double rate(std::uint32_t First, std::uint32_t Last) const;

  double total() const { return rate(0, ShardKeyCount - 1); }

private:
  void addAt(std::uint32_t Key, double Count);
  double sumBelow(std::uint32_t Key) const;

  std::vector<double> m_tree; ///< A Fenwick tree over the counts.
  /// Weight of a new count. It grows, so that the counts in the tree decay
  /// relative to new ones without being changed.
  double m_scale = 1;
  bool m_decayStarted = false; ///< m_lastDecayAt is set.
  Instant m_lastDecayAt;
};

/// An upstream that may own keys.
struct KeyCandidate {
  UpstreamId m_id;
  UpstreamIncarnation m_incarnation;
  double m_capacity = 1; ///< Slots, weighted by speed.
  /// Requests a second that it takes at most.
  double m_maxRate = std::numeric_limits<double>::infinity();
  bool m_eligible = false; ///< May be assigned keys.
  /// Draining, gone, not at its address, or its domain is out.
  bool m_mustRelease = false;
  /// The process has ended; see UpstreamRegistry::addressTaken().
  bool m_processEnded = false;
};

using KeyCandidates = std::map<UpstreamId, KeyCandidate>;

/// Keys to be assigned to an upstream.
struct KeyPlacement {
  std::uint32_t m_first;
  std::uint32_t m_last; ///< Inclusive.
  UpstreamId m_owner;
};

/// Assigns keys without an owner, in pieces, so that the highest load relative
/// to capacity stays low. \p Owned are all other keys. Empty when no candidate
/// is eligible.
/// Thread safety: safe.
std::vector<KeyPlacement> placeFreeKeys(const std::vector<KeyRange> &Free,
                                        const std::vector<KeyRange> &Owned,
                                        const KeyCandidates &Candidates,
                                        const KeyLoad &Load);

/// Rates of an owner in requests a second for each unit of capacity.
struct OwnerRates {
  /// No owner counts as busy below this rate.
  double m_busy = 0;
  /// At this rate no slot is free. No piece is moved to an owner that would get
  /// more.
  double m_full = std::numeric_limits<double>::infinity();
};

/// Bounds of planMoves().
struct MoveLimits {
  std::size_t m_moves = 0; ///< Largest number of placements.
  OwnerRates m_rates;
  /// An upstream that owns no keys yet gets its share in this many parts, from
  /// several owners.
  double m_newcomerParts = 3;
};

/// Utilization that owners with \p Slots slots are meant to have at most when
/// keys are moved between them. The more slots, the higher it is, because a
/// request waits only if it finds all of them taken. Thread safety: safe.
double busyUtilization(std::uint32_t Slots);

/// Chooses keys to move from busy owners to idle ones, to spread keys that
/// become hot together and to use upstreams that have just joined and own
/// nothing. Each placement lies within one range of \p Owned.
/// Thread safety: safe.
std::vector<KeyPlacement> planMoves(const std::vector<KeyRange> &Owned,
                                    const KeyCandidates &Candidates,
                                    const KeyLoad &Load,
                                    const MoveLimits &Limits);

} // namespace burdockpulley

#endif
