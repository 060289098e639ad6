#include "burdockpulley/repeating_timer.h"

#include <event2/event.h>

namespace burdockpulley {

RepeatingTimer::RepeatingTimer(event_base *Base, Duration Interval,
                               std::function<void(Instant)> OnTick)
    : m_onTick(std::move(OnTick)) {
  auto OnTimer = [](int, short, void *Self) {
    static_cast<RepeatingTimer *>(Self)->m_onTick(bootClockNow());
  };
  m_event = event_new(Base, -1, EV_PERSIST, OnTimer, this);
  timeval Period{Interval.count() / 1'000'000, Interval.count() % 1'000'000};
  event_add(m_event, &Period);
}

RepeatingTimer::~RepeatingTimer() { event_free(m_event); }

} // namespace burdockpulley
