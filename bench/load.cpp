#include "load.h"

#include "process_usage.h"

#include <event2/event.h>

#include <algorithm>

namespace burdockpulley::bench {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

std::string outcomeOf(HttpError Error, const HttpResponse &Response) {
  if (Error != HttpError::None)
    return "lost";
  std::string_view Told = Response.header("X-Burdockpulley-Outcome");
  if (Response.m_status == 200)
    return "answered";
  return Told.empty() ? "lost" : std::string(Told);
}

} // namespace

Loop::Loop() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  m_base = event_base_new_with_config(Config);
  event_config_free(Config);
}

Loop::~Loop() { event_base_free(m_base); }

std::map<std::string, int> LoadResult::outcomes() const {
  std::map<std::string, int> Counts;
  for (const Sample &Each : m_samples)
    ++Counts[Each.m_outcome];
  return Counts;
}

Latencies LoadResult::answered() const {
  Latencies All;
  for (const Sample &Each : m_samples)
    if (Each.m_outcome == "answered")
      All.add(Each.m_latency);
  return All;
}

OpenLoad::OpenLoad(event_base *Base, LoadPlan Plan, Sender Send)
    : m_base(Base), m_plan(Plan), m_send(std::move(Send)),
      m_random(Plan.m_seed), m_timer(event_new(Base, -1, 0, onTimer, this)) {}

OpenLoad::~OpenLoad() { event_free(m_timer); }

void OpenLoad::at(Duration When, std::function<void()> Action) {
  m_steps.push_back({When, std::move(Action)});
  std::sort(m_steps.begin(), m_steps.end(),
            [](const Step &A, const Step &B) { return A.m_when > B.m_when; });
}

LoadResult OpenLoad::run() {
  m_start = benchNow();
  drawNext();
  arm();
  event_base_dispatch(m_base);
  return std::move(m_result);
}

Duration OpenLoad::elapsed() const { return benchNow() - m_start; }

void OpenLoad::onTimer(int, short, void *Self) {
  static_cast<OpenLoad *>(Self)->advance();
}

void OpenLoad::advance() {
  while (!m_steps.empty() && m_steps.back().m_when <= elapsed()) {
    Step Due = std::move(m_steps.back());
    m_steps.pop_back();
    Due.m_action();
  }
  while (m_next < m_plan.m_length && m_next <= elapsed())
    sendNext();
  arm();
}

void OpenLoad::arm() {
  Duration Until = Duration::max();
  if (m_next < m_plan.m_length)
    Until = m_next;
  if (!m_steps.empty())
    Until = std::min(Until, m_steps.back().m_when);
  if (Until == Duration::max()) {
    if (m_open == 0)
      event_base_loopbreak(m_base);
    return;
  }
  Duration Wait = std::max(Duration(0), Until - elapsed());
  timeval Time{Wait.count() / MicrosPerSecond, Wait.count() % MicrosPerSecond};
  event_add(m_timer, &Time);
}

void OpenLoad::drawNext() {
  std::exponential_distribution<double> Gap(m_plan.m_ratePerSecond);
  m_next += Duration(
      static_cast<std::int64_t>(Gap(m_random) * double(MicrosPerSecond)));
}

void OpenLoad::sendNext() {
  Duration Scheduled = m_next;
  std::uint64_t Number = m_sent++;
  drawNext();
  ++m_open;
  m_send(Number, [=, this](HttpError Error, HttpResponse &&Response) {
    m_result.m_samples.push_back(
        {Number, Scheduled, elapsed() - Scheduled, outcomeOf(Error, Response)});
    --m_open;
    if (m_open == 0 && m_next >= m_plan.m_length && m_steps.empty())
      event_base_loopbreak(m_base);
  });
}

} // namespace burdockpulley::bench
