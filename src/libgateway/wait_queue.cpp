#include "burdockpulley/wait_queue.h"

#include "burdockpulley/team_shares.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Bounds of the retry delay that a refused caller receives.
constexpr Duration MinRetryAfter{50'000};
constexpr Duration MaxRetryAfter{1'000'000};
/// Upper bound when many other requests were refused as well.
constexpr Duration MaxOverloadRetryAfter{3'000'000};
/// Time constant with which the counts of queued and refused requests decay.
constexpr Duration CountDecayTime{1'000'000};
constexpr double NegligibleRefusals = 0.05;
/// The same for the counts of how queued requests have ended. Longer, because a
/// queue of one host sees few requests a second for the keys of one owner.
constexpr Duration EndingsDecayTime{5'000'000};
/// Fraction of the expected service time that must be left until the deadline.
/// Below 1, because service times vary: such a request has a fair chance to be
/// answered.
constexpr double DeadlineTimeShare = 0.6;
/// The same for the latency goal. Higher, because responses within the goal
/// have more value: requests that will most likely miss it yield to the others.
constexpr double GoalTimeShare = 1.2;
/// Factor on the wait of a request that misses its goal, because requests that
/// arrive later overtake it.
constexpr double OvertakenFactor = 2;
/// Part of a request's own place that counts as ahead of it when the requests
/// of other hosts are compared with those of this one.
constexpr double OwnPlace = 0.5;
/// Requests that count as sent when there are few others to go by.
constexpr double PriorEndings = 2;
/// Requests that are expected to miss their goal are refused while more than
/// this share of their like was given up. Many of their like still meet it, as
/// others before them do not, so that a third is given up at 1.3 times the
/// capacity.
constexpr double MaxGivenUpShare = 0.15;
/// The same has to last this long: after a burst of few seconds, requests that
/// wait are still answered, if late.
constexpr Duration OverloadTime{3'000'000};
/// An overload has ended if no request was given up or refused for this time.
constexpr Duration OverloadGap{3'000'000};

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

/// From this time on, the request most likely misses its latency goal.
Instant lateAt(const WaitingRequest &Request) {
  return Request.m_goal - scaled(Request.m_workTime, GoalTimeShare);
}

/// It is useless to send the request from this time on.
Instant latestStart(const WaitingRequest &Request) {
  return Request.m_deadline - scaled(Request.m_workTime, DeadlineTimeShare);
}

RequestRank rank(const WaitingRequest &Request, Instant Now) {
  return {Request.m_priority, Now >= lateAt(Request), Request.m_goal,
          Request.m_number};
}

/// The time until \p Requests requests have been sent at a limited rate.
Duration waitAtRate(double Requests, double RequestRate) {
  // No upstream takes requests. How long that lasts is not known.
  if (RequestRate <= 0)
    return Duration();
  return Duration(static_cast<std::int64_t>(Requests / RequestRate * 1e6));
}

} // namespace

const PrioritySlots *ServiceCapacity::limitOf(std::uint32_t Priority) const {
  auto It = std::find_if(m_limits.begin(), m_limits.end(),
                         [Base = basePriority(Priority)](const auto &Limit) {
                           return Limit.m_priority == Base;
                         });
  return It == m_limits.end() ? nullptr : &*It;
}

double ServiceCapacity::slotsFor(std::uint32_t Priority) const {
  const PrioritySlots *Limit = limitOf(Priority);
  return Limit ? std::min(m_slots, Limit->m_slots) : m_slots;
}

QueuedWork ServiceCapacity::elsewhere(std::uint32_t Priority, double Share,
                                      std::uint32_t From) const {
  QueuedWork Sum;
  for (const PriorityLoad &Load : m_elsewhere) {
    if (Load.m_priority > Priority || Load.m_priority < From)
      continue;
    double Ahead = Load.m_priority < Priority ? 1 : Share;
    Sum.m_requests += Load.m_queued.m_requests * Ahead;
    Sum.m_work += scaled(Load.m_queued.m_work, Ahead);
  }
  return Sum;
}

