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
constexpr std::size_t MaxThriftElements = 1 << 20;
constexpr int MaxThriftBytes = 512 << 20;

inline std::shared_ptr<apache::thrift::TConfiguration> thriftLimits() {
  return std::make_shared<apache::thrift::TConfiguration>(MaxThriftBytes);
}
} // namespace detail

/// Writes a generated struct in Thrift's compact form.
/// Thread safety: safe.
template <class Struct> std::string encodeThrift(const Struct &Value) {
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  auto Bytes = std::make_shared<Buffer>(detail::thriftLimits());
  apache::thrift::protocol::TCompactProtocolT<Buffer> Protocol(Bytes);
  Value.write(&Protocol);
  return Bytes->getBufferAsString();
}

/// Reads a generated struct. False, with \p Value in an unknown state, when
/// the bytes are not exactly one such struct.
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
    // Every element takes a byte or more; a larger count is a lie.
    auto Limit = static_cast<std::int32_t>(
        std::min<std::size_t>(Bytes.size(), detail::MaxThriftElements));
    auto StringLimit = static_cast<std::int32_t>(Bytes.size());
    apache::thrift::protocol::TCompactProtocolT<Buffer> Protocol(
        Input, StringLimit, Limit);
    Value.read(&Protocol);
    return Input->available_read() == 0;
  } catch (const std::exception &) {
    return false;
  }
}

} // namespace burdockpulley

#endif
