#ifndef BURDOCKPULLEY_RETURN_PLANNER_H
#define BURDOCKPULLEY_RETURN_PLANNER_H

#include "burdockpulley/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace burdockpulley {

/// Decides which refused requests are told to come back, and when, and detects
/// those that have come back.
///
/// Used when load exceeds capacity for seconds: callers repeat a refused
/// request once or twice, at another host, and a repeated request that is
/// refused again costs them the whole request. Therefore no more are told to
/// come back than a share of the capacity can serve, and those that do come
/// back go before new ones. A host detects them by their deadlines, as it knows
/// nothing of what other hosts have refused. Thread safety: none.
class ReturnPlanner {
public:
  /// What the deadline of a request says about its earlier tries.
  struct Arrival {
    Duration m_spent{};       ///< Since its first try; zero if it is new.
    bool m_returning = false; ///< It was refused and has waited since.
  };
  /// \p Kind: requests of one kind have the same deadline at their first try.
  /// \p Stated: the time that the caller still waits.
  Arrival onArrival(const std::string &Kind, Duration Stated, Instant Now);

  /// A refused request and the capacity for which it had to wait.
  struct Refused {
    Duration m_wait{}; ///< Until there is capacity behind all that wait.
    Duration m_left{}; ///< Time that the caller still waits.
    Duration m_workTime{};
    double m_slots = 0;     ///< Of all hosts together.
    double m_requestRate{}; ///< Requests a second that they take at most.
    std::size_t m_hosts = 1;
  };
  /// When a refused request is to come back; nothing if it would be refused
  /// again. \p Queue: requests of one queue compete for the same slots.
  std::optional<Duration> retryAfter(const std::string &Queue,
                                     const Refused &Request,
                                     std::mt19937_64 &Random, Instant Now);

  /// Discards what is no longer needed. Call it a few times a second.
  void sweep(Instant Now);

private:
  /// Deadlines of recent requests, in steps of DeadlineStep.
  struct Deadlines {
    std::map<std::int64_t, std::uint32_t> m_current;
    std::map<std::int64_t, std::uint32_t> m_previous;
    Instant m_periodBegan;
  };
  struct Allowance {
    double m_returns = 0; ///< That may be asked for now.
    Instant m_updatedAt;
  };

  static std::int64_t usualStep(const Deadlines &Recent);

  std::map<std::string, Deadlines> m_deadlines;
  std::map<std::string, Allowance> m_allowances;
};

} // namespace burdockpulley

#endif
