#ifndef BURDOCKPULLEY_RESERVED_PORT_H
#define BURDOCKPULLEY_RESERVED_PORT_H

#include "burdockpulley/types.h"

namespace burdockpulley {

/// A port of the loopback address that is kept from all other sockets while the
/// object lives, except from listeners that set SO_REUSEADDR. A server can so
/// be restarted on the same port although its own socket was closed meanwhile.
/// Throws std::runtime_error if no port can be had.
/// Thread safety: none.
class ReservedPort {
public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort &) = delete;
  ReservedPort &operator=(const ReservedPort &) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", m_port}; }

private:
  int m_socket = -1;
  std::uint16_t m_port = 0;
};

} // namespace burdockpulley

#endif
