#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"

namespace burdockpulley {

namespace {

constexpr std::size_t MaxChunkBytes = 512 * 1024;
constexpr int SettleTries = 5;

std::string historyKey(Revision Number) {
  char Text[24];
  snprintf(Text, sizeof(Text), "%012llu",
           static_cast<unsigned long long>(Number.value()));
  return std::string(HistoryPrefix) + Text;
}

} // namespace

struct Publisher::Attempt {
  ConfigRoot m_root;
  StoreVersion m_base;
  std::string m_text;
  std::uint32_t m_written = 0;
  Callback m_done;
};

void Publisher::publish(const Declarations &Set, const PublishedSet &Base,
                        const std::string &Author, Callback Done) {
  auto Publication = std::make_shared<Attempt>();
  Publication->m_text = encodeDeclarations(Set);
  std::size_t Size = Publication->m_text.size();
  ConfigRoot &Root = Publication->m_root;
  Root.m_revision = Revision(Base.m_root.m_revision.value() + 1);
  Root.m_publication = randomUuid();
  Root.m_chunks =
      static_cast<std::uint32_t>((Size + MaxChunkBytes - 1) / MaxChunkBytes);
  Root.m_sha256 = sha256Hex(Publication->m_text);
  Root.m_author = Author;
  Publication->m_base = Base.m_rootVersion;
  Publication->m_done = std::move(Done);
  writeChunks(std::move(Publication));
}

void Publisher::writeChunks(std::shared_ptr<Attempt> Publication) {
  if (Publication->m_written == Publication->m_root.m_chunks)
    return switchRoot(std::move(Publication));
  std::uint32_t Chunk = Publication->m_written;
  StoreWrite Write;
  Write.m_key = chunkKey(Publication->m_root.m_publication, Chunk);
  Write.m_value =
      Publication->m_text.substr(Chunk * MaxChunkBytes, MaxChunkBytes);
  m_store.commit({{}, {Write}},
                 [this, Publication](const StoreReply<StoreCommit> &Reply) {
                   // No host reads a chunk before the root names it.
                   if (std::holds_alternative<StoreError>(Reply))
                     return Publication->m_done(PublishError::Unreachable);
                   ++Publication->m_written;
                   writeChunks(Publication);
                 });
}

void Publisher::switchRoot(std::shared_ptr<Attempt> Publication) {
  std::string Value = encodeRoot(Publication->m_root);
  StoreTransaction Change{
      {{ConfigRootKey, Publication->m_base}},
      {{ConfigRootKey, Value, false, {}},
       {historyKey(Publication->m_root.m_revision), Value, false, {}}}};
  m_store.commit(Change,
                 [this, Publication](const StoreReply<StoreCommit> &Reply) {
                   if (const auto *Error = std::get_if<StoreError>(&Reply)) {
                     if (*Error == StoreError::Unreachable)
                       return Publication->m_done(PublishError::Unreachable);
                     return settle(Publication, SettleTries);
                   }
                   if (std::get<StoreCommit>(Reply).m_applied)
                     return Publication->m_done(Publication->m_root.m_revision);
                   Publication->m_done(PublishError::Conflict);
                 });
}

void Publisher::settle(std::shared_ptr<Attempt> Publication, int TriesLeft) {
  if (TriesLeft == 0)
    return Publication->m_done(PublishError::Unsettled);
  // The history entry of the revision is written together with the root, and
  // stays when a later revision replaces the root.
  m_store.read(
      {historyKey(Publication->m_root.m_revision), false, {}},
      [this, Publication, TriesLeft](const StoreReply<StoreRange> &Reply) {
        const auto *Range = std::get_if<StoreRange>(&Reply);
        if (!Range)
          return settle(Publication, TriesLeft - 1);
        ConfigRoot Found;
        bool Ours = !Range->m_entries.empty() &&
                    decodeRoot(Range->m_entries.front().m_value, Found) &&
                    Found.m_publication == Publication->m_root.m_publication;
        if (Ours)
          return Publication->m_done(Publication->m_root.m_revision);
        if (!Range->m_entries.empty())
          return Publication->m_done(PublishError::Conflict);
        // A write that is still under way may yet take effect, so its absence
        // settles nothing.
        Publication->m_done(PublishError::Unsettled);
      });
}

} // namespace burdockpulley
