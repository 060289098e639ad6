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

/// What a host tells of itself in the store.
struct HostAddress {
  Endpoint m_peers; ///< Where it takes datagrams.
  DomainId m_domain;
  /// Its link is wide enough to work for others.
  bool m_highBandwidth = true;

  friend bool operator==(const HostAddress &, const HostAddress &) = default;
};

/// A host's record as it stands in the store. Thread safety: safe.
std::string encodeHostAddress(const HostAddress &Address);

/// Nothing when the record can not be read. Thread safety: safe.
std::optional<HostAddress> decodeHostAddress(const std::string &Record);

/// Datagrams between the hosts of one deployment. Each carries a code made
/// with a key that only hosts read; others are dropped. They may be lost.
/// Thread safety: none; it belongs to the loop's thread.
class PeerTransport {
public:
  using Handler =
      std::function<void(const HostId &From, const wire::Datagram &)>;

  /// Precondition: \p Base outlives the object.
  PeerTransport(event_base *Base, HostId Self, Handler Handle);
  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Port 0 takes a free one. Returns the bound port, or 0 when the address can
  /// not be had.
  std::uint16_t listen(const Endpoint &Where);

  /// Nothing is sent or taken until the key is known.
  void setKey(const std::string &Key) { m_key = Key; }
  bool hasKey() const { return !m_key.empty(); }

  void addPeer(const HostId &Host, const HostAddress &Where);
  /// The store does not list the host any more. It stays a peer for as long as
  /// it is heard of: its record may be gone because the store was.
  void unlistPeer(const HostId &Host);
  /// Forgets hosts that are neither listed nor heard of.
  void sweep(Instant Now);
  std::size_t peers() const { return m_peers.size(); }

  void send(const HostId &To, wire::Datagram Message);
  /// Returns the bytes sent to all peers together.
  std::size_t sendAll(wire::Datagram Message);
  /// Sends to the peers of one failure domain, or to all others.
  void sendDomain(wire::Datagram Message, const DomainId &Domain, bool Inside);
  /// True when no peer of the failure domain that was heard of lately comes
  /// before this host: wide links before narrow ones, then by name.
  bool isFirstOf(const DomainId &Domain, bool HighBandwidth, Instant Now) const;

  /// Datagrams dropped because they were not made by a host.
  std::uint64_t rejected() const { return m_rejected; }

private:
  struct Peer {
    HostAddress m_address;
    std::int64_t m_lastSequence = 0;
    bool m_listed = true;
    Instant m_heard;
  };

  std::string seal(wire::Datagram &Message);
  void sendBytes(const Endpoint &To, const std::string &Bytes);
  void receive();
  void take(std::string_view Bytes);
  bool genuine(std::string_view Bytes) const;
  std::string code(std::string_view Bytes) const;

  event_base *m_base;
  HostId m_self;
  Handler m_handle;
  int m_socket = -1;
  event *m_event = nullptr;
  std::string m_key;
  std::int64_t m_sequence;
  std::map<HostId, Peer> m_peers;
  std::vector<char> m_buffer;
  std::uint64_t m_rejected = 0;
};

} // namespace burdockpulley

#endif
