#include "burdockpulley/slot_reserve.h"

#include "burdockpulley/team_shares.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Time constant of the arrival rates. Short, because bursts last few seconds.
constexpr double RateSeconds = 0.5;
/// Weight of a new sample in the mean service time.
constexpr double WorkWeight = 0.1;
/// Standard deviations that are kept free, as arrivals are random.
constexpr double Margin = 2;
/// Share of the slots that is divided among all requests while they wait.
constexpr double KeptShare = 0.1;
/// Share of the difference between limit and use that is made up for within one
/// service time. Below 1, because the use is known with a delay.
constexpr double Correction = 0.5;
/// Requests that a host may send at once while their priority is limited, or
/// its share of this time, if that is more: with few hosts, two requests in
/// each update interval are far less than the share.
constexpr double MaxTokens = 2;
constexpr double MaxTokenSeconds = 0.1;
/// Least service time, which rates are computed with.
constexpr double MinWorkSeconds = 0.001;
/// Gaps between updates count as no longer than this.
constexpr double MaxGapSeconds = 1;

/// The number of slots in use varies like a Poisson variable, if each request
/// is sent at once.
double withMargin(double MeanSlots) {
  return MeanSlots + Margin * std::sqrt(MeanSlots);
}

} // namespace

void SlotReserve::onArrival(std::uint32_t Priority, Duration WorkTime,
                            Instant Now) {
  Kind &Of = m_kinds[basePriority(Priority)];
  double Seconds =
      std::max(MinWorkSeconds, std::chrono::duration<double>(WorkTime).count());
  Of.m_workSeconds =
      Of.m_workSeconds > 0
          ? Of.m_workSeconds + WorkWeight * (Seconds - Of.m_workSeconds)
          : Seconds;
  ++Of.m_newArrivals;
  Of.m_lastArrival = Now;
  Of.m_hasArrived = true;
}

void SlotReserve::onSent(std::uint32_t Priority) {
  Kind &Of = m_kinds[basePriority(Priority)];
  ++Of.m_inFlight;
  Of.m_tokens = std::max(0.0, Of.m_tokens - 1);
}

void SlotReserve::onEnded(std::uint32_t Priority) {
  auto It = m_kinds.find(basePriority(Priority));
  if (It != m_kinds.end() && It->second.m_inFlight > 0)
    --It->second.m_inFlight;
}

void SlotReserve::update(const ServiceView &View, Instant Now) {
  if (!updateDue(Now))
    return;
  double Seconds = std::min(
      MaxGapSeconds, std::chrono::duration<double>(Now - m_updatedAt).count());
  m_updatedAt = Now;
  measure(View, Seconds, Now);
  double Known = 0;
  for (const auto &[Priority, Of] : m_kinds)
    Known += Of.inFlight();
  // A margin for the few requests of the hosts that report would take most of
  // the slots that the others leave.
  bool MostUnknown = View.m_unknownInFlight > Known;
  setLimits(MostUnknown ? 0 : View.m_slots - View.m_unknownInFlight, Seconds);
}

void SlotReserve::measure(const ServiceView &View, double Seconds,
                          Instant Now) {
  for (auto &[Priority, Of] : m_kinds) {
    double Weight = 1 - std::exp(-Seconds / RateSeconds);
    Of.m_arrivals += Weight * (Of.m_newArrivals / Seconds - Of.m_arrivals);
    Of.m_newArrivals = 0;
    if (!Of.arrivedLately(Now))
      Of.m_arrivals = 0;
    Of.m_waiting = 0;
    Of.m_others = {};
  }
  for (const auto &[Priority, Waiting] : View.m_waitingHere)
    m_kinds[basePriority(Priority)].m_waiting += Waiting;
  for (const PriorityDemand &Other : View.m_others) {
    PriorityDemand &Sum = m_kinds[basePriority(Other.m_priority)].m_others;
    Sum.m_arrivals += Other.m_arrivals;
    Sum.m_inFlight += Other.m_inFlight;
    Sum.m_waiting += Other.m_waiting;
  }
  std::erase_if(m_kinds, [](const auto &Entry) {
    const Kind &Of = Entry.second;
    return Of.arrivals() <= 0 && Of.inFlight() <= 0 && Of.waiting() <= 0;
  });
}

