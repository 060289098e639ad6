#ifndef BURDOCKPULLEY_LIBHTTP_CALLER_CONNECTION_H
#define BURDOCKPULLEY_LIBHTTP_CALLER_CONNECTION_H

#include "burdockpulley/caller_listener.h"
#include "message_parser.h"

struct bufferevent;
struct event;

namespace burdockpulley::detail {

/// One accepted connection of a caller. It deletes itself when it has ended.
/// Thread safety: none; it belongs to the loop's thread.
class CallerConnection {
public:
  CallerConnection(CallerListener &Owner, bufferevent *Stream, std::string Peer,
                   Instant Now);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Sends the answer to the request that was handed on.
  void answer(const HttpResponse &Response);
  /// Ends the connection without an answer.
  void abandon();
  /// Ends the connection if it is over its time.
  void sweep(Instant Now);

  bool busy() const { return m_exchange != nullptr || m_parser.begun(); }
  /// True when neither a request nor an answer is on its way.
  bool idle() const;

private:
  void onReadable();
  void onEnd();
  void onFlushed();
  void handOn();
  void refuse(int Status);
  void startLinger();

  CallerListener &m_owner;
  bufferevent *m_stream;
  std::string m_peer;
  MessageParser m_parser;
  Exchange *m_exchange = nullptr;
  Instant m_since; ///< When the present phase began.
  event *m_resume; ///< Goes on with input that came behind a request.
  bool m_keepAlive = true;
  bool m_closing = false;   ///< No more requests are read.
  bool m_lingering = false; ///< All is written; input is read and dropped.
};

} // namespace burdockpulley::detail

#endif
