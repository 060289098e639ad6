#include "evhttp_glue.h"
#include "framing.h"

#include "burdockpulley/clock.h"
#include <event2/bufferevent.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>

namespace burdockpulley {

namespace {

/// Larger responses are given up, so that a server that sends without end does
/// not use up the memory.
constexpr ev_ssize_t MaxResponseHeaderBytes = 64 << 10;
constexpr ev_ssize_t MaxResponseBodyBytes = 64 << 20;

evhttp_cmd_type methodCode(const std::string &Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  if (Method == "DELETE")
    return EVHTTP_REQ_DELETE;
  if (Method == "HEAD")
    return EVHTTP_REQ_HEAD;
  if (Method == "PATCH")
    return EVHTTP_REQ_PATCH;
  if (Method == "OPTIONS")
    return EVHTTP_REQ_OPTIONS;
  return EVHTTP_REQ_GET;
}

/// The server may be about to close a connection that was idle for longer.
constexpr Duration RecentUseLimit{2'000'000};

int socketDescriptor(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

bool isConnected(evhttp_connection *Connection) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  return getpeername(socketDescriptor(Connection),
                     reinterpret_cast<sockaddr *>(&Address), &Size) == 0;
}

/// Resets a connection, which evhttp would end in order. The kernel discards
/// what it has not delivered.
void resetConnection(evhttp_connection *Connection) {
  sockaddr None{};
  None.sa_family = AF_UNSPEC;
  connect(socketDescriptor(Connection), &None, sizeof(None));
}

/// Returns true if bytes, or the end of the stream, were received outside a
/// call.
bool hasUnexpectedInput(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  if (evbuffer_get_length(bufferevent_get_input(Stream)) > 0)
    return true;
  char Byte = 0;
  return recv(socketDescriptor(Connection), &Byte, 1,
              MSG_PEEK | MSG_DONTWAIT) >= 0;
}

std::size_t countHeader(const HttpResponse &Response, const char *Name) {
  return static_cast<std::size_t>(
      std::count_if(Response.m_headers.begin(), Response.m_headers.end(),
                    [&](const HttpHeader &Header) {
                      return strcasecmp(Header.m_name.c_str(), Name) == 0;
                    }));
}

/// Returns true if the response is a final one, its framing defines where the
/// body ends, and all of the body has been received.
bool isComplete(const HttpResponse &Response, bool IsHeadRequest) {
  // evhttp takes each interim response but 100 for the final one.
  if (detail::isInterim(Response.m_status))
    return false;
  std::size_t ContentLengths = countHeader(Response, "Content-Length");
  std::size_t TransferEncodings = countHeader(Response, "Transfer-Encoding");
  if (ContentLengths + TransferEncodings > 1)
    return false;
  if (detail::endsWithHead(Response.m_status, IsHeadRequest))
    return true;
  if (TransferEncodings == 1)
    return strcasecmp(std::string(Response.header("Transfer-Encoding")).c_str(),
                      "chunked") == 0;
  return ContentLengths == 1 && Response.header("Content-Length") ==
                                    std::to_string(Response.m_body.size());
}

timeval toTimeval(Duration Interval) {
  timeval Value{};
  Value.tv_sec = Interval.count() / 1'000'000;
  Value.tv_usec = Interval.count() % 1'000'000;
  return Value;
}

} // namespace

struct HttpClient::Call {
  HttpClient *m_client;
  evhttp_connection *m_connection;
  Callback m_done;
  bool m_isHeadRequest;
  HttpError m_error = HttpError::Interrupted;
  event *m_deadlineTimer = nullptr;

