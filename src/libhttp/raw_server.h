#ifndef BURDOCKPULLEY_LIBHTTP_RAW_SERVER_H
#define BURDOCKPULLEY_LIBHTTP_RAW_SERVER_H

#include "burdockpulley/types.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace burdockpulley {

/// A test server that sends the same raw bytes whenever it receives data, and
/// then keeps, closes or resets the connection.
class RawServer {
public:
  RawServer(event_base *Base, std::string Response, bool CloseAfterResponse)
      : m_base(Base), m_response(std::move(Response)),
        m_closeAfterResponse(CloseAfterResponse) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener = evconnlistener_new_bind(
        Base, onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    socklen_t Size = sizeof(Address);
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr *>(&Address), &Size);
    m_endpoint = {"127.0.0.1", ntohs(Address.sin_port)};
  }

  ~RawServer() { stop(); }

  /// Closes all connections. Call it before the event loop is freed.
  void stop() {
    if (m_listener)
      evconnlistener_free(m_listener);
    m_listener = nullptr;
    for (bufferevent *Stream : m_streams)
      bufferevent_free(Stream);
    m_streams.clear();
  }

  event_base *m_base;
  std::string m_response;
  /// If set, returns what is sent in place of m_response when bytes have been
  /// received on a connection.
  std::function<std::string(bufferevent *Stream, const std::string &Received)>
      m_respond;
  bool m_closeAfterResponse;
  /// Whether the server reads, and responds; set it before clients connect.
  bool m_reads = true;
  /// Whether m_repeatedBytes are sent each time all output has been sent.
  bool m_keepSending = false;
  std::string m_repeatedBytes = "x";
  bool m_resetAfterResponse = false;
  int m_acceptedCount = 0;
  std::size_t m_receivedBytes = 0;
  int m_endCount = 0;   ///< Connections that clients have ended.
  int m_resetCount = 0; ///< Those of them that clients have reset.
  Endpoint m_endpoint;
  std::vector<bufferevent *> m_streams;

private:
  static void onAccept(evconnlistener *, int Descriptor, sockaddr *, int,
                       void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    ++Self->m_acceptedCount;
    bufferevent *Stream =
        bufferevent_socket_new(Self->m_base, Descriptor, BEV_OPT_CLOSE_ON_FREE);
    Self->m_streams.push_back(Stream);
    bufferevent_setcb(Stream, onRequest, onSent, onDisconnected, Self);
    if (Self->m_reads)
      bufferevent_enable(Stream, EV_READ | EV_WRITE);
  }

  static void onRequest(bufferevent *Stream, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    evbuffer *Input = bufferevent_get_input(Stream);
    std::string Received(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Received.data(), Received.size());
    Self->m_receivedBytes += Received.size();
    Self->m_responded.insert(Stream);
    std::string Response =
        Self->m_respond ? Self->m_respond(Stream, Received) : Self->m_response;
    bufferevent_write(Stream, Response.data(), Response.size());
    if (Response.empty())
      onSent(Stream, Self);
  }

  static void onDisconnected(bufferevent *, short Events, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    ++Self->m_endCount;
    if (Events & BEV_EVENT_ERROR)
      ++Self->m_resetCount;
  }

  static void onSent(bufferevent *Stream, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    // This callback also runs when writing is enabled.
    if (!Self->m_responded.count(Stream))
      return;
    if (Self->m_resetAfterResponse) {
      linger Reset{1, 0};
      setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_LINGER, &Reset,
                 sizeof(Reset));
      std::erase(Self->m_streams, Stream);
      Self->m_responded.erase(Stream);
      bufferevent_free(Stream);
      return;
    }
    if (Self->m_closeAfterResponse)
      shutdown(bufferevent_getfd(Stream), SHUT_WR);
    if (Self->m_keepSending)
      bufferevent_write(Stream, Self->m_repeatedBytes.data(),
                        Self->m_repeatedBytes.size());
  }

  evconnlistener *m_listener;
  std::set<bufferevent *> m_responded; ///< Streams that got the response.
};

} // namespace burdockpulley

#endif
