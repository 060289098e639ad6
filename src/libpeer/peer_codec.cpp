#include "burdockpulley/peer.h"

#include "peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace burdockpulley {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {
constexpr std::size_t MaxElements = 1 << 16;
constexpr int MaxMessageBytes = 512 << 20;

std::shared_ptr<apache::thrift::TConfiguration> limits() {
  return std::make_shared<apache::thrift::TConfiguration>(MaxMessageBytes);
}

} // namespace

std::string encodeMessage(const wire::Message &Message) {
  auto Buffer = std::make_shared<TMemoryBuffer>(limits());
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  Message.write(&Protocol);
  return Buffer->getBufferAsString();
}

bool decodeMessage(std::string_view Bytes, wire::Message &Message) {
  try {
    auto *Data =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Data, static_cast<std::uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
        limits());
    // Every element takes a byte or more; a larger count is a lie.
    auto Limit = static_cast<std::int32_t>(
        std::min<std::size_t>(Bytes.size(), MaxElements));
    auto StringLimit = static_cast<std::int32_t>(Bytes.size());
    TCompactProtocolT<TMemoryBuffer> Protocol(Buffer, StringLimit, Limit);
    Message.read(&Protocol);
    return Buffer->available_read() == 0;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace burdockpulley
