#include "upstream_connections.h"

namespace burdockpulley {

ChannelPool &UpstreamConnections::pool(const UpstreamState &Upstream) {
  AddressedPool &Current = m_pools[Upstream.m_record.m_id];
  if (Current.m_pool && Current.m_address != Upstream.m_record.m_address)
    m_retired.push_back(std::move(Current.m_pool));
  if (!Current.m_pool) {
    ChannelPoolSettings Settings;
    Settings.m_echoHeader = m_state.m_codec.headers().m_requestId;
    Settings.m_responseMemory = &m_state.m_responseMemory;
    Current.m_address = Upstream.m_record.m_address;
    Current.m_pool = std::make_unique<ChannelPool>(
        m_state.m_base, Current.m_address, std::move(Settings));
  }
  return *Current.m_pool;
}

void UpstreamConnections::sweep(Instant Now) {
  for (auto It = m_pools.begin(); It != m_pools.end();) {
    It->second.m_pool->sweep(Now);
    bool IsRegistered = m_state.m_registry.find(It->first) != nullptr;
    if (!IsRegistered && It->second.m_pool->open() == 0)
      It = m_pools.erase(It);
    else
      ++It;
  }
  for (auto &Pool : m_retired)
    Pool->sweep(Now);
  std::erase_if(m_retired, [](const auto &Pool) { return Pool->open() == 0; });
}

} // namespace burdockpulley
