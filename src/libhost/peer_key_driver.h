#ifndef BURDOCKPULLEY_LIBHOST_PEER_KEY_DRIVER_H
#define BURDOCKPULLEY_LIBHOST_PEER_KEY_DRIVER_H

#include "burdockpulley/repeating_timer.h"

#include "burdockpulley/peer.h"

#include <string>

namespace burdockpulley {

/// Gives the peer network its keys, and reads their file again from time to
/// time, so that keys rotate without a stop.
///
/// Thread safety: none; it belongs to the loop's thread.
class PeerKeyDriver {
public:
  /// \p Setting is the path of a file if it has a slash, else the keys
  /// themselves; empty for a network without authentication.
  PeerKeyDriver(event_base *Base, PeerNetwork &Peers, std::string Setting);

  /// Loads the keys. False when the setting gives none that can be read; the
  /// reason has been logged.
  bool load();

private:
  std::string read() const;

  PeerNetwork &m_peers;
  std::string m_setting;
  std::string m_loaded;
  RepeatingTimer m_timer;
};

} // namespace burdockpulley

#endif
