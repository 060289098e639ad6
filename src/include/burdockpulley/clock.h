#ifndef BURDOCKPULLEY_CLOCK_H
#define BURDOCKPULLEY_CLOCK_H

#include "burdockpulley/types.h"

namespace burdockpulley {

/// Current time of the boot-time clock, which also advances while the machine
/// is suspended, so that a lease that expires during a suspend is seen as
/// expired. Only I/O code calls it; decision logic takes the time as an
/// argument.
/// Thread safety: safe.
Instant bootClockNow();

} // namespace burdockpulley

#endif