Duration WaitQueue::waitBehind(QueuedWork Ahead, std::uint32_t Priority,
                               double OfPriority, Duration WorkTime,
                               const ServiceCapacity &Capacity) const {
  double AheadOfPriority = Ahead.m_requests;
  for (auto It = m_byPriority.begin();
       It != m_byPriority.end() && It->first < Priority; ++It)
    AheadOfPriority -= It->second.m_requests;
  double Share =
      std::clamp((AheadOfPriority + OwnPlace) / OfPriority, 0.0, 1.0);
  std::uint32_t From =
      Capacity.limitOf(Priority) ? firstOfBasePriority(Priority) : 0;
  for (auto It = m_byPriority.begin();
       It != m_byPriority.end() && It->first < From; ++It) {
    Ahead.m_requests = std::max(0.0, Ahead.m_requests - It->second.m_requests);
    Ahead.m_work = std::max(Duration(), Ahead.m_work - It->second.m_work);
  }
  QueuedWork Elsewhere = Capacity.elsewhere(Priority, Share, From);
  auto Others = static_cast<double>(Capacity.m_waiting);
  Duration Work = Ahead.m_work + Elsewhere.m_work + scaled(WorkTime, Others);
  double Requests = Ahead.m_requests + Elsewhere.m_requests + Others;
  return std::max(scaled(Work, 1 / std::max(Capacity.slotsFor(Priority), 1.0)),
                  waitAtRate(Requests, Capacity.m_requestRate));
}

double WaitQueue::waitingWith(std::uint32_t Priority) const {
  auto It = m_byPriority.find(Priority);
  return It == m_byPriority.end() ? 0 : It->second.m_requests;
}

void WaitQueue::advance(Instant Now) {
  while (!m_lateAt.empty() && m_lateAt.begin()->first <= Now) {
    m_waiting.markLate(m_lateAt.begin()->second);
    m_lateAt.erase(m_lateAt.begin());
  }
}

QueuedWork WaitQueue::ahead(const RequestRank &Rank, Instant Now) const {
  QueuedWork Sum = m_waiting.before(Rank);
  for (auto It = m_lateAt.begin(); It != m_lateAt.end() && It->first <= Now;
       ++It) {
    const RankedRequests::Node *Node = m_waiting.find(It->second);
    RequestRank Late = Node->m_rank;
    Late.m_late = true;
    if (Node->m_rank < Rank && Rank < Late) {
      Sum.m_requests -= 1;
      Sum.m_work -= Node->m_request.m_workTime;
    }
  }
  return Sum;
}

WaitProspect WaitQueue::prospect(const WaitingRequest &Request,
                                 const ServiceCapacity &Capacity,
                                 Instant Now) const {
  WaitProspect Result;
  QueuedWork Ahead = ahead(rank(Request, Now), Now);
  Result.m_ahead = Ahead.m_requests;
  Result.m_wait =
      Capacity.m_pause + waitBehind(Ahead, Request.m_priority,
                                    waitingWith(Request.m_priority) + 1,
                                    Request.m_workTime, Capacity);
  Result.m_expectedLate = Now + Result.m_wait >= lateAt(Request);
  // Late requests are overtaken by all that can still meet their goal. If these
  // take the whole capacity, none of the late ones is sent.
  auto Similar = m_endings.find(Request.m_priority);
  bool Hopeless = Result.m_expectedLate && Similar != m_endings.end() &&
                  Similar->second.hopeless(remainingEndings(Now), Now);
  Result.m_refused = Hopeless || Now + Result.m_wait >= latestStart(Request);
  return Result;
}

