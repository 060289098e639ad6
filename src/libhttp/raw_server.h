#ifndef BURDOCKPULLEY_LIBHTTP_RAW_SERVER_H
#define BURDOCKPULLEY_LIBHTTP_RAW_SERVER_H

// For tests only.
#include "burdockpulley/types.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <vector>

namespace burdockpulley {

/// Answers each request with the same raw bytes, and closes or stays.
class RawServer {
public:
  RawServer(event_base *Base, std::string Answer, bool Close)
      : m_base(Base), m_answer(std::move(Answer)), m_close(Close) {
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

  /// Ends all connections; to be called before the loop is freed.
  void stop() {
    if (m_listener)
      evconnlistener_free(m_listener);
    m_listener = nullptr;
    for (bufferevent *Each : m_streams)
      bufferevent_free(Each);
    m_streams.clear();
  }

  event_base *m_base;
  std::string m_answer;
  bool m_close;
  bool m_dribble = false;
  bool m_reset = false; ///< The connection is reset behind the answer.
  bool m_answered = false;
  int m_accepted = 0;
  std::size_t m_received = 0; ///< Bytes of requests.
  int m_resets = 0;           ///< Connections that callers have reset.
  Endpoint m_endpoint;
  std::vector<bufferevent *> m_streams;

private:
  static void onAccept(evconnlistener *, int Descriptor, sockaddr *, int,
                       void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    ++Self->m_accepted;
    bufferevent *Stream =
        bufferevent_socket_new(Self->m_base, Descriptor, BEV_OPT_CLOSE_ON_FREE);
    Self->m_streams.push_back(Stream);
    bufferevent_setcb(Stream, onRequest, onSent, onEnd, Self);
    bufferevent_enable(Stream, EV_READ | EV_WRITE);
  }

  static void onRequest(bufferevent *Stream, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    evbuffer *Input = bufferevent_get_input(Stream);
    Self->m_received += evbuffer_get_length(Input);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    Self->m_answered = true;
    bufferevent_write(Stream, Self->m_answer.data(), Self->m_answer.size());
  }

  static void onEnd(bufferevent *, short What, void *Argument) {
    if (What & BEV_EVENT_ERROR)
      ++static_cast<RawServer *>(Argument)->m_resets;
  }

  static void onSent(bufferevent *Stream, void *Argument) {
    auto *Self = static_cast<RawServer *>(Argument);
    // Also runs when writing is enabled.
    if (!Self->m_answered)
      return;
    if (Self->m_reset) {
      linger Now{1, 0};
      setsockopt(bufferevent_getfd(Stream), SOL_SOCKET, SO_LINGER, &Now,
                 sizeof(Now));
      std::erase(Self->m_streams, Stream);
      bufferevent_free(Stream);
      return;
    }
    if (Self->m_close)
      shutdown(bufferevent_getfd(Stream), SHUT_WR);
    if (Self->m_dribble)
      bufferevent_write(Stream, "x", 1);
  }

  evconnlistener *m_listener;
};

} // namespace burdockpulley

#endif
