#include "burdockpulley/ownership.h"

#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace burdockpulley {

using nlohmann::json;

std::string ownershipKey(const ServiceId &Service, std::uint32_t Chunk) {
  return OwnershipPrefix + Service.value() + "/" + std::to_string(Chunk);
}

bool parseOwnershipKey(std::string_view Key, ServiceId &Service,
                       std::uint32_t &Chunk) {
  std::string_view Prefix = OwnershipPrefix;
  if (!Key.starts_with(Prefix))
    return false;
  std::string_view Path = Key.substr(Prefix.size());
  std::size_t Slash = Path.rfind('/');
  if (Slash == Path.npos)
    return false;
  const char *End = Path.data() + Path.size();
  auto [ParseEnd, Error] = std::from_chars(Path.data() + Slash + 1, End, Chunk);
  if (Error != std::errc() || ParseEnd != End)
    return false;
  Service = ServiceId(std::string(Path.substr(0, Slash)));
  return true;
}

std::string encodeChunk(const OwnershipChunk &Chunk) {
  std::map<UpstreamId, std::size_t> NameIndexes;
  json Names = json::array();
  json Owners = json::array();
  json Tokens = json::array();
  json Moves = json::array();
  auto IndexOf = [&](const UpstreamId &Name) {
    auto [It, Inserted] = NameIndexes.emplace(Name, NameIndexes.size());
    if (Inserted)
      Names.push_back(Name.value());
    return It->second;
  };
  for (std::size_t I = 0; I < Chunk.m_partitions.size(); ++I) {
    const PartitionOwnership &Partition = Chunk.m_partitions[I];
    Owners.push_back(IndexOf(Partition.m_owner));
    Tokens.push_back(Partition.m_token.value());
    if (Partition.moving())
      Moves.push_back({I, IndexOf(Partition.m_target)});
  }
  return json{{"upstreams", Names},
              {"owners", Owners},
              {"tokens", Tokens},
              {"moves", Moves}}
      .dump();
}

bool decodeChunk(std::string_view Text, OwnershipChunk &Chunk) {
  json Object = json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return false;
  try {
    auto Names = Object.at("upstreams").get<std::vector<std::string>>();
    auto Owners = Object.at("owners").get<std::vector<std::size_t>>();
    auto Tokens = Object.at("tokens").get<std::vector<std::uint64_t>>();
    if (Owners.size() != Tokens.size())
      return false;
    Chunk.m_partitions.clear();
    for (std::size_t I = 0; I < Owners.size(); ++I)
      Chunk.m_partitions.push_back(
          {UpstreamId(Names.at(Owners[I])), FencingToken(Tokens[I]), {}});
    for (const json &Move : Object.value("moves", json::array())) {
      auto Target = Move.at(1).get<std::size_t>();
      Chunk.m_partitions.at(Move.at(0).get<std::size_t>()).m_target =
          UpstreamId(Names.at(Target));
    }
  } catch (const std::exception &) {
    return false;
  }
  return true;
}

bool OwnershipTable::apply(const StoreEntry &Entry) {
  ServiceId Service;
  std::uint32_t Number = 0;
  if (!parseOwnershipKey(Entry.m_key, Service, Number))
    return false;
  OwnershipChunk NewChunk;
  NewChunk.m_version = Entry.m_modified;
  if (!decodeChunk(Entry.m_value, NewChunk))
    return false;
  std::vector<OwnershipChunk> &Chunks = m_services[Service];
  if (Chunks.size() <= Number)
    Chunks.resize(Number + 1);
  if (Chunks[Number].m_version >= NewChunk.m_version)
    return false;
  Chunks[Number] = std::move(NewChunk);
  return true;
}

const PartitionOwnership *OwnershipTable::find(const ServiceId &Service,
                                               PartitionIndex Partition) const {
  std::span<const OwnershipChunk> Chunks = chunks(Service);
  std::uint32_t Number = Partition.value() / PartitionsPerChunk;
  if (Number >= Chunks.size())
    return nullptr;
  const std::vector<PartitionOwnership> &Partitions =
      Chunks[Number].m_partitions;
  std::uint32_t Offset = Partition.value() % PartitionsPerChunk;
  if (Offset >= Partitions.size())
    return nullptr;
  return &Partitions[Offset];
}

std::vector<StoreEntry>
OwnershipTable::entriesSince(StoreVersion Version) const {
  std::vector<StoreEntry> Entries;
  for (const auto &[Service, Chunks] : m_services)
    for (std::uint32_t Number = 0; Number < Chunks.size(); ++Number)
      if (Chunks[Number].m_version > Version)
        Entries.push_back({ownershipKey(Service, Number),
                           encodeChunk(Chunks[Number]),
                           Chunks[Number].m_version});
  return Entries;
}

std::span<const OwnershipChunk>
OwnershipTable::chunks(const ServiceId &Service) const {
  auto It = m_services.find(Service);
  if (It == m_services.end())
    return {};
  return It->second;
}

PartitionIndex partitionOf(std::string_view Key, std::uint32_t Partitions) {
  return PartitionIndex(
      static_cast<std::uint32_t>(stableHash(Key) % Partitions));
}

} // namespace burdockpulley
