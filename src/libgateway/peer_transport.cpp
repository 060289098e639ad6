#include "peer_transport.h"

#include "burdockpulley/clock.h"
#include "burdockpulley/event_log.h"
#include "burdockpulley/peer_loads.h"
#include "burdockpulley/thrift_codec.h"
#include "relay_plan.h"

#include <event2/event.h>
#include <event2/util.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <set>
#include <sstream>
#include <tuple>

namespace burdockpulley {

namespace {

constexpr std::size_t AuthenticationCodeBytes = 16;
constexpr Duration UnlistedPeerTimeout{3'000'000};
/// A peer that has sent nothing for this time is assumed to be down, unless the
/// status messages of so many hosts have longer intervals.
constexpr Duration MinPeerTimeout{700'000};
constexpr std::size_t MaxDatagramBytes = 65000;
/// Bounds the datagrams read per wake-up, so that other work is not starved.
constexpr int MaxDatagramsPerWakeup = 64;

sockaddr_in socketAddress(const Endpoint &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.m_port);
  inet_pton(AF_INET, Address.m_address.c_str(), &Result.sin_addr);
  return Result;
}

/// Returns the wall-clock time in microseconds, which is higher than any
/// sequence number that an earlier process of this host has used.
std::int64_t firstSequence() {
  timespec Now{};
  clock_gettime(CLOCK_REALTIME, &Now);
  constexpr std::int64_t PerSecond = 1'000'000;
  constexpr std::int64_t NanosPerMicro = 1'000;
  return Now.tv_sec * PerSecond + Now.tv_nsec / NanosPerMicro;
}

constexpr std::string_view LowBandwidthMark = "narrow";
constexpr std::string_view ForwardPrefix = "forward=";
constexpr std::string_view RelayMark = "relays";
constexpr std::string_view TeamsMark = "teams";

} // namespace

std::string encodeHostRecord(const HostRecord &Record) {
  std::string Text =
      toString(Record.m_peerEndpoint) + " " + Record.m_domain.value();
  if (!Record.m_highBandwidth)
    Text += " " + std::string(LowBandwidthMark);
  if (!Record.m_forwardEndpoint.m_address.empty())
    Text +=
        " " + std::string(ForwardPrefix) + toString(Record.m_forwardEndpoint);
  if (Record.m_relays)
    Text += " " + std::string(RelayMark);
  if (Record.m_teams)
    Text += " " + std::string(TeamsMark);
  return Text;
}

std::optional<HostRecord> decodeHostRecord(const std::string &Text) {
  std::istringstream Words(Text);
  std::string PeerEndpoint;
  std::string Domain;
  Words >> PeerEndpoint >> Domain;
  HostRecord Record;
  if (Domain.empty() || !parseEndpoint(PeerEndpoint, Record.m_peerEndpoint))
    return std::nullopt;
  Record.m_domain = DomainId(Domain);
  for (std::string Word; Words >> Word;) {
    if (Word == LowBandwidthMark)
      Record.m_highBandwidth = false;
    else if (Word == RelayMark)
      Record.m_relays = true;
    else if (Word == TeamsMark)
      Record.m_teams = true;
    else if (Word.starts_with(ForwardPrefix) &&
             !parseEndpoint(Word.substr(ForwardPrefix.size()),
                            Record.m_forwardEndpoint))
      return std::nullopt;
  }
  return Record;
}

PeerTransport::PeerTransport(event_base *Base, HostId Self, DomainId Domain,
                             Handler OnMessage)
    : m_base(Base), m_self(std::move(Self)), m_domain(std::move(Domain)),
      m_handler(std::move(OnMessage)), m_sequence(firstSequence()) {}

PeerTransport::~PeerTransport() {
  if (m_event)
    event_free(m_event);
  if (m_socket >= 0)
    close(m_socket);
}

std::uint16_t PeerTransport::listen(const Endpoint &Address) {
  m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Bound = socketAddress(Address);
  if (m_socket < 0 ||
      bind(m_socket, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) != 0)
    return 0;
  m_event = event_new(
      m_base, m_socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void *Self) {
        static_cast<PeerTransport *>(Self)->receive();
      },
      this);
  event_add(m_event, nullptr);
  socklen_t Size = sizeof(Bound);
  getsockname(m_socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
  return ntohs(Bound.sin_port);
}

void PeerTransport::addPeer(const HostId &Host, const HostRecord &Record) {
  if (Host == m_self)
    return;
  Peer &Known = m_peers[Host];
  Known.m_record = Record;
  Known.m_listed = true;
}

void PeerTransport::addUnlistedPeer(const HostId &Host,
                                    const HostRecord &Record, Instant Now) {
  if (Host == m_self || m_peers.count(Host))
    return;
  Peer &Known = m_peers[Host];
  Known.m_record = Record;
  Known.m_listed = false;
  Known.m_lastReceived = Now;
  logEvent(Severity::Info, "peer_known_by_message", {{"host", Host.value()}});
}

void PeerTransport::markUnlisted(const HostId &Host) {
  auto PeerIt = m_peers.find(Host);
  if (PeerIt != m_peers.end())
    PeerIt->second.m_listed = false;
}

void PeerTransport::setReachesStore(const HostId &Host, bool Reaches) {
  auto PeerIt = m_peers.find(Host);
  if (PeerIt != m_peers.end())
    PeerIt->second.m_reachesStore = Reaches;
}

void PeerTransport::setServesOthers(const HostId &Host, bool Serves,
                                    std::optional<Instant> AnsweredAt) {
  auto PeerIt = m_peers.find(Host);
  if (PeerIt == m_peers.end())
    return;
  PeerIt->second.m_servesOthers = Serves;
  if (AnsweredAt)
    PeerIt->second.m_answeredAt =
        std::max(PeerIt->second.m_answeredAt, *AnsweredAt);
}

Duration PeerTransport::silenceLimit(const Peer &Silent) const {
  return std::max<Duration>(
      MinPeerTimeout,
      statusSilenceLimit(m_peers.size(), Silent.m_record.m_domain != m_domain));
}

std::vector<ForwardingPeer> PeerTransport::forwardingPeers(Instant Now) const {
  std::vector<ForwardingPeer> Peers;
  for (const auto &[Host, Peer] : m_peers)
    if (!Peer.m_record.m_forwardEndpoint.m_address.empty() &&
        Peer.m_servesOthers && Now - Peer.m_lastReceived < silenceLimit(Peer))
      Peers.push_back({Host, Peer.m_record, Peer.m_answeredAt});
  return Peers;
}

void PeerTransport::sweep(Instant Now) {
  std::erase_if(m_peers, [Now](const auto &HostAndPeer) {
    return !HostAndPeer.second.m_listed &&
           Now - HostAndPeer.second.m_lastReceived > UnlistedPeerTimeout;
  });
}

std::string PeerTransport::authenticationCode(std::string_view Bytes) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), m_key.data(), static_cast<int>(m_key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Digest.data(), &Length);
  return {reinterpret_cast<char *>(Digest.data()), AuthenticationCodeBytes};
}

