#ifndef BURDOCKPULLEY_LIBGATEWAY_PEER_TRANSPORT_H
#define BURDOCKPULLEY_LIBGATEWAY_PEER_TRANSPORT_H

#include "burdockpulley/types.h"
#include "gateway_types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event;
struct event_base;

namespace burdockpulley {

/// What a host registers about itself in the store.
struct HostRecord {
  Endpoint m_peerEndpoint; ///< Where the host receives datagrams.
  DomainId m_domain;
  /// The host's link can carry work on behalf of other hosts.
  bool m_highBandwidth = true;
  /// Where the host takes requests that other hosts forward; the address is
  /// empty if it takes none.
  Endpoint m_forwardEndpoint;
  /// The host passes updates of owners on; see RelayPlan. Hosts of older
  /// versions do not.
  bool m_relays = false;
  /// The host takes the team of a forwarded request from a header. Hosts of
  /// older versions would run the request without its team.
  bool m_teams = false;

  friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// Returns the stored form of a host's record. Thread safety: safe.
std::string encodeHostRecord(const HostRecord &Record);

/// Returns nothing when \p Text cannot be decoded. Thread safety: safe.
std::optional<HostRecord> decodeHostRecord(const std::string &Text);

/// A host to which this one may forward requests.
struct ForwardingPeer {
  HostId m_host;
  HostRecord m_record;
  Instant m_answeredAt; ///< When an upstream has responded to it last.
};

/// Authenticated UDP datagrams between the hosts of one deployment.
///
/// Each datagram carries a sequence number and a message authentication code
/// under a key that only hosts can read. Datagrams with a wrong code, from
/// unknown hosts, repeated or out of order are dropped. Delivery is not
/// guaranteed.
/// Thread safety: none; all calls come from the event loop's thread.
class PeerTransport {
public:
  using Handler =
      std::function<void(const HostId &Sender, const wire::Datagram &)>;

  /// Precondition: \p Base outlives the object.
  PeerTransport(event_base *Base, HostId Self, DomainId Domain,
                Handler OnMessage);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Binds the socket; port 0 selects a free port. Returns the bound port, or 0
  /// when the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

  /// Sets the key of the authentication code. Until then nothing is sent and
  /// received datagrams are ignored.
  void setKey(const std::string &Key) { m_key = Key; }
  bool hasKey() const { return !m_key.empty(); }

  /// Adds a host that is listed in the store, or updates its record. Ignored
  /// for this host itself.
  void addPeer(const HostId &Host, const HostRecord &Record);
  /// Adds a host of which only a datagram is known. It remains a peer for as
  /// long as datagrams arrive from it. Ignored for hosts that are known.
  void addUnlistedPeer(const HostId &Host, const HostRecord &Record,
                       Instant Now);
  /// The host's record was removed from the store. The host remains a peer for
  /// as long as datagrams arrive from it, because an outage of the store also
  /// removes records.
  void markUnlisted(const HostId &Host);
  /// Says whether the store responds to a host: this one, or a peer.
  void setReachesStore(bool Reaches) { m_reachesStore = Reaches; }
  void setReachesStore(const HostId &Host, bool Reaches);
  /// Says whether a peer can serve requests that are forwarded to it, and, if
  /// known, when an upstream has responded to it last.
  void setServesOthers(const HostId &Host, bool Serves,
                       std::optional<Instant> AnsweredAt);
  /// The peers that take forwarded requests, can serve them, and have sent a
  /// datagram lately.
  std::vector<ForwardingPeer> forwardingPeers(Instant Now) const;
  /// Forgets peers that are unlisted and have sent nothing for 3 s.
  void sweep(Instant Now);
  std::size_t peers() const { return m_peers.size(); }

  /// Sends to one peer. Does nothing when the host is not a peer.
  void send(const HostId &Receiver, wire::Datagram Message);
  /// Sends to all peers. Returns the total number of bytes sent.
  std::size_t sendAll(wire::Datagram Message);
  /// Sends to all peers by way of relays; see planRelays(). Returns the bytes
  /// that the busiest host sends. \p ForRelays is what the relays get instead.
  std::size_t sendByRelays(wire::Datagram Message, wire::Datagram ForRelays,
                           Instant Now);
  /// Sends to the peers in a failure domain or, when \p InDomain is false, to
  /// those outside it. A message that does not fit in a datagram is dropped.
  void sendToDomain(wire::Datagram Message, const DomainId &Domain,
                    bool InDomain);
  /// The failure domain of peers that follows \p Domain in the order of names,
  /// the first one after the last; nothing when there is no other.
  std::optional<DomainId> domainAfter(const DomainId &Domain) const;
  /// True when no peer of the failure domain that has sent a datagram lately
  /// precedes this host. Hosts to which the store responds come
  /// first, of these the ones with a high-bandwidth link, then hosts in order
  /// of their ids.
  bool isFirstInDomain(const DomainId &Domain, bool HighBandwidth,
                       Instant Now) const;

  /// Number of datagrams dropped because their authentication code was wrong or
  /// they could not be decoded.
  std::uint64_t rejected() const { return m_rejected; }

private:
  struct Peer {
    HostRecord m_record;
    std::int64_t m_lastSequence = 0;
    bool m_listed = true; ///< The store has a record of the host.
    bool m_reachesStore = true;
    bool m_servesOthers = true;
    Instant m_answeredAt;
    Instant m_lastReceived;
  };

  /// Time after which a peer that has sent nothing counts as down.
  Duration silenceLimit(const Peer &Silent) const;
  std::string encodeMessage(wire::Datagram &Message);
  void sendBytes(const Endpoint &Address, const std::string &Bytes);
  void receive();
  void onDatagram(std::string_view Bytes);
  bool isAuthentic(std::string_view Bytes) const;
  std::string authenticationCode(std::string_view Bytes) const;

  event_base *m_base;
  HostId m_self;
  DomainId m_domain; ///< Of this host.
  Handler m_handler;
  int m_socket = -1;
  event *m_event = nullptr;
  std::string m_key;
  bool m_reachesStore = true;
  std::int64_t m_sequence;
  std::uint64_t m_relayRound = 0; ///< See planRelays().
  std::map<HostId, Peer> m_peers;
  std::vector<char> m_buffer;
  std::uint64_t m_rejected = 0;
};

} // namespace burdockpulley

#endif
