#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"

namespace burdockpulley {

SetReader::Result assembleSet(const ConfigRoot &Root, StoreVersion RootVersion,
                              std::string Text) {
  if (sha256Hex(Text) != Root.m_sha256)
    return StoreError::BadAnswer;
  auto Declared = decodeDeclarations(Text);
  if (!Declared)
    return StoreError::BadAnswer;
  auto Set = std::make_shared<PublishedSet>();
  Set->m_root = Root;
  Set->m_rootVersion = RootVersion;
  Set->m_text = std::move(Text);
  Set->m_declarations = std::move(Declared.value());
  return std::shared_ptr<const PublishedSet>(std::move(Set));
}

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
                 std::string Text;
                 for (const auto &Chunk : std::get<StoreRange>(Reply).m_entries)
                   Text += Chunk.m_value;
                 Done(assembleSet(Root, RootVersion, std::move(Text)));
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
