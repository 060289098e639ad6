#ifndef BURDOCKPULLEY_LIBGATEWAY_STORE_KEYS_H
#define BURDOCKPULLEY_LIBGATEWAY_STORE_KEYS_H

#include <string>

namespace burdockpulley::store_keys {

// Keys under which entry hosts store their shared state.

/// Id of the coordinator, stored under that host's lease.
inline const std::string Coordinator = "burdockpulley/coordinator";
/// Secret with which hosts authenticate each other's datagrams.
inline const std::string PeerKey = "burdockpulley/peer-key";
/// Prefix; one HostRecord for each host, stored under the host's lease.
inline const std::string Hosts = "burdockpulley/hosts/";
/// Prefix; one key table for each sharded service.
inline const std::string KeyTables = "burdockpulley/keys/";

} // namespace burdockpulley::store_keys

#endif
