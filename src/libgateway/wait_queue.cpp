#include "burdockpulley/wait_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burdockpulley {

namespace {

/// Bounds of the time after which a refused caller is told to come back.
constexpr Duration MinRetryAfter{50'000};
constexpr Duration MaxRetryAfter{1'000'000};
/// The bound when many others were refused as well.
constexpr Duration MaxCrowdedRetryAfter{3'000'000};
/// Requests taken and refused are forgotten over about this time.
constexpr Duration RecentTime{1'000'000};
constexpr double FewRefusals = 0.05;
/// Service times vary: a request whose deadline leaves at least this share of
/// the expected time has a fair chance to be answered.
constexpr double NeededTimeShare = 0.6;
/// The same for the latency goal, which is worth more: what will most likely
/// miss it makes room for what will not.
constexpr double GoalTimeShare = 1.2;
/// A request that misses its goal is overtaken by those that come after it.
constexpr double OvertakenFactor = 2;

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

bool meetsGoal(const WaitingRequest &Request, Instant Now) {
  return Now + scaled(Request.m_workTime, GoalTimeShare) < Request.m_goal;
}

auto rank(const WaitingRequest &Request, Instant Now) {
  return std::make_tuple(Request.m_priority, !meetsGoal(Request, Now),
                         Request.m_goal, Request.m_number);
}

} // namespace

Duration WaitQueue::expectedWait(const WaitingRequest &Request,
                                 const ServiceCapacity &Capacity,
                                 Instant Now) const {
  Duration Ahead =
      scaled(Request.m_workTime, static_cast<double>(Capacity.m_waiting));
  for (const auto &[Number, Each] : m_waiting)
    if (rank(Each, Now) < rank(Request, Now))
      Ahead += Each.m_workTime;
  return scaled(Ahead, 1 / std::max(Capacity.m_slots, 1.0));
}

std::optional<Refusal> WaitQueue::offer(const WaitingRequest &Request,
                                        const ServiceCapacity &Capacity,
                                        Instant Now) {
  age(Now);
  Duration Wait = expectedWait(Request, Capacity, Now);
  Instant End = Now + Wait + scaled(Request.m_workTime, NeededTimeShare);
  if (End < Request.m_deadline) {
    m_waiting[Request.m_number] = Request;
    m_taken += 1;
    return std::nullopt;
  }
  Duration Alone = std::clamp(std::max(Wait / 2, Request.m_workTime / 2),
                              MinRetryAfter, MaxRetryAfter);
  double Crowd = 1 + m_refused / std::max(m_taken, 1.0);
  m_refused += 1;
  return Refusal{std::min(scaled(Alone, Crowd), MaxCrowdedRetryAfter)};
}

void WaitQueue::age(Instant Now) {
  double Kept = std::exp(-static_cast<double>((Now - m_agedAt).count()) /
                         static_cast<double>(RecentTime.count()));
  m_taken *= Kept;
  m_refused *= Kept;
  m_agedAt = Now;
}

bool WaitQueue::forgettable(Instant Now) const {
  double Kept = std::exp(-static_cast<double>((Now - m_agedAt).count()) /
                         static_cast<double>(RecentTime.count()));
  return m_waiting.empty() && m_refused * Kept < FewRefusals;
}

std::vector<const WaitingRequest *> WaitQueue::ranked(Instant Now) const {
  std::vector<const WaitingRequest *> Rows;
  for (const auto &[Number, Each] : m_waiting)
    Rows.push_back(&Each);
  std::sort(Rows.begin(), Rows.end(),
            [Now](const WaitingRequest *Left, const WaitingRequest *Right) {
              return rank(*Left, Now) < rank(*Right, Now);
            });
  return Rows;
}

std::vector<RequestNumber> WaitQueue::order(Instant Now) const {
  std::vector<RequestNumber> Numbers;
  for (const WaitingRequest *Each : ranked(Now))
    Numbers.push_back(Each->m_number);
  return Numbers;
}

std::vector<RequestNumber> WaitQueue::giveUp(const ServiceCapacity &Capacity,
                                             Instant Now) {
  std::vector<RequestNumber> Lost;
  Duration Ahead{};
  double Slots = std::max(Capacity.m_slots, 1.0);
  for (const WaitingRequest *Each : ranked(Now)) {
    Duration Wait =
        scaled(Ahead + scaled(Each->m_workTime,
                              static_cast<double>(Capacity.m_waiting)),
               (meetsGoal(*Each, Now) ? 1 : OvertakenFactor) / Slots);
    bool Late = Now + Wait + scaled(Each->m_workTime, NeededTimeShare) >=
                Each->m_deadline;
    if (Late)
      Lost.push_back(Each->m_number);
    else
      Ahead += Each->m_workTime;
  }
  for (RequestNumber Number : Lost)
    m_waiting.erase(Number);
  return Lost;
}

bool WaitQueue::remove(RequestNumber Number) {
  return m_waiting.erase(Number) != 0;
}

} // namespace burdockpulley
