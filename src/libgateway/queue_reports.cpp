#include "queue_reports.h"

#include "burdockpulley/team_shares.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

constexpr double Hundredths = 100;
/// Largest values of one host that are believed. Larger ones would take all
/// slots of every service from the less urgent requests.
constexpr std::int32_t MaxInFlight = 100'000;
constexpr std::int32_t MaxArrivalsHundredths = 10'000'000;

/// What waits of one priority, and its load.
struct Entry {
  QueuedWork m_queued;
  std::int32_t m_inFlight = 0;
  std::int32_t m_arrivalsHundredths = 0;
  bool m_hasDemand = false;
};

std::uint32_t fromCount(std::int32_t Count) {
  return static_cast<std::uint32_t>(std::max(Count, 0));
}

std::map<std::uint32_t, Entry>
entriesOf(const std::map<std::uint32_t, QueuedWork> &Queued,
          const std::vector<PriorityDemand> &Demands) {
  std::map<std::uint32_t, Entry> Entries;
  for (const auto &[Priority, Sum] : Queued)
    Entries[Priority].m_queued = Sum;
  for (const PriorityDemand &Demand : Demands) {
    auto InFlight = static_cast<std::int32_t>(
        std::clamp<double>(Demand.m_inFlight, 0, MaxInFlight));
    auto Arrivals = static_cast<std::int32_t>(std::lround(std::clamp<double>(
        Demand.m_arrivals * Hundredths, 0, MaxArrivalsHundredths)));
    if (InFlight == 0 && Arrivals == 0)
      continue;
    Entry &Of = Entries[Demand.m_priority];
    Of.m_inFlight = InFlight;
    Of.m_arrivalsHundredths = Arrivals;
    Of.m_hasDemand = true;
  }
  return Entries;
}

} // namespace

wire::QueueLength encodeQueue(NameHash Service,
                              const std::map<std::uint32_t, QueuedWork> &Queued,
                              const std::vector<PriorityDemand> &Demands) {
  wire::QueueLength Queue;
  Queue.serviceHash = Service.value();
  std::vector<wire::QueuedPriority> Priorities;
  for (const auto &[Priority, Of] : entriesOf(Queued, Demands)) {
    if (Priorities.size() < MaxQueuedPriorities)
      Priorities.emplace_back();
    wire::QueuedPriority &Entry = Priorities.back();
    Entry.priority = static_cast<std::int32_t>(withoutShare(Priority));
    Entry.__isset.aboveShare = Entry.aboveShare = isAboveShare(Priority);
    Entry.waiting += static_cast<std::int32_t>(Of.m_queued.m_requests);
    Entry.workMillis +=
        static_cast<std::int32_t>(Of.m_queued.m_work.count() / 1000);
    if (Of.m_hasDemand) {
      Entry.__set_inFlight(Entry.inFlight + Of.m_inFlight);
      Entry.__set_arrivalsHundredths(Entry.arrivalsHundredths +
                                     Of.m_arrivalsHundredths);
    }
    Queue.waiting += static_cast<std::int32_t>(Of.m_queued.m_requests);
  }
  Queue.__set_priorities(std::move(Priorities));
  return Queue;
}

void decodeQueue(const wire::QueueLength &Queue, PeerLoad &Load) {
  NameHash Service(Queue.serviceHash);
  Load.m_waiting[Service] = fromCount(Queue.waiting);
  if (!Queue.__isset.priorities)
    return;
  std::vector<PriorityLoad> Priorities;
  std::vector<PriorityDemand> Demands;
  std::size_t Known = std::min(Queue.priorities.size(), MaxQueuedPriorities);
  for (std::size_t Index = 0; Index < Known; ++Index) {
    const wire::QueuedPriority &Entry = Queue.priorities[Index];
    std::uint32_t Priority =
        withShare(fromCount(Entry.priority),
                  Entry.__isset.aboveShare && Entry.aboveShare);
    Priorities.push_back(
        {Priority,
         {static_cast<double>(fromCount(Entry.waiting)),
          std::chrono::milliseconds(fromCount(Entry.workMillis))}});
    if (!Entry.__isset.inFlight && !Entry.__isset.arrivalsHundredths)
      continue;
    int InFlight = std::clamp(Entry.inFlight, 0, MaxInFlight);
    int Arrivals =
        std::clamp(Entry.arrivalsHundredths, 0, MaxArrivalsHundredths);
    Demands.push_back({basePriority(Priority), Arrivals / Hundredths,
                       static_cast<double>(InFlight), 0});
  }
  Load.m_priorities[Service] = std::move(Priorities);
  if (!Demands.empty())
    Load.m_demands[Service] = std::move(Demands);
}

} // namespace burdockpulley
