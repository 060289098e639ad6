#ifndef BURDOCKPULLEY_LIBGATEWAY_COMMAND_QUEUE_H
#define BURDOCKPULLEY_LIBGATEWAY_COMMAND_QUEUE_H

#include "burdockpulley/channel_pool.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace burdockpulley {

class PlatformCodec;

/// Longest time for which a grant may be under way, from when it is sent.
constexpr Duration GrantTimeout{400'000};

/// Settings of the connection for grants. What is not delivered in time is not
/// delivered at all, also if this process is suspended meanwhile.
/// Thread safety: safe.
ChannelPoolSettings grantSettings(const PlatformCodec &Codec);

/// Settings of the connections for releases. Each has one of its own: a
/// response to an earlier command that the upstream repeats, without an id,
/// would show keys as released that the owner still holds.
/// Thread safety: safe.
ChannelPoolSettings releaseSettings(const PlatformCodec &Codec);

/// Sends commands to one upstream, one at a time over one persistent
/// connection.
/// Thread safety: none; all calls come from the event loop's thread.
class CommandQueue {
public:
  /// Precondition: \p Base outlives the queue.
  CommandQueue(event_base *Base, const Endpoint &Address,
               ChannelPoolSettings Settings);

  struct Command {
    HttpRequest m_request;
    std::string m_id; ///< Of the request; see ChannelPool::call().
    /// The only connection over which the command may be sent; zero for any.
    /// See ChannelResult::m_connection.
    std::uint64_t m_connection = 0;
    Duration m_timeout{};
    /// A command that could not be sent by then is not sent; m_done gets a
    /// result without connection.
    Instant m_sendBefore;
    /// Called right before the command is sent; when it returns false, the
    /// command is not sent either.
    std::function<bool()> m_allowed;
    /// Runs once for each command, unless the queue is destroyed before.
    ChannelPool::Callback m_done;
  };

  void push(Command Queued);
  /// True if all commands have ended.
  bool idle() const { return !m_busy && m_commands.empty(); }
  const Endpoint &address() const { return m_address; }
  /// Closes idle connections.
  void sweep(Instant Now) { m_pool.sweep(Now); }

private:
  void startNext(Instant Now);

  Endpoint m_address;
  ChannelPool m_pool;
  std::deque<Command> m_commands;
  bool m_busy = false;
};

} // namespace burdockpulley

#endif
