#include "burdockpulley/upstream_chooser.h"

#include <algorithm>

namespace burdockpulley {

namespace {

constexpr int SlowFactor = 3;
constexpr int ReturnFactor = 2;
constexpr Duration MinExcess{2'000};
constexpr std::uint32_t MinSamples = 5;
constexpr Duration FirstEjection{1'000'000};
constexpr std::uint32_t MaxDoublings = 5;
constexpr int MeanShift = 2;
/// A failure counts as a request that took so long at least, and so much longer
/// than the mean: a server that fails fast does not look fast.
constexpr Duration MinFailure{50'000};
constexpr int FailureFactor = 4;
constexpr Duration MaxLatency{60'000'000};

} // namespace

void OutlierDetector::onResult(const UpstreamId &Which, Duration Latency,
                               bool Failed, Instant) {
  Row &Each = m_rows[Which];
  Duration Value = Latency;
  if (Failed)
    Value = std::max({Latency, MinFailure, Each.m_mean * FailureFactor});
  Value = std::min(Value, MaxLatency);
  bool First = Each.m_mean == Duration() ||
               (Each.m_standing == Standing::Probation && !Each.m_samples);
  Each.m_mean =
      First ? Value : Each.m_mean + (Value - Each.m_mean) / (1 << MeanShift);
  ++Each.m_samples;
}

void OutlierDetector::judge(std::span<const UpstreamId> Members, Instant Now) {
  std::erase_if(m_rows, [&](const auto &Entry) {
    return std::find(Members.begin(), Members.end(), Entry.first) ==
           Members.end();
  });
  auto Most = static_cast<std::size_t>(m_maxShare *
                                       static_cast<double>(Members.size()));
  std::size_t Out = 0;
  for (const auto &[Name, Each] : m_rows)
    Out += Each.m_standing != Standing::Good;
  std::size_t Room = Most > Out ? Most - Out : 0;
  for (auto &[Name, Each] : m_rows)
    judgeRow(Name, Each, Room, Now);
}

void OutlierDetector::judgeRow(const UpstreamId &Which, Row &Each,
                               std::size_t &Room, Instant Now) {
  if (Each.m_standing == Standing::Ejected) {
    if (Now < Each.m_until)
      return;
    Each.m_standing = Standing::Probation;
    Each.m_samples = 0;
    return;
  }
  Duration Median = medianOfOthers(Which);
  if (Each.m_samples < MinSamples || Median == Duration())
    return;
  bool WasGood = Each.m_standing == Standing::Good;
  int Factor = WasGood ? SlowFactor : ReturnFactor;
  if (Each.m_mean <= Median * Factor + MinExcess) {
    Each.m_standing = Standing::Good;
    Room += WasGood ? 0 : 1;
    if (!WasGood)
      Each.m_samples = 0;
    else
      Each.m_ejections = 0;
    return;
  }
  if (WasGood && Room == 0)
    return;
  Room -= WasGood ? 1 : 0;
  Each.m_until = Now + FirstEjection * (1 << Each.m_ejections);
  Each.m_ejections = std::min(Each.m_ejections + 1, MaxDoublings);
  Each.m_standing = Standing::Ejected;
  Each.m_samples = 0;
}

Duration OutlierDetector::medianOfOthers(const UpstreamId &Which) const {
  std::vector<Duration> Means;
  for (const auto &[Name, Each] : m_rows)
    if (Name != Which && Each.m_mean > Duration() &&
        Each.m_standing == Standing::Good)
      Means.push_back(Each.m_mean);
  if (Means.empty())
    return Duration();
  auto Middle =
      Means.begin() + static_cast<std::ptrdiff_t>((Means.size() - 1) / 2);
  std::nth_element(Means.begin(), Middle, Means.end());
  return *Middle;
}

OutlierDetector::Standing
OutlierDetector::standing(const UpstreamId &Which) const {
  auto Found = m_rows.find(Which);
  return Found == m_rows.end() ? Standing::Good : Found->second.m_standing;
}

Duration OutlierDetector::latency(const UpstreamId &Which) const {
  auto Found = m_rows.find(Which);
  return Found == m_rows.end() ? Duration() : Found->second.m_mean;
}

} // namespace burdockpulley
