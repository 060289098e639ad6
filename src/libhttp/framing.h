#ifndef BURDOCKPULLEY_LIBHTTP_FRAMING_H
#define BURDOCKPULLEY_LIBHTTP_FRAMING_H

namespace burdockpulley::detail {

/// Returns true if a response is followed by the final one.
constexpr bool isInterim(int Status) { return Status >= 100 && Status < 200; }

/// Returns true if a response ends with its head, whatever its headers say.
/// \p ToHead is true for the response to a HEAD request.
constexpr bool endsWithHead(int Status, bool ToHead) {
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  return ToHead || isInterim(Status) || Status == NoContent ||
         Status == NotModified;
}

} // namespace burdockpulley::detail

#endif
