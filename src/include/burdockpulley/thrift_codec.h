#ifndef BURDOCKPULLEY_THRIFT_CODEC_H
#define BURDOCKPULLEY_THRIFT_CODEC_H

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>

namespace burdockpulley {

namespace detail {
constexpr std::size_t MaxThriftElements = 1 << 20; ///< Per container.
constexpr int MaxThriftBytes = 512 << 20;

inline std::shared_ptr<apache::thrift::TConfiguration> thriftLimits() {
  return std::make_shared<apache::thrift::TConfiguration>(MaxThriftBytes);
}
} // namespace detail

/// Encodes a generated struct in Thrift's compact protocol.
/// Thread safety: safe.
template <class Struct> std::string encodeThrift(const Struct &Value) {
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  auto Output = std::make_shared<Buffer>(detail::thriftLimits());
  apache::thrift::protocol::TCompactProtocolT<Buffer> Protocol(Output);
  Value.write(&Protocol);
  return Output->getBufferAsString();
}

/// Decodes a generated struct. Returns false, with \p Value unspecified, when
/// the bytes are not exactly one encoded struct of this type.
/// Thread safety: safe.
template <class Struct>
bool decodeThrift(std::string_view Bytes, Struct &Value) {
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  try {
    auto *Data =
        reinterpret_cast<std::uint8_t *>(const_cast<char *>(Bytes.data()));
    auto Input =
        std::make_shared<Buffer>(Data, static_cast<std::uint32_t>(Bytes.size()),
                                 Buffer::OBSERVE, detail::thriftLimits());
    // Every element is at least one byte long, so a container cannot have more
    // elements than the message has bytes.
    auto ContainerLimit = static_cast<std::int32_t>(
        std::min<std::size_t>(Bytes.size(), detail::MaxThriftElements));
    auto StringLimit = static_cast<std::int32_t>(Bytes.size());
    apache::thrift::protocol::TCompactProtocolT<Buffer> Protocol(
        Input, StringLimit, ContainerLimit);
    Value.read(&Protocol);
    return Input->available_read() == 0;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace burdockpulley

#endif
