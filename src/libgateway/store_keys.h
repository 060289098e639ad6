#ifndef BURDOCKPULLEY_LIBGATEWAY_STORE_KEYS_H
#define BURDOCKPULLEY_LIBGATEWAY_STORE_KEYS_H

#include <string>

namespace burdockpulley::store_keys {

// What entry hosts keep in the platform's store.

/// Which host coordinates; under that host's lease.
inline const std::string Coordinator = "burdockpulley/coordinator";
/// Secret by which hosts know each other's datagrams.
inline const std::string PeerKey = "burdockpulley/peer-key";
/// A key for each host with its peer address and its failure domain, under the
/// host's lease.
inline const std::string Hosts = "burdockpulley/hosts/";
/// A key for each service with its key table.
inline const std::string KeyTables = "burdockpulley/keys/";

} // namespace burdockpulley::store_keys

#endif
