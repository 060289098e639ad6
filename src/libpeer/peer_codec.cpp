#include "burdockpulley/peer.h"

#include "burdockpulley/thrift_codec.h"
#include "peer_types.h"

namespace burdockpulley {

std::string encodeMessage(const wire::Message &Message) {
  return encodeThrift(Message);
}

bool decodeMessage(std::string_view Bytes, wire::Message &Message) {
  return decodeThrift(Bytes, Message);
}

} // namespace burdockpulley