std::string PeerTransport::encodeMessage(wire::Datagram &Message) {
  Message.host = m_self.value();
  Message.sequence = ++m_sequence;
  std::string Body = encodeThrift(Message);
  return authenticationCode(Body) + Body;
}

void PeerTransport::sendBytes(const Endpoint &Address,
                              const std::string &Bytes) {
  sockaddr_in Destination = socketAddress(Address);
  // Errors are ignored: receivers must cope with lost datagrams anyway.
  (void)sendto(m_socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<sockaddr *>(&Destination), sizeof(Destination));
}

void PeerTransport::send(const HostId &Receiver, wire::Datagram Message) {
  auto PeerIt = m_peers.find(Receiver);
  if (m_key.empty() || m_socket < 0 || PeerIt == m_peers.end())
    return;
  std::string Bytes = encodeMessage(Message);
  if (Bytes.size() > MaxDatagramBytes)
    return logEvent(Severity::Warning, "peer_message_too_large",
                    {{"host", Receiver.value()}, {"bytes", Bytes.size()}});
  sendBytes(PeerIt->second.m_record.m_peerEndpoint, Bytes);
}

std::size_t PeerTransport::sendAll(wire::Datagram Message) {
  if (m_key.empty() || m_socket < 0)
    return 0;
  std::string Bytes = encodeMessage(Message);
  for (const auto &[Host, Peer] : m_peers)
    sendBytes(Peer.m_record.m_peerEndpoint, Bytes);
  return Bytes.size() * m_peers.size();
}

