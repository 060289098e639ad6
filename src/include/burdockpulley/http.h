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
struct evhttp_connection;
struct evhttp_bound_socket;

namespace burdockpulley {

/// One header field.
struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

/// A request as a caller sent it or as an upstream gets it.
struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/"; ///< Path and query.
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  std::string m_caller; ///< Address of the caller; set by the server.

  /// The first value of a header, whatever its case; empty when absent.
  std::string_view header(std::string_view Name) const;
};

/// True when a received request can be read in one way only: at most one
/// Content-Length, which is a number, never together with Transfer-Encoding;
/// no body with a method that has none; only legal bytes in the target, the
/// field names and the field values.
/// Thread safety: safe.
bool wellFormed(const HttpRequest &Request);

/// A whole answer.
struct HttpResponse {
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;

  /// The first value of a header, whatever its case; empty when absent.
  std::string_view header(std::string_view Name) const;
};

/// Why an HTTP call has no answer.
enum class HttpError {
  None,
  ConnectFailed, ///< No byte of the request has left.
  Interrupted,   ///< Sent at least in part; the server may have run it.
  TimedOut,      ///< As Interrupted, and the call's time is over.
};

/// Answers one request. It must be called once; a dropped responder answers
/// 500. Thread safety: none.
class HttpResponder {
public:
  explicit HttpResponder(evhttp_request *Request);
  ~HttpResponder();
  HttpResponder(const HttpResponder &) = delete;
  HttpResponder &operator=(const HttpResponder &) = delete;

  /// Sends the answer; it does nothing when the caller has gone.
  void send(const HttpResponse &Response);

  /// The connection is closed after the answer.
  void closeAfter() { m_close = true; }

  /// Calls \p Gone once, on the loop's thread, when the caller closes its
  /// connection before the answer is sent. Precondition: not called before.
  void watchCaller(std::function<void()> Gone);

private:
  void unwatch();

  evhttp_request *m_request;
  bool m_close = false;
  event *m_watch = nullptr;
  std::function<void()> m_gone;
};

/// An HTTP server on one loop.
/// Thread safety: none; it belongs to the loop's thread.
class HttpServer {
public:
  using Handler = std::function<void(HttpRequest &&Request,
                                     std::shared_ptr<HttpResponder> Responder)>;

  /// Precondition: \p Base outlives the server.
  HttpServer(event_base *Base, Handler Handle);
  ~HttpServer();

  /// Listens; port 0 takes a free one. Returns the bound port, or 0 when the
  /// address can not be had.
  std::uint16_t listen(const Endpoint &Where);

  /// Limits what a request may carry. A larger one is answered with 413.
  void limitBody(std::uint64_t Bytes);

  /// Takes no more connections. Requests in flight go on.
  void stopListening();

private:
  static void onRequest(evhttp_request *Request, void *Self);

  Handler m_handle;
  evhttp *m_server;
  evhttp_bound_socket *m_socket = nullptr;
};

/// HTTP calls to one server over a bounded pool of kept connections. Calls
/// beyond the bound wait in order.
///
/// A connection whose call failed or timed out is closed, never used again;
/// nor is one on which bytes came that no call asked for. An answer counts as
/// whole only when its framing says where it ends and that end was reached.
/// Thread safety: none; it belongs to the loop's thread.
class HttpClient {
public:
  using Callback = std::function<void(HttpError, HttpResponse &&)>;

  /// Precondition: \p Base outlives the client.
  HttpClient(event_base *Base, const Endpoint &Server,
             std::uint32_t MaxConnections);
  ~HttpClient();

  /// Which kept connections a call may use. The server may just be closing a
  /// connection that was idle for long; a request sent on it is lost in a way
  /// that leaves open whether it was run.
  enum class Reuse { Any, RecentlyUsed };

  /// Sends a request. \p Done runs once, on the loop's thread, at the latest
  /// when \p Timeout is over, however slowly the answer's bytes come.
  void call(HttpRequest &&Request, Duration Timeout, Callback Done,
            Reuse Allowed = Reuse::Any);

  /// Calls sent and not answered yet.
  std::size_t inFlight() const { return m_busy; }

private:
  struct Call;
  struct Waiting {
    HttpRequest m_request;
    Instant m_deadline;
    Callback m_done;
    Reuse m_reuse;
  };
  struct Idle {
    evhttp_connection *m_connection;
    Instant m_since;
  };

  void start(Waiting &&Next);
  evhttp_connection *takeConnection(Reuse Allowed);
  evhttp_connection *newConnection();
  void finish(Call *Finished, HttpError Error, HttpResponse &&Response);
  void closeLater(evhttp_connection *Connection);
  void closeDead();
  static void onResponse(evhttp_request *Request, void *Argument);
  static void onError(int Error, void *Argument);
  static void onDeadline(int Descriptor, short What, void *Argument);

  event_base *m_base;
  Endpoint m_server;
  std::uint32_t m_maxConnections;
  std::size_t m_busy = 0;
  std::vector<Idle> m_idle;
  std::vector<evhttp_connection *> m_dead;
  event *m_reaper;
  std::vector<Call *> m_calls;
  std::deque<Waiting> m_waiting;
};

} // namespace burdockpulley

#endif
