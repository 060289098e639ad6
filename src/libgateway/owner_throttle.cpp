#include "burdockpulley/owner_throttle.h"

#include "burdockpulley/upstream_selection.h"

#include <algorithm>

namespace burdockpulley {

bool OwnerThrottle::available(const UpstreamState &Row, Duration WorkTime,
                              Duration NewsAge, std::mt19937_64 &Random,
                              Instant Now) {
  if (Row.m_peerWaiting == 0) {
    m_left = 0;
    return hasRoom(Row);
  }
  if (Now < m_nextDraw)
    return m_left > 0;
  m_nextDraw = Now + NewsAge;
  double Slots = std::max(1U, Row.m_record.m_slots);
  double Work = std::max(1.0, static_cast<double>(WorkTime.count()) *
                                  slownessFactor(Row, Now));
  // What ends before the next news makes room too.
  double Ending =
      std::min(Slots, Slots * static_cast<double>(NewsAge.count()) / Work);
  double Room =
      Slots + QueueAhead + Ending - (Row.m_outstanding + Row.m_peerOutstanding);
  double Own = std::max(1U, Row.m_waiting);
  double Part = std::max(0.0, Room) * Own / (Own + Row.m_peerWaiting);
  std::uniform_real_distribution<double> Chance(0, 1);
  m_left = static_cast<std::uint32_t>(Part + Chance(Random));
  return m_left > 0;
}

} // namespace burdockpulley
