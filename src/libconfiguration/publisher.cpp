#include "burdockpulley/configuration.h"
#include "burdockpulley/hashing.h"

namespace burdockpulley {

namespace {

constexpr std::size_t MaxChunkBytes = 512 * 1024;
constexpr int SettleTries = 20;
constexpr Duration SettlePause{500'000};

} // namespace

struct Publisher::Attempt {
  ConfigRoot m_root;
  StoreVersion m_base;
  StoreVersion m_firstChunk; ///< Version of the write of the first chunk.
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
  m_store.commit(
      {{}, {Write}}, [this, Publication](const StoreReply<StoreCommit> &Reply) {
        // No host reads a chunk before the root names it.
        if (std::holds_alternative<StoreError>(Reply))
          return Publication->m_done(PublishError::Unreachable);
        if (Publication->m_written == 0)
          Publication->m_firstChunk = std::get<StoreCommit>(Reply).m_version;
        ++Publication->m_written;
        writeChunks(Publication);
      });
}

void Publisher::switchRoot(std::shared_ptr<Attempt> Publication) {
  std::string Value = encodeRoot(Publication->m_root);
  StoreTransaction Change{
      {{ConfigRootKey, Publication->m_base},
       {chunkKey(Publication->m_root.m_publication, 0),
        Publication->m_firstChunk}},
      {{ConfigRootKey, Value, false, {}},
       {historyKey(Publication->m_root.m_revision), Value, false, {}}}};
  m_store.commit(Change, [this,
                          Publication](const StoreReply<StoreCommit> &Reply) {
    if (const auto *Error = std::get_if<StoreError>(&Reply)) {
      if (*Error == StoreError::Unreachable || *Error == StoreError::Refused)
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
  StoreTransaction Fence{{{ConfigRootKey, Publication->m_base}}, {}};
  for (std::uint32_t I = 0; I < Publication->m_root.m_chunks; ++I)
    Fence.m_writes.push_back(
        {chunkKey(Publication->m_root.m_publication, I), "", true, {}});
  m_store.commit(Fence, [this, Publication,
                         TriesLeft](const StoreReply<StoreCommit> &Reply) {
    const auto *Commit = std::get_if<StoreCommit>(&Reply);
    if (!Commit)
      return repeat(Publication, TriesLeft);
    if (Commit->m_applied)
      return Publication->m_done(PublishError::Unreachable);
    readOutcome(Publication, TriesLeft);
  });
}

void Publisher::readOutcome(std::shared_ptr<Attempt> Publication,
                            int TriesLeft) {
  // The history entry of a revision is written together with the root, and
  // stays when a later revision replaces the root.
  m_store.read(
      {historyKey(Publication->m_root.m_revision), false, {}},
      [this, Publication, TriesLeft](const StoreReply<StoreRange> &Reply) {
        const auto *Range = std::get_if<StoreRange>(&Reply);
        if (!Range)
          return repeat(Publication, TriesLeft);
        ConfigRoot Found;
        bool Ours = !Range->m_entries.empty() &&
                    decodeRoot(Range->m_entries.front().m_value, Found) &&
                    Found.m_publication == Publication->m_root.m_publication;
        if (Ours)
          return Publication->m_done(Publication->m_root.m_revision);
        Publication->m_done(PublishError::Conflict);
      });
}

void Publisher::repeat(std::shared_ptr<Attempt> Publication, int TriesLeft) {
  auto Again = [this, Publication, TriesLeft] {
    settle(Publication, TriesLeft - 1);
  };
  if (m_later)
    return m_later(SettlePause, Again);
  Again();
}

} // namespace burdockpulley
