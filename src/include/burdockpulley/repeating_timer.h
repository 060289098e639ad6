#ifndef BURDOCKPULLEY_REPEATING_TIMER_H
#define BURDOCKPULLEY_REPEATING_TIMER_H

#include "burdockpulley/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace burdockpulley {

/// Calls a function at a fixed interval on the event loop's thread.
/// Thread safety: none; use it on the event loop's thread only.
class RepeatingTimer {
public:
  /// Starts the timer. Precondition: \p Base outlives the timer.
  RepeatingTimer(event_base *Base, Duration Interval,
                 std::function<void(Instant Now)> OnTick);
  ~RepeatingTimer();
  RepeatingTimer(const RepeatingTimer &) = delete;
  RepeatingTimer &operator=(const RepeatingTimer &) = delete;

private:
  std::function<void(Instant)> m_onTick;
  event *m_event;
};

} // namespace burdockpulley

#endif
