#ifndef BURDOCKPULLEY_LIBHTTP_OWNED_BLOCK_H
#define BURDOCKPULLEY_LIBHTTP_OWNED_BLOCK_H

#include "burdockpulley/memory_budget.h"

#include <memory>
#include <string>

struct bufferevent;

namespace burdockpulley::detail {

/// Writes bytes without copying them. They and their charge are released once
/// the kernel has taken them, or by discardOutput().
/// Thread safety: none; use it on the event loop's thread only.
void writeOwned(bufferevent *Stream, std::string &&Bytes,
                MemoryCharge &&Charge);

/// Writes bytes without copying them; releases \p Bytes like writeOwned().
/// Thread safety: none; use it on the event loop's thread only.
void writeShared(bufferevent *Stream, std::shared_ptr<const std::string> Bytes);

/// Discards all bytes that the kernel has not taken. Call it before a stream is
/// freed: libevent frees it later, when the budget of the charges may be gone.
/// Thread safety: none; use it on the event loop's thread only.
void discardOutput(bufferevent *Stream);

} // namespace burdockpulley::detail

#endif
