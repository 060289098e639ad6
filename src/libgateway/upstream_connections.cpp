#include "upstream_connections.h"

namespace burdockpulley {

ChannelPool &UpstreamConnections::pool(const UpstreamState &Row) {
  Link &Which = m_links[Row.m_record.m_id];
  if (Which.m_pool && Which.m_address != Row.m_record.m_address)
    m_retired.push_back(std::move(Which.m_pool));
  if (!Which.m_pool) {
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = m_state.m_codec.headers().m_requestId;
    Which.m_address = Row.m_record.m_address;
    Which.m_pool = std::make_unique<ChannelPool>(
        m_state.m_base, Which.m_address, std::move(Settings));
  }
  return *Which.m_pool;
}

void UpstreamConnections::sweep(Instant Now) {
  for (auto Each = m_links.begin(); Each != m_links.end();) {
    Each->second.m_pool->sweep(Now);
    bool Known = m_state.m_registry.find(Each->first) != nullptr;
    if (!Known && Each->second.m_pool->open() == 0)
      Each = m_links.erase(Each);
    else
      ++Each;
  }
  for (auto &Each : m_retired)
    Each->sweep(Now);
  std::erase_if(m_retired, [](const auto &Each) { return Each->open() == 0; });
}

} // namespace burdockpulley
