#ifndef BURDOCKPULLEY_LIBDECLARATIONS_DOCUMENT_H
#define BURDOCKPULLEY_LIBDECLARATIONS_DOCUMENT_H

#include "burdockpulley/declarations.h"

#include <map>
#include <string>
#include <vector>

namespace burdockpulley {
namespace detail {

/// A field of an object as it was written: one scalar, a list of scalars, or a
/// list of nested objects.
struct RawField {
  int m_line = 0;
  bool m_list = false;
  bool m_repeated = false; ///< Written more than once in its object.
  std::vector<std::string> m_values;
  std::vector<std::map<std::string, RawField>> m_objects;
};

/// An object as it was written, before any meaning is given to it.
struct RawObject {
  std::string m_file;
  int m_line = 0;
  std::string m_kind;
  std::string m_name;
  std::map<std::string, RawField> m_fields;

  std::string title() const { return m_kind + "/" + m_name; }
};

/// Reads the objects of one YAML source; faults are appended.
std::vector<RawObject> readYaml(const DeclarationSource &Source,
                                std::vector<DeclarationFault> &Faults);

/// Reads the objects of the canonical JSON form; faults are appended.
std::vector<RawObject> readJson(std::string_view Text,
                                std::vector<DeclarationFault> &Faults);

/// Gives meaning to the objects; faults are appended.
Declarations readObjects(const std::vector<RawObject> &Objects,
                         std::vector<DeclarationFault> &Faults);

/// Checks what holds between objects; faults are appended.
void validate(const Declarations &Set, const std::vector<RawObject> &Objects,
              std::vector<DeclarationFault> &Faults);

} // namespace detail
} // namespace burdockpulley

#endif
