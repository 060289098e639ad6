#include "waiting_requests.h"

namespace burdockpulley {

std::optional<Refusal> WaitingRequests::add(PendingRequest &Pending,
                                            const UpstreamId &Owner,
                                            const ServiceCapacity &Capacity,
                                            Instant Now) {
  QueueKey Key{Pending.m_service->m_name, Owner};
  WaitingRequest Request{Pending.m_number, Pending.m_route->m_priority,
                         Pending.m_workTime, Pending.m_goalTime,
                         Pending.m_deadline};
  auto Refused = m_queues[Key].offer(Request, Capacity, Now);
  if (Refused)
    return Refused;
  Pending.m_queue = Key;
  updateWaitingCount(Owner);
  return std::nullopt;
}

void WaitingRequests::updateWaitingCount(const UpstreamId &Owner) {
  UpstreamState *Upstream = m_registry.find(Owner);
  if (!Upstream)
    return;
  Upstream->m_waiting = 0;
  for (const auto &[Key, Queue] : m_queues)
    if (Key.second == Owner)
      Upstream->m_waiting += static_cast<std::uint32_t>(Queue.size());
}

void WaitingRequests::remove(PendingRequest &Pending) {
  if (!Pending.m_queue)
    return;
  auto It = m_queues.find(*Pending.m_queue);
  UpstreamId Owner = Pending.m_queue->second;
  Pending.m_queue.reset();
  if (It == m_queues.end())
    return;
  It->second.remove(Pending.m_number);
  updateWaitingCount(Owner);
}

std::vector<RequestNumber>
WaitingRequests::collect(const CapacityFunction &CapacityFor,
                         std::vector<std::vector<RequestNumber>> &Orders,
                         Instant Now) {
  std::vector<RequestNumber> Expired;
  for (auto &[Key, Queue] : m_queues) {
    if (Queue.size() == 0)
      continue;
    auto Capacity = CapacityFor(Queue.order(Now).front());
    if (!Capacity)
      continue;
    for (RequestNumber Number : Queue.giveUp(*Capacity, Now))
      Expired.push_back(Number);
    Orders.push_back(Queue.order(Now));
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

std::map<ServiceId, std::uint32_t> WaitingRequests::countByService() const {
  std::map<ServiceId, std::uint32_t> Counts;
  for (const auto &[Key, Queue] : m_queues)
    if (Queue.size() > 0)
      Counts[Key.first] += static_cast<std::uint32_t>(Queue.size());
  return Counts;
}

} // namespace burdockpulley
