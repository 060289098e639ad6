#include "evhttp_glue.h"

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
  HttpError m_error = HttpError::Interrupted;
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
  for (evhttp_connection *Connection : m_idle)
    evhttp_connection_free(Connection);
  for (Call *Each : m_calls) {
    evhttp_connection *Connection = Each->m_connection;
    Each->m_client = nullptr;
    evhttp_connection_free(Connection);
    delete Each;
  }
}

void HttpClient::call(HttpRequest &&Request, Duration Timeout, Callback Done) {
  Waiting Next{std::move(Request), Timeout, std::move(Done)};
  if (m_busy < m_maxConnections)
    start(std::move(Next));
  else
    m_waiting.push_back(std::move(Next));
}

void HttpClient::start(Waiting &&Next) {
  evhttp_connection *Connection = nullptr;
  if (m_idle.empty()) {
    Connection = evhttp_connection_base_new(
        m_base, nullptr, m_server.m_address.c_str(), m_server.m_port);
    evhttp_connection_set_retries(Connection, 0);
  } else {
    Connection = m_idle.back();
    m_idle.pop_back();
  }
  timeval Timeout = toTimeval(Next.m_timeout);
  evhttp_connection_set_timeout_tv(Connection, &Timeout);
  auto *Started = new Call{this, Connection, std::move(Next.m_done)};
  m_calls.push_back(Started);
  ++m_busy;
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
  Finished->m_client->finish(Finished, HttpError::None, std::move(Response));
}

void HttpClient::finish(Call *Finished, HttpError Error,
                        HttpResponse &&Response) {
  evhttp_connection *Connection = Finished->m_connection;
  bool Reusable =
      Error == HttpError::None && Response.header("Connection") != "close";
  if (Reusable)
    m_idle.push_back(Connection);
  else
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
  Done(Error, std::move(Response));
}

} // namespace burdockpulley
