#include "evhttp_glue.h"
#include "framing.h"

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace burdockpulley {

namespace {

constexpr int IdleTimeoutSeconds = 60;
constexpr std::size_t MaxHeaderBytes = 64 * 1024;

const char *methodName(evhttp_cmd_type Method) {
  switch (Method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

std::uint16_t boundPort(evhttp_bound_socket *Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  int Descriptor = evhttp_bound_socket_get_fd(Socket);
  getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

} // namespace

HttpResponder::HttpResponder(evhttp_request *Request) : m_request(Request) {
  evhttp_request_own(Request);
}

HttpResponder::~HttpResponder() {
  if (m_request)
    send(HttpResponse{500, {}, ""});
  unwatchCaller();
}

void HttpResponder::unwatchCaller() {
  if (m_callerClosedEvent)
    event_free(m_callerClosedEvent);
  m_callerClosedEvent = nullptr;
}

void HttpResponder::watchCaller(std::function<void()> OnCallerGone) {
  evhttp_connection *Connection =
      m_request ? evhttp_request_get_connection(m_request) : nullptr;
  if (!Connection)
    return;
  m_onCallerGone = std::move(OnCallerGone);
  auto OnClosed = [](int, short, void *Self) {
    std::function<void()> OnCallerGone =
        std::move(static_cast<HttpResponder *>(Self)->m_onCallerGone);
    OnCallerGone();
  };
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  m_callerClosedEvent =
      event_new(evhttp_connection_get_base(Connection),
                bufferevent_getfd(Stream), EV_CLOSED, OnClosed, this);
  event_add(m_callerClosedEvent, nullptr);
}

void HttpResponder::send(const HttpResponse &Response) {
  evhttp_request *Request = m_request;
  m_request = nullptr;
  unwatchCaller();
  if (!Request)
    return;
  if (!evhttp_request_get_connection(Request)) {
    evhttp_request_free(Request);
    return;
  }
  // evhttp frees the request after sending the response only if the request is
  // not marked as owned by the user.
  Request->flags &= ~EVHTTP_USER_OWNED;
  detail::writeHeaders(evhttp_request_get_output_headers(Request),
                       Response.m_headers);
  if (m_closeAfterResponse)
    detail::writeHeaders(evhttp_request_get_output_headers(Request),
                         {{"Connection", "close"}});
  bool ToHead = evhttp_request_get_command(Request) == EVHTTP_REQ_HEAD;
  if (!detail::endsWithHead(Response.m_status, ToHead))
    evbuffer_add(evhttp_request_get_output_buffer(Request),
                 Response.m_body.data(), Response.m_body.size());
  evhttp_send_reply(Request, Response.m_status, nullptr, nullptr);
}

HttpServer::HttpServer(event_base *Base, Handler RequestHandler)
    : m_base(Base), m_handler(std::move(RequestHandler)),
      m_server(evhttp_new(Base)) {
  evhttp_set_allowed_methods(
      m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                    EVHTTP_REQ_OPTIONS);
  evhttp_set_timeout(m_server, IdleTimeoutSeconds);
  evhttp_set_max_headers_size(m_server, MaxHeaderBytes);
  evhttp_set_default_content_type(m_server, nullptr);
  evhttp_set_gencb(m_server, onRequest, this);
}

HttpServer::~HttpServer() {
  if (m_closeSocketEvent)
    event_free(m_closeSocketEvent);
  evhttp_free(m_server);
}

std::uint16_t HttpServer::listen(const Endpoint &BindAddress) {
  m_socket = evhttp_bind_socket_with_handle(
      m_server, BindAddress.m_address.c_str(), BindAddress.m_port);
  return m_socket ? boundPort(m_socket) : 0;
}

void HttpServer::setMaxBodyBytes(std::uint64_t Bytes) {
  evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(Bytes));
}

void HttpServer::stopListening() {
  if (!m_socket || m_closeSocketEvent)
    return;
  // Closing the socket resets connections that are established but not yet
  // accepted. The loop runs events of sockets before those of timers, and
  // evhttp accepts all that are waiting.
  m_closeSocketEvent = evtimer_new(
      m_base,
      [](evutil_socket_t, short, void *Self) {
        static_cast<HttpServer *>(Self)->closeSocket();
      },
      this);
  timeval AtOnce{};
  event_add(m_closeSocketEvent, &AtOnce);
}

void HttpServer::closeSocket() {
  evhttp_del_accept_socket(m_server, m_socket);
  m_socket = nullptr;
}

void HttpServer::onRequest(evhttp_request *Request, void *Self) {
  auto *Server = static_cast<HttpServer *>(Self);
  HttpRequest ReceivedRequest;
  ReceivedRequest.m_method = methodName(evhttp_request_get_command(Request));
  ReceivedRequest.m_target = evhttp_request_get_uri(Request);
  ReceivedRequest.m_headers =
      detail::readHeaders(evhttp_request_get_input_headers(Request));
  ReceivedRequest.m_body =
      detail::drain(evhttp_request_get_input_buffer(Request));
  char *Address = nullptr;
  std::uint16_t Port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(Request), &Address,
                             &Port);
  ReceivedRequest.m_caller = Address ? Address : "";
  Server->m_handler(std::move(ReceivedRequest),
                    std::make_shared<HttpResponder>(Request));
}

} // namespace burdockpulley
