#include "waiting_requests.h"

#include <cmath>

namespace burdockpulley {

namespace {

WaitingRequest placeOf(const PendingRequest &Pending) {
  return {Pending.m_number, priorityOf(Pending), Pending.m_workTime,
          Pending.m_goalTime, Pending.m_deadline};
}

} // namespace

std::optional<Refusal> WaitingRequests::add(PendingRequest &Pending,
                                            const QueueKey &Key,
                                            const ServiceCapacity &Capacity,
                                            Instant Now) {
  auto Refused = m_queues[Key].offer(placeOf(Pending), Capacity, Now);
  if (Refused)
    return Refused;
  Pending.m_queue = Key;
  updateWaitingCount(Key);
  return std::nullopt;
}

WaitProspect WaitingRequests::prospect(const PendingRequest &Pending,
                                       const QueueKey &Key,
                                       const ServiceCapacity &Capacity,
                                       Instant Now) const {
  auto It = m_queues.find(Key);
  return It == m_queues.end()
             ? WaitQueue().prospect(placeOf(Pending), Capacity, Now)
             : It->second.prospect(placeOf(Pending), Capacity, Now);
}

void WaitingRequests::updateWaitingCount(const QueueKey &Key) {
  if (UpstreamState *Upstream = m_registry.find(Key.second))
    Upstream->m_waiting = static_cast<std::uint32_t>(m_queues[Key].size());
}

void WaitingRequests::remove(PendingRequest &Pending) {
  if (!Pending.m_queue)
    return;
  QueueKey Key = *std::exchange(Pending.m_queue, std::nullopt);
  auto It = m_queues.find(Key);
  if (It == m_queues.end())
    return;
  It->second.remove(Pending.m_number);
  updateWaitingCount(Key);
}

bool WaitingRequests::anyBefore(const PendingRequest &Pending,
                                const QueueKey &Key, Instant Now) {
  auto It = m_queues.find(Key);
  return It != m_queues.end() && It->second.anyBefore(placeOf(Pending), Now);
}

bool WaitingRequests::anyIn(const QueueKey &Key) const {
  auto It = m_queues.find(Key);
  return It != m_queues.end() && It->second.size() > 0;
}

std::optional<RequestNumber> WaitingRequests::first(const QueueKey &Key,
                                                    Instant Now) {
  auto It = m_queues.find(Key);
  return It == m_queues.end() ? std::nullopt : It->second.first(Now);
}

std::optional<RequestNumber>
WaitingRequests::after(const QueueKey &Key, RequestNumber Number) const {
  auto It = m_queues.find(Key);
  return It == m_queues.end() ? std::nullopt : It->second.after(Number);
}

std::optional<RequestNumber>
WaitingRequests::afterPriority(const QueueKey &Key,
                               RequestNumber Number) const {
  auto It = m_queues.find(Key);
  return It == m_queues.end() ? std::nullopt : It->second.afterPriority(Number);
}

std::vector<QueueKey> WaitingRequests::queues() const {
  std::vector<QueueKey> Keys;
  for (const auto &[Key, Queue] : m_queues)
    if (Queue.size() > 0)
      Keys.push_back(Key);
  return Keys;
}

std::vector<RequestNumber>
WaitingRequests::giveUp(const CapacityFunction &CapacityFor, Instant Now) {
  std::vector<RequestNumber> Expired;
  for (auto &[Key, Queue] : m_queues) {
    auto First = Queue.first(Now);
    if (!First)
      continue;
    auto Capacity = CapacityFor(*First);
    if (!Capacity)
      continue;
    for (RequestNumber Number : Queue.giveUp(*Capacity, Now))
      Expired.push_back(Number);
  }
  return Expired;
}

void WaitingRequests::sweep(Instant Now) {
  std::erase_if(m_queues, [Now](const auto &Entry) {
    return Entry.second.discardable(Now);
  });
}

std::size_t WaitingRequests::size() const {
  std::size_t Count = 0;
  for (const auto &[Key, Queue] : m_queues)
    Count += Queue.size();
  return Count;
}

std::map<ServiceId, std::map<std::uint32_t, QueuedWork>>
WaitingRequests::byService() const {
  std::map<ServiceId, std::map<std::uint32_t, QueuedWork>> Services;
  for (const auto &[Key, Queue] : m_queues)
    if (Queue.size() > 0)
      Queue.addTo(Services[Key.first]);
  return Services;
}

const char *refusalReason(const ServiceCapacity &Capacity) {
  if (Capacity.m_pause > Duration())
    return "upstream-pause";
  return std::isfinite(Capacity.m_requestRate) ? "upstream-limit"
                                               : "no-room-in-time";
}

bool anyWaits(const WaitingRequests &Here, const PeerLoads &Elsewhere,
              const QueueKey &Key) {
  return Here.anyIn(Key) || Elsewhere.queues(Key.first).total() >= 1;
}

} // namespace burdockpulley
