#ifndef BURDOCKPULLEY_LIBPEER_PEER_SESSION_H
#define BURDOCKPULLEY_LIBPEER_PEER_SESSION_H

#include "burdockpulley/peer_keys.h"

#include <cstdint>

namespace burdockpulley {

namespace wire {
class Hello;
} // namespace wire

namespace detail {

/// Authentication of one connection: fresh nonces from both ends, then a MAC
/// on each frame that covers its direction and place in the stream.
///
/// The accepting end proves itself in its Hello, the opening end with its
/// first frame. Without keys everything passes.
///
/// Thread safety: none.
class PeerSession {
public:
  explicit PeerSession(bool Opener) : m_isOpener(Opener) {}

  /// Fills in the opener's Hello. \p Keys may be empty.
  void open(const PeerKeys &Keys, wire::Hello &Mine);

  /// The accepting end answers the opener's Hello. False when the key is not
  /// known here.
  bool accept(const PeerKeys &Keys, const wire::Hello &Theirs,
              wire::Hello &Mine);

  /// The opener checks the answer. False when it is not proven.
  bool confirm(const PeerKeys &Keys, const wire::Hello &Mine,
               const wire::Hello &Theirs);

  /// True when frames carry a MAC.
  bool keyed() const { return !m_secret.empty(); }
  const std::string &keyId() const { return m_keyId; }

  /// The MAC of the next frame sent; empty without keys.
  std::string seal(std::string_view Payload);

  /// Checks a received frame and takes the MAC off it.
  bool unseal(std::string_view &Frame);

private:
  std::string derive(const PeerKeys::Key &Key, std::string_view Use,
                     const wire::Hello &Opener,
                     const wire::Hello &Accepter) const;
  std::string mac(bool FromOpener, std::uint64_t Number,
                  std::string_view Payload) const;

  bool m_isOpener;
  std::string m_keyId;
  std::string m_secret;
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

} // namespace detail
} // namespace burdockpulley

#endif
