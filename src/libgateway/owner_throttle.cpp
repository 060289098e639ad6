#include "burdockpulley/owner_throttle.h"

#include "burdockpulley/upstream_selection.h"

#include <algorithm>

namespace burdockpulley {

bool OwnerThrottle::available(const UpstreamState &Owner, Duration WorkTime,
                              Duration StatusInterval, std::mt19937_64 &Random,
                              Instant Now) {
  return available(Owner, Owner.m_waiting, Owner.m_peerWaiting, WorkTime,
                   StatusInterval, Random, Now);
}

bool OwnerThrottle::available(const UpstreamState &Owner, double Here,
                              double Elsewhere, Duration WorkTime,
                              Duration StatusInterval, std::mt19937_64 &Random,
                              Instant Now) {
  if (Elsewhere <= 0) {
    m_remaining = 0;
    return hasCapacity(Owner);
  }
  if (Now < m_nextShareAt)
    return m_remaining > 0;
  m_nextShareAt = Now + StatusInterval;
  double MaxInFlight = maxInFlight(Owner);
  double Slots =
      std::min<double>(MaxInFlight, std::max(1U, Owner.m_record.m_slots));
  double Work = std::max(1.0, static_cast<double>(WorkTime.count()) *
                                  slotTimeFactor(Owner, Now));
  // Requests that end before the next status message free slots too. With the
  // low limit of a pace, several may follow each other in a slot meanwhile.
  double Ending = Slots * static_cast<double>(StatusInterval.count()) / Work;
  if (!Owner.m_paceLimit)
    Ending = std::min(Slots, Ending);
  double FreeSlots =
      MaxInFlight + Ending - (Owner.m_outstanding + Owner.m_peerOutstanding);
  double LocalWaiting = std::max(1.0, Here);
  double Share =
      std::max(0.0, FreeSlots) * LocalWaiting / (LocalWaiting + Elsewhere);
  std::uniform_real_distribution<double> RandomFraction(0, 1);
  // Rounds up with the probability of the fraction: the share of a host may be
  // less than one request.
  m_remaining = static_cast<std::uint32_t>(Share + RandomFraction(Random));
  return m_remaining > 0;
}

} // namespace burdockpulley
