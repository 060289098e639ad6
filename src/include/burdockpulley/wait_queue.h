#ifndef BURDOCKPULLEY_WAIT_QUEUE_H
#define BURDOCKPULLEY_WAIT_QUEUE_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdockpulley {

/// Names one caller's request within one process.
using RequestNumber = Strong<struct RequestNumberTag, std::uint64_t>;

/// What the order of waiting requests depends on.
struct WaitingRequest {
  RequestNumber m_number;
  std::uint32_t m_priority = 0; ///< Zero is the most urgent.
  Duration m_workTime{};        ///< Expected once it is sent.
  Instant m_goal;               ///< Answers until then are worth most.
  Instant m_deadline;           ///< Answers after it are worth nothing.
};

/// What admission knows of the upstreams that a request may be sent to.
struct ServiceCapacity {
  double m_slots = 0;        ///< Usable slots, weighted by speed.
  std::size_t m_waiting = 0; ///< Requests waiting for them at peers.
};

/// A refusal, and when another try has a chance.
struct Refusal {
  Duration m_retryAfter{};
};

/// Requests of one service that wait at this host because no upstream has
/// room.
///
/// It answers load beyond what the upstreams can carry. The more urgent go
/// first; among equals those that can still meet their latency goal go before
/// those that can not, earliest goal first, so that a burst makes some answers
/// late rather than all. What can not be answered before its deadline is
/// refused as soon as that is known.
/// Thread safety: none.
class WaitQueue {
public:
  /// Refuses a request that would not be answered in time; nothing otherwise.
  /// The more of them are refused, the later they are told to come back: room
  /// for all is not to be expected soon, and callers try only a few times.
  std::optional<Refusal> offer(const WaitingRequest &Request,
                               const ServiceCapacity &Capacity, Instant Now);

  /// The waiting requests in the order in which they are to be sent.
  std::vector<RequestNumber> order(Instant Now) const;

  /// Takes out those whose deadline can not be met any more, or will not be
  /// because of what goes before them.
  std::vector<RequestNumber> giveUp(const ServiceCapacity &Capacity,
                                    Instant Now);

  /// Takes one out; false when it does not wait.
  bool remove(RequestNumber Number);

  std::size_t size() const { return m_waiting.size(); }

  /// True when nothing waits and no refusal is recent enough to matter.
  bool forgettable(Instant Now) const;

private:
  std::vector<const WaitingRequest *> ranked(Instant Now) const;
  Duration expectedWait(const WaitingRequest &Request,
                        const ServiceCapacity &Capacity, Instant Now) const;

  void age(Instant Now);

  std::map<RequestNumber, WaitingRequest> m_waiting;
  double m_taken = 0;   ///< Requests taken lately; older ones count for less.
  double m_refused = 0; ///< The same for refused ones.
  Instant m_agedAt;
};

} // namespace burdockpulley

#endif
