#include "peer_key_driver.h"

#include "burdockpulley/event_log.h"

#include <fstream>
#include <sstream>

namespace burdockpulley {

namespace {
constexpr Duration ReloadInterval{2'000'000};
} // namespace

PeerKeyDriver::PeerKeyDriver(event_base *Base, PeerNetwork &Peers,
                             std::string Setting)
    : m_peers(Peers), m_setting(std::move(Setting)),
      m_timer(Base, ReloadInterval, [this](Instant) {
        if (!m_setting.empty())
          load();
      }) {}

std::string PeerKeyDriver::read() const {
  if (m_setting.find('/') == std::string::npos)
    return m_setting;
  std::ifstream File(m_setting);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

bool PeerKeyDriver::load() {
  if (m_setting.empty()) {
    logEvent(Severity::Warning, "peers-not-authenticated",
             {{"danger", "any process that reaches the peer address can act "
                         "as a host"},
              {"remedy", "set --peer-keys"}});
    return true;
  }
  std::string Text = read();
  if (Text == m_loaded)
    return true;
  PeerKeys Keys;
  if (!parsePeerKeys(Text, Keys)) {
    // Keys that worked so far stay in use.
    logEvent(Severity::Error, "peer-keys-unreadable",
             {{"expected", "ID:HEX,ID:HEX with 16 bytes or more"}});
    return false;
  }
  m_loaded = std::move(Text);
  logEvent(Severity::Info, "peer-keys-loaded",
           {{"first", Keys.first().m_id}, {"count", Keys.m_keys.size()}});
  m_peers.setKeys(std::move(Keys));
  return true;
}

} // namespace burdockpulley
