#include "burdockpulley/upstream_selection.h"

#include <algorithm>
#include <cmath>

namespace burdockpulley {

namespace {

/// Weight of one answer in the mean of a route's service time.
constexpr double ServiceTimeWeight = 0.05;
/// Weight of one answer in an upstream's speed.
constexpr double SpeedWeight = 0.02;
/// Answers until an upstream's own speed is believed in full.
constexpr std::uint32_t SpeedWarmUp = 8;
constexpr double MinSpeed = 0.3;
constexpr double MaxSpeed = 20;
/// One answer moves the speed by no more than this ratio of it.
constexpr double MaxSpeedSample = 6;
/// A failed request counts as one that took so many times longer.
constexpr double FailureSlowness = 6;
/// A speed that was not observed for this long begins to be forgotten, half of
/// it in about the time after it.
constexpr Duration SpeedLifetime{2'000'000};
constexpr Duration SpeedFadeTime{4'000'000};
/// Neighbours change within fractions of a second; an older report says
/// nothing of them any more.
constexpr Duration ReportLifetime{250'000};
/// Work at a cold upstream takes about so many times longer.
constexpr double ColdFactor = 2;
/// Upstreams slow down as they fill up.
constexpr double FullSlowdown = 0.3;
/// Cost of another failure domain, as time: the way there and back, and the
/// price of bytes between domains.
constexpr Duration CrossDomainTime{2'000};
constexpr double CrossDomainMicrosPerByte = 0.6;
/// Spread of the choice for news as old as a request takes, and its bound.
constexpr double SpreadPerAge = 3;
constexpr double MaxSpread = 3;
/// Part of the spread that another failure domain costs beside the distance:
/// chance alone sends little there.
constexpr double CrossDomainSpread = 0.4;

} // namespace

void ServiceTimes::onAnswer(const std::string &Route, Duration Spent,
                            double Factor) {
  Row &Which = m_rows[Route];
  double Usual = static_cast<double>(Spent.count()) / std::max(Factor, 0.1);
  ++Which.m_samples;
  double Weight = std::max(ServiceTimeWeight, 1.0 / Which.m_samples);
  Which.m_micros += (Usual - Which.m_micros) * Weight;
}

Duration ServiceTimes::expected(const std::string &Route,
                                Duration Guess) const {
  auto Found = m_rows.find(Route);
  if (Found == m_rows.end())
    return Guess;
  return Duration(static_cast<std::int64_t>(Found->second.m_micros));
}

double slownessFactor(const UpstreamState &Row, Instant Now) {
  double Momentary =
      Now - Row.m_reportAt < ReportLifetime ? Row.m_report.m_slowness : 1;
  return Row.m_serviceTimeRatio * Momentary * (Row.cold(Now) ? ColdFactor : 1);
}

Duration expectedFinish(const UpstreamState &Row, Duration WorkTime,
                        Instant Now) {
  double Slots = std::max(1U, Row.m_record.m_slots);
  double Outstanding = Row.m_outstanding + Row.m_peerOutstanding;
  double Ahead = std::max(0.0, Outstanding + 1 - Slots) / Slots;
  double Full = std::min(1.0, Outstanding / Slots);
  double Work = static_cast<double>(WorkTime.count()) *
                slownessFactor(Row, Now) * (1 + FullSlowdown * Full);
  return Duration(static_cast<std::int64_t>(Work * (1 + Ahead)));
}

bool hasRoom(const UpstreamState &Row) {
  return Row.m_outstanding + Row.m_peerOutstanding <
         std::max(1U, Row.m_record.m_slots) + QueueAhead;
}

double jitterFor(Duration NewsAge, Duration WorkTime) {
  double Age = static_cast<double>(NewsAge.count()) /
               static_cast<double>(std::max<std::int64_t>(WorkTime.count(), 1));
  return std::min(MaxSpread, Age * SpreadPerAge);
}

namespace {

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Time.count()) * Factor));
}

Duration costOf(const UpstreamState &Row, const SelectionRequest &Request,
                Duration Finish) {
  Duration Cost = Finish;
  if (Request.m_jitter > 0) {
    std::uniform_real_distribution<double> Share(0, Request.m_jitter);
    Cost += scaled(Finish, Share(*Request.m_random));
  }
  if (Row.m_record.m_domain == Request.m_domain)
    return Cost;
  return Cost + CrossDomainTime +
         scaled(Request.m_workTime, Request.m_jitter * CrossDomainSpread) +
         Duration(static_cast<std::int64_t>(
             static_cast<double>(Request.m_bytes) * CrossDomainMicrosPerByte));
}

} // namespace

Selection selectUpstream(const UpstreamRegistry &Registry,
                         std::span<UpstreamState *const> Rows,
                         const SelectionRequest &Request, Instant Now) {
  Selection Best;
  Duration BestCost = Duration::max();
  for (UpstreamState *Row : Rows) {
    if (!Registry.usable(*Row) ||
        (Request.m_tried && Request.m_tried->count(Row->m_record.m_id)))
      continue;
    Best.m_anyUsable = true;
    if (!hasRoom(*Row))
      continue;
    Duration Finish = expectedFinish(*Row, Request.m_workTime, Now);
    Duration Cost = costOf(*Row, Request, Finish);
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.m_upstream = Row;
  }
  return Best;
}

namespace {

void addOwnSample(UpstreamState &Row, double Sample, Instant Now) {
  Row.m_localRatioSum += Sample;
  ++Row.m_localRatioCount;
  mergeServiceTimeRatio(Row, Sample, 1, Now);
}

} // namespace

void observeServiceTime(UpstreamState &Row, Duration Spent, Duration Expected,
                        Instant Now) {
  if (Expected <= Duration())
    return;
  double Known = slownessFactor(Row, Now) / Row.m_serviceTimeRatio;
  double Sample = static_cast<double>(Spent.count()) /
                  (static_cast<double>(Expected.count()) * Known);
  Sample =
      std::clamp(Sample, MinSpeed, Row.m_serviceTimeRatio * MaxSpeedSample);
  addOwnSample(Row, Sample, Now);
}

void observeFailure(UpstreamState &Row, Instant Now) {
  addOwnSample(Row, FailureSlowness, Now);
}

void decayServiceTimeRatio(UpstreamState &Row, Duration Passed, Instant Now) {
  if (Now - Row.m_serviceTimeObservedAt < SpeedLifetime)
    return;
  double Kept = std::exp2(-static_cast<double>(Passed.count()) /
                          static_cast<double>(SpeedFadeTime.count()));
  Row.m_serviceTimeRatio = 1 + (Row.m_serviceTimeRatio - 1) * Kept;
}

void mergeServiceTimeRatio(UpstreamState &Row, double Mean,
                           std::uint32_t Samples, Instant Now) {
  if (Samples == 0)
    return;
  Row.m_serviceTimeObservedAt = Now;
  Row.m_serviceTimeSamples += Samples;
  double Weight =
      std::max(SpeedWeight, 1.0 / (Row.m_serviceTimeSamples + SpeedWarmUp));
  Weight = 1 - std::pow(1 - Weight, Samples);
  Row.m_serviceTimeRatio = std::clamp(
      Row.m_serviceTimeRatio + (Mean - Row.m_serviceTimeRatio) * Weight,
      MinSpeed, MaxSpeed);
}

} // namespace burdockpulley
