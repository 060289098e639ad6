#include "burdockpulley/ownership.h"
#include "report.h"

#include <nlohmann/json.hpp>

namespace burdockpulley {

ExitCode runOwner(const CommandLine &Line) {
  ServiceId Name(Line.m_arguments[0]);
  StoreSession Session(Line.m_platform, Line.m_storeTimeout);
  SetReader::Result Result = Session.readCurrent();
  if (const auto *Error = std::get_if<StoreError>(&Result))
    return printStoreError(Line, *Error);
  const Service *Found = std::get<0>(Result)->m_declarations.findService(Name);
  if (!Found || !Found->keyed())
    return printFailure(Line, ExitCode::NotFound,
                        "there is no service " + Name.value() + " with keys");
  PartitionIndex Partition =
      partitionOf(Line.m_arguments[1], Found->m_partitions);
  std::uint32_t Chunk = Partition.value() / PartitionsPerChunk;
  StoreReply<StoreRange> Reply =
      Session.read({ownershipKey(Name, Chunk), false, {}});
  if (const auto *Error = std::get_if<StoreError>(&Reply))
    return printStoreError(Line, *Error);
  OwnershipTable Table;
  for (const StoreEntry &Entry : std::get<StoreRange>(Reply).m_entries)
    Table.apply(Entry);
  const PartitionOwnership *Row = Table.find(Name, Partition);
  if (!Row || Row->m_owner.value().empty())
    return printFailure(Line, ExitCode::NotFound,
                        "partition " + std::to_string(Partition.value()) +
                            " has no owner yet");
  printResult(Line,
              {{"service", Name.value()},
               {"partition", Partition.value()},
               {"owner", Row->m_owner.value()},
               {"fencingToken", Row->m_token.value()}},
              Row->m_owner.value() + " (partition " +
                  std::to_string(Partition.value()) + ", fencing token " +
                  std::to_string(Row->m_token.value()) + ")\n");
  return ExitCode::Good;
}

} // namespace burdockpulley
