#ifndef BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_NOTICE_H
#define BURDOCKPULLEY_LIBGATEWAY_UPSTREAM_NOTICE_H

#include "burdockpulley/platform_codec.h"

namespace burdockpulley {

/// Applies what an upstream says of itself in a response to this host: that it
/// leaves, or that this host shall send it no requests for a while. Changes are
/// logged. \p RequestId is that of the request, or empty.
/// Precondition: the response comes from \p Upstream and no other one.
/// Thread safety: none.
void applyNotice(UpstreamState &Upstream, const UpstreamNotice &Notice,
                 const std::string &RequestId, Instant Now);

/// Applies that another host has been told by an upstream that it leaves. This
/// host counts its time from now, because it has used the upstream until now.
/// Thread safety: none.
void applyLeavingOfPeer(UpstreamState &Upstream, const HostId &Host,
                        Instant Now);

/// True if a host has to tell the others that an upstream leaves: the upstream
/// has said so to this host, and its record does not show it.
/// Thread safety: safe.
bool announcesLeaving(const UpstreamState &Upstream);

} // namespace burdockpulley

#endif
