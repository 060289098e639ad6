#include "burdockpulley/upstream_selection.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Weight of one response in the mean service time of a route.
constexpr double ServiceTimeWeight = 0.05;
/// Weight of one sample in the service time ratio of an upstream.
constexpr double RatioWeight = 0.02;
/// The initial service time ratio counts as much as this many samples.
constexpr std::uint32_t RatioPriorSamples = 8;
constexpr double MinRatio = 0.3;
constexpr double MaxRatio = 20;
/// A sample counts as at most this multiple of the current ratio.
constexpr double MaxSampleFactor = 6;
/// A ratio without samples for RatioLifetime decays with RatioHalfLife.
constexpr Duration RatioLifetime{2'000'000};
constexpr Duration RatioHalfLife{4'000'000};
/// The load of noisy neighbours changes within fractions of a second; an older
/// report no longer reflects it.
constexpr Duration ReportLifetime{250'000};
/// Approximate service time at a cold upstream, relative to a warm one.
constexpr double ColdFactor = 2;
/// Relative increase of the service time when all slots of an upstream are in
/// use; upstreams slow down as they fill up.
constexpr double FullSlowdown = 0.3;
/// Cost of another failure domain, as time: the network round trip, and the
/// price of bytes between domains.
constexpr Duration CrossDomainTime{2'000};
constexpr double CrossDomainMicrosPerByte = 0.6;
/// Jitter when the status interval equals the service time, and its upper
/// bound.
constexpr double JitterPerInterval = 3;
constexpr double MaxJitter = 3;
/// Fraction of the jitter that another failure domain costs in addition to the
/// distance, so that the jitter alone sends few requests there.
constexpr double CrossDomainJitterShare = 0.4;

} // namespace

void ServiceTimes::onAnswer(const std::string &Route, Duration Spent,
                            double Factor) {
  RouteMean &Mean = m_means[Route];
  double Normalized =
      static_cast<double>(Spent.count()) / std::max(Factor, 0.1);
  ++Mean.m_samples;
  double Weight = std::max(ServiceTimeWeight, 1.0 / Mean.m_samples);
  Mean.m_micros += (Normalized - Mean.m_micros) * Weight;
}

Duration ServiceTimes::expected(const std::string &Route,
                                Duration Default) const {
  auto It = m_means.find(Route);
  if (It == m_means.end())
    return Default;
  return Duration(static_cast<std::int64_t>(It->second.m_micros));
}

double slownessFactor(const UpstreamState &Upstream, Instant Now) {
  double Momentary = Now - Upstream.m_reportAt < ReportLifetime
                         ? Upstream.m_report.m_slowness
                         : 1;
  return Upstream.m_serviceTimeRatio * Momentary *
         (Upstream.cold(Now) ? ColdFactor : 1);
}

double slotTimeFactor(const UpstreamState &Upstream, Instant Now) {
  return Upstream.m_paceLimit ? Upstream.m_paceSlowness
                              : slownessFactor(Upstream, Now);
}

Duration expectedFinish(const UpstreamState &Upstream, Duration WorkTime,
                        Instant Now) {
  double Slots = std::max(1U, Upstream.m_record.m_slots);
  double Outstanding = Upstream.m_outstanding + Upstream.m_peerOutstanding;
  double QueuedPerSlot = std::max(0.0, Outstanding + 1 - Slots) / Slots;
  double Utilization = std::min(1.0, Outstanding / Slots);
  double Work = static_cast<double>(WorkTime.count()) *
                slownessFactor(Upstream, Now) *
                (1 + FullSlowdown * Utilization);
  return Duration(static_cast<std::int64_t>(Work * (1 + QueuedPerSlot)));
}

std::uint32_t maxInFlight(const UpstreamState &Upstream) {
  std::uint32_t Slots = std::max(1U, Upstream.m_record.m_slots);
  if (!Upstream.m_paceLimit)
    return Slots + MaxQueuedBeyondSlots;
  return std::clamp(static_cast<std::uint32_t>(*Upstream.m_paceLimit), 1U,
                    Slots);
}

bool hasCapacity(const UpstreamState &Upstream) {
  return Upstream.m_outstanding + Upstream.m_peerOutstanding <
         maxInFlight(Upstream);
}

double jitterFor(Duration StatusInterval, Duration WorkTime) {
  double IntervalPerWork =
      static_cast<double>(StatusInterval.count()) /
      static_cast<double>(std::max<std::int64_t>(WorkTime.count(), 1));
  return std::min(MaxJitter, IntervalPerWork * JitterPerInterval);
}

namespace {

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

Duration costOf(const UpstreamState &Upstream, const SelectionRequest &Request,
                Duration Finish) {
  Duration Cost = Finish;
  if (Request.m_jitter > 0) {
    std::uniform_real_distribution<double> Share(0, Request.m_jitter);
    Cost += scaled(Finish, Share(*Request.m_random));
  }
  if (Upstream.m_record.m_domain == Request.m_domain)
    return Cost;
  return Cost + CrossDomainTime +
         scaled(Request.m_workTime, Request.m_jitter * CrossDomainJitterShare) +
         Duration(static_cast<std::int64_t>(
             static_cast<double>(Request.m_bytes) * CrossDomainMicrosPerByte));
}

} // namespace

Selection selectUpstream(const UpstreamRegistry &Registry,
                         std::span<UpstreamState *const> Upstreams,
                         const SelectionRequest &Request, Instant Now) {
  Selection Best;
  Duration BestCost = Duration::max();
  for (UpstreamState *Upstream : Upstreams) {
    if (!Registry.usable(*Upstream) ||
        (Request.m_tried && Request.m_tried->count(Upstream->m_record.m_id)))
      continue;
    Best.m_anyUsable = true;
    if (!hasCapacity(*Upstream))
      continue;
    Duration Finish = expectedFinish(*Upstream, Request.m_workTime, Now);
    Duration Cost = costOf(*Upstream, Request, Finish);
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.m_upstream = Upstream;
  }
  return Best;
}

namespace {

void addLocalSample(UpstreamState &Upstream, double Sample,
                    std::uint32_t Failures, Instant Now) {
  Upstream.m_localRatioSum += Sample;
  ++Upstream.m_localRatioCount;
  Upstream.m_localFailures += Failures;
  mergeServiceTimeRatio(Upstream, Sample, 1, Failures, Now);
}

} // namespace

void observeServiceTime(UpstreamState &Upstream, Duration Spent,
                        Duration Expected, Instant Now) {
  if (Expected <= Duration())
    return;
  // Slowness from a cold start or noisy neighbours is not part of the ratio.
  double TemporarySlowness =
      slownessFactor(Upstream, Now) / Upstream.m_serviceTimeRatio;
  double Sample = static_cast<double>(Spent.count()) /
                  (static_cast<double>(Expected.count()) * TemporarySlowness);
  Sample = std::clamp(Sample, MinRatio,
                      Upstream.m_serviceTimeRatio * MaxSampleFactor);
  addLocalSample(Upstream, Sample, 0, Now);
}

void observeFailure(UpstreamState &Upstream, Instant Now) {
  addLocalSample(Upstream, FailureSample, 1, Now);
}

void decayServiceTimeRatio(UpstreamState &Upstream, Duration Elapsed,
                           Instant Now) {
  if (Now - Upstream.m_serviceTimeObservedAt < RatioLifetime)
    return;
  double Remaining = std::exp2(-static_cast<double>(Elapsed.count()) /
                               static_cast<double>(RatioHalfLife.count()));
  Upstream.m_serviceTimeRatio =
      1 + (Upstream.m_serviceTimeRatio - 1) * Remaining;
}

void mergeServiceTimeRatio(UpstreamState &Upstream, double Mean,
                           std::uint32_t Samples, std::uint32_t Failures,
                           Instant Now) {
  if (Samples == 0)
    return;
  Upstream.m_unjudged.m_ratioSum += Mean * Samples;
  Upstream.m_unjudged.m_samples += Samples;
  Upstream.m_unjudged.m_failures += std::min(Failures, Samples);
  Upstream.m_serviceTimeObservedAt = Now;
  Upstream.m_serviceTimeSamples += Samples;
  double Weight = std::max(
      RatioWeight, 1.0 / (Upstream.m_serviceTimeSamples + RatioPriorSamples));
  Weight = 1 - std::pow(1 - Weight, Samples);
  Upstream.m_serviceTimeRatio =
      std::clamp(Upstream.m_serviceTimeRatio +
                     (Mean - Upstream.m_serviceTimeRatio) * Weight,
                 MinRatio, MaxRatio);
}

} // namespace burdockpulley
