#ifndef BURDOCKPULLEY_CONFIGURATION_H
#define BURDOCKPULLEY_CONFIGURATION_H

#include "burdockpulley/declarations.h"
#include "burdockpulley/store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace burdockpulley {

/// Keys in the store. Everything that hosts follow stands under LivePrefix, so
/// that one read since a version brings all that has changed.
constexpr const char *LivePrefix = "/burdockpulley/live/";
constexpr const char *ConfigRootKey = "/burdockpulley/live/config";
constexpr const char *OwnershipPrefix = "/burdockpulley/live/ownership/";
constexpr const char *ArchivePrefix = "/burdockpulley/archive/";
constexpr const char *HistoryPrefix = "/burdockpulley/history/";

/// What the root key of the configuration holds: which publication is in
/// force. The set itself stands in chunks of its own, written before the root.
struct ConfigRoot {
  Revision m_revision;
  std::string m_publication; ///< Unique id that the publisher made.
  std::uint32_t m_chunks = 0;
  std::string m_sha256; ///< Of the whole set in canonical form.
  std::string m_author;
};

/// Writes a root as its store value. Thread safety: safe.
std::string encodeRoot(const ConfigRoot &Root);
/// Reads a root; false when the text is not one. Thread safety: safe.
bool decodeRoot(std::string_view Text, ConfigRoot &Root);

/// Key of one chunk of a publication. Thread safety: safe.
std::string chunkKey(const std::string &Publication, std::uint32_t Chunk);

/// Key of one revision in the history. Thread safety: safe.
std::string historyKey(Revision Number);

/// A published set with its revision. It never changes.
struct PublishedSet {
  ConfigRoot m_root;
  StoreVersion m_rootVersion;
  Declarations m_declarations;
  std::string m_text; ///< Canonical form.
};

/// Puts a set together from its root and its text. StoreError::BadAnswer when
/// they do not belong together or the set is not valid.
/// Thread safety: safe.
std::variant<std::shared_ptr<const PublishedSet>, StoreError>
assembleSet(const ConfigRoot &Root, StoreVersion RootVersion, std::string Text);

/// Why a set was not published.
enum class PublishError {
  Conflict,    ///< Someone else published meanwhile; nothing was changed.
  Unreachable, ///< The store did not take it; nothing was changed, nor will be.
  Unsettled,   ///< The outcome could not be read back; look before retrying.
};

/// Reads the published set from the store.
///
/// Thread safety: none; it belongs to the loop's thread.
class SetReader {
public:
  using Result = std::variant<std::shared_ptr<const PublishedSet>, StoreError>;
  using Callback = std::function<void(const Result &)>;
  using HistoryResult = std::variant<std::vector<ConfigRoot>, StoreError>;
  using HistoryCallback = std::function<void(const HistoryResult &)>;

  /// Precondition: \p Source outlives the reader and its calls.
  explicit SetReader(Store &Source) : m_store(Source) {}

  /// Reads the set that is in force. A store without one gives revision 0
  /// with an empty set.
  void readCurrent(Callback Done);

  /// Reads the set of a root that has been read before.
  void readSet(const ConfigRoot &Root, StoreVersion RootVersion, Callback Done);

  /// Reads the roots of all revisions that have been in force, oldest first.
  void readHistory(HistoryCallback Done);

  /// Reads the set of a revision that was in force once; null when there was
  /// none of that number.
  void readRevision(Revision Number, Callback Done);

private:
  Store &m_store;
};

/// Publishes a set by one compare-and-swap of the root.
///
/// Thread safety: none; it belongs to the loop's thread.
class Publisher {
public:
  using Result = std::variant<Revision, PublishError>;
  using Callback = std::function<void(const Result &)>;

  /// Runs a function after a time, on the loop's thread.
  using Delay = std::function<void(Duration, std::function<void()>)>;

  /// Without a \p Later, calls that failed are repeated at once.
  /// Precondition: \p Target outlives the publisher and its calls.
  explicit Publisher(Store &Target, Delay Later = {})
      : m_store(Target), m_later(std::move(Later)) {}

  /// Publishes \p Set as the revision after \p Base. The chunks are written
  /// first; the root is switched only if it is still at \p Base and the first
  /// chunk still stands. When the answer of the switch is lost, the chunks are
  /// deleted on condition that the root is still at \p Base: if that applies,
  /// the switch can not take effect any more; if not, the history says whose
  /// revision it was.
  void publish(const Declarations &Set, const PublishedSet &Base,
               const std::string &Author, Callback Done);

private:
  struct Attempt;
  void writeChunks(std::shared_ptr<Attempt> Publication);
  void switchRoot(std::shared_ptr<Attempt> Publication);
  void settle(std::shared_ptr<Attempt> Publication, int TriesLeft);
  void readOutcome(std::shared_ptr<Attempt> Publication, int TriesLeft);
  void repeat(std::shared_ptr<Attempt> Publication, int TriesLeft);

  Store &m_store;
  Delay m_later;
};

} // namespace burdockpulley

#endif