  ~Call() {
    if (m_deadlineTimer)
      event_free(m_deadlineTimer);
  }
};

HttpClient::HttpClient(event_base *Base, const Endpoint &Server,
                       std::uint32_t MaxConnections)
    : m_base(Base), m_server(Server), m_maxConnections(MaxConnections) {
  auto OnClose = [](int, short, void *Self) {
    static_cast<HttpClient *>(Self)->closePending();
  };
  m_closeEvent = event_new(Base, -1, 0, OnClose, this);
}

HttpClient::~HttpClient() {
  event_free(m_closeEvent);
  closePending();
  for (const IdleConnection &Idle : m_idle)
    evhttp_connection_free(Idle.m_connection);
  for (Call *OpenCall : m_calls) {
    evhttp_connection *Connection = OpenCall->m_connection;
    OpenCall->m_client = nullptr;
    evhttp_connection_free(Connection);
    delete OpenCall;
  }
}

void HttpClient::call(HttpRequest &&Request, Duration Timeout, Callback Done,
                      Reuse AllowedReuse) {
  QueuedCall NextCall{std::move(Request), bootClockNow() + Timeout,
                      std::move(Done), AllowedReuse};
  if (m_inFlight < m_maxConnections)
    start(std::move(NextCall));
  else
    m_queue.push_back(std::move(NextCall));
}

evhttp_connection *HttpClient::newConnection() {
  evhttp_connection *Connection = evhttp_connection_base_new(
      m_base, nullptr, m_server.m_address.c_str(), m_server.m_port);
  evhttp_connection_set_retries(Connection, 0);
  evhttp_connection_set_max_headers_size(Connection, MaxResponseHeaderBytes);
  evhttp_connection_set_max_body_size(Connection, MaxResponseBodyBytes);
  return Connection;
}

evhttp_connection *HttpClient::takeConnection(Reuse AllowedReuse) {
  while (!m_idle.empty()) {
    IdleConnection MostRecent = m_idle.back();
    bool Recent = bootClockNow() - MostRecent.m_idleSince <= RecentUseLimit;
    if (AllowedReuse == Reuse::RecentlyUsed && !Recent)
      break;
    m_idle.pop_back();
    if (!hasUnexpectedInput(MostRecent.m_connection))
      return MostRecent.m_connection;
    closeLater(MostRecent.m_connection);
  }
  return newConnection();
}

void HttpClient::start(QueuedCall &&NextCall) {
  Duration Remaining = NextCall.m_deadline - bootClockNow();
  if (Remaining <= Duration())
    return NextCall.m_done(HttpError::ConnectFailed, {});
  evhttp_connection *Connection = takeConnection(NextCall.m_reuse);
  auto *NewCall = new Call{this, Connection, std::move(NextCall.m_done),
                           NextCall.m_request.m_method == "HEAD"};
  m_calls.push_back(NewCall);
  ++m_inFlight;
  NewCall->m_deadlineTimer = event_new(m_base, -1, 0, onDeadline, NewCall);
  timeval Timeout = toTimeval(Remaining);
  event_add(NewCall->m_deadlineTimer, &Timeout);
  evhttp_request *EvRequest = evhttp_request_new(onResponse, NewCall);
  evhttp_request_set_error_cb(EvRequest,
                              [](evhttp_request_error Error, void *Argument) {
                                onError(Error, Argument);
                              });
  evkeyvalq *Headers = evhttp_request_get_output_headers(EvRequest);
  detail::writeHeaders(Headers, NextCall.m_request.m_headers);
  if (NextCall.m_request.header("Host").empty())
    evhttp_add_header(Headers, "Host", toString(m_server).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(EvRequest),
               NextCall.m_request.m_body.data(),
               NextCall.m_request.m_body.size());
  int SendError = evhttp_make_request(Connection, EvRequest,
                                      methodCode(NextCall.m_request.m_method),
                                      NextCall.m_request.m_target.c_str());
  if (SendError)
    finish(NewCall, HttpError::ConnectFailed, {});
}

// Deferred, because evhttp still uses a connection after the callback of its
// request has returned.
void HttpClient::closeLater(evhttp_connection *Connection) {
  m_pendingClose.push_back(Connection);
  event_active(m_closeEvent, 0, 0);
}

void HttpClient::closePending() {
  for (evhttp_connection *Connection : m_pendingClose)
    evhttp_connection_free(Connection);
  m_pendingClose.clear();
}

void HttpClient::onError(int Error, void *Argument) {
  auto *FailedCall = static_cast<Call *>(Argument);
  if (Error == EVREQ_HTTP_TIMEOUT)
    FailedCall->m_error = HttpError::TimedOut;
}

// The deadline needs a timer: evhttp's own timeouts restart with each byte that
// is received.
void HttpClient::onDeadline(int, short, void *Argument) {
  auto *TimedOutCall = static_cast<Call *>(Argument);
  bool Sent = isConnected(TimedOutCall->m_connection);
  // The kernel must not go on sending a request that has been given up.
  resetConnection(TimedOutCall->m_connection);
  // This frees the request too, without calling its callback.
  evhttp_connection_free(TimedOutCall->m_connection);
  TimedOutCall->m_connection = nullptr;
  TimedOutCall->m_client->finish(
      TimedOutCall, Sent ? HttpError::TimedOut : HttpError::ConnectFailed, {});
}

void HttpClient::onResponse(evhttp_request *Request, void *Argument) {
  auto *FinishedCall = static_cast<Call *>(Argument);
  if (!FinishedCall->m_client)
    return;
  if (!Request || evhttp_request_get_response_code(Request) == 0) {
    HttpError Error = FinishedCall->m_error;
    // evhttp passes a request with code 0 if the connection was refused.
    if (Request && Error == HttpError::Interrupted)
      Error = HttpError::ConnectFailed;
    FinishedCall->m_client->finish(FinishedCall, Error, {});
    return;
  }
  HttpResponse Response;
  Response.m_status = evhttp_request_get_response_code(Request);
  Response.m_headers =
      detail::readHeaders(evhttp_request_get_input_headers(Request));
  Response.m_body = detail::drain(evhttp_request_get_input_buffer(Request));
  HttpError Error = isComplete(Response, FinishedCall->m_isHeadRequest)
                        ? HttpError::None
                        : HttpError::Interrupted;
  FinishedCall->m_client->finish(FinishedCall, Error, std::move(Response));
}

void HttpClient::finish(Call *FinishedCall, HttpError Error,
                        HttpResponse &&Response) {
  evhttp_connection *Connection = FinishedCall->m_connection;
  std::string ConnectionHeader(Response.header("Connection"));
  bool Reusable = Error == HttpError::None &&
                  strcasecmp(ConnectionHeader.c_str(), "close") != 0 &&
                  !hasUnexpectedInput(Connection);
  if (Reusable)
    m_idle.push_back({Connection, bootClockNow()});
  else if (Connection)
    closeLater(Connection);
  m_calls.erase(std::find(m_calls.begin(), m_calls.end(), FinishedCall));
  --m_inFlight;
  Callback Done = std::move(FinishedCall->m_done);
  delete FinishedCall;
  if (!m_queue.empty()) {
    QueuedCall NextCall = std::move(m_queue.front());
    m_queue.pop_front();
    start(std::move(NextCall));
  }
  if (Error != HttpError::None)
    Response = HttpResponse();
  Done(Error, std::move(Response));
}

} // namespace burdockpulley
