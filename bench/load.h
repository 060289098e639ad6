#ifndef BURDOCKPULLEY_BENCH_LOAD_H
#define BURDOCKPULLEY_BENCH_LOAD_H

#include "burdockpulley/http.h"
#include "latencies.h"

#include <map>
#include <random>

struct event;
struct event_base;

namespace burdockpulley::bench {

/// An event loop with timers finer than a millisecond.
/// Thread safety: none.
class Loop {
public:
  Loop();
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  event_base *base() { return m_base; }

private:
  event_base *m_base;
};

/// What became of one request. Times count from the start of the load.
struct Sample {
  std::uint64_t m_number = 0;
  Duration m_scheduled{};
  Duration m_latency{};  ///< From the scheduled time, not from the sending.
  std::string m_outcome; ///< "answered", "not-run", "unknown" or "lost".
};

/// What one load has seen.
struct LoadResult {
  std::vector<Sample> m_samples;

  std::map<std::string, int> outcomes() const;
  /// Latencies of the answered requests.
  Latencies answered() const;
};

/// How much load, for how long.
struct LoadPlan {
  double m_ratePerSecond = 1000;
  Duration m_length{};
  Duration m_timeout{5'000'000};
  std::uint64_t m_seed = 1;
};

/// Sends requests at times that are drawn beforehand, whether or not earlier
/// ones have been answered, so that a slow system can not slow its own load.
///
/// Thread safety: none; it belongs to the loop's thread.
class OpenLoad {
public:
  using Done = HttpClient::Callback;
  /// Sends the request with a number; must call \p Done once.
  using Sender = std::function<void(std::uint64_t Number, Done)>;

  /// Precondition: \p Base outlives the load.
  OpenLoad(event_base *Base, LoadPlan Plan, Sender Send);
  ~OpenLoad();

  /// Runs an action on the loop at a time of the load.
  void at(Duration When, std::function<void()> Action);

  /// Runs the loop until every request has ended.
  LoadResult run();

private:
  struct Step {
    Duration m_when;
    std::function<void()> m_action;
  };

  static void onTimer(int, short, void *Self);
  void advance();
  void arm();
  void sendNext();
  void drawNext();
  Duration elapsed() const;

  event_base *m_base;
  LoadPlan m_plan;
  Sender m_send;
  std::mt19937_64 m_random;
  std::vector<Step> m_steps; ///< Latest first.
  event *m_timer;
  Instant m_start{};
  Duration m_next{};
  std::uint64_t m_sent = 0;
  std::size_t m_open = 0;
  LoadResult m_result;
};

} // namespace burdockpulley::bench

#endif
