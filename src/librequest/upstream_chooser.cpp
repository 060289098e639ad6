#include "burdockpulley/upstream_chooser.h"

namespace burdockpulley {

namespace {

using Standing = OutlierDetector::Standing;

/// Candidates of a lower class are taken before those of a higher one.
int preference(const UpstreamCandidate &Each) {
  bool Room = Each.m_outstanding < Each.m_slots;
  bool Usable =
      Each.m_standing == Standing::Good ||
      (Each.m_standing == Standing::Probation && Each.m_outstanding == 0);
  if (Each.m_tried)
    return Usable ? 3 : 5;
  if (!Usable)
    return 4;
  if (!Room)
    return 2;
  return Each.m_ownDomain ? 0 : 1;
}

/// Expected time of one more request, in slot-times of the upstream.
double cost(const UpstreamCandidate &Each) {
  double Latency = static_cast<double>(Each.m_latency.count()) + 1;
  return Latency * (Each.m_outstanding + 1) / Each.m_slots;
}

} // namespace

std::size_t chooseUpstream(std::span<const UpstreamCandidate> Candidates,
                           std::mt19937_64 &Random) {
  std::vector<std::size_t> Best;
  int BestClass = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    int Class = preference(Candidates[I]);
    if (!Best.empty() && Class > BestClass)
      continue;
    if (Best.empty() || Class < BestClass)
      Best.clear();
    BestClass = Class;
    Best.push_back(I);
  }
  if (Best.empty())
    return Candidates.size();
  std::size_t First = Best[Random() % Best.size()];
  std::size_t Second = Best[Random() % Best.size()];
  return cost(Candidates[Second]) < cost(Candidates[First]) ? Second : First;
}

} // namespace burdockpulley
