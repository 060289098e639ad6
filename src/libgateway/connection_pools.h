#ifndef BURDOCKPULLEY_LIBGATEWAY_CONNECTION_POOLS_H
#define BURDOCKPULLEY_LIBGATEWAY_CONNECTION_POOLS_H

#include "burdockpulley/channel_pool.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace burdockpulley {

/// Connection pools from this host to servers of one kind, which are identified
/// by \p Id and may change their addresses.
/// Thread safety: none; it belongs to the loop's thread.
template <class Id> class ConnectionPools {
public:
  /// Precondition: \p Base outlives the object.
  ConnectionPools(event_base *Base, ChannelPoolSettings Settings)
      : m_base(Base), m_settings(std::move(Settings)) {}

  /// Connections to one server. A server that has changed its address gets a
  /// new pool.
  ChannelPool &pool(const Id &Server, const Endpoint &Address) {
    AddressedPool &Current = m_pools[Server];
    if (Current.m_pool && Current.m_address != Address)
      m_retired.push_back(std::move(Current.m_pool));
    if (!Current.m_pool) {
      Current.m_address = Address;
      Current.m_pool =
          std::make_unique<ChannelPool>(m_base, Address, m_settings);
    }
    return *Current.m_pool;
  }

  /// Cancels a call to a server, also if it was made to a former address; see
  /// ChannelPool::cancel().
  bool cancel(const Id &Server, ChannelCallId Call) {
    auto It = m_pools.find(Server);
    if (It != m_pools.end() && It->second.m_pool->cancel(Call))
      return true;
    return std::any_of(m_retired.begin(), m_retired.end(),
                       [Call](const auto &Pool) { return Pool->cancel(Call); });
  }

  /// Closes the idle connections to all servers.
  void closeIdle() {
    for (auto &[Server, Pool] : m_pools)
      Pool.m_pool->closeIdle();
  }

  /// Closes connections that have been idle for too long, and removes the pools
  /// of servers that are not \p Known once they have no open connection.
  void sweep(const std::function<bool(const Id &)> &Known, Instant Now) {
    for (auto It = m_pools.begin(); It != m_pools.end();) {
      It->second.m_pool->sweep(Now);
      if (!Known(It->first) && It->second.m_pool->open() == 0)
        It = m_pools.erase(It);
      else
        ++It;
    }
    for (auto &Pool : m_retired)
      Pool->sweep(Now);
    std::erase_if(m_retired,
                  [](const auto &Pool) { return Pool->open() == 0; });
  }

private:
  struct AddressedPool {
    Endpoint m_address;
    std::unique_ptr<ChannelPool> m_pool;
  };

  event_base *m_base;
  ChannelPoolSettings m_settings;
  std::map<Id, AddressedPool> m_pools;
  /// Pools of former addresses. Each is removed once it has no open connection.
  std::vector<std::unique_ptr<ChannelPool>> m_retired;
};

} // namespace burdockpulley

#endif
