#ifndef BURDOCKPULLEY_CLOCK_H
#define BURDOCKPULLEY_CLOCK_H

#include "burdockpulley/types.h"

namespace burdockpulley {

/// Reads the clock that goes on while the machine is suspended, so that a
/// lease that ended meanwhile is seen to have ended. Only adapters call it;
/// code that decides takes the time as an argument.
/// Thread safety: safe.
Instant bootClockNow();

} // namespace burdockpulley

#endif
