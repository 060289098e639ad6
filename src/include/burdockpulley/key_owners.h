#ifndef BURDOCKPULLEY_KEY_OWNERS_H
#define BURDOCKPULLEY_KEY_OWNERS_H

#include "burdockpulley/key_table.h"

#include <map>

namespace burdockpulley {

/// What this host believes of who owns which key. The newest table of each
/// service holds, whether it came from the store or from the coordinator.
/// Thread safety: none.
class KeyOwners {
public:
  /// Takes a table that is newer; \p Step counts what the coordinator has
  /// carried out since the table's version. False when it is not newer.
  bool apply(const KeyTable &Table, std::uint32_t Step);

  /// The owner of a key; empty when it has none or is not known.
  UpstreamId owner(const ServiceId &Service, ShardKey Key) const;

  struct Known {
    KeyTable m_table;
    std::uint32_t m_step = 0;
  };
  const std::map<ServiceId, Known> &all() const { return m_tables; }

private:
  std::map<ServiceId, Known> m_tables;
};

} // namespace burdockpulley

#endif
