#ifndef BURDOCKPULLEY_ADMISSION_H
#define BURDOCKPULLEY_ADMISSION_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace burdockpulley {

/// Names one request within one AdmissionQueue.
using AdmissionTicket = Strong<struct AdmissionTicketTag, std::uint64_t>;

/// What admission has to know of a request.
struct AdmissionRequest {
  TeamId m_team;
  std::uint32_t m_weight = 1; ///< Share of the team; not zero.
  bool m_bulk = false;        ///< Bulk work yields to interactive work.
  Instant m_deadline;
};

/// Why a request is not run, and when another try makes sense.
struct AdmissionRefusal {
  AdmissionTicket m_ticket;
  Duration m_retryAfter;
};

/// Decides which requests an upstream runs now, which wait, and which are
/// refused.
///
/// The queue is short, because a request that can not end before its deadline
/// is refused when it comes. Teams share the upstream by weight; within a
/// team the earliest deadline goes first. Interactive requests go before
/// bulk ones, but every few of them one waiting bulk request goes.
///
/// Thread safety: none.
class AdmissionQueue {
public:
  /// \p Slots is the number of requests that the upstream runs at once; not
  /// zero.
  explicit AdmissionQueue(std::uint32_t Slots);

  /// Changes the number of slots. Requests that run go on.
  void setSlots(std::uint32_t Slots);

  /// Takes a request in, or refuses it or others in its place. The refused
  /// tickets are out of the queue and have to be answered now.
  /// Precondition: \p Ticket has not been used before.
  std::vector<AdmissionRefusal>
  offer(AdmissionTicket Ticket, const AdmissionRequest &Request, Instant Now);

  /// The next request to start, when fewer than \p Allowed, which is not zero,
  /// and fewer than the slots are running. It counts as running from now on.
  std::optional<AdmissionTicket> startNext(std::uint32_t Allowed, Instant Now);

  /// Takes out the waiting requests that can not end before their deadline
  /// any more. They have to be answered now.
  std::vector<AdmissionRefusal> giveUp(Instant Now);

  /// Takes a waiting request out. False when it is not waiting.
  bool cancel(AdmissionTicket Ticket);

  /// A request that ran has ended after \p Spent.
  /// Precondition: it was started and has not ended.
  void finish(Duration Spent);

  std::uint32_t running() const { return m_running; }
  std::size_t waiting() const { return m_waiting.size(); }

  /// How long a run takes, as seen so far.
  Duration serviceTime() const { return m_serviceTime; }

private:
  struct Waiting {
    AdmissionTicket m_ticket;
    AdmissionRequest m_request;
    Instant m_since;
  };
  struct Share {
    double m_virtualTime = 0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_weight = 1;
  };

  Duration expectedWait(const AdmissionRequest &Request) const;
  std::size_t next(bool Bulk) const;
  std::size_t mostOverShare() const;
  bool nextIsBulk() const;
  AdmissionRefusal remove(std::size_t Index);

  std::uint32_t m_slots;
  std::uint32_t m_allowed; ///< Concurrency at the last start.
  std::uint32_t m_running = 0;
  std::uint32_t m_interactiveInRow = 0;
  double m_virtualTime = 0;
  Duration m_serviceTime;
  std::vector<Waiting> m_waiting;
  std::map<TeamId, Share> m_shares;
};

} // namespace burdockpulley

#endif
