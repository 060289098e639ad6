#include "command_queue.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/platform_codec.h"

#include <utility>

namespace burdockpulley {

namespace {

/// Responses to commands consist of a few header lines.
constexpr std::size_t MaxCommandResponseBytes = 64 << 10;

/// Settings of the connections for commands. Upstreams may leave out the id in
/// responses to them.
ChannelPoolSettings commandSettings(const PlatformCodec &Codec) {
  ChannelPoolSettings Settings;
  Settings.m_maxResponseBytes = MaxCommandResponseBytes;
  Settings.m_echoHeader = Codec.headers().m_requestId;
  Settings.m_echoRequired = false;
  Settings.m_maxSendDelay = Settings.m_connectTimeout;
  return Settings;
}

ChannelPoolSettings oneConnection(ChannelPoolSettings Settings) {
  Settings.m_maxConnections = 1;
  return Settings;
}

} // namespace

ChannelPoolSettings grantSettings(const PlatformCodec &Codec) {
  ChannelPoolSettings Settings = commandSettings(Codec);
  Settings.m_unacknowledgedTimeout = GrantTimeout;
  return Settings;
}

ChannelPoolSettings releaseSettings(const PlatformCodec &Codec) {
  ChannelPoolSettings Settings = commandSettings(Codec);
  Settings.m_maxConnections = 0;
  return Settings;
}

CommandQueue::CommandQueue(event_base *Base, const Endpoint &Address,
                           ChannelPoolSettings Settings)
    : m_address(Address), m_pool(Base, Address, oneConnection(Settings)) {}

void CommandQueue::push(Command Queued) {
  m_commands.push_back(std::move(Queued));
  if (!m_busy)
    startNext(bootClockNow());
}

void CommandQueue::startNext(Instant Now) {
  while (!m_commands.empty() && (Now > m_commands.front().m_sendBefore ||
                                 !m_commands.front().m_allowed())) {
    Command NotSent = std::move(m_commands.front());
    m_commands.pop_front();
    ChannelResult Result;
    Result.m_error = ChannelError::ConnectFailed;
    NotSent.m_done(std::move(Result));
  }
  if (m_commands.empty())
    return;
  Command Next = std::move(m_commands.front());
  m_commands.pop_front();
  m_busy = true;
  m_pool.call(
      Next.m_request, Next.m_id, Next.m_timeout, ChannelPool::Reuse::Any,
      [this, Done = std::move(Next.m_done)](ChannelResult &&Result) {
        m_busy = false;
        Done(std::move(Result));
        if (!m_busy)
          startNext(bootClockNow());
      },
      Next.m_connection);
}

} // namespace burdockpulley
