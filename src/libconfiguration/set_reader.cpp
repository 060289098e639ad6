#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"

namespace burdockpulley {

namespace {

SetReader::Result assemble(const ConfigRoot &Root, StoreVersion RootVersion,
                           const StoreRange &Chunks) {
  auto Set = std::make_shared<PublishedSet>();
  Set->m_root = Root;
  Set->m_rootVersion = RootVersion;
  for (const StoreEntry &Chunk : Chunks.m_entries)
    Set->m_text += Chunk.m_value;
  if (sha256Hex(Set->m_text) != Root.m_sha256)
    return StoreError::BadAnswer;
  auto Declared = decodeDeclarations(Set->m_text);
  if (!Declared)
    return StoreError::BadAnswer;
  Set->m_declarations = std::move(Declared.value());
  return std::shared_ptr<const PublishedSet>(std::move(Set));
}

} // namespace

void SetReader::readCurrent(Callback Done) {
  m_store.read({ConfigRootKey, false, {}},
               [this, Done](const StoreReply<StoreRange> &Reply) {
                 if (const auto *Error = std::get_if<StoreError>(&Reply))
                   return Done(*Error);
                 const auto &Range = std::get<StoreRange>(Reply);
                 if (Range.m_entries.empty())
                   return Done(std::make_shared<const PublishedSet>());
                 const StoreEntry &Entry = Range.m_entries.front();
                 ConfigRoot Root;
                 if (!decodeRoot(Entry.m_value, Root))
                   return Done(StoreError::BadAnswer);
                 readSet(Root, Entry.m_modified, Done);
               });
}

void SetReader::readSet(const ConfigRoot &Root, StoreVersion RootVersion,
                        Callback Done) {
  m_store.read({ArchivePrefix + Root.m_publication + "/", true, {}},
               [=](const StoreReply<StoreRange> &Reply) {
                 if (const auto *Error = std::get_if<StoreError>(&Reply))
                   return Done(*Error);
                 Done(assemble(Root, RootVersion, std::get<StoreRange>(Reply)));
               });
}

void SetReader::readHistory(HistoryCallback Done) {
  m_store.read(
      {HistoryPrefix, true, {}}, [Done](const StoreReply<StoreRange> &Reply) {
        if (const auto *Error = std::get_if<StoreError>(&Reply))
          return Done(*Error);
        std::vector<ConfigRoot> Roots;
        ConfigRoot Root;
        for (const StoreEntry &Entry : std::get<StoreRange>(Reply).m_entries)
          if (decodeRoot(Entry.m_value, Root))
            Roots.push_back(Root);
        Done(Roots);
      });
}

void SetReader::readRevision(Revision Number, Callback Done) {
  m_store.read({historyKey(Number), false, {}},
               [this, Done](const StoreReply<StoreRange> &Reply) {
                 if (const auto *Error = std::get_if<StoreError>(&Reply))
                   return Done(*Error);
                 const auto &Range = std::get<StoreRange>(Reply);
                 if (Range.m_entries.empty())
                   return Done(std::shared_ptr<const PublishedSet>());
                 ConfigRoot Root;
                 if (!decodeRoot(Range.m_entries.front().m_value, Root))
                   return Done(StoreError::BadAnswer);
                 readSet(Root, Range.m_entries.front().m_modified, Done);
               });
}

} // namespace burdockpulley
