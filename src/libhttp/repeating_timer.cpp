#include "burdockpulley/repeating_timer.h"

#include <event2/event.h>

namespace burdockpulley {

RepeatingTimer::RepeatingTimer(event_base *Base, Duration Interval,
                               std::function<void(Instant)> Tick)
    : m_tick(std::move(Tick)) {
  auto Fire = [](int, short, void *Self) {
    static_cast<RepeatingTimer *>(Self)->m_tick(bootClockNow());
  };
  m_event = event_new(Base, -1, EV_PERSIST, Fire, this);
  timeval Period{Interval.count() / 1'000'000, Interval.count() % 1'000'000};
  event_add(m_event, &Period);
}

RepeatingTimer::~RepeatingTimer() { event_free(m_event); }

} // namespace burdockpulley
