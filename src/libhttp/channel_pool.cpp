#include "burdockpulley/channel_pool.h"

#include "burdockpulley/clock.h"
#include "channel.h"

#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace burdockpulley {

namespace {

/// A connection counts as recently used if it has been idle for no longer than
/// its idle limit divided by this; the server is then not about to close it.
constexpr int RecentUseDivisor = 2;

/// The pool of a server is replaced when its address changes, and calls of both
/// pools may be open: their ids must differ.
ChannelCallId nextCallId() {
  static std::uint64_t Last = 0;
  return ChannelCallId(++Last);
}

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
      m_cleanupEvent(evtimer_new(
          Base,
          [](evutil_socket_t, short, void *Self) {
            auto *Pool = static_cast<ChannelPool *>(Self);
            Pool->freeClosed();
            Pool->failCallsWithoutConnection();
          },
          this)) {}

ChannelPool::~ChannelPool() { event_free(m_cleanupEvent); }

void ChannelPool::failCallsWithoutConnection() {
  auto Calls = std::exchange(m_callsWithoutConnection, {});
  for (auto &[Call, Done] : Calls) {
    ChannelResult Result;
    Result.m_error = ChannelError::ConnectFailed;
    Done(std::move(Result));
  }
}

detail::Channel *ChannelPool::takeAny(const std::string &EchoId,
                                      Reuse AllowedReuse, Instant Now) {
  for (std::size_t Index = m_idle.size(); Index-- > 0;) {
    detail::Channel *MostRecent = m_idle[Index];
    bool Recent = Now - MostRecent->idleSince() <=
                  MostRecent->idleLimit() / RecentUseDivisor;
    if (MostRecent->closed() || MostRecent->idleTooLong(Now)) {
      closeIdle(MostRecent);
      continue;
    }
    if (AllowedReuse == Reuse::RecentlyUsed && !Recent)
      break;
    // Without an id, the call would take these bytes for its response.
    if (EchoId.empty() && MostRecent->hasUnexpectedInput()) {
      closeIdle(MostRecent);
      continue;
    }
    if (MostRecent->hasRefused(EchoId))
      continue;
    std::erase(m_idle, MostRecent);
    return MostRecent;
  }
  m_channels.push_back(
      std::make_unique<detail::Channel>(*this, m_base, ++m_connectionsCreated));
  return m_channels.back().get();
}

detail::Channel *ChannelPool::takeByNumber(std::uint64_t ConnectionNumber,
                                           const std::string &EchoId,
                                           Instant Now) {
  for (detail::Channel *Idle : m_idle) {
    if (Idle->number() != ConnectionNumber || Idle->closed() ||
        Idle->idleTooLong(Now) || Idle->hasRefused(EchoId))
      continue;
    std::erase(m_idle, Idle);
    return Idle;
  }
  return nullptr;
}

ChannelCallId ChannelPool::call(const HttpRequest &Request,
                                const std::string &EchoId, Duration Timeout,
                                Reuse AllowedReuse, Callback Done,
                                std::uint64_t ConnectionNumber) {
  Instant Now = bootClockNow();
  ChannelCallId Call = nextCallId();
  detail::Channel *Channel = ConnectionNumber == 0
                                 ? takeAny(EchoId, AllowedReuse, Now)
                                 : takeByNumber(ConnectionNumber, EchoId, Now);
  if (!Channel) {
    m_callsWithoutConnection.emplace_back(Call, std::move(Done));
    scheduleCleanup();
    return Call;
  }
  m_calls[Call] = Channel;
  Channel->start(Call, Request, EchoId, Timeout, std::move(Done), Now);
  return Call;
}

bool ChannelPool::cancel(ChannelCallId Call) {
  if (std::erase_if(m_callsWithoutConnection, [Call](const auto &Waiting) {
        return Waiting.first == Call;
      }) > 0)
    return true;
  auto It = m_calls.find(Call);
  if (It == m_calls.end())
    return false;
  detail::Channel *Channel = It->second;
  m_calls.erase(It);
  Channel->close();
  // The channel can be freed now rather than by the cleanup event because
  // cancel() is not called from the channel's own callbacks. The server sees at
  // once that the connection has ended, and can stop its work.
  std::erase_if(m_channels, [Channel](const auto &Owned) {
    return Owned.get() == Channel;
  });
  return true;
}

void ChannelPool::release(detail::Channel *Channel, bool Reusable) {
  m_calls.erase(Channel->callId());
  std::erase(m_idle, Channel);
  if (Reusable && m_channels.size() <= m_settings.m_maxConnections)
    m_idle.push_back(Channel);
  else
    Channel->close();
  if (Channel->closed())
    scheduleCleanup();
}

void ChannelPool::freeClosed() {
  std::erase_if(m_idle,
                [](const detail::Channel *Idle) { return Idle->closed(); });
  std::erase_if(m_channels,
                [](const auto &Channel) { return Channel->closed(); });
}

void ChannelPool::scheduleCleanup() {
  timeval NoDelay{0, 0};
  evtimer_add(m_cleanupEvent, &NoDelay);
}

void ChannelPool::closeIdle(detail::Channel *Idle) {
  std::erase(m_idle, Idle);
  Idle->close();
  scheduleCleanup();
}

void ChannelPool::closeIdle() {
  for (detail::Channel *Idle : m_idle)
    Idle->close();
  scheduleCleanup();
}

void ChannelPool::sweep(Instant Now) {
  for (const auto &Channel : m_channels)
    if (std::find(m_idle.begin(), m_idle.end(), Channel.get()) !=
            m_idle.end() &&
        Channel->idleTooLong(Now))
      Channel->close();
  freeClosed();
}

} // namespace burdockpulley
