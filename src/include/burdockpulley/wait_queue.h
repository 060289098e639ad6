#ifndef BURDOCKPULLEY_WAIT_QUEUE_H
#define BURDOCKPULLEY_WAIT_QUEUE_H

#include "burdockpulley/ranked_requests.h"
#include "burdockpulley/types.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace burdockpulley {

/// Requests of one priority that wait at other hosts.
struct PriorityLoad {
  std::uint32_t m_priority = 0;
  QueuedWork m_queued;
};

/// Slots that the requests of one priority may hold on all hosts.
struct PrioritySlots {
  std::uint32_t m_priority = 0; ///< See basePriority().
  double m_slots = 0;
};

/// Capacity of the upstreams that a request may be sent to.
struct ServiceCapacity {
  double m_slots = 0; ///< Usable slots, weighted by speed.
  /// Requests of unknown priority that go before each one that waits here. They
  /// count with its own service time.
  std::size_t m_waiting = 0;
  /// Requests a second that they take at most.
  double m_requestRate = std::numeric_limits<double>::infinity();
  Duration m_pause{}; ///< Time until they take requests at all.
  /// Requests that wait for them at other hosts, the most urgent first.
  std::vector<PriorityLoad> m_elsewhere = {};
  /// Of the priorities that may not hold all slots, the most urgent first.
  std::vector<PrioritySlots> m_limits = {};

  /// The limit of a priority; null if it may hold all slots.
  const PrioritySlots *limitOf(std::uint32_t Priority) const;
  /// The slots that a priority may hold.
  double slotsFor(std::uint32_t Priority) const;
  /// What waits elsewhere and goes before a request of a priority: all that is
  /// more urgent, and \p Share of what is equally urgent.
  /// Without what ranks before \p From.
  QueuedWork elsewhere(std::uint32_t Priority, double Share,
                       std::uint32_t From = 0) const;
};

/// A refusal, with the delay after which a retry may succeed.
struct Refusal {
  Duration m_retryAfter{};
  Duration m_wait{}; ///< Expected as the request was refused.
};

/// What WaitQueue::offer() decides about a request.
struct WaitProspect {
  double m_ahead = 0; ///< Requests here that would be sent before it.
  Duration m_wait{};
  bool m_expectedLate = false; ///< It is expected to miss its latency goal.
  bool m_refused = false;      ///< It would not be answered in time.
};

/// Requests of one service that wait at this host because no upstream has
/// capacity.
///
/// Used when load exceeds what the upstreams can handle. Requests are sent by
/// priority. Within a priority, requests that can still meet their latency goal
/// go before those that cannot, earliest goal first, so that a burst makes some
/// responses late rather than all. A request that cannot be answered before its
/// deadline is refused as soon as that is known, and on arrival if requests
/// with the same prospects were queued lately and refused in the end. Each
/// operation takes logarithmic time in the number of waiting requests.
/// Thread safety: none.
class WaitQueue {
public:
  /// Queues a request and returns nothing, or refuses it if it would not be
  /// answered in time. The retry delay grows with the share of requests that
  /// were refused lately: there will not be capacity for all of them soon, and
  /// callers retry only a few times.
  std::optional<Refusal> offer(const WaitingRequest &Request,
                               const ServiceCapacity &Capacity, Instant Now);

  /// What offer() would decide now. Changes nothing.
  WaitProspect prospect(const WaitingRequest &Request,
                        const ServiceCapacity &Capacity, Instant Now) const;

  /// The request to send first; nothing if none waits.
  std::optional<RequestNumber> first(Instant Now);
  /// The request to send after \p Number; nothing if that one does not wait, or
  /// is the last.
  std::optional<RequestNumber> after(RequestNumber Number) const;
  /// The request to send first of those with a less urgent priority of team and
  /// route than \p Number; nothing if that one does not wait, or there is none.
  std::optional<RequestNumber> afterPriority(RequestNumber Number) const;
  /// True if a request waits that is to be sent before \p Request.
  bool anyBefore(const WaitingRequest &Request, Instant Now);

  /// Removes and returns the requests that can no longer meet their deadline,
  /// by themselves or because of the requests ahead of them.
  std::vector<RequestNumber> giveUp(const ServiceCapacity &Capacity,
                                    Instant Now);

  /// Removes a request; returns false when it is not in the queue.
  bool remove(RequestNumber Number);

  std::size_t size() const { return m_waiting.size(); }

  /// Adds what waits to \p Sums, by priority.
  void addTo(std::map<std::uint32_t, QueuedWork> &Sums) const;

  /// True when the queue is empty and has refused almost nothing lately, so
  /// that deleting it has almost no effect on later refusals.
  bool discardable(Instant Now) const;

private:
  /// How the requests of one priority have ended lately that were expected, as
  /// they arrived, to miss their goal; older ones count for less.
  struct Endings {
    double m_sent = 0;
    double m_givenUp = 0;
    /// Requests of this priority have been refused since then, on arrival or
    /// later, with short gaps.
    Instant m_missesSince;
    Instant m_lastMiss;

    void onMiss(Instant Now);
    /// \p Remaining: part that is left of the counts after their decay.
    bool hopeless(double Remaining, Instant Now) const;
  };

  /// Applies the passing of time to the order.
  void advance(Instant Now);
  /// Sum over the requests to be sent before \p Rank, also if advance() has not
  /// been called for a while.
  QueuedWork ahead(const RequestRank &Rank, Instant Now) const;
  double remainingEndings(Instant Now) const;
  /// The wait, without a pause, of a request behind \p Ahead, which wait at
  /// this host. Hosts send about in turn: of the equally urgent requests
  /// elsewhere, the same share is taken to be ahead of it as of the \p
  /// OfPriority here. A request of a limited priority only waits for those of
  /// its priority: its slots are without what the more urgent ones need.
  Duration waitBehind(QueuedWork Ahead, std::uint32_t Priority,
                      double OfPriority, Duration WorkTime,
                      const ServiceCapacity &Capacity) const;
  /// Requests of a priority that wait here.
  double waitingWith(std::uint32_t Priority) const;
  void countEnding(const RankedRequests::Node &Ended, bool GivenUp);
  bool erase(RequestNumber Number);
  void decayCounts(Instant Now);

  RankedRequests m_waiting;
  /// When requests that can still meet their goal no longer can.
  std::set<std::pair<Instant, RequestNumber>> m_lateAt;
  /// Number and work of the waiting requests by priority.
  std::map<std::uint32_t, QueuedWork> m_byPriority;
  /// Requests queued and refused lately; older ones count for less.
  double m_recentlyQueued = 0;
  double m_recentlyRefused = 0;
  std::map<std::uint32_t, Endings> m_endings; ///< By priority.
  Instant m_countsDecayedAt;
};

} // namespace burdockpulley

#endif
