#ifndef BURDOCKPULLEY_LIBHOST_MEMBER_CODEC_H
#define BURDOCKPULLEY_LIBHOST_MEMBER_CODEC_H

#include "burdockpulley/membership.h"

namespace burdockpulley {

namespace wire {
class MemberMessage;
} // namespace wire

/// Turns a message of the failure detector into its form between hosts.
/// Thread safety: safe.
wire::MemberMessage toWire(const MemberMessage &Message);

/// Reads that form; false when it is not a valid message.
/// Thread safety: safe.
bool fromWire(const wire::MemberMessage &Wire, MemberMessage &Message);

} // namespace burdockpulley

#endif
