#ifndef BURDOCKPULLEY_LIBHTTP_CHANNEL_H
#define BURDOCKPULLEY_LIBHTTP_CHANNEL_H

#include "burdockpulley/channel_pool.h"
#include "burdockpulley/response_memory.h"
#include "message_parser.h"

#include <vector>

struct bufferevent;
struct event;

namespace burdockpulley::detail {

/// A connection of a ChannelPool, with at most one call at a time.
/// Thread safety: none; use it on the event loop's thread only.
class Channel : ResponseMemory::Response {
public:
  /// \p Number identifies the connection within \p Pool.
  Channel(ChannelPool &Pool, event_base *Base, std::uint64_t Number);
  ~Channel() override;
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Starts a call, and connects if there is no connection yet.
  /// Precondition: no call is in progress.
  void start(ChannelCallId Call, const HttpRequest &Request,
             const std::string &EchoId, Duration Timeout,
             ChannelPool::Callback Done, Instant Now);
  /// Closes the connection. A call in progress ends without its callback.
  void close();

  std::uint64_t number() const { return m_number; }
  ChannelCallId callId() const { return m_call; }
  /// Returns true if the connection has ended and the object can be freed.
  bool closed() const { return m_closed; }
  /// Returns true if bytes, or the end of the stream, have arrived that the
  /// event loop has not reported yet. Precondition: it is idle and not closed.
  bool hasUnexpectedInput() const;
  /// Returns true if a call with this id has ended with an error status on this
  /// connection. A repeated copy of that response may follow at any time.
  bool hasRefused(const std::string &EchoId) const;
  bool idleTooLong(Instant Now) const { return Now >= m_idleUntil; }
  Instant idleSince() const { return m_idleSince; }
  Duration idleLimit() const { return m_idleLimit; }

private:
  void connect();
  void onConnected();
  void sendRequest();
  void discardRequest();
  void onReadable();
  void onDisconnected(short Events);
  /// Returns true if the server's end of the connection has acknowledged the
  /// whole request, and has not reset the connection since it has ended it.
  bool requestAcknowledged() const;
  void onTimer();
  void onMemoryLimit() override;
  /// Tells the pool's ResponseMemory, if any, how much the response takes.
  void updateMemory(std::size_t Bytes);
  /// Returns true if the call goes on, as the response was not its own. Else it
  /// has ended, and its callback may have destroyed this object.
  bool onResponse();
  void startTimer(Duration Timeout);
  /// Moves the deadline, as bytes of the response have arrived.
  void extendDeadline(Instant Now);
  /// \p Problem: see ChannelResult::m_problem.
  void failCall(ChannelError Error, const char *Problem = "");
  void closeStream();
  /// Remembers the call's id if \p Status is an error.
  void rememberRefusal(int Status);

  ChannelPool &m_pool;
  event_base *m_base;
  std::uint64_t m_number;
  bufferevent *m_stream = nullptr;
  event *m_timer; ///< Ends the attempt to connect, then the call.
  MessageParser m_parser;
  ChannelCallId m_call;
  std::string m_unsent; ///< The request, until there is a connection.
  MemoryCharge m_unsentCharge;
  /// The body of m_unsent if it is sent without a copy.
  std::shared_ptr<const std::string> m_unsentBody;
  std::string m_echoId;
  ChannelPool::Callback m_done; ///< Empty while no call is in progress.
  Instant m_started;
  Duration m_timeout{};
  Instant m_deadline;
  Instant m_idleSince;
  Instant m_idleUntil;
  Duration m_idleLimit{};
  bool m_connected = false;
  bool m_refused = false;
  /// An unexpected response was received, or the server has closed the stream.
  bool m_notReusable = false;
  bool m_memoryExceeded = false;
  std::uint32_t m_skippedResponses = 0; ///< Those to earlier requests.
  /// Hashes of the ids of calls that have ended with an error status.
  std::vector<std::uint64_t> m_refusedIds;
  bool m_closed = false;
  bool m_resetOnClose = false; ///< Set when a call has failed or was cancelled.
};

} // namespace burdockpulley::detail

#endif
