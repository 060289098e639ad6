#ifndef BURDOCKPULLEY_CHANNEL_POOL_H
#define BURDOCKPULLEY_CHANNEL_POOL_H

#include "burdockpulley/http.h"
#include "burdockpulley/types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event;
struct event_base;

namespace burdockpulley {

namespace detail {
class Channel;
} // namespace detail

/// Names one call within one ChannelPool.
using ChannelCallId = Strong<struct ChannelCallIdTag, std::uint64_t>;

/// Why a call has no answer.
enum class ChannelError {
  None,
  ConnectFailed, ///< No byte of the request has left this process.
  Interrupted,   ///< The connection ended before the whole answer was there.
  BadAnswer,     ///< What came back is not an answer to this call.
  TimedOut,      ///< The call's time is over.
};

/// Name of an error as it stands in logs. Thread safety: safe.
const char *toString(ChannelError Error);

/// How a call has ended.
struct ChannelResult {
  ChannelError m_error = ChannelError::None;
  bool m_sent = false;    ///< Bytes may have reached the server.
  bool m_refused = false; ///< The server's port refused the connection.
  HttpResponse m_response;
  std::uint64_t m_connection = 0; ///< Counts the pool's connections from one.
  Duration m_spent{};             ///< From the call to its end.
};

/// Settings of a pool.
struct ChannelPoolSettings {
  std::size_t m_maxConnections = 64;
  Duration m_connectTimeout = std::chrono::milliseconds(200);
  /// Idle connections are closed after this time, or earlier if the server
  /// has announced a shorter one.
  Duration m_idleTimeout = std::chrono::seconds(8);
  /// Unacknowledged bytes older than this end the connection.
  Duration m_silenceTimeout = std::chrono::milliseconds(1500);
  std::size_t m_maxAnswerBytes = 64 << 20;
  /// Header in which a server repeats the id of the request that it answers;
  /// empty when it does not.
  std::string m_echoHeader;
};

/// HTTP calls to one server over kept connections, one call at a time on each.
///
/// A connection on which anything unexpected happened is never used again. An
/// answer counts as whole only when its framing says so. Unlike HttpClient it
/// takes answers that end with their connection, answers that come while the
/// request is still being written, and skips answers to earlier requests.
/// Thread safety: none; it belongs to the loop's thread.
class ChannelPool {
public:
  using Callback = std::function<void(ChannelResult &&)>;

  /// Which kept connections a call may use; see HttpClient::Reuse.
  enum class Reuse { Any, RecentlyUsed };

  /// Precondition: \p Base outlives the pool.
  ChannelPool(event_base *Base, const Endpoint &Server,
              ChannelPoolSettings Settings);
  ~ChannelPool();
  ChannelPool(const ChannelPool &) = delete;
  ChannelPool &operator=(const ChannelPool &) = delete;

  /// Sends a request. \p Done runs once, later, on the loop's thread, at the
  /// latest when \p Timeout is over, unless the call is cancelled. \p EchoId is
  /// what the answer must repeat; empty accepts any answer. A \p Connection
  /// that is not zero is the only one to be used (see
  /// ChannelResult::m_connection): if it is not there and idle, the call ends
  /// with ConnectFailed.
  ChannelCallId call(const HttpRequest &Request, const std::string &EchoId,
                     Duration Timeout, Reuse Allowed, Callback Done,
                     std::uint64_t Connection = 0);

  /// Gives a call up; its connection is closed and \p Done does not run.
  void cancel(ChannelCallId Call);

  /// Closes connections that have been idle for too long, and frees ended
  /// ones. Call it a few times a second.
  void sweep(Instant Now);

  std::size_t open() const { return m_channels.size(); }
  /// Connections made since the pool was made.
  std::uint64_t made() const { return m_made; }

private:
  friend class detail::Channel;
  detail::Channel *take(Reuse Allowed, Instant Now);
  detail::Channel *takeOnly(std::uint64_t Connection, Instant Now);
  void release(detail::Channel *Which, bool Reusable);
  void endRefused();
  void reap();
  void reapSoon();

  event_base *m_base;
  Endpoint m_server;
  ChannelPoolSettings m_settings;
  std::uint64_t m_nextCall = 0;
  std::uint64_t m_made = 0;
  std::vector<std::unique_ptr<detail::Channel>> m_channels;
  std::vector<detail::Channel *> m_idle; ///< The one used last is at the end.
  std::map<ChannelCallId, detail::Channel *> m_calls;
  /// Calls that need a kept connection and found none.
  std::vector<std::pair<ChannelCallId, Callback>> m_refused;
  event *m_soon; ///< Frees ended connections, and ends m_refused.
};

} // namespace burdockpulley

#endif
