#include "burdockpulley/return_planner.h"

#include <algorithm>

namespace burdockpulley {

namespace {

/// Least Retry-After. A request whose deadline is shorter than usual by less
/// has not been told to come back, or has not waited.
constexpr Duration MinRetryAfter{50'000};
/// Deadlines that differ by less count as equal: a request is on its way for a
/// few milliseconds.
constexpr std::int64_t DeadlineStepMicros = 10'000;
/// The usual deadline is the largest of the last one or two periods.
constexpr Duration DeadlinePeriod{10'000'000};
/// Requests in a hundred that may state a longer deadline than the usual one,
/// so that one caller with a long deadline does not make all others look old.
constexpr std::uint64_t LongerPercent = 2;
constexpr std::size_t MaxDeadlineSteps = 500;
/// Callers wait for at most one part in so many of the time that they have.
constexpr int MaxWaitDivisor = 3;
/// Bound for queues without a known owner, whose capacity is unlimited.
constexpr double MaxRate = 1e6;
/// Share of the capacity that may be promised to requests that come back. With
/// the whole, a lasting overload of 1.3 times the capacity leaves two fifths
/// fewer requests in time, because those that come back are late.
constexpr double ReturnShare = 0.75;
/// Returns that each host may ask for at once: those of this time, and at least
/// one. With a second, 1.6 times as many are refused again.
constexpr double ReturnBurstSeconds = 0.25;
constexpr Duration AllowanceLifetime{60'000'000};

} // namespace

std::int64_t ReturnPlanner::usualStep(const Deadlines &Recent) {
  std::uint64_t Total = 0;
  std::map<std::int64_t, std::uint64_t, std::greater<>> Counts;
  for (const auto *Period : {&Recent.m_current, &Recent.m_previous})
    for (const auto &[Step, Count] : *Period) {
      Counts[Step] += Count;
      Total += Count;
    }
  std::uint64_t Longer = 0;
  for (const auto &[Step, Count] : Counts) {
    Longer += Count;
    if (Longer * 100 > Total * LongerPercent)
      return Step;
  }
  return 0;
}

ReturnPlanner::Arrival ReturnPlanner::onArrival(const std::string &Kind,
                                                Duration Stated, Instant Now) {
  Deadlines &Recent = m_deadlines[Kind];
  if (Now - Recent.m_periodBegan >= DeadlinePeriod) {
    bool Continues = Now - Recent.m_periodBegan < DeadlinePeriod * 2;
    Recent.m_previous =
        Continues ? std::move(Recent.m_current) : decltype(Recent.m_current)();
    Recent.m_current.clear();
    Recent.m_periodBegan = Now;
  }
  std::int64_t Step = Stated.count() / DeadlineStepMicros;
  if (Recent.m_current.size() < MaxDeadlineSteps ||
      Recent.m_current.count(Step) != 0)
    ++Recent.m_current[Step];
  Duration Spent((usualStep(Recent) - Step) * DeadlineStepMicros);
  if (Spent < MinRetryAfter)
    return {};
  return {Spent, true};
}

std::optional<Duration> ReturnPlanner::retryAfter(const std::string &Queue,
                                                  const Refused &Request,
                                                  std::mt19937_64 &Random,
                                                  Instant Now) {
  Duration Longest = Request.m_left / MaxWaitDivisor;
  Duration Earliest = std::max(Request.m_wait, MinRetryAfter);
  if (Earliest > Longest)
    return std::nullopt;
  double WorkSeconds =
      std::chrono::duration<double>(Request.m_workTime).count();
  double Rate = std::min({Request.m_slots / std::max(WorkSeconds, 1e-4),
                          Request.m_requestRate, MaxRate}) *
                ReturnShare / static_cast<double>(Request.m_hosts);
  auto [It, IsNew] = m_allowances.try_emplace(Queue);
  Allowance &Own = It->second;
  double OfBurst = Rate * ReturnBurstSeconds;
  double Elapsed = std::chrono::duration<double>(Now - Own.m_updatedAt).count();
  Own.m_returns =
      IsNew ? OfBurst
            : std::min(std::max(OfBurst, 1.0), Own.m_returns + Elapsed * Rate);
  Own.m_updatedAt = Now;
  std::uniform_real_distribution<double> Fraction(0, 1);
  // The share of a host may be less than one request.
  if (Own.m_returns <= Fraction(Random))
    return std::nullopt;
  Own.m_returns -= 1;
  // All that wait until the same queue is served would come back at once.
  Duration Span = std::min(Earliest, Longest - Earliest);
  return Earliest + Duration(static_cast<std::int64_t>(
                        Fraction(Random) * static_cast<double>(Span.count())));
}

void ReturnPlanner::sweep(Instant Now) {
  std::erase_if(m_allowances, [Now](const auto &Entry) {
    return Now - Entry.second.m_updatedAt > AllowanceLifetime;
  });
  std::erase_if(m_deadlines, [Now](const auto &Entry) {
    return Now - Entry.second.m_periodBegan > DeadlinePeriod * 4;
  });
}

} // namespace burdockpulley
