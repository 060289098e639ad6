#include "service_reserves.h"

#include "burdockpulley/request_limiter.h"
#include "burdockpulley/upstream_selection.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// With fewer slots nothing is reserved: the margin of urgent requests that
/// need half of them would take more than a quarter.
constexpr double MinSlots = 32;

} // namespace

double usableSlots(const UpstreamState &Upstream) {
  double Slots = Upstream.m_record.m_slots;
  return std::min(Slots, Upstream.m_paceLimit.value_or(Slots));
}

void ServiceReserves::onArrival(const ServiceId &Service,
                                std::uint32_t Priority, Duration WorkTime,
                                Instant Now) {
  Reserve &Of = m_reserves[Service];
  Of.m_slots.onArrival(
      Priority,
      Duration(static_cast<std::int64_t>(static_cast<double>(WorkTime.count()) *
                                         Of.m_slowness)),
      Now);
}

void ServiceReserves::onSent(const ServiceId &Service, std::uint32_t Priority) {
  m_reserves[Service].m_slots.onSent(Priority);
}

void ServiceReserves::onEnded(const ServiceId &Service,
                              std::uint32_t Priority) {
  auto It = m_reserves.find(Service);
  if (It != m_reserves.end())
    It->second.m_slots.onEnded(Priority);
}

bool ServiceReserves::updateDue(Instant Now) const {
  return std::any_of(
      m_reserves.begin(), m_reserves.end(),
      [Now](const auto &Entry) { return Entry.second.m_slots.updateDue(Now); });
}

void ServiceReserves::update(const WaitingByService &Waiting, Instant Now) {
  for (auto &[Service, Of] : m_reserves) {
    if (!Of.m_slots.updateDue(Now))
      continue;
    SlotReserve::ServiceView View = view(Service, Of.m_slowness, Now);
    auto Queued = Waiting.find(Service);
    if (Queued != Waiting.end())
      for (const auto &[Priority, Sum] : Queued->second)
        View.m_waitingHere[Priority] = Sum.m_requests;
    Of.m_slots.update(View, Now);
  }
}

SlotReserve::ServiceView ServiceReserves::view(const ServiceId &Service,
                                               double &Slowness,
                                               Instant Now) const {
  SlotReserve::ServiceView View;
  View.m_others = m_loads.demands(Service);
  auto WorkTime = m_workTimes.find(Service);
  double WeightedSlots = 0; // As many at upstreams of usual speed.
  for (const UpstreamState *Upstream : m_registry.ofService(Service)) {
    if (!m_registry.usable(*Upstream) || Upstream->paused(Now))
      continue;
    double Slots = usableSlots(*Upstream);
    double OfOne = slownessFactor(*Upstream, Now);
    if (Upstream->m_requestLimit.m_rate && WorkTime != m_workTimes.end())
      Slots = std::min(
          Slots, requestRate(*Upstream) * OfOne *
                     std::chrono::duration<double>(WorkTime->second).count());
    View.m_slots += Slots;
    View.m_unknownInFlight += Upstream->m_peerUnreported;
    WeightedSlots += Slots / OfOne;
  }
  Slowness = WeightedSlots > 0 ? View.m_slots / WeightedSlots : 1;
  if (View.m_slots < MinSlots)
    View.m_slots = 0;
  return View;
}

const ServiceReserves::Reserve *
ServiceReserves::find(const ServiceId &Service) const {
  auto It = m_reserves.find(Service);
  return It == m_reserves.end() ? nullptr : &It->second;
}

bool ServiceReserves::allows(const ServiceId &Service,
                             std::uint32_t Priority) const {
  const Reserve *Of = find(Service);
  return !Of || Of->m_slots.allows(Priority);
}

bool ServiceReserves::limited(const ServiceId &Service,
                              std::uint32_t Priority) const {
  const Reserve *Of = find(Service);
  return Of && Of->m_slots.limited(Priority);
}

void ServiceReserves::addLimits(const ServiceId &Service,
                                ServiceCapacity &Capacity) const {
  const Reserve *Of = find(Service);
  if (!Of)
    return;
  // The slots of a capacity are weighted by speed.
  Capacity.m_limits = Of->m_slots.limits();
  for (PrioritySlots &Limit : Capacity.m_limits)
    Limit.m_slots /= Of->m_slowness;
}

std::map<ServiceId, double> ServiceReserves::reserved() const {
  std::map<ServiceId, double> Slots;
  for (const auto &[Service, Of] : m_reserves)
    Slots[Service] = Of.m_slots.reserved();
  return Slots;
}

std::map<ServiceId, std::vector<PriorityDemand>>
ServiceReserves::report(Instant Now) const {
  std::map<ServiceId, std::vector<PriorityDemand>> Reports;
  for (const auto &[Service, Of] : m_reserves) {
    std::vector<PriorityDemand> Report = Of.m_slots.report(Now);
    if (!Report.empty())
      Reports[Service] = std::move(Report);
  }
  return Reports;
}

void ServiceReserves::sweep() {
  std::erase_if(m_reserves,
                [](const auto &Entry) { return Entry.second.m_slots.empty(); });
}

} // namespace burdockpulley
