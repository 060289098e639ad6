#include "evhttp_glue.h"

#include "burdockpulley/clock.h"
#include <event2/bufferevent.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>

namespace burdockpulley {

namespace {

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

/// A connection idle for longer may just be closed by the server.
constexpr Duration RecentUse{2'000'000};

int descriptorOf(evhttp_connection *Connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
}

bool established(evhttp_connection *Connection) {
  sockaddr_storage Address{};
  socklen_t Size = sizeof(Address);
  return getpeername(descriptorOf(Connection),
                     reinterpret_cast<sockaddr *>(&Address), &Size) == 0;
}

/// True when bytes or the end of the stream have come outside a call.
bool hasStrayInput(evhttp_connection *Connection) {
  bufferevent *Stream = evhttp_connection_get_bufferevent(Connection);
  if (evbuffer_get_length(bufferevent_get_input(Stream)) > 0)
    return true;
  char Byte = 0;
  return recv(descriptorOf(Connection), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

std::size_t countHeader(const HttpResponse &Response, const char *Name) {
  return static_cast<std::size_t>(
      std::count_if(Response.m_headers.begin(), Response.m_headers.end(),
                    [&](const HttpHeader &Header) {
                      return strcasecmp(Header.m_name.c_str(), Name) == 0;
                    }));
}

/// True when the framing says where the body ends and all of it is here.
bool whole(const HttpResponse &Response, bool Head) {
  std::size_t Lengths = countHeader(Response, "Content-Length");
  std::size_t Codings = countHeader(Response, "Transfer-Encoding");
  if (Lengths + Codings > 1)
    return false;
  if (Head || Response.m_status == 204 || Response.m_status == 304)
    return true;
  if (Codings == 1)
    return strcasecmp(std::string(Response.header("Transfer-Encoding")).c_str(),
                      "chunked") == 0;
  return Lengths == 1 && Response.header("Content-Length") ==
                             std::to_string(Response.m_body.size());
}

timeval toTimeval(Duration Span) {
  timeval Value{};
  Value.tv_sec = Span.count() / 1'000'000;
  Value.tv_usec = Span.count() % 1'000'000;
  return Value;
}

} // namespace

struct HttpClient::Call {
  HttpClient *m_client;
  evhttp_connection *m_connection;
  Callback m_done;
  bool m_head;
  HttpError m_error = HttpError::Interrupted;
  event *m_deadline = nullptr;

  ~Call() {
    if (m_deadline)
      event_free(m_deadline);
  }
};

HttpClient::HttpClient(event_base *Base, const Endpoint &Server,
                       std::uint32_t MaxConnections)
    : m_base(Base), m_server(Server), m_maxConnections(MaxConnections) {
  auto Reap = [](int, short, void *Self) {
    static_cast<HttpClient *>(Self)->closeDead();
  };
  m_reaper = event_new(Base, -1, 0, Reap, this);
}

HttpClient::~HttpClient() {
  event_free(m_reaper);
  closeDead();
  for (const Idle &Each : m_idle)
    evhttp_connection_free(Each.m_connection);
  for (Call *Each : m_calls) {
    evhttp_connection *Connection = Each->m_connection;
    Each->m_client = nullptr;
    evhttp_connection_free(Connection);
    delete Each;
  }
}

void HttpClient::call(HttpRequest &&Request, Duration Timeout, Callback Done,
                      Reuse Allowed) {
  Waiting Next{std::move(Request), bootClockNow() + Timeout, std::move(Done),
               Allowed};
  if (m_busy < m_maxConnections)
    start(std::move(Next));
  else
    m_waiting.push_back(std::move(Next));
}

evhttp_connection *HttpClient::newConnection() {
  evhttp_connection *Connection = evhttp_connection_base_new(
      m_base, nullptr, m_server.m_address.c_str(), m_server.m_port);
  evhttp_connection_set_retries(Connection, 0);
  return Connection;
}

evhttp_connection *HttpClient::takeConnection(Reuse Allowed) {
  while (!m_idle.empty()) {
    Idle Last = m_idle.back();
    bool Recent = bootClockNow() - Last.m_since <= RecentUse;
    if (Allowed == Reuse::RecentlyUsed && !Recent)
      break;
    m_idle.pop_back();
    if (!hasStrayInput(Last.m_connection))
      return Last.m_connection;
    closeLater(Last.m_connection);
  }
  return newConnection();
}

void HttpClient::start(Waiting &&Next) {
  Duration Left = Next.m_deadline - bootClockNow();
  if (Left <= Duration())
    return Next.m_done(HttpError::ConnectFailed, {});
  evhttp_connection *Connection = takeConnection(Next.m_reuse);
  auto *Started = new Call{this, Connection, std::move(Next.m_done),
                           Next.m_request.m_method == "HEAD"};
  m_calls.push_back(Started);
  ++m_busy;
  Started->m_deadline = event_new(m_base, -1, 0, onDeadline, Started);
  timeval Timeout = toTimeval(Left);
  event_add(Started->m_deadline, &Timeout);
  evhttp_request *Message = evhttp_request_new(onResponse, Started);
  evhttp_request_set_error_cb(Message,
                              [](evhttp_request_error Error, void *Argument) {
                                onError(Error, Argument);
                              });
  evkeyvalq *Headers = evhttp_request_get_output_headers(Message);
  detail::writeHeaders(Headers, Next.m_request.m_headers);
  if (Next.m_request.header("Host").empty())
    evhttp_add_header(Headers, "Host", toString(m_server).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Message),
               Next.m_request.m_body.data(), Next.m_request.m_body.size());
  int Failed = evhttp_make_request(Connection, Message,
                                   methodCode(Next.m_request.m_method),
                                   Next.m_request.m_target.c_str());
  if (Failed)
    finish(Started, HttpError::ConnectFailed, {});
}

// evhttp still uses a connection after its callback, so it is freed later.
void HttpClient::closeLater(evhttp_connection *Connection) {
  m_dead.push_back(Connection);
  event_active(m_reaper, 0, 0);
}

void HttpClient::closeDead() {
  for (evhttp_connection *Connection : m_dead)
    evhttp_connection_free(Connection);
  m_dead.clear();
}

void HttpClient::onError(int Error, void *Argument) {
  auto *Failed = static_cast<Call *>(Argument);
  if (Error == EVREQ_HTTP_TIMEOUT)
    Failed->m_error = HttpError::TimedOut;
}

// evhttp's own timeouts start again with each byte, so this is a timer.
void HttpClient::onDeadline(int, short, void *Argument) {
  auto *Late = static_cast<Call *>(Argument);
  bool Sent = established(Late->m_connection);
  // Frees the request too; evhttp does not call back for it.
  evhttp_connection_free(Late->m_connection);
  Late->m_connection = nullptr;
  Late->m_client->finish(
      Late, Sent ? HttpError::TimedOut : HttpError::ConnectFailed, {});
}

void HttpClient::onResponse(evhttp_request *Request, void *Argument) {
  auto *Finished = static_cast<Call *>(Argument);
  if (!Finished->m_client)
    return;
  if (!Request || evhttp_request_get_response_code(Request) == 0) {
    HttpError Error = Finished->m_error;
    // evhttp hands over a request with code 0 when the connection was refused.
    if (Request && Error == HttpError::Interrupted)
      Error = HttpError::ConnectFailed;
    Finished->m_client->finish(Finished, Error, {});
    return;
  }
  HttpResponse Response;
  Response.m_status = evhttp_request_get_response_code(Request);
  Response.m_headers =
      detail::readHeaders(evhttp_request_get_input_headers(Request));
  Response.m_body = detail::drain(evhttp_request_get_input_buffer(Request));
  HttpError Error = whole(Response, Finished->m_head) ? HttpError::None
                                                      : HttpError::Interrupted;
  Finished->m_client->finish(Finished, Error, std::move(Response));
}

void HttpClient::finish(Call *Finished, HttpError Error,
                        HttpResponse &&Response) {
  evhttp_connection *Connection = Finished->m_connection;
  std::string Persistence(Response.header("Connection"));
  bool Reusable = Error == HttpError::None &&
                  strcasecmp(Persistence.c_str(), "close") != 0 &&
                  !hasStrayInput(Connection);
  if (Reusable)
    m_idle.push_back({Connection, bootClockNow()});
  else if (Connection)
    closeLater(Connection);
  m_calls.erase(std::find(m_calls.begin(), m_calls.end(), Finished));
  --m_busy;
  Callback Done = std::move(Finished->m_done);
  delete Finished;
  if (!m_waiting.empty()) {
    Waiting Next = std::move(m_waiting.front());
    m_waiting.pop_front();
    start(std::move(Next));
  }
  if (Error != HttpError::None)
    Response = HttpResponse();
  Done(Error, std::move(Response));
}

} // namespace burdockpulley
