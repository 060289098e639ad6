#include "burdockpulley/peer.h"

#include "peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace burdockpulley {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

std::string encodeMessage(const wire::Message &Message) {
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

bool decodeMessage(std::string_view Bytes, wire::Message &Message) {
  try {
    auto *Data =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Data, static_cast<std::uint32_t>(Bytes.size()));
    TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
    Message.read(&Protocol);
    return Buffer->available_read() == 0;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace burdockpulley
