#include "peer_transport.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/thrift_codec.h"

#include <event2/event.h>
#include <event2/util.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <ctime>
#include <sstream>
#include <tuple>

namespace burdockpulley {

namespace {

constexpr std::size_t CodeBytes = 16;
constexpr Duration UnlistedTime{3'000'000};
/// A host that has not been heard of for longer may be gone.
constexpr Duration PresentTime{700'000};
constexpr std::size_t MaxDatagramBytes = 65000;
/// Datagrams taken in one go, so that other work gets its turn.
constexpr int MaxDatagramsAtOnce = 64;

sockaddr_in socketAddress(const Endpoint &Where) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Where.m_port);
  inet_pton(AF_INET, Where.m_address.c_str(), &Address.sin_addr);
  return Address;
}

/// Begins above what an earlier process of this host has used.
std::int64_t firstSequence() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  constexpr std::int64_t PerSecond = 1'000'000;
  constexpr std::int64_t NanosPerMicro = 1'000;
  return Now.tv_sec * PerSecond + Now.tv_nsec / NanosPerMicro;
}

constexpr std::string_view NarrowMark = "narrow";

} // namespace

std::string encodeHostAddress(const HostAddress &Address) {
  std::string Record =
      toString(Address.m_peers) + " " + Address.m_domain.value();
  if (!Address.m_highBandwidth)
    Record += " " + std::string(NarrowMark);
  return Record;
}

std::optional<HostAddress> decodeHostAddress(const std::string &Record) {
  std::istringstream Words(Record);
  std::string Peers;
  std::string Domain;
  std::string Mark;
  Words >> Peers >> Domain >> Mark;
  HostAddress Address;
  if (Domain.empty() || !parseEndpoint(Peers, Address.m_peers))
    return std::nullopt;
  Address.m_domain = DomainId(Domain);
  Address.m_highBandwidth = Mark != NarrowMark;
  return Address;
}

PeerTransport::PeerTransport(event_base *Base, HostId Self, Handler Handle)
    : m_base(Base), m_self(std::move(Self)), m_handle(std::move(Handle)),
      m_sequence(firstSequence()) {}

PeerTransport::~PeerTransport() {
  if (m_event)
    event_free(m_event);
  if (m_socket >= 0)
    close(m_socket);
}

std::uint16_t PeerTransport::listen(const Endpoint &Where) {
  m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address = socketAddress(Where);
  if (m_socket < 0 || bind(m_socket, reinterpret_cast<sockaddr *>(&Address),
                           sizeof(Address)) != 0)
    return 0;
  m_event = event_new(
      m_base, m_socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<PeerTransport *>(Self)->receive();
      },
      this);
  event_add(m_event, nullptr);
  socklen_t Size = sizeof(Address);
  getsockname(m_socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

void PeerTransport::addPeer(const HostId &Host, const HostAddress &Where) {
  if (Host == m_self)
    return;
  Peer &Which = m_peers[Host];
  Which.m_address = Where;
  Which.m_listed = true;
}

void PeerTransport::unlistPeer(const HostId &Host) {
  auto Found = m_peers.find(Host);
  if (Found != m_peers.end())
    Found->second.m_listed = false;
}

void PeerTransport::sweep(Instant Now) {
  std::erase_if(m_peers, [Now](const auto &Each) {
    return !Each.second.m_listed && Now - Each.second.m_heard > UnlistedTime;
  });
}

std::string PeerTransport::code(std::string_view Bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<char *>(Digest.data()), CodeBytes};
}

std::string PeerTransport::seal(wire::Datagram &Message) {
  Message.host = m_self.value();
  Message.sequence = ++m_sequence;
  std::string Body = encodeThrift(Message);
  return code(Body) + Body;
}

void PeerTransport::sendBytes(const Endpoint &To, const std::string &Bytes) {
  sockaddr_in Address = socketAddress(To);
  // A datagram that can not be sent now is lost as any other may be.
  (void)sendto(m_socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
}

void PeerTransport::send(const HostId &To, wire::Datagram Message) {
  auto Found = m_peers.find(To);
  if (m_key.empty() || m_socket < 0 || Found == m_peers.end())
    return;
  sendBytes(Found->second.m_address.m_peers, seal(Message));
}

std::size_t PeerTransport::sendAll(wire::Datagram Message) {
  if (m_key.empty() || m_socket < 0)
    return 0;
  std::string Bytes = seal(Message);
  for (const auto &[Host, Each] : m_peers)
    sendBytes(Each.m_address.m_peers, Bytes);
  return Bytes.size() * m_peers.size();
}

void PeerTransport::sendDomain(wire::Datagram Message, const DomainId &Domain,
                               bool Inside) {
  if (m_key.empty() || m_socket < 0)
    return;
  std::string Bytes = seal(Message);
  if (Bytes.size() > MaxDatagramBytes)
    return; // The others will have to ask for themselves.
  for (const auto &[Host, Each] : m_peers)
    if ((Each.m_address.m_domain == Domain) == Inside)
      sendBytes(Each.m_address.m_peers, Bytes);
}

bool PeerTransport::isFirstOf(const DomainId &Domain, bool HighBandwidth,
                              Instant Now) const {
  for (const auto &[Host, Each] : m_peers) {
    bool Before = std::make_tuple(!Each.m_address.m_highBandwidth, Host) <
                  std::make_tuple(!HighBandwidth, m_self);
    if (Each.m_address.m_domain == Domain && Before &&
        Now - Each.m_heard < PresentTime)
      return false;
  }
  return true;
}

void PeerTransport::receive() {
  m_buffer.resize(MaxDatagramBytes);
  for (int Count = 0; Count < MaxDatagramsAtOnce; ++Count) {
    ssize_t Size =
        recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    if (Size < 0)
      return;
    take(std::string_view(m_buffer.data(), static_cast<std::size_t>(Size)));
  }
}

bool PeerTransport::genuine(std::string_view Bytes) const {
  if (Bytes.size() <= CodeBytes)
    return false;
  std::string Expected = code(Bytes.substr(CodeBytes));
  return CRYPTO_memcmp(Expected.data(), Bytes.data(), CodeBytes) == 0;
}

void PeerTransport::take(std::string_view Bytes) {
  if (m_key.empty())
    return;
  wire::Datagram Message;
  if (!genuine(Bytes) || !decodeThrift(Bytes.substr(CodeBytes), Message)) {
    ++m_rejected;
    return;
  }
  auto Found = m_peers.find(HostId(Message.host));
  if (Found == m_peers.end() ||
      Message.sequence <= Found->second.m_lastSequence)
    return;
  Found->second.m_lastSequence = Message.sequence;
  Found->second.m_heard = bootClockNow();
  m_handle(Found->first, Message);
}

} // namespace burdockpulley
