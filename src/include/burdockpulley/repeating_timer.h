#ifndef BURDOCKPULLEY_REPEATING_TIMER_H
#define BURDOCKPULLEY_REPEATING_TIMER_H

#include "burdockpulley/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace burdockpulley {

/// Calls a function at a fixed interval on the loop's thread.
/// Thread safety: none.
class RepeatingTimer {
public:
  /// Precondition: \p Base outlives the timer.
  RepeatingTimer(event_base *Base, Duration Interval,
                 std::function<void(Instant Now)> Tick);
  ~RepeatingTimer();
  RepeatingTimer(const RepeatingTimer &) = delete;
  RepeatingTimer &operator=(const RepeatingTimer &) = delete;

private:
  std::function<void(Instant)> m_tick;
  event *m_event;
};

} // namespace burdockpulley

#endif
