#include "burdockpulley/admission.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr Duration FirstServiceTime{1'000};
constexpr std::uint32_t WaitingPerSlot = 64;
constexpr std::uint32_t InteractivePerBulk = 8;
/// Weight of one run in the mean run time, as a power of two.
constexpr int MeanShift = 3;
constexpr std::size_t MaxIdleShares = 1024;
constexpr std::size_t None = static_cast<std::size_t>(-1);

} // namespace

AdmissionQueue::AdmissionQueue(std::uint32_t Slots)
    : m_slots(Slots), m_allowed(Slots), m_serviceTime(FirstServiceTime) {}

void AdmissionQueue::setSlots(std::uint32_t Slots) {
  m_slots = Slots;
  m_allowed = std::min(m_allowed, Slots);
}

Duration AdmissionQueue::expectedWait(const AdmissionRequest &Request) const {
  if (m_running < m_allowed && m_waiting.empty())
    return Duration();
  double Own = 0;
  double Weights = Request.m_weight;
  for (const auto &[Name, Row] : m_shares) {
    if (Name == Request.m_team)
      Own = Row.m_waiting;
    else if (Row.m_waiting > 0)
      Weights += Row.m_weight;
  }
  double ByShare = (Own + 1) * Weights / Request.m_weight;
  double ByLength = static_cast<double>(m_waiting.size()) + 1;
  double Runs = std::min(ByShare, ByLength) / m_allowed;
  return Duration(static_cast<std::int64_t>(
      Runs * static_cast<double>(m_serviceTime.count())));
}

std::vector<AdmissionRefusal>
AdmissionQueue::offer(AdmissionTicket Ticket, const AdmissionRequest &Request,
                      Instant Now) {
  Duration Wait = expectedWait(Request);
  if (Now + Wait + m_serviceTime > Request.m_deadline)
    return {{Ticket, std::max(Wait, m_serviceTime)}};
  if (m_shares.size() > MaxIdleShares)
    std::erase_if(m_shares,
                  [](const auto &Row) { return Row.second.m_waiting == 0; });
  Share &Row = m_shares[Request.m_team];
  if (Row.m_waiting == 0)
    Row.m_virtualTime = std::max(Row.m_virtualTime, m_virtualTime);
  Row.m_weight = Request.m_weight;
  ++Row.m_waiting;
  m_waiting.push_back({Ticket, Request, Now});
  if (m_waiting.size() <= std::size_t(m_slots) * WaitingPerSlot)
    return {};
  return {remove(mostOverShare())};
}

std::size_t AdmissionQueue::mostOverShare() const {
  const TeamId *Worst = nullptr;
  double WorstLoad = -1;
  for (const auto &[Name, Row] : m_shares) {
    double Load = double(Row.m_waiting) / Row.m_weight;
    if (Load > WorstLoad) {
      WorstLoad = Load;
      Worst = &Name;
    }
  }
  // The newest goes: the others have waited longer.
  for (std::size_t I = m_waiting.size(); I-- > 0;)
    if (m_waiting[I].m_request.m_team == *Worst)
      return I;
  return m_waiting.size() - 1;
}

std::size_t AdmissionQueue::next(bool Bulk) const {
  std::size_t Best = None;
  double BestTime = 0;
  for (std::size_t I = 0; I < m_waiting.size(); ++I) {
    const AdmissionRequest &Each = m_waiting[I].m_request;
    if (Each.m_bulk != Bulk)
      continue;
    double Time = m_shares.at(Each.m_team).m_virtualTime;
    bool Better = Best == None || Time < BestTime ||
                  (Time == BestTime &&
                   Each.m_deadline < m_waiting[Best].m_request.m_deadline);
    if (!Better)
      continue;
    Best = I;
    BestTime = Time;
  }
  return Best;
}

bool AdmissionQueue::nextIsBulk() const {
  bool Bulk = false;
  bool Interactive = false;
  for (const Waiting &Each : m_waiting)
    (Each.m_request.m_bulk ? Bulk : Interactive) = true;
  return Bulk && (!Interactive || m_interactiveInRow >= InteractivePerBulk);
}

std::optional<AdmissionTicket> AdmissionQueue::startNext(std::uint32_t Allowed,
                                                         Instant) {
  m_allowed = std::min(Allowed, m_slots);
  if (m_running >= m_allowed || m_waiting.empty())
    return std::nullopt;
  bool Bulk = nextIsBulk();
  m_interactiveInRow = Bulk ? 0 : m_interactiveInRow + 1;
  std::size_t Index = next(Bulk);
  Share &Row = m_shares.at(m_waiting[Index].m_request.m_team);
  m_virtualTime = std::max(m_virtualTime, Row.m_virtualTime);
  Row.m_virtualTime += 1.0 / Row.m_weight;
  ++m_running;
  return remove(Index).m_ticket;
}

AdmissionRefusal AdmissionQueue::remove(std::size_t Index) {
  AdmissionTicket Ticket = m_waiting[Index].m_ticket;
  --m_shares.at(m_waiting[Index].m_request.m_team).m_waiting;
  m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(Index));
  auto Ahead = static_cast<std::int64_t>(m_waiting.size() / m_allowed + 1);
  return {Ticket, m_serviceTime * Ahead};
}

std::vector<AdmissionRefusal> AdmissionQueue::giveUp(Instant Now) {
  std::vector<AdmissionRefusal> Late;
  for (std::size_t I = m_waiting.size(); I-- > 0;)
    if (Now + m_serviceTime > m_waiting[I].m_request.m_deadline)
      Late.push_back(remove(I));
  return Late;
}

bool AdmissionQueue::cancel(AdmissionTicket Ticket) {
  for (std::size_t I = 0; I < m_waiting.size(); ++I)
    if (m_waiting[I].m_ticket == Ticket) {
      remove(I);
      return true;
    }
  return false;
}

void AdmissionQueue::finish(Duration Spent) {
  --m_running;
  std::int64_t Mean = m_serviceTime.count();
  Mean += (Spent.count() - Mean) / (1 << MeanShift);
  m_serviceTime = Duration(std::max<std::int64_t>(Mean, 1));
}

} // namespace burdockpulley
