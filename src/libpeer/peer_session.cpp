#include "peer_session.h"

#include "burdockpulley/hashing.h"
#include "peer_types.h"

namespace burdockpulley {
namespace detail {

namespace {

constexpr std::size_t MacBytes = 16;

/// Appends a field with its length, so that fields can not run together.
void append(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

} // namespace

std::string PeerSession::derive(const PeerKeys::Key &Key, std::string_view Use,
                                const wire::Hello &Opener,
                                const wire::Hello &Accepter) const {
  std::string Text;
  append(Text, Use);
  for (const wire::Hello *Each : {&Opener, &Accepter}) {
    append(Text, Each->nonce);
    append(Text, Each->host);
    append(Text, Each->domain);
  }
  return hmacSha256(Key.m_secret, Text);
}

void PeerSession::open(const PeerKeys &Keys, wire::Hello &Mine) {
  Mine.nonce = randomUuid();
  if (Keys.empty())
    return;
  m_keyId = Keys.first().m_id;
  Mine.keyId = m_keyId;
}

bool PeerSession::accept(const PeerKeys &Keys, const wire::Hello &Theirs,
                         wire::Hello &Mine) {
  Mine.nonce = randomUuid();
  if (Keys.empty())
    return Theirs.keyId.empty();
  const PeerKeys::Key *Key = Keys.find(Theirs.keyId);
  if (!Key)
    return false;
  m_keyId = Key->m_id;
  Mine.keyId = m_keyId;
  Mine.mac = derive(*Key, "hello", Theirs, Mine);
  m_secret = derive(*Key, "session", Theirs, Mine);
  return true;
}

bool PeerSession::confirm(const PeerKeys &Keys, const wire::Hello &Mine,
                          const wire::Hello &Theirs) {
  if (m_keyId.empty())
    return Theirs.keyId.empty();
  const PeerKeys::Key *Key = Keys.find(m_keyId);
  if (!Key || Theirs.keyId != m_keyId ||
      !sameMac(Theirs.mac, derive(*Key, "hello", Mine, Theirs)))
    return false;
  m_secret = derive(*Key, "session", Mine, Theirs);
  return true;
}

std::string PeerSession::mac(bool FromOpener, std::uint64_t Number,
                             std::string_view Payload) const {
  // The payload is hashed on its own, so that it is not copied.
  std::string Text = FromOpener ? "opener" : "accepter";
  append(Text, std::to_string(Number));
  append(Text, hmacSha256(m_secret, Payload));
  return hmacSha256(m_secret, Text).substr(0, MacBytes);
}

std::string PeerSession::seal(std::string_view Payload) {
  return keyed() ? mac(m_isOpener, m_sent++, Payload) : "";
}

bool PeerSession::unseal(std::string_view &Frame) {
  if (!keyed())
    return true;
  if (Frame.size() < MacBytes)
    return false;
  std::string_view Mac = Frame.substr(Frame.size() - MacBytes);
  Frame.remove_suffix(MacBytes);
  return sameMac(Mac, mac(!m_isOpener, m_received++, Frame));
}

} // namespace detail
} // namespace burdockpulley
