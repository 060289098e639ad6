#include "document.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace burdockpulley {
namespace detail {

namespace {

RawField fieldOf(const YAML::Node &Node);

std::map<std::string, RawField> fieldsOf(const YAML::Node &Node) {
  std::map<std::string, RawField> Fields;
  for (const auto &Entry : Node) {
    auto [Field, Fresh] =
        Fields.emplace(Entry.first.as<std::string>(), fieldOf(Entry.second));
    if (!Fresh)
      Field->second.m_repeated = true;
  }
  return Fields;
}

RawField fieldOf(const YAML::Node &Node) {
  RawField Field;
  Field.m_line = Node.Mark().line + 1;
  if (Node.IsScalar())
    Field.m_values.push_back(Node.Scalar());
  Field.m_list = Node.IsSequence();
  if (!Node.IsSequence())
    return Field;
  for (const YAML::Node &Item : Node) {
    if (Item.IsMap())
      Field.m_objects.push_back(fieldsOf(Item));
    else
      Field.m_values.push_back(Item.Scalar());
  }
  return Field;
}

std::string jsonScalar(const nlohmann::json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::map<std::string, RawField> fieldsOf(const nlohmann::json &Value);

RawField fieldOf(const nlohmann::json &Value) {
  RawField Field;
  Field.m_list = Value.is_array();
  if (!Value.is_array()) {
    Field.m_values.push_back(jsonScalar(Value));
    return Field;
  }
  for (const nlohmann::json &Item : Value) {
    if (Item.is_object())
      Field.m_objects.push_back(fieldsOf(Item));
    else
      Field.m_values.push_back(jsonScalar(Item));
  }
  return Field;
}

std::map<std::string, RawField> fieldsOf(const nlohmann::json &Value) {
  std::map<std::string, RawField> Fields;
  for (const auto &[Key, Item] : Value.items())
    Fields[Key] = fieldOf(Item);
  return Fields;
}

std::string takeScalar(std::map<std::string, RawField> &Fields,
                       const std::string &Name) {
  auto Found = Fields.find(Name);
  if (Found == Fields.end() || Found->second.m_values.size() != 1)
    return "";
  std::string Value = Found->second.m_values.front();
  Fields.erase(Found);
  return Value;
}

void addObject(std::string File, int Line,
               std::map<std::string, RawField> Fields,
               std::vector<RawObject> &Objects,
               std::vector<DeclarationFault> &Faults) {
  RawObject Object{std::move(File), Line, "", "", std::move(Fields)};
  Object.m_kind = takeScalar(Object.m_fields, "kind");
  Object.m_name = takeScalar(Object.m_fields, "name");
  for (const char *Needed : {"kind", "name"}) {
    bool Missing = (Needed[0] == 'k' ? Object.m_kind : Object.m_name).empty();
    if (Missing)
      Faults.push_back({Object.m_file, Line, "", Needed, "is missing",
                        "every object starts with kind and name"});
  }
  Objects.push_back(std::move(Object));
}

} // namespace

std::vector<RawObject> readYaml(const DeclarationSource &Source,
                                std::vector<DeclarationFault> &Faults) {
  std::vector<RawObject> Objects;
  try {
    for (const YAML::Node &Node : YAML::LoadAll(Source.m_text)) {
      if (Node.IsNull())
        continue;
      int Line = Node.Mark().line + 1;
      if (!Node.IsMap()) {
        Faults.push_back({Source.m_file, Line, "", "", "is not an object",
                          "write kind, name and fields"});
        continue;
      }
      addObject(Source.m_file, Line, fieldsOf(Node), Objects, Faults);
    }
  } catch (const YAML::Exception &Problem) {
    Faults.push_back({Source.m_file, Problem.mark.line + 1, "", "",
                      "is not YAML: " + Problem.msg, ""});
  }
  return Objects;
}

std::vector<RawObject> readJson(std::string_view Text,
                                std::vector<DeclarationFault> &Faults) {
  std::vector<RawObject> Objects;
  nlohmann::json Root = nlohmann::json::parse(Text, nullptr, false);
  if (!Root.is_array()) {
    Faults.push_back(
        {"(published)", 0, "", "", "is not a JSON list of objects", ""});
    return Objects;
  }
  for (const nlohmann::json &Item : Root)
    if (Item.is_object())
      addObject("(published)", 0, fieldsOf(Item), Objects, Faults);
  return Objects;
}

} // namespace detail
} // namespace burdockpulley