std::size_t PeerTransport::sendByRelays(wire::Datagram Message,
                                        wire::Datagram ForRelays, Instant Now) {
  if (m_key.empty() || m_socket < 0)
    return 0;
  std::vector<RelayCandidate> Hosts;
  for (const auto &[Host, Peer] : m_peers)
    Hosts.push_back({Host, Peer.m_record.m_domain,
                     Peer.m_record.m_relays && Peer.m_record.m_highBandwidth &&
                         Now - Peer.m_lastReceived < silenceLimit(Peer)});
  RelayPlan Plan = planRelays(Hosts, m_relayRound++);
  std::string Bytes = encodeMessage(Message);
  for (const HostId &Host : Plan.m_direct)
    sendBytes(m_peers.at(Host).m_record.m_peerEndpoint, Bytes);
  Bytes = encodeMessage(ForRelays);
  for (const HostId &Host : Plan.m_relays)
    sendBytes(m_peers.at(Host).m_record.m_peerEndpoint, Bytes);
  return static_cast<std::size_t>(static_cast<double>(Bytes.size()) *
                                  Plan.m_busiestSends);
}

void PeerTransport::sendToDomain(wire::Datagram Message, const DomainId &Domain,
                                 bool InDomain) {
  if (m_key.empty() || m_socket < 0)
    return;
  std::string Bytes = encodeMessage(Message);
  if (Bytes.size() > MaxDatagramBytes)
    // The receivers must read the change from the store themselves.
    return logEvent(Severity::Warning, "peer_message_too_large",
                    {{"domain", Domain.value()}, {"bytes", Bytes.size()}});
  for (const auto &[Host, Peer] : m_peers)
    if ((Peer.m_record.m_domain == Domain) == InDomain)
      sendBytes(Peer.m_record.m_peerEndpoint, Bytes);
}

std::optional<DomainId>
PeerTransport::domainAfter(const DomainId &Domain) const {
  std::set<DomainId> Others;
  for (const auto &[Host, Peer] : m_peers)
    if (Peer.m_record.m_domain != Domain)
      Others.insert(Peer.m_record.m_domain);
  if (Others.empty())
    return std::nullopt;
  auto Next = Others.upper_bound(Domain);
  return Next == Others.end() ? *Others.begin() : *Next;
}

bool PeerTransport::isFirstInDomain(const DomainId &Domain, bool HighBandwidth,
                                    Instant Now) const {
  for (const auto &[Host, Peer] : m_peers) {
    bool Precedes = std::make_tuple(!Peer.m_reachesStore,
                                    !Peer.m_record.m_highBandwidth, Host) <
                    std::make_tuple(!m_reachesStore, !HighBandwidth, m_self);
    if (Peer.m_record.m_domain == Domain && Precedes &&
        Now - Peer.m_lastReceived < silenceLimit(Peer))
      return false;
  }
  return true;
}

void PeerTransport::receive() {
  m_buffer.resize(MaxDatagramBytes);
  for (int Count = 0; Count < MaxDatagramsPerWakeup; ++Count) {
    ssize_t Size =
        recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
    if (Size < 0)
      return;
    onDatagram(
        std::string_view(m_buffer.data(), static_cast<std::size_t>(Size)));
  }
}

bool PeerTransport::isAuthentic(std::string_view Bytes) const {
  if (Bytes.size() <= AuthenticationCodeBytes)
    return false;
  std::string Expected =
      authenticationCode(Bytes.substr(AuthenticationCodeBytes));
  return CRYPTO_memcmp(Expected.data(), Bytes.data(),
                       AuthenticationCodeBytes) == 0;
}

void PeerTransport::onDatagram(std::string_view Bytes) {
  if (m_key.empty())
    return;
  wire::Datagram Message;
  if (!isAuthentic(Bytes) ||
      !decodeThrift(Bytes.substr(AuthenticationCodeBytes), Message)) {
    ++m_rejected;
    return;
  }
  // The store may have turned this host away before the sender registered.
  if (Message.__isset.hostStatus && Message.hostStatus.__isset.record)
    if (auto Record = decodeHostRecord(Message.hostStatus.record))
      addUnlistedPeer(HostId(Message.host), *Record, bootClockNow());
  auto PeerIt = m_peers.find(HostId(Message.host));
  if (PeerIt == m_peers.end() ||
      Message.sequence <= PeerIt->second.m_lastSequence)
    return;
  PeerIt->second.m_lastSequence = Message.sequence;
  PeerIt->second.m_lastReceived = bootClockNow();
  HostId Sender = PeerIt->first;
  try {
    m_handler(Sender, Message);
  } catch (const std::exception &Error) {
    // One message must not end the process.
    logEvent(Severity::Error, "peer_message_failed",
             {{"host", Sender.value()}, {"problem", Error.what()}});
    ++m_rejected;
  }
}

} // namespace burdockpulley
