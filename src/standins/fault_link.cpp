#include "fault_link.h"

#include "standin.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace burdockpulley {

namespace {

sockaddr_in socketAddress(const Endpoint &Where) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.m_port);
  inet_pton(AF_INET, Where.m_address.c_str(), &Address.sin_addr);
  return Address;
}

bool flushed(bufferevent *Side) {
  return evbuffer_get_length(bufferevent_get_output(Side)) == 0;
}

void resetOnClose(bufferevent *Side) {
  linger Immediately{1, 0};
  setsockopt(bufferevent_getfd(Side), SOL_SOCKET, SO_LINGER, &Immediately,
             sizeof(Immediately));
}

} // namespace

FaultLink::FaultLink(event_base *Base, int Accepted, const Endpoint &Target,
                     const Faults &Active)
    : m_faults(Active) {
  bufferevent *Caller =
      bufferevent_socket_new(Base, Accepted, BEV_OPT_CLOSE_ON_FREE);
  bufferevent *Server = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  m_toTarget.m_from = m_toCaller.m_to = Caller;
  m_toTarget.m_to = m_toCaller.m_from = Server;
  for (bufferevent *Side : {Caller, Server}) {
    bufferevent_setcb(Side, onRead, nullptr, onEvent, this);
    bufferevent_enable(Side, EV_READ | EV_WRITE);
  }
  sockaddr_in Address = socketAddress(Target);
  if (bufferevent_socket_connect(Server, reinterpret_cast<sockaddr *>(&Address),
                                 sizeof(Address)) != 0)
    reset();
}

FaultLink::~FaultLink() {
  bufferevent_free(m_toTarget.m_from);
  bufferevent_free(m_toTarget.m_to);
}

void FaultLink::onRead(bufferevent *Side, void *Self) {
  auto *Link = static_cast<FaultLink *>(Self);
  Flow &Which =
      Side == Link->m_toTarget.m_from ? Link->m_toTarget : Link->m_toCaller;
  evbuffer *Input = bufferevent_get_input(Side);
  std::string Bytes(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Bytes.data(), Bytes.size());
  Instant Now = bootClockNow();
  if (&Which == &Link->m_toCaller && Link->m_faults.m_bytesPerSecond)
    Link->holdPaced(Bytes, Now);
  else
    Which.m_held.push_back({Now + Link->m_faults.m_latency, std::move(Bytes)});
  Link->advance(Now);
}

void FaultLink::holdPaced(std::string_view Bytes, Instant Now) {
  constexpr std::size_t PartBytes = 16 << 10;
  auto Rate = static_cast<double>(*m_faults.m_bytesPerSecond);
  m_bandwidthFreeAt = std::max(m_bandwidthFreeAt, Now + m_faults.m_latency);
  while (!Bytes.empty()) {
    std::string Part(Bytes.substr(0, PartBytes));
    Bytes.remove_prefix(Part.size());
    m_bandwidthFreeAt += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(Part.size()) / Rate));
    m_toCaller.m_held.push_back({m_bandwidthFreeAt, std::move(Part)});
  }
}

void FaultLink::onEvent(bufferevent *Side, short What, void *Self) {
  auto *Link = static_cast<FaultLink *>(Self);
  if (What & BEV_EVENT_ERROR)
    return Link->reset();
  if (!(What & BEV_EVENT_EOF))
    return;
  bool FromCaller = Side == Link->m_toTarget.m_from;
  (FromCaller ? Link->m_toTarget : Link->m_toCaller).m_finished = true;
  Link->advance(bootClockNow());
}

void FaultLink::advance(Instant Now) {
  if (m_faults.m_refuse)
    reset();
  if (m_ended)
    return;
  move(m_toTarget, m_faults.m_cutToTarget, Now);
  move(m_toCaller, m_faults.m_cutToCaller, Now);
  bool Done = m_toTarget.m_closed && m_toCaller.m_closed;
  m_ended = m_ended || (Done && flushed(m_toTarget.m_to));
}

void FaultLink::move(Flow &Which, bool Cut, Instant Now) {
  if (Cut)
    return;
  while (!m_ended && !Which.m_held.empty() &&
         Which.m_held.front().m_due <= Now) {
    std::string Bytes = std::move(Which.m_held.front().m_bytes);
    Which.m_held.pop_front();
    deliver(Which, std::move(Bytes));
  }
  bool Over = Which.m_finished && Which.m_held.empty() && !Which.m_closed;
  if (m_ended || !Over || !flushed(Which.m_to))
    return;
  Which.m_closed = true;
  shutdown(bufferevent_getfd(Which.m_to), SHUT_WR);
}

void FaultLink::deliver(Flow &Which, std::string Bytes) {
  if (&Which == &m_toCaller)
    return deliverToCaller(std::move(Bytes));
  bufferevent_write(Which.m_to, Bytes.data(), Bytes.size());
  if (m_faults.m_repeatAnswer && !m_lastAnswer.empty())
    deliverToCaller(std::exchange(m_lastAnswer, ""));
  m_lastAnswer.clear();
}

void FaultLink::deliverToCaller(std::string Bytes) {
  if (m_muted)
    return;
  constexpr std::uint64_t None = UINT64_MAX;
  std::uint64_t Limit = std::min({m_faults.m_truncateAfter.value_or(None),
                                  m_faults.m_resetAfter.value_or(None),
                                  m_faults.m_halfCloseAfter.value_or(None)});
  std::uint64_t Left = Limit > m_answered ? Limit - m_answered : 0;
  bool Exhausted = Bytes.size() > Left;
  if (Exhausted)
    Bytes.resize(Left);
  m_answered += Bytes.size();
  // Written at once, so that a close can not overtake the bytes.
  bufferevent *Caller = m_toCaller.m_to;
  if (Exhausted) {
    m_muted = true;
    evbuffer *Output = bufferevent_get_output(Caller);
    evbuffer_add(Output, Bytes.data(), Bytes.size());
    evbuffer_unfreeze(Output, 1);
    evbuffer_write(Output, bufferevent_getfd(Caller));
    if (Limit == m_faults.m_resetAfter)
      return reset();
    shutdown(bufferevent_getfd(Caller), SHUT_WR);
    m_ended = Limit == m_faults.m_truncateAfter;
    return;
  }
  bufferevent_write(Caller, Bytes.data(), Bytes.size());
  m_lastAnswer = std::move(Bytes);
}

void FaultLink::reset() {
  if (m_ended)
    return;
  m_ended = true;
  for (bufferevent *Side : {m_toTarget.m_from, m_toTarget.m_to}) {
    bufferevent_disable(Side, EV_READ | EV_WRITE);
    resetOnClose(Side);
  }
}

} // namespace burdockpulley
