#ifndef BURDOCKPULLEY_DIFFERENCE_H
#define BURDOCKPULLEY_DIFFERENCE_H

#include "burdockpulley/declarations.h"

#include <string>
#include <vector>

namespace burdockpulley {

/// One field whose value differs between two sets, in JSON form; empty where
/// the object has no such field.
struct FieldChange {
  std::string m_field;
  std::string m_before;
  std::string m_after;
};

/// One object that differs between two sets.
struct ObjectChange {
  enum class Kind { Added, Removed, Changed };

  Kind m_kind = Kind::Changed;
  std::string m_object; ///< "Kind/name".
  std::vector<FieldChange> m_fields;
};

/// Compares two sets object by object, in name order.
/// Thread safety: safe.
std::vector<ObjectChange> compareSets(const Declarations &Before,
                                      const Declarations &After);

/// Writes a change as one line for an operator.
/// Thread safety: safe.
std::string toString(const ObjectChange &Change);

/// Faults that neither set has by itself: what would give keys of a service to
/// other owners all at once.
/// Thread safety: safe.
std::vector<DeclarationFault> checkTransition(const Declarations &Before,
                                              const Declarations &After);

/// Adds the maintenance orders of \p Published to \p Set, except where \p Set
/// has an order for the same target or does not declare the target.
/// Thread safety: safe.
void keepMaintenance(const Declarations &Published, Declarations &Set);

} // namespace burdockpulley

#endif