std::optional<Refusal> WaitQueue::offer(const WaitingRequest &Request,
                                        const ServiceCapacity &Capacity,
                                        Instant Now) {
  decayCounts(Now);
  advance(Now);
  WaitProspect Prospect = prospect(Request, Capacity, Now);
  Duration Wait = Prospect.m_wait;
  if (!Prospect.m_refused) {
    bool Late = Now >= lateAt(Request);
    m_waiting.insert(Request, Late, latestStart(Request)).m_expectedLate =
        Prospect.m_expectedLate;
    if (!Late)
      m_lateAt.insert({lateAt(Request), Request.m_number});
    QueuedWork &Sum = m_byPriority[Request.m_priority];
    Sum.m_requests += 1;
    Sum.m_work += Request.m_workTime;
    m_recentlyQueued += 1;
    return std::nullopt;
  }
  m_endings[Request.m_priority].onMiss(Now);
  Duration BaseDelay = std::clamp(std::max(Wait / 2, Request.m_workTime / 2),
                                  MinRetryAfter, MaxRetryAfter);
  double Overload = 1 + m_recentlyRefused / std::max(m_recentlyQueued, 1.0);
  m_recentlyRefused += 1;
  Duration Delay = std::min(scaled(BaseDelay, Overload), MaxOverloadRetryAfter);
  return Refusal{std::max(Delay, Capacity.m_pause), Wait};
}

void WaitQueue::decayCounts(Instant Now) {
  auto Elapsed = static_cast<double>((Now - m_countsDecayedAt).count());
  double Remaining =
      std::exp(-Elapsed / static_cast<double>(CountDecayTime.count()));
  m_recentlyQueued *= Remaining;
  m_recentlyRefused *= Remaining;
  double RemainingEndings = remainingEndings(Now);
  for (auto It = m_endings.begin(); It != m_endings.end();) {
    It->second.m_sent *= RemainingEndings;
    It->second.m_givenUp *= RemainingEndings;
    bool Forgotten = It->second.m_givenUp < NegligibleRefusals &&
                     Now - It->second.m_lastMiss >= OverloadGap;
    It = Forgotten ? m_endings.erase(It) : std::next(It);
  }
  m_countsDecayedAt = Now;
}

double WaitQueue::remainingEndings(Instant Now) const {
  auto Elapsed = static_cast<double>((Now - m_countsDecayedAt).count());
  return std::exp(-Elapsed / static_cast<double>(EndingsDecayTime.count()));
}

bool WaitQueue::discardable(Instant Now) const {
  auto Elapsed = static_cast<double>((Now - m_countsDecayedAt).count());
  double GivenUp = 0;
  for (const auto &[Priority, Each] : m_endings)
    GivenUp += Each.m_givenUp * remainingEndings(Now);
  double Refused =
      m_recentlyRefused *
      std::exp(-Elapsed / static_cast<double>(CountDecayTime.count()));
  return m_waiting.size() == 0 && Refused < NegligibleRefusals &&
         GivenUp < NegligibleRefusals;
}

std::optional<RequestNumber> WaitQueue::first(Instant Now) {
  advance(Now);
  const RankedRequests::Node *First = m_waiting.first();
  return First ? std::optional(First->m_request.m_number) : std::nullopt;
}

std::optional<RequestNumber> WaitQueue::after(RequestNumber Number) const {
  const RankedRequests::Node *Before = m_waiting.find(Number);
  const RankedRequests::Node *Next =
      Before ? m_waiting.after(Before->m_rank) : nullptr;
  return Next ? std::optional(Next->m_request.m_number) : std::nullopt;
}

std::optional<RequestNumber>
WaitQueue::afterPriority(RequestNumber Number) const {
  const RankedRequests::Node *Before = m_waiting.find(Number);
  if (!Before)
    return std::nullopt;
  RequestRank Last = {lastOfBasePriority(Before->m_request.m_priority), true,
                      Instant::max(),
                      RequestNumber(std::numeric_limits<std::uint64_t>::max())};
  const RankedRequests::Node *Next = m_waiting.after(Last);
  return Next ? std::optional(Next->m_request.m_number) : std::nullopt;
}

