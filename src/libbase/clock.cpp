#include "burdockpulley/clock.h"

#include <ctime>

namespace burdockpulley {

Instant bootClockNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Now.tv_sec) +
      std::chrono::nanoseconds(Now.tv_nsec)));
}

} // namespace burdockpulley
