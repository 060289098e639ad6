#ifndef BURDOCKPULLEY_HTTP_H
#define BURDOCKPULLEY_HTTP_H

#include "burdockpulley/types.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct event_base;
struct evhttp;
struct evhttp_request;
struct evhttp_bound_socket;

namespace burdockpulley {

class ChannelPool;
struct ChannelResult;
class ResponseMemory;

/// One header field.
struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

/// A request as received from a caller, or as sent to an upstream.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/"; ///< Path and query.
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  std::string m_caller; ///< IP address of the caller; set by the server.
  /// Sent by ChannelPool in place of m_body, without a copy; may be null. It
  /// must not change.
  std::shared_ptr<const std::string> m_sharedBody = nullptr;

  /// Returns the first value of a header, or an empty view if it is absent.
  /// Header names are compared without regard to case.
  std::string_view header(std::string_view Name) const;
};

/// Returns true if a received request is unambiguous: at most one
/// Content-Length, which is a number, and never together with
/// Transfer-Encoding; no body with a method that has none; only legal bytes in
/// the target, the field names and the field values.
/// Thread safety: safe.
bool wellFormed(const HttpRequest &Request);

/// A response with its entire body.
struct HttpResponse {
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// Returns the first value of a header, or an empty view if it is absent.
  /// Header names are compared without regard to case.
  std::string_view header(std::string_view Name) const;
};

/// Why an HTTP call has no response.
enum class HttpError {
  None,
  ConnectFailed, ///< No byte of the request was sent.
  Interrupted,   ///< Sent at least in part; the server may have executed it.
  TimedOut,      ///< The timeout passed; the server may have executed it.
};

/// Sends the response to one request received by an HttpServer. A responder
/// that is destroyed without a response sends status 500.
/// Thread safety: none; use it on the event loop's thread only.
class HttpResponder {
public:
  explicit HttpResponder(evhttp_request *Request);
  ~HttpResponder();
  HttpResponder(const HttpResponder &) = delete;
  HttpResponder &operator=(const HttpResponder &) = delete;

  /// Sends the response. Does nothing if the caller has disconnected.
  /// Precondition: not called before.
  void send(const HttpResponse &Response);

  /// Makes send() close the connection once the response is sent.
  void closeAfterResponse() { m_closeAfterResponse = true; }

  /// Calls \p OnCallerGone once, on the event loop's thread, if the caller
  /// closes its connection before the response is sent.
  /// Precondition: not called before.
  void watchCaller(std::function<void()> OnCallerGone);

private:
  void unwatchCaller();

  evhttp_request *m_request;
  bool m_closeAfterResponse = false;
  event *m_callerClosedEvent = nullptr;
  std::function<void()> m_onCallerGone;
};

/// An HTTP server on an event loop.
/// Thread safety: none; use it on the event loop's thread only.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest &&Request,
                                     std::shared_ptr<HttpResponder> Responder)>;

  /// Precondition: \p Base outlives the server.
  HttpServer(event_base *Base, Handler RequestHandler);
  ~HttpServer();

  /// Starts to listen; port 0 selects a free port. Returns the bound port, or
  /// 0 if the address cannot be bound.
  std::uint16_t listen(const Endpoint &BindAddress);

  /// Limits the size of a request body. Larger requests get status 413.
  void setMaxBodyBytes(std::uint64_t Bytes);

  /// Accepts the connections that the kernel has already established, in the
  /// next turn of the event loop, then no more. Requests in flight are still
  /// completed.
  void stopListening();

private:
  static void onRequest(evhttp_request *Request, void *Self);
  void closeSocket();

  event_base *m_base;
  Handler m_handler;
  evhttp *m_server;
  evhttp_bound_socket *m_socket = nullptr;
  event *m_closeSocketEvent = nullptr;
};

/// An HTTP client for one server, with a bounded pool of persistent
/// connections. Calls beyond the bound are queued in order.
///
/// A connection is closed instead of reused if its call failed or timed out,
/// or if it received bytes outside a call. A response is complete only if its
/// framing defines where it ends and that end was received. A response without
/// end is given up once a part of it exceeds its limit.
/// Thread safety: none; use it on the event loop's thread only.
class HttpClient {
public:
  using Callback = std::function<void(HttpError, HttpResponse &&)>;

  /// \p Memory limits the memory of the responses of several clients together;
  /// null for no limit. Precondition: \p Base and \p Memory outlive the client.
  HttpClient(event_base *Base, const Endpoint &Server,
             std::uint32_t MaxConnections, ResponseMemory *Memory = nullptr);
  /// Calls in progress end without their callbacks. The client may be destroyed
  /// by a callback of its own.
  ~HttpClient();

  /// Which idle connections a call may use. The server may be about to close a
  /// connection that has been idle for long; if a request sent on it fails, it
  /// is unknown whether the server executed it.
  enum class Reuse { Any, RecentlyUsed };

  /// Sends a request. \p Done runs once, on the event loop's thread, no later
  /// than \p Timeout from now, however slowly the response arrives. A call that
  /// is still queued then ends with ConnectFailed when a connection is free.
  void call(HttpRequest &&Request, Duration Timeout, Callback Done,
            Reuse AllowedReuse = Reuse::Any);

  /// Returns the number of calls that were sent and have no response yet.
  std::size_t inFlight() const { return m_inFlight; }

private:
  struct QueuedCall {
    HttpRequest m_request;
    Instant m_deadline;
    Callback m_done;
    Reuse m_reuse;
  };

  void start(QueuedCall &&NextCall);
  void finish(const Callback &Done, bool IsHeadRequest, ChannelResult &&Result);

  std::string m_server; ///< Address and port, for the Host header.
  std::uint32_t m_maxConnections;
  std::unique_ptr<ChannelPool> m_connections;
  std::size_t m_inFlight = 0;
  std::deque<QueuedCall> m_queue; ///< Calls that wait for a connection.
};

} // namespace burdockpulley

#endif