bool WaitQueue::anyBefore(const WaitingRequest &Request, Instant Now) {
  advance(Now);
  const RankedRequests::Node *First = m_waiting.first();
  return First && First->m_rank < rank(Request, Now);
}

std::vector<RequestNumber> WaitQueue::giveUp(const ServiceCapacity &Capacity,
                                             Instant Now) {
  advance(Now);
  // The requests of a subtree may have different limits.
  ServiceCapacity Least = Capacity;
  Least.m_limits.clear();
  for (const PrioritySlots &Limit : Capacity.m_limits)
    Least.m_slots = std::min(Least.m_slots, Limit.m_slots);
  std::vector<RequestNumber> Refused;
  m_waiting.scan(
      [&](const RankedRequests::Bounds &Of) {
        Duration Wait =
            waitBehind(Of.m_aheadOfLast, Of.m_maxPriority,
                       waitingWith(Of.m_maxPriority), Of.m_longestWork, Least);
        return Now + Capacity.m_pause +
                   scaled(Wait, Of.m_anyLate ? OvertakenFactor : 1) <
               Of.m_earliestStart;
      },
      [&](const RankedRequests::Node &Node, const QueuedWork &Ahead) {
        std::uint32_t Priority = Node.m_request.m_priority;
        Duration Wait = waitBehind(Ahead, Priority, waitingWith(Priority),
                                   Node.m_request.m_workTime, Capacity);
        Wait = Capacity.m_pause +
               scaled(Wait, Node.m_rank.m_late ? OvertakenFactor : 1);
        bool TooLate = Now + Wait >= Node.m_latestStart;
        if (TooLate)
          Refused.push_back(Node.m_request.m_number);
        return TooLate;
      });
  for (RequestNumber Number : Refused) {
    const RankedRequests::Node &Node = *m_waiting.find(Number);
    m_endings[Node.m_request.m_priority].onMiss(Now);
    countEnding(Node, true);
    erase(Number);
  }
  return Refused;
}

void WaitQueue::Endings::onMiss(Instant Now) {
  if (Now - std::exchange(m_lastMiss, Now) >= OverloadGap)
    m_missesSince = Now;
}

bool WaitQueue::Endings::hopeless(double Remaining, Instant Now) const {
  return Now - m_lastMiss < OverloadGap && Now - m_missesSince > OverloadTime &&
         m_givenUp * Remaining >
             MaxGivenUpShare *
                 ((m_sent + m_givenUp) * Remaining + PriorEndings);
}

void WaitQueue::countEnding(const RankedRequests::Node &Ended, bool GivenUp) {
  if (!Ended.m_expectedLate)
    return;
  Endings &Counts = m_endings[Ended.m_request.m_priority];
  (GivenUp ? Counts.m_givenUp : Counts.m_sent) += 1;
}

bool WaitQueue::erase(RequestNumber Number) {
  const RankedRequests::Node *Node = m_waiting.find(Number);
  if (!Node)
    return false;
  const WaitingRequest &Request = Node->m_request;
  m_lateAt.erase({lateAt(Request), Number});
  auto Sum = m_byPriority.find(Request.m_priority);
  Sum->second.m_requests -= 1;
  Sum->second.m_work -= Request.m_workTime;
  if (Sum->second.m_requests == 0)
    m_byPriority.erase(Sum);
  return m_waiting.erase(Number);
}

bool WaitQueue::remove(RequestNumber Number) {
  if (const RankedRequests::Node *Node = m_waiting.find(Number))
    countEnding(*Node, false);
  return erase(Number);
}

void WaitQueue::addTo(std::map<std::uint32_t, QueuedWork> &Sums) const {
  for (const auto &[Priority, Queued] : m_byPriority) {
    Sums[Priority].m_requests += Queued.m_requests;
    Sums[Priority].m_work += Queued.m_work;
  }
}

} // namespace burdockpulley
