#ifndef BURDOCKPULLEY_LIBHTTP_CALLER_CONNECTION_H
#define BURDOCKPULLEY_LIBHTTP_CALLER_CONNECTION_H

#include "burdockpulley/caller_listener.h"
#include "message_parser.h"

#include <optional>

struct bufferevent;
struct event;

namespace burdockpulley::detail {

/// A connection accepted from a caller. Its listener owns it, and deletes it
/// when the connection has ended.
/// Thread safety: none; use it on the event loop's thread only.
class CallerConnection {
public:
  CallerConnection(CallerListener &Listener, bufferevent *Stream,
                   std::string CallerAddress, Instant Now);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  /// Sends the response to the current request.
  void sendResponse(HttpResponse Response);
  /// Closes the connection without a response. Deletes this object.
  void abandon();
  /// Closes the connection if it has exceeded a time limit. May delete this
  /// object.
  void sweep(Instant Now);

  /// Returns true while a request is being read or has no response yet.
  bool busy() const { return m_exchange != nullptr || m_parser.begun(); }
  /// Returns true if no request is in progress and no data is buffered in
  /// either direction.
  bool idle() const;
  /// Returns true if the caller may expect something: a response, the rest of
  /// one, or that a request is read which has arrived or is on its way.
  bool active(Instant Now) const;
  /// See Exchange::receivedAgo().
  Duration receivedAgo() const;

  const std::string &callerAddress() const { return m_callerAddress; }
  const MemoryBudget::Account *account() const { return m_account.get(); }
  Instant since() const { return m_since; }
  /// Returns true if the connection may be closed for a new one: it waits for a
  /// request or its headers, or its last response has been written.
  bool replaceable(Instant Now) const;
  /// Returns true if the header section of a request is complete and its body
  /// is not.
  bool receivingBody() const;
  /// Returns true if the caller has sent nothing lately that could be read.
  bool bodyStalled(Instant Now) const;
  /// Bytes of the body that were read in the last one to two seconds.
  std::size_t recentBytes(Instant Now) const;
  std::size_t chargedBytes() const {
    return m_charge.bytes() + m_bodyCharge.bytes();
  }
  /// Refuses the request whose body is being received.
  void giveUpBody() { refuse(Unavailable, CallerLimit::MemoryBody); }
  /// Bytes of responses that the kernel has not taken yet.
  std::size_t unreadBytes() const;
  /// Time since there are such bytes.
  Duration writingFor(Instant Now) const { return Now - m_writeBegan; }
  /// Bytes a second that the caller has read since then.
  double readRate(Instant Now) const;

private:
  static constexpr int Unavailable = 503;

  void onReadable();
  /// Parses input that has been received. Returns false if the parser's
  /// message has ended or was refused.
  bool parse(const char *Bytes, std::size_t Size);
  /// Charges what the parser holds and \p Unparsed bytes more.
  void chargeInput(std::size_t Unparsed);
  /// Returns false if the budget does not allow more of the request; then it
  /// has been refused, or reading is paused.
  bool admitInput();
  void pauseReading();
  void resumeReading(Instant Now);
  /// Returns the limit that the request being received exceeds, if any.
  std::optional<CallerLimit> exceededByRequest(Instant Now) const;
  bool readsTooSlowly(Instant Now) const;
  /// Time since the begin of the request, except the time that reading was
  /// paused here.
  Duration receivingFor(Instant Now) const;
  void onDisconnected();
  void onFlushed();
  void dispatchRequest();
  void refuse(int Status, CallerLimit Reason);
  void closeFor(CallerLimit Reason);
  void startLinger();
  /// Returns true if the caller sends no more or has closed the connection.
  bool callerEnded() const;
  /// Returns true if the kernel holds bytes that have not been read yet.
  bool hasUnreadInput() const;

  CallerListener &m_listener;
  bufferevent *m_stream;
  std::string m_callerAddress;
  std::shared_ptr<MemoryBudget::Account> m_account;
  MemoryCharge m_charge;     ///< Of the connection, its input and headers.
  MemoryCharge m_bodyCharge; ///< Of the body that is being received.
  MessageParser m_parser;
  Exchange *m_exchange = nullptr; ///< The request that is being handled.
  Instant m_since;                ///< Start of the interval that sweep() times.
  Instant m_accepted;
  Instant m_requestBegan;
  Instant m_pausedSince;   ///< Zero while reading is not paused.
  Duration m_pausedTime{}; ///< Of the request, until the last resumption.
  Instant m_secondBegan;   ///< Of the second that the next field counts.
  std::size_t m_bytesOfSecond = 0;
  std::size_t m_bytesOfLastSecond = 0;
  Instant m_writeBegan;          ///< Since when responses are unread.
  std::size_t m_queuedBytes = 0; ///< Bytes of responses queued since then.
  event *m_resumeEvent;          ///< Parses requests that are already buffered.
  bool m_keepAlive = true;
  bool m_hadRequest = false; ///< A request has been received entirely.
  bool m_closing = false;    ///< No more requests are read.
  bool m_lingering = false;  ///< All output is written; input is discarded.
};

} // namespace burdockpulley::detail

#endif
