#include "burdockpulley/cold_start_ramp.h"

#include <algorithm>
#include <bit>

namespace burdockpulley {

namespace {

constexpr std::uint32_t SuccessesPerSlot = 4;
/// A level is borne when its latency is at most so many times that below.
constexpr int BearableFactor = 2;
/// At full concurrency, a latency so many times the usual means a cold start.
constexpr int JumpFactor = 4;
constexpr std::uint32_t MinJumpSuccesses = 8;
constexpr Duration MinJump{2'000};
/// Weight of one run in the mean latency, and of the mean in the usual one.
constexpr int MeanShift = 2;
constexpr int ReferenceShift = 6;

Duration moved(Duration Mean, Duration Value, int Shift) {
  return Mean + (Value - Mean) / (1 << Shift);
}

} // namespace

ColdStartRamp::ColdStartRamp(std::uint32_t Slots, Duration WarmUp, Instant Now)
    : m_slots(Slots),
      m_step(WarmUp / std::max(1, static_cast<int>(std::bit_width(Slots)))),
      m_since(Now) {}

void ColdStartRamp::enter(std::uint32_t Level, Instant Now) {
  m_allowed = std::clamp(Level, 1U, m_slots);
  m_since = Now;
  m_successes = 0;
}

void ColdStartRamp::onSuccess(Duration Latency, Instant Now) {
  m_mean = m_successes == 0 ? Latency : moved(m_mean, Latency, MeanShift);
  ++m_successes;
  judgeLevel(Now);
}

void ColdStartRamp::judgeLevel(Instant Now) {
  if (m_reference == Duration())
    m_reference = m_mean;
  if (warm()) {
    bool Jumped = m_successes >= MinJumpSuccesses &&
                  m_mean > m_reference * JumpFactor &&
                  m_mean > m_reference + MinJump;
    if (Jumped)
      return onRestart(Now);
    m_reference = moved(m_reference, m_mean, ReferenceShift);
    return;
  }
  if (m_allowed == 1)
    m_reference = m_mean;
  bool Enough = m_successes >= SuccessesPerSlot * m_allowed;
  if (!Enough || Now - m_since < m_step)
    return;
  bool Borne = m_mean <= m_reference * BearableFactor + MinJump;
  if (!Borne)
    return enter(m_allowed / 2, Now);
  m_reference = m_mean;
  enter(m_allowed * 2, Now);
}

void ColdStartRamp::onFailure(Instant Now) { enter(m_allowed / 2, Now); }

void ColdStartRamp::onRestart(Instant Now) {
  m_reference = Duration();
  enter(1, Now);
}

} // namespace burdockpulley
