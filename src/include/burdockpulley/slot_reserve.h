#ifndef BURDOCKPULLEY_SLOT_RESERVE_H
#define BURDOCKPULLEY_SLOT_RESERVE_H

#include "burdockpulley/types.h"
#include "burdockpulley/wait_queue.h"

#include <cstdint>
#include <map>
#include <vector>

namespace burdockpulley {

/// Load of the requests of one priority at one service.
struct PriorityDemand {
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  double m_arrivals = 0;        ///< Requests a second.
  double m_inFlight = 0;        ///< Sent to upstreams and not answered yet.
  double m_waiting = 0;
};

/// Divides the slots of one service without keys among the priorities of its
/// requests, on one host.
///
/// Used when less urgent requests would fill all slots within one of their
/// service times, and urgent ones that arrive a moment later would wait for
/// them. A host learns only after 160 to 480 ms that urgent requests wait at
/// other hosts, and would give slots to less urgent ones meanwhile.
///
/// Less urgent requests may hold the slots that the expected demand of the more
/// urgent ones leaves: arrivals a second on all hosts times service time, plus
/// two standard deviations. While requests of a priority wait, they keep at
/// least their share, by requests, of a tenth of the slots. If a priority needs
/// fewer slots than it may hold, its requests are not limited. Otherwise each
/// host sends its share, by demand, of the rate at which these slots become
/// free. This rate changes slowly, so that outdated reports of other hosts do
/// no harm.
///
/// Returning requests, and those above their team's share, count as the others
/// of the same priority of team and route. Nothing is limited with one
/// priority, without a usable upstream, or while hosts that do not report
/// priorities have more than half of the requests in flight. Thread safety:
/// none.
class SlotReserve {
public:
  /// The service as seen by this host.
  struct ServiceView {
    double m_slots = 0; ///< Of all usable upstreams.
    /// Requests in flight from hosts that do not report priorities.
    double m_unknownInFlight = 0;
    /// Of the other hosts, in any order. A priority may occur several times.
    /// Hosts that report no load by priority are only in m_waiting.
    std::vector<PriorityDemand> m_others = {};
    /// Requests that wait at this host, by priority.
    std::map<std::uint32_t, double> m_waitingHere = {};
  };

  /// Counts a new request. \p WorkTime: its expected service time.
  void onArrival(std::uint32_t Priority, Duration WorkTime, Instant Now);
  /// A request is sent to an upstream, whether or not it was allowed.
  void onSent(std::uint32_t Priority);
  /// An attempt at an upstream has ended. Precondition: onSent().
  void onEnded(std::uint32_t Priority);

  /// Computes the limits. Call it every UpdateInterval; a call sooner than that
  /// after the last one has no effect.
  void update(const ServiceView &View, Instant Now);
  /// True if update() would compute the limits now.
  bool updateDue(Instant Now) const {
    return Now - m_updatedAt >= UpdateInterval;
  }

  /// True if a request of this priority may be sent now. Logarithmic in the
  /// number of priorities.
  bool allows(std::uint32_t Priority) const;

  /// True if a request of this priority needs a token.
  bool limited(std::uint32_t Priority) const;
  /// What the requests of the limited priorities may hold, on all hosts, the
  /// most urgent first.
  std::vector<PrioritySlots> limits() const;

  /// Slots that the requests of a priority may hold, on all hosts; \p Slots if
  /// they are not limited.
  double slotsFor(std::uint32_t Priority, double Slots) const;
  /// Slots that the least urgent requests leave free.
  double reserved() const { return m_reserved; }
  /// True if there is nothing to remember, as of the last update.
  bool empty() const { return m_kinds.empty(); }
  /// This host's load by priority, for the other hosts. Empty unless requests
  /// of two or more priorities have arrived here within RecentTime, or are
  /// known to arrive or wait at other hosts.
  std::vector<PriorityDemand> report(Instant Now) const;

  static constexpr Duration UpdateInterval{20'000};
  /// Nothing is reserved for a priority without arrivals for this time.
  static constexpr Duration RecentTime{3'000'000};

private:
  struct Kind {
    // Of this host:
    double m_arrivals = 0; ///< A second, averaged.
    std::uint32_t m_newArrivals = 0;
    Instant m_lastArrival;
    bool m_hasArrived = false;
    double m_workSeconds = 0; ///< Mean; 0 if no request has arrived here.
    std::uint32_t m_inFlight = 0;
    double m_waiting = 0;
    // Of the others:
    PriorityDemand m_others;
    // Result of update():
    bool m_limited = false;
    double m_slots = 0;  ///< That it may hold if it is limited.
    double m_tokens = 0; ///< Requests that may be sent while it is limited.

    bool arrivedLately(Instant Now) const {
      return m_hasArrived && Now - m_lastArrival <= RecentTime;
    }
    double arrivals() const { return m_arrivals + m_others.m_arrivals; }
    double inFlight() const { return m_inFlight + m_others.m_inFlight; }
    double waiting() const { return m_waiting + m_others.m_waiting; }
  };

  void measure(const ServiceView &View, double Seconds, Instant Now);
  /// \p Slots: for the requests of the hosts that report priorities; without
  /// any, nothing is limited.
  void setLimits(double Slots, double Seconds);
  /// Mean service time of the kinds that have one.
  double meanWork() const;

  std::map<std::uint32_t, Kind> m_kinds; ///< The most urgent first.
  double m_reserved = 0;
  Instant m_updatedAt;
};

} // namespace burdockpulley

#endif
