#ifndef BURDOCKPULLEY_LIBGATEWAY_KEY_TABLE_WIRE_H
#define BURDOCKPULLEY_LIBGATEWAY_KEY_TABLE_WIRE_H

#include "burdockpulley/key_table.h"
#include "gateway_types.h"

namespace burdockpulley {

/// A table as it travels between hosts. Thread safety: safe.
wire::KeyTableRecord toWire(const KeyTable &Table);

/// Nothing when the record does not hold each key exactly once.
/// Thread safety: safe.
std::optional<KeyTable> fromWire(const wire::KeyTableRecord &Record);

} // namespace burdockpulley

#endif
