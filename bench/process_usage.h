#ifndef BURDOCKPULLEY_BENCH_PROCESS_USAGE_H
#define BURDOCKPULLEY_BENCH_PROCESS_USAGE_H

#include "burdockpulley/types.h"

#include <sys/types.h>

#include <cstdint>

namespace burdockpulley::bench {

/// What a process has used since its start, as the kernel counts it.
struct ProcessUsage {
  Duration m_cpu{}; ///< User and system time, in steps of a clock tick.
  std::uint64_t m_residentBytes = 0;
  std::uint64_t m_readBytes = 0;    ///< By read calls, sockets included.
  std::uint64_t m_writtenBytes = 0; ///< By write calls, sockets included.
};

/// Reads the counters of a process; zeros when it is gone.
/// Thread safety: safe.
ProcessUsage readUsage(pid_t Process);

/// Bytes that this process has allocated and not freed.
/// Thread safety: safe.
std::uint64_t allocatedBytes();

/// The steady clock's present time.
/// Thread safety: safe.
Instant benchNow();

} // namespace burdockpulley::bench

#endif
