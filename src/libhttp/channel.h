#ifndef BURDOCKPULLEY_LIBHTTP_CHANNEL_H
#define BURDOCKPULLEY_LIBHTTP_CHANNEL_H

#include "burdockpulley/channel_pool.h"
#include "message_parser.h"

struct bufferevent;
struct event;

namespace burdockpulley::detail {

/// One connection to a server, with at most one call on it.
/// Thread safety: none; it belongs to the loop's thread.
class Channel {
public:
  /// \p Number counts the owner's connections.
  Channel(ChannelPool &Owner, event_base *Base, std::uint64_t Number);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// Starts a call. Precondition: no call is on it.
  void start(ChannelCallId Call, const HttpRequest &Request,
             const std::string &EchoId, Duration Timeout,
             ChannelPool::Callback Done, Instant Now);
  /// Drops the call without running its callback.
  void drop();

  std::uint64_t number() const { return m_number; }
  ChannelCallId callId() const { return m_call; }
  bool dead() const { return m_dead; }
  bool idleTooLong(Instant Now) const { return Now >= m_idleUntil; }
  Instant idleSince() const { return m_idleSince; }
  Duration idleLimit() const { return m_idleLimit; }

private:
  void connect();
  void onConnected();
  void onReadable();
  void onEnd(short What);
  void onTimer();
  void onAnswer();
  void arm(Duration Left);
  void end(ChannelError Error, bool Reusable);
  void closeStream();

  ChannelPool &m_owner;
  event_base *m_base;
  std::uint64_t m_number;
  bufferevent *m_stream = nullptr;
  event *m_timer;
  MessageParser m_parser;
  ChannelCallId m_call;
  std::string m_echoId;
  ChannelPool::Callback m_done;
  Instant m_started;
  Instant m_deadline;
  Instant m_idleSince;
  Instant m_idleUntil;
  Duration m_idleLimit{};
  bool m_connected = false;
  bool m_refused = false;
  bool m_suspect = false; ///< Bytes came that belong to no call.
  bool m_dead = false;
  bool m_abort = false; ///< A call was given up: the connection is reset.
};

} // namespace burdockpulley::detail

#endif
