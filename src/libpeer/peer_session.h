#ifndef BURDOCKPULLEY_LIBPEER_PEER_SESSION_H
#define BURDOCKPULLEY_LIBPEER_PEER_SESSION_H

#include "burdockpulley/peer_keys.h"

#include <cstdint>

namespace burdockpulley {

namespace wire {
class Hello;
} // namespace wire

namespace detail {

/// Authenticates one connection. Each end sends a fresh nonce in its Hello,
/// from which both derive a session secret. Each later frame carries a MAC over
/// its payload, its direction and its sequence number, so that frames cannot be
/// changed, replayed, reordered or reflected.
///
/// The end that accepts the connection (the accepter) authenticates itself with
/// the MAC in its Hello, the end that opens it (the opener) with its first
/// frame after the Hello. Without keys nothing is checked.
///
/// Thread safety: not safe.
class PeerSession {
public:
  explicit PeerSession(bool IsOpener) : m_isOpener(IsOpener) {}

  /// Opener: sets the nonce and key id of its Hello. \p Keys may be empty.
  void open(const PeerKeys &Keys, wire::Hello &LocalHello);

  /// Accepter: processes the opener's Hello and sets the nonce, key id and MAC
  /// of its own. Returns false when the opener's key is unknown, or when only
  /// one of the ends has keys.
  bool accept(const PeerKeys &Keys, const wire::Hello &RemoteHello,
              wire::Hello &LocalHello);

  /// Opener: verifies the accepter's Hello. Returns false when its MAC or key
  /// id is wrong, or when only one of the ends has keys.
  bool confirm(const PeerKeys &Keys, const wire::Hello &LocalHello,
               const wire::Hello &RemoteHello);

  /// True when frames carry a MAC.
  bool usesMac() const { return !m_secret.empty(); }
  const std::string &keyId() const { return m_keyId; }

  /// Returns the MAC of the next frame to send, which is empty without keys,
  /// and advances the sequence number.
  std::string nextFrameMac(std::string_view Payload);

  /// Verifies the MAC of the next received frame and removes it from the end of
  /// \p Frame. Returns false when the MAC is wrong.
  bool verifyFrame(std::string_view &Frame);

private:
  /// HMAC under \p Key of the nonces, hosts and domains in both Hellos. The
  /// purpose distinguishes the MAC in the accepter's Hello from the session
  /// secret.
  std::string handshakeHmac(const PeerKeys::Key &Key, std::string_view Purpose,
                            const wire::Hello &OpenerHello,
                            const wire::Hello &AccepterHello) const;
  std::string frameMac(bool FromOpener, std::uint64_t SequenceNumber,
                       std::string_view Payload) const;

  bool m_isOpener;
  std::string m_keyId;
  std::string m_secret; ///< Session secret; empty without keys.
  std::uint64_t m_sentFrames = 0;
  std::uint64_t m_receivedFrames = 0;
};

} // namespace detail
} // namespace burdockpulley

#endif
