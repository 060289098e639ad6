#include "burdockpulley/reserved_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace burdockpulley {

ReservedPort::ReservedPort() {
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enabled = 1;
  setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (bind(m_socket, Generic, Size) != 0 ||
      getsockname(m_socket, Generic, &Size) != 0) {
    close(m_socket);
    throw std::runtime_error("no free port");
  }
  m_port = ntohs(Address.sin_port);
}

ReservedPort::~ReservedPort() { close(m_socket); }

} // namespace burdockpulley
