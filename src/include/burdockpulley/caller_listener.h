#ifndef BURDOCKPULLEY_CALLER_LISTENER_H
#define BURDOCKPULLEY_CALLER_LISTENER_H

#include "burdockpulley/http.h"
#include "burdockpulley/types.h"

#include <functional>
#include <memory>
#include <unordered_set>

struct event_base;
struct evconnlistener;

namespace burdockpulley {

namespace detail {
class CallerConnection;
} // namespace detail

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t m_headerBytes = 16 << 10;
  std::size_t m_bodyBytes = 64 << 20;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

/// One request of a caller, and the way back to it.
///
/// An exchange that is dropped without an answer closes its connection.
/// Thread safety: none; it belongs to the loop's thread.
class Exchange {
public:
  Exchange(detail::CallerConnection *Connection, HttpRequest &&Request,
           Instant Arrived);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const { return m_request; }
  Instant arrived() const { return m_arrived; }

  /// Sends the answer; does nothing when the caller has gone.
  /// Precondition: not called before.
  void answer(const HttpResponse &Response);

  /// Calls \p Gone once when the caller closes its connection before the
  /// answer is sent.
  void onCallerGone(std::function<void()> Gone) { m_gone = std::move(Gone); }

private:
  friend class detail::CallerConnection;
  void leave();

  detail::CallerConnection *m_connection;
  HttpRequest m_request;
  Instant m_arrived;
  std::function<void()> m_gone;
};

/// Accepts callers' connections and reads one request at a time from each.
///
/// Bodies are read whole before the request is handed on, up to the limits.
/// Thread safety: none; it belongs to the loop's thread.
class CallerListener {
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  /// Precondition: \p Base outlives the listener.
  CallerListener(event_base *Base, std::size_t MaxConnections, Handler Handle);
  ~CallerListener();
  CallerListener(const CallerListener &) = delete;
  CallerListener &operator=(const CallerListener &) = delete;

  /// Listens; port 0 takes a free one. Returns the bound port, or 0 when the
  /// address can not be had.
  std::uint16_t listen(const Endpoint &Where);

  /// Applies to requests that begin from now on.
  void setLimits(const CallerLimits &Limits);

  /// From now on each answer ends its connection.
  void closeAfterAnswers() { m_closeAfterAnswers = true; }

  /// Takes no more connections, and closes those without a request.
  void stopListening();

  /// Closes connections that were idle or too slow for longer than the limits
  /// allow. Call it a few times a second.
  void sweep(Instant Now);

  /// Requests that were read, or begun to be read, and have no answer yet.
  std::size_t busy() const;
  std::size_t connections() const { return m_connections.size(); }

private:
  friend class detail::CallerConnection;
  void accept(int Descriptor, const std::string &Peer);
  void remove(detail::CallerConnection *Connection);

  event_base *m_base;
  std::size_t m_maxConnections;
  Handler m_handle;
  evconnlistener *m_listener = nullptr;
  CallerLimits m_limits;
  bool m_closeAfterAnswers = false;
  std::unordered_set<detail::CallerConnection *> m_connections;
};

} // namespace burdockpulley

#endif