double SlotReserve::meanWork() const {
  double Sum = 0;
  int Known = 0;
  for (const auto &[Priority, Of] : m_kinds) {
    Sum += Of.m_workSeconds;
    Known += Of.m_workSeconds > 0 ? 1 : 0;
  }
  return Known > 0 ? Sum / Known : 0;
}

void SlotReserve::setLimits(double Slots, double Seconds) {
  m_reserved = 0;
  double DefaultWork = meanWork();
  auto Demanding =
      std::count_if(m_kinds.begin(), m_kinds.end(), [](const auto &Entry) {
        return Entry.second.arrivals() > 0 || Entry.second.waiting() > 0;
      });
  if (Demanding < 2 || DefaultWork <= 0 || Slots <= 0) {
    for (auto &[Priority, Of] : m_kinds)
      Of.m_limited = false;
    return;
  }
  double Arrivals = 0;
  for (const auto &[Priority, Of] : m_kinds)
    Arrivals += Of.arrivals();
  auto Kept = [&](const Kind &Of) {
    if (Of.waiting() < 1)
      return 0.0;
    double Share = Arrivals > 0 ? Of.arrivals() / Arrivals : 0;
    return std::max(1.0, KeptShare * Slots * Share);
  };
  double KeptByLessUrgent = 0;
  for (const auto &[Priority, Of] : m_kinds)
    KeptByLessUrgent += Kept(Of);
  double MoreUrgent = 0; // Slots that the more urgent ones need on average.
  for (auto &[Priority, Of] : m_kinds) {
    KeptByLessUrgent -= Kept(Of);
    double Work = Of.m_workSeconds > 0 ? Of.m_workSeconds : DefaultWork;
    double Mean = Of.arrivals() * Work;
    m_reserved = withMargin(MoreUrgent);
    Of.m_slots = std::max(Kept(Of), Slots - m_reserved - KeptByLessUrgent);
    double Needed = std::max(Mean, Of.inFlight() + Of.waiting());
    Of.m_limited =
        m_reserved + KeptByLessUrgent > 0 && withMargin(Needed) > Of.m_slots;
    // Waiting requests count as arriving within one service time.
    double DemandHere = Of.m_arrivals + Of.m_waiting / Work;
    double Demand = Of.arrivals() + Of.waiting() / Work;
    double Share = Demand > 0 ? DemandHere / Demand : 1;
    double Rate =
        (Of.m_slots + Correction * (Of.m_slots - Of.inFlight())) / Work;
    Rate = std::max(0.0, Rate);
    double MostTokens =
        std::max(MaxTokens, Share * std::min(Seconds, MaxTokenSeconds) * Rate);
    Of.m_tokens = std::min(MostTokens, Of.m_tokens + Share * Seconds * Rate);
    MoreUrgent += Mean;
  }
}

bool SlotReserve::allows(std::uint32_t Priority) const {
  auto It = m_kinds.find(basePriority(Priority));
  return It == m_kinds.end() || !It->second.m_limited ||
         It->second.m_tokens >= 1;
}

bool SlotReserve::limited(std::uint32_t Priority) const {
  auto It = m_kinds.find(basePriority(Priority));
  return It != m_kinds.end() && It->second.m_limited;
}

std::vector<PrioritySlots> SlotReserve::limits() const {
  std::vector<PrioritySlots> Limits;
  for (const auto &[Priority, Of] : m_kinds)
    if (Of.m_limited)
      Limits.push_back({Priority, Of.m_slots});
  return Limits;
}

double SlotReserve::slotsFor(std::uint32_t Priority, double Slots) const {
  auto It = m_kinds.find(basePriority(Priority));
  return It == m_kinds.end() || !It->second.m_limited
             ? Slots
             : std::min(Slots, It->second.m_slots);
}

std::vector<PriorityDemand> SlotReserve::report(Instant Now) const {
  std::vector<PriorityDemand> Demands;
  int Recent = 0;
  for (const auto &[Priority, Of] : m_kinds) {
    bool ArrivedElsewhere =
        Of.m_others.m_arrivals > 0 || Of.m_others.m_waiting > 0;
    Recent += Of.arrivedLately(Now) || ArrivedElsewhere ? 1 : 0;
    Demands.push_back({Priority, Of.m_arrivals,
                       static_cast<double>(Of.m_inFlight), Of.m_waiting});
  }
  if (Recent < 2)
    Demands.clear();
  return Demands;
}

} // namespace burdockpulley
