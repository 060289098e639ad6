#include "burdockpulley/upstream_pace.h"

#include "burdockpulley/peer_loads.h"
#include "burdockpulley/upstream_selection.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace burdockpulley {

namespace {

/// Share of the slots that a returned upstream gets at first.
constexpr double InitialShare = 1.0 / 3;
/// A response in time raises the limit by this many requests until the limit
/// has fallen for the first time, and by one in each service time later.
constexpr double GrowthPerResponse = 1;
/// Factors of the limit after failures and after slow responses.
constexpr double FailureFactor = 0.7;
constexpr double SlowFactor = 0.7;
/// Share of failed requests at which the limit does not fall. An upstream that
/// refuses when full refuses 0.4 of the requests that come at random at the
/// rate that two of its slots bear. In the replay with 80 hosts, 135 requests
/// were refused or late with a tolerance of 0.3, and 124 with 0.4.
constexpr double ToleratedFailures = 0.4;
/// Responses are slow when their mean is this multiple of the usual one.
/// Noisy neighbours, of which the load report does not tell in time, cause up
/// to three times for single requests, but less on the mean.
constexpr double SlowRatio = 2.5;
/// Weights of one sample in the mean of recent ones, and in the usual ratio
/// while the upstream has one request at a time or is not paced.
constexpr double RecentWeight = 0.25;
constexpr double UsualWeight = 0.02;
/// Samples that a judgement of slowness needs.
constexpr double MinSlowSamples = 3;
/// Samples after which older ones count for less.
constexpr double MaxRecentSamples = 20;
constexpr double MaxUsualRatio = 4;
/// An upstream whose ratio rises to the first is away, and returns when the
/// ratio falls to the second.
constexpr double AwayRatio = 5;
constexpr double ReturnRatio = 2;
/// An upstream that has responded within this time was not away, whatever a
/// failed connection or a record suggests.
constexpr Duration RecentResponse{500'000};
/// Without a reduction for this time, the upstream bears what it is sent,
/// although that may be less than all its slots.
constexpr Duration MaxQuietTime{5'000'000};
/// Standard deviations that are left as a margin below the bound: the hosts'
/// draws are rounded at random, so that the number of requests in a second
/// varies, though less than a Poisson variable. With one, 9 requests of 11.6
/// and 25 of 33.5 were the most in a second; with a half, 10 and 27.
constexpr double MarginDeviations = 1;
/// Demand that every host is assumed to have, and how much of its own newest
/// demand a host counts before the others know of it. If 80 hosts got their
/// first requests at once, they would draw 2.6 times what the bucket holds.
constexpr double BaseDemand = 0.3;
constexpr double MaxUnreportedDemand = 0.5;
/// Part of a cold upstream's rate that hosts use that do not hear from most
/// others: their draws are rounded at random, too, but not corrected later.
constexpr double UncorrectedPart = 0.5;
/// Least share of the hosts that must be reporting for OwnerThrottle to divide
/// an upstream among them.
constexpr double MinReportingShare = 0.75;
/// Time after which a limit that has fallen grows as at first: the cause may be
/// over.
constexpr Duration CautionTime{500'000};
/// Time for which requests beyond the rate reduce what may be sent later.
constexpr double OwedSeconds = 1;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Slots of the upstream; at least one.
double slotsOf(const UpstreamState &Upstream) {
  return std::max(1U, Upstream.m_record.m_slots);
}

double inFlight(const UpstreamState &Upstream) {
  return Upstream.m_outstanding + Upstream.m_peerOutstanding;
}

/// Time after which all hosts have drawn once and know of the others' draws. A
/// host that hears from few others must not draw more often than they do.
Duration drawInterval(const LimitSharers &Sharers) {
  return std::max<Duration>(Sharers.m_reportInterval,
                            statusInterval(Sharers.m_registered - 1) *
                                static_cast<int>(RemoteStatusPeriod));
}

} // namespace

double usableColdRate(const ColdBound &Bound, double ColdRate) {
  double Allowed = ColdRate * Bound.m_overage + Bound.m_slack;
  // Solves Rate + MarginDeviations * sqrt(Rate) = Allowed.
  double Root = (std::sqrt(MarginDeviations * MarginDeviations + 4 * Allowed) -
                 MarginDeviations) /
                2;
  return Root * Root;
}

UpstreamPace::Absence UpstreamPace::absenceOf(const UpstreamState &Upstream,
                                              UpstreamPresence Presence,
                                              Instant Now) const {
  if (Presence == UpstreamPresence::Unusable)
    return Absence::Unusable;
  if (Upstream.paused(Now))
    return Absence::Paused;
  double Threshold = m_absence == Absence::Slow ? ReturnRatio : AwayRatio;
  if (!m_active && Upstream.m_serviceTimeRatio >= Threshold * m_usualRatio)
    return Absence::Slow;
  return Absence::None;
}

const char *UpstreamPace::returned(const UpstreamState &Upstream,
                                   UpstreamPresence Presence, Instant Now) {
  bool First = !std::exchange(m_known, true);
  UpstreamIncarnation Before =
      std::exchange(m_incarnation, Upstream.m_record.m_incarnation);
  if (Presence == UpstreamPresence::Unknown) {
    m_absence = Absence::None;
    return nullptr;
  }
  Absence Previous = m_absence;
  m_absence = absenceOf(Upstream, Presence, Now);
  if (First)
    // One that is not cold has started before there was traffic.
    return Upstream.m_joinedLate && m_absence == Absence::None &&
                   Upstream.cold(Now)
               ? "joined"
               : nullptr;
  if (Before != Upstream.m_record.m_incarnation)
    return "restarted";
  if (m_absence != Absence::None)
    return nullptr;
  switch (Previous) {
  case Absence::None:
    return nullptr;
  case Absence::Unusable:
    return Upstream.respondedSince(Now - RecentResponse) ? nullptr : "usable";
  case Absence::Paused:
    return "pause-over";
  case Absence::Slow:
    return "no-longer-slow";
  }
  return nullptr;
}

double UpstreamPace::responseSeconds(const UpstreamState &Upstream,
                                     Duration WorkTime, Instant Now) const {
  constexpr double MinSeconds = 1e-3;
  // The mean of many responses follows a recovery too slowly.
  double Slowness = slownessFactor(Upstream, Now) /
                    Upstream.m_serviceTimeRatio * m_recentRatio;
  return std::max(MinSeconds, seconds(WorkTime) * Slowness);
}

void UpstreamPace::begin(UpstreamState &Upstream, const char *Reason,
                         Instant Now) {
  m_active = true;
  m_reason = Reason;
  m_beganAt = m_reducedAt = Now;
  m_reduced = false;
  m_ignoreUntil = Now;
  // Other hosts may have continued to send.
  double Initial = std::max(std::floor(slotsOf(Upstream) * InitialShare),
                            inFlight(Upstream));
  m_limit = std::clamp(Initial, 1.0, slotsOf(Upstream));
  m_recentRatio = m_usualRatio;
  m_recentSamples = m_recentFailures = 0;
  m_inTimeAtFullLimit = 0;
  // Failures before the return say nothing about the time after it, and would
  // keep requests away from an upstream that is limited anyway.
  Upstream.m_serviceTimeRatio =
      std::min(Upstream.m_serviceTimeRatio, ReturnRatio * m_usualRatio);
}

void UpstreamPace::reduce(double Factor, Duration HoldOff, Instant Now) {
  m_limit = std::max(1.0, m_limit * Factor);
  m_reduced = true;
  m_reducedAt = Now;
  m_ignoreUntil = Now + HoldOff;
  m_recentRatio = m_usualRatio;
  m_recentSamples = m_recentFailures = 0;
  m_inTimeAtFullLimit = 0;
}

void UpstreamPace::grow(const UpstreamState &Upstream, std::uint32_t Answered,
                        double ReportingShare, Instant Now) {
  double Slots = slotsOf(Upstream);
  // Other hosts, whose pace may have ended, have shown that it bears as much.
  // A lower limit would leave the slots to them.
  m_limit = std::max(m_limit, std::min(Slots, inFlight(Upstream)));
  // Silent hosts are taken to fare the same.
  double InTime = Answered / ReportingShare;
  if (m_limit >= Slots) {
    m_inTimeAtFullLimit += InTime;
    return;
  }
  // A limit that is not used is not known to be borne.
  bool Used =
      m_limit < 2 || inFlight(Upstream) + 1 >= m_limit * ReportingShare / 2;
  if (!Used)
    return;
  bool Cautious = m_reduced && Now - m_reducedAt < CautionTime;
  double Growth = Cautious ? InTime / m_limit : InTime * GrowthPerResponse;
  // The limit may at most double with one report.
  m_limit = std::min({Slots, m_limit + Growth, m_limit * 2});
}

void UpstreamPace::judge(const UpstreamState &Upstream,
                         const PaceObservations &Observations,
                         const Terms &Current, Instant Now) {
  if (Observations.m_samples == 0 || Now < m_ignoreUntil)
    return;
  std::uint32_t Answered = Observations.m_samples - Observations.m_failures;
  m_recentSamples += Observations.m_samples;
  m_recentFailures += Observations.m_failures;
  if (m_recentSamples > MaxRecentSamples) {
    m_recentSamples /= 2;
    m_recentFailures /= 2;
  }
  double Mean = m_usualRatio;
  if (Answered > 0) {
    Mean = (Observations.m_ratioSum - Observations.m_failures * FailureSample) /
           Answered;
    m_recentRatio +=
        (Mean - m_recentRatio) * (1 - std::pow(1 - RecentWeight, Answered));
    // Slowness with one request at a time is not due to the load.
    if (m_limit < 2)
      m_usualRatio = std::clamp(
          m_usualRatio +
              (Mean - m_usualRatio) * (1 - std::pow(1 - UsualWeight, Answered)),
          1.0, MaxUsualRatio);
  }
  Duration HoldOff =
      Current.m_sharers.m_reportInterval +
      Duration(static_cast<std::int64_t>(
          responseSeconds(Upstream, Current.m_workTime, Now) * 1e6));
  if (m_recentFailures > m_recentSamples * ToleratedFailures)
    return reduce(FailureFactor, HoldOff, Now);
  bool Slow = m_recentRatio > SlowRatio * m_usualRatio;
  if (Slow && m_recentSamples >= MinSlowSamples)
    return reduce(SlowFactor, HoldOff, Now);
  if (Answered > 0 && Mean <= SlowRatio * m_usualRatio)
    grow(Upstream, Answered, Current.m_sharers.reportingShare(), Now);
}

bool UpstreamPace::sustained(const UpstreamState &Upstream, Instant Now) const {
  double Slots = slotsOf(Upstream);
  return (m_limit >= Slots && m_inTimeAtFullLimit >= Slots) ||
         Now - m_reducedAt > MaxQuietTime;
}

UpstreamPace::Change UpstreamPace::update(UpstreamState &Upstream,
                                          UpstreamPresence Presence,
                                          const Terms &Current, Instant Now) {
  const char *Reason = returned(Upstream, Presence, Now);
  PaceObservations Observations =
      std::exchange(Upstream.m_unjudged, PaceObservations());
  Change Result = Change::None;
  if (Reason) {
    begin(Upstream, Reason, Now);
    Result = Change::Began;
  } else if (m_active && m_absence == Absence::None) {
    judge(Upstream, Observations, Current, Now);
    if (sustained(Upstream, Now)) {
      m_active = false;
      Upstream.m_serviceTimeRatio = m_recentRatio;
      Result = Change::Ended;
    }
  } else if (!m_active && m_absence == Absence::None &&
             Observations.m_samples > 0) {
    m_usualRatio += (Upstream.m_serviceTimeRatio - m_usualRatio) * UsualWeight;
    m_usualRatio = std::clamp(m_usualRatio, 1.0, MaxUsualRatio);
  }
  Upstream.m_paceLimit =
      m_active ? std::optional<double>(m_limit) : std::nullopt;
  Upstream.m_paceSlowness = slownessFactor(Upstream, Now) /
                            Upstream.m_serviceTimeRatio * m_recentRatio;
  Upstream.m_paceSettled = !m_active && m_absence == Absence::None;
  if (!m_active && !Upstream.cold(Now))
    m_limiting = false;
  return Result;
}

SharedTokenBucket::Limits UpstreamPace::limits(const UpstreamState &Upstream,
                                               const Terms &Current,
                                               Instant Now) const {
  double Interval = seconds(drawInterval(Current.m_sharers));
  double Rate = std::numeric_limits<double>::infinity();
  double Capacity = Rate;
  if (m_active) {
    Rate = m_limit / responseSeconds(Upstream, Current.m_workTime, Now);
    Capacity = std::max(m_limit, Rate * Interval);
  }
  if (Upstream.cold(Now) && Current.m_coldRate > 0) {
    // What was saved may be sent in the same second as what is refilled.
    double ColdRate =
        usableColdRate(Current.m_bound, Current.m_coldRate) / (1 + Interval);
    Rate = std::min(Rate, ColdRate);
    Capacity = std::min(Capacity, std::max(1.0, ColdRate * Interval));
    if (Current.m_sharers.reportingShare() < MinReportingShare) {
      Rate *= UncorrectedPart;
      Capacity *= UncorrectedPart;
    }
  }
  double Share = Current.m_sharers.reportingShare();
  return {Rate * Share, Capacity * Share,
          Capacity + Rate * Share * OwedSeconds};
}

bool UpstreamPace::limitsRate(const UpstreamState &Upstream,
                              const Terms &Current, Instant Now) const {
  if (Upstream.cold(Now) && Current.m_coldRate > 0)
    return true;
  return m_active && Current.m_sharers.reportingShare() < MinReportingShare;
}

bool UpstreamPace::divides(const UpstreamState &Upstream, const Terms &Current,
                           Instant Now) const {
  return limitsRate(Upstream, Current, Now) ||
         (m_active && !Current.m_byOwnerThrottle);
}

bool UpstreamPace::available(const UpstreamState &Upstream,
                             const Terms &Current, std::mt19937_64 &Random,
                             Instant Now) {
  if (!limitsRate(Upstream, Current, Now)) {
    m_limiting = false;
    if (!m_active || Current.m_byOwnerThrottle)
      return true;
    // What waits here is taken to be as much as elsewhere on the mean.
    double Others = std::max<std::size_t>(Current.m_sharers.m_reporting, 2) - 1;
    return m_throttle.available(Upstream, Current.m_waitingElsewhere / Others,
                                Current.m_waitingElsewhere, Current.m_workTime,
                                Current.m_sharers.m_reportInterval /
                                    static_cast<int>(RemoteStatusPeriod),
                                Random, Now);
  }
  if (m_active && !hasCapacity(Upstream))
    return false;
  if (!std::exchange(m_limiting, true)) {
    m_bucket = SharedTokenBucket(1);
    m_peerSent.reset();
    m_demand = m_reportedDemand = 0;
  }
  // The count starts anew when the upstream does.
  std::uint32_t PeerSentBefore =
      std::min(m_peerSent.value_or(Upstream.m_peerSent), Upstream.m_peerSent);
  m_peerSent = Upstream.m_peerSent;
  m_bucket.refill(limits(Upstream, Current, Now),
                  Upstream.m_peerSent - PeerSentBefore, Now);
  Duration ReportInterval = drawInterval(Current.m_sharers);
  double Demand = Upstream.m_waiting + m_bucket.recentlySent();
  if (Now >= m_demandReportedAt + ReportInterval) {
    m_demandReportedAt = Now;
    m_reportedDemand = std::exchange(m_demand, Demand);
  }
  // Hosts that counted their whole demand before others know of it would
  // together draw more than there is.
  Demand = std::min(Demand, m_reportedDemand + MaxUnreportedDemand);
  LimitSharers Sharers = Current.m_sharers;
  Sharers.m_reportInterval = ReportInterval;
  // A host that hears from few others has a large share, for which shorter
  // intervals would mean more draws.
  Duration Interval =
      Sharers.reportingShare() < MinReportingShare
          ? ReportInterval
          : ReportInterval / static_cast<int>(RemoteStatusPeriod);
  double PeerDemand = Upstream.m_peerWaiting + m_bucket.recentlySentByPeers();
  double Share = (BaseDemand + Demand) /
                 (BaseDemand * static_cast<double>(Sharers.m_reporting) +
                  Demand + PeerDemand);
  // What the others draw is unknown for a report interval. This host knows of
  // its own draws at once.
  double Part = static_cast<double>(Interval.count()) /
                static_cast<double>(ReportInterval.count());
  Share *= Share + (1 - Share) * Part;
  return m_bucket.draw(m_bucket.tokens() * Share, Interval, Random, Now);
}

} // namespace burdockpulley
