#include "burdockpulley/difference.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace burdockpulley {

using nlohmann::json;

namespace {

std::map<std::string, json> objectsOf(const Declarations &Set) {
  std::map<std::string, json> Objects;
  for (json &Object : json::parse(encodeDeclarations(Set))) {
    std::string Title = Object["kind"].get<std::string>() + "/" +
                        Object["name"].get<std::string>();
    Objects.emplace(std::move(Title), std::move(Object));
  }
  return Objects;
}

std::string fieldText(const json &Object, const std::string &Field) {
  auto Found = Object.find(Field);
  return Found == Object.end() ? "" : Found->dump();
}

std::vector<FieldChange> compareObjects(const json &Before, const json &After) {
  json Fields = Before;
  Fields.update(After);
  std::vector<FieldChange> Changes;
  for (const auto &[Field, Ignored] : Fields.items()) {
    FieldChange Change{Field, fieldText(Before, Field),
                       fieldText(After, Field)};
    if (Change.m_before != Change.m_after)
      Changes.push_back(std::move(Change));
  }
  return Changes;
}

bool sameTarget(const Maintenance &Left, const Maintenance &Right) {
  return Left.m_upstream == Right.m_upstream && Left.m_domain == Right.m_domain;
}

bool targetDeclared(const Maintenance &Order, const Declarations &Set) {
  if (!Order.m_upstream.value().empty())
    return Set.findUpstream(Order.m_upstream) != nullptr;
  return Set.findDomain(Order.m_domain) != nullptr;
}

} // namespace

std::vector<ObjectChange> compareSets(const Declarations &Before,
                                      const Declarations &After) {
  using Kind = ObjectChange::Kind;
  std::map<std::string, json> Old = objectsOf(Before);
  std::map<std::string, json> New = objectsOf(After);
  std::vector<ObjectChange> Changes;
  for (const auto &[Title, Object] : Old) {
    auto Found = New.find(Title);
    if (Found == New.end()) {
      Changes.push_back({Kind::Removed, Title, {}});
      continue;
    }
    std::vector<FieldChange> Fields = compareObjects(Object, Found->second);
    if (!Fields.empty())
      Changes.push_back({Kind::Changed, Title, std::move(Fields)});
  }
  for (const auto &[Title, Object] : New)
    if (!Old.count(Title))
      Changes.push_back({Kind::Added, Title, {}});
  std::sort(Changes.begin(), Changes.end(),
            [](const ObjectChange &Left, const ObjectChange &Right) {
              return Left.m_object < Right.m_object;
            });
  return Changes;
}

std::string toString(const ObjectChange &Change) {
  if (Change.m_kind == ObjectChange::Kind::Added)
    return "+ " + Change.m_object;
  if (Change.m_kind == ObjectChange::Kind::Removed)
    return "- " + Change.m_object;
  std::string Line = "~ " + Change.m_object + ":";
  for (const FieldChange &Field : Change.m_fields)
    Line += " " + Field.m_field + " " +
            (Field.m_before.empty() ? "(none)" : Field.m_before) + " -> " +
            (Field.m_after.empty() ? "(none)" : Field.m_after);
  return Line;
}

std::vector<DeclarationFault> checkTransition(const Declarations &Before,
                                              const Declarations &After) {
  std::vector<DeclarationFault> Faults;
  for (const Service &Old : Before.m_services) {
    const Service *New = After.findService(Old.m_name);
    if (!New || !Old.keyed())
      continue;
    std::string Title = "Service/" + Old.m_name.value();
    if (Old.m_partitions != New->m_partitions)
      Faults.push_back({"", 0, Title, "partitions",
                        "changes from " + std::to_string(Old.m_partitions) +
                            " to " + std::to_string(New->m_partitions) +
                            ", which gives almost every key another owner",
                        "keep it, or publish with --force"});
    bool SameKey =
        Old.m_keySource == New->m_keySource && Old.m_keyName == New->m_keyName;
    if (!SameKey)
      Faults.push_back({"", 0, Title, "key",
                        "changes, which gives almost every key another owner",
                        "keep it, or publish with --force"});
  }
  return Faults;
}

void keepMaintenance(const Declarations &Published, Declarations &Set) {
  for (const Maintenance &Order : Published.m_maintenance) {
    bool Declared = std::any_of(
        Set.m_maintenance.begin(), Set.m_maintenance.end(),
        [&](const Maintenance &Other) {
          return Other.m_name == Order.m_name || sameTarget(Other, Order);
        });
    if (!Declared && targetDeclared(Order, Set))
      Set.m_maintenance.push_back(Order);
  }
  std::sort(Set.m_maintenance.begin(), Set.m_maintenance.end(),
            [](const Maintenance &Left, const Maintenance &Right) {
              return Left.m_name < Right.m_name;
            });
}

} // namespace burdockpulley
