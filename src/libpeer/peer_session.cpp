#include "peer_session.h"

#include "burdockpulley/hashing.h"
#include "peer_types.h"

namespace burdockpulley {
namespace detail {

namespace {

constexpr std::size_t FrameMacBytes = 16;

/// Appends a field with its length as prefix, so that different field lists
/// never give the same text.
void append(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

} // namespace

std::string PeerSession::handshakeHmac(const PeerKeys::Key &Key,
                                       std::string_view Purpose,
                                       const wire::Hello &OpenerHello,
                                       const wire::Hello &AccepterHello) const {
  std::string Text;
  append(Text, Purpose);
  for (const wire::Hello *Hello : {&OpenerHello, &AccepterHello}) {
    append(Text, Hello->nonce);
    append(Text, Hello->host);
    append(Text, Hello->domain);
  }
  return hmacSha256(Key.m_secret, Text);
}

void PeerSession::open(const PeerKeys &Keys, wire::Hello &LocalHello) {
  LocalHello.nonce = randomUuid();
  if (Keys.empty())
    return;
  m_keyId = Keys.first().m_id;
  LocalHello.keyId = m_keyId;
}

bool PeerSession::accept(const PeerKeys &Keys, const wire::Hello &RemoteHello,
                         wire::Hello &LocalHello) {
  LocalHello.nonce = randomUuid();
  if (Keys.empty())
    return RemoteHello.keyId.empty();
  const PeerKeys::Key *Key = Keys.find(RemoteHello.keyId);
  if (!Key)
    return false;
  m_keyId = Key->m_id;
  LocalHello.keyId = m_keyId;
  LocalHello.mac = handshakeHmac(*Key, "hello", RemoteHello, LocalHello);
  m_secret = handshakeHmac(*Key, "session", RemoteHello, LocalHello);
  return true;
}

bool PeerSession::confirm(const PeerKeys &Keys, const wire::Hello &LocalHello,
                          const wire::Hello &RemoteHello) {
  if (m_keyId.empty())
    return RemoteHello.keyId.empty();
  const PeerKeys::Key *Key = Keys.find(m_keyId);
  if (!Key || RemoteHello.keyId != m_keyId ||
      !sameMac(RemoteHello.mac,
               handshakeHmac(*Key, "hello", LocalHello, RemoteHello)))
    return false;
  m_secret = handshakeHmac(*Key, "session", LocalHello, RemoteHello);
  return true;
}

std::string PeerSession::frameMac(bool FromOpener, std::uint64_t SequenceNumber,
                                  std::string_view Payload) const {
  // The MAC covers an HMAC of the payload rather than the payload itself, so
  // that the payload is not copied into Text.
  std::string Text = FromOpener ? "opener" : "accepter";
  append(Text, std::to_string(SequenceNumber));
  append(Text, hmacSha256(m_secret, Payload));
  return hmacSha256(m_secret, Text).substr(0, FrameMacBytes);
}

std::string PeerSession::nextFrameMac(std::string_view Payload) {
  return usesMac() ? frameMac(m_isOpener, m_sentFrames++, Payload) : "";
}

bool PeerSession::verifyFrame(std::string_view &Frame) {
  if (!usesMac())
    return true;
  if (Frame.size() < FrameMacBytes)
    return false;
  std::string_view Mac = Frame.substr(Frame.size() - FrameMacBytes);
  Frame.remove_suffix(FrameMacBytes);
  return sameMac(Mac, frameMac(!m_isOpener, m_receivedFrames++, Frame));
}

} // namespace detail
} // namespace burdockpulley
