#include "burdockpulley/channel_pool.h"

#include "burdockpulley/clock.h"
#include "channel.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace burdockpulley {

namespace {

/// A connection used within this share of its idle limit is not about to be
/// closed by the server.
constexpr int RecentShare = 2;

} // namespace

const char *toString(ChannelError Error) {
  switch (Error) {
  case ChannelError::None:
    return "none";
  case ChannelError::ConnectFailed:
    return "connect-failed";
  case ChannelError::Interrupted:
    return "interrupted";
  case ChannelError::BadAnswer:
    return "bad-answer";
  case ChannelError::TimedOut:
    return "timed-out";
  }
  return "unknown";
}

ChannelPool::ChannelPool(event_base *Base, const Endpoint &Server,
                         ChannelPoolSettings Settings)
    : m_base(Base), m_server(Server), m_settings(std::move(Settings)),
      m_soon(evtimer_new(
          Base,
          [](evutil_socket_t, short, void *Self) {
            auto *Pool = static_cast<ChannelPool *>(Self);
            Pool->reap();
            Pool->endRefused();
          },
          this)) {}

ChannelPool::~ChannelPool() { event_free(m_soon); }

void ChannelPool::endRefused() {
  auto Calls = std::exchange(m_refused, {});
  for (auto &[Call, Done] : Calls) {
    ChannelResult Result;
    Result.m_error = ChannelError::ConnectFailed;
    Done(std::move(Result));
  }
}

detail::Channel *ChannelPool::take(Reuse Allowed, Instant Now) {
  while (!m_idle.empty()) {
    detail::Channel *Last = m_idle.back();
    bool Recent = Now - Last->idleSince() <= Last->idleLimit() / RecentShare;
    if (Last->dead() || Last->idleTooLong(Now)) {
      m_idle.pop_back();
      Last->drop();
      continue;
    }
    if (Allowed == Reuse::RecentlyUsed && !Recent)
      break;
    m_idle.pop_back();
    return Last;
  }
  m_channels.push_back(
      std::make_unique<detail::Channel>(*this, m_base, ++m_made));
  return m_channels.back().get();
}

detail::Channel *ChannelPool::takeOnly(std::uint64_t Connection, Instant Now) {
  for (detail::Channel *Each : m_idle) {
    if (Each->number() != Connection || Each->dead() || Each->idleTooLong(Now))
      continue;
    std::erase(m_idle, Each);
    return Each;
  }
  return nullptr;
}

ChannelCallId ChannelPool::call(const HttpRequest &Request,
                                const std::string &EchoId, Duration Timeout,
                                Reuse Allowed, Callback Done,
                                std::uint64_t Connection) {
  Instant Now = bootClockNow();
  ChannelCallId Call(++m_nextCall);
  detail::Channel *Which =
      Connection == 0 ? take(Allowed, Now) : takeOnly(Connection, Now);
  if (!Which) {
    m_refused.emplace_back(Call, std::move(Done));
    reapSoon();
    return Call;
  }
  m_calls[Call] = Which;
  Which->start(Call, Request, EchoId, Timeout, std::move(Done), Now);
  return Call;
}

void ChannelPool::cancel(ChannelCallId Call) {
  std::erase_if(m_refused,
                [Call](const auto &Each) { return Each.first == Call; });
  auto Found = m_calls.find(Call);
  if (Found == m_calls.end())
    return;
  detail::Channel *Which = Found->second;
  m_calls.erase(Found);
  Which->drop();
  // Not called from the channel's own callbacks, so it may go at once: the
  // server sees the close and stops the work.
  std::erase_if(m_channels,
                [Which](const auto &Each) { return Each.get() == Which; });
}

void ChannelPool::release(detail::Channel *Which, bool Reusable) {
  m_calls.erase(Which->callId());
  std::erase(m_idle, Which);
  if (Reusable && m_channels.size() <= m_settings.m_maxConnections)
    m_idle.push_back(Which);
  else
    Which->drop();
  if (Which->dead())
    reapSoon();
}

void ChannelPool::reap() {
  std::erase_if(m_idle,
                [](const detail::Channel *Each) { return Each->dead(); });
  std::erase_if(m_channels, [](const auto &Each) { return Each->dead(); });
}

void ChannelPool::reapSoon() {
  timeval AtOnce{0, 0};
  evtimer_add(m_soon, &AtOnce);
}

void ChannelPool::sweep(Instant Now) {
  for (const auto &Each : m_channels)
    if (std::find(m_idle.begin(), m_idle.end(), Each.get()) != m_idle.end() &&
        Each->idleTooLong(Now))
      Each->drop();
  reap();
}

} // namespace burdockpulley
