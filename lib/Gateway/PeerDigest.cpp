#include "bergamotpaddle/Gateway/PeerDigest.h"
#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

std::string
PeerDigest::Encode() const
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, *this);
  return { buffer.data(), buffer.size() };
}

absl::StatusOr<PeerDigest>
PeerDigest::Decode(std::string_view aBytes)
{
  try {
    PeerDigest digest;
    msgpack::unpack(aBytes.data(), aBytes.size()).get().convert(digest);
    return digest;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("peer digest: ", error.what()));
  }
}

void
ApplyDigest(const PeerDigest& aDigest, UpstreamView& aView, Instant aNow)
{
  for (const UpstreamDigest& upstream : aDigest.m_upstreams) {
    const UpstreamId id(upstream.m_upstream);
    aView.NotePeerLoad(aDigest.m_from,
                       id,
                       { upstream.m_requests,
                         upstream.m_streams,
                         Duration(upstream.m_prefillLeftUs) },
                       aNow);
    if (upstream.m_slowness > 0) {
      aView.NoteSlowness(
        id, upstream.m_slowness, aNow - Duration(upstream.m_slownessAgeUs));
    }
    aView.NotePeerParts(id, upstream.m_newParts, aNow);
  }
}

} // namespace bergamotpaddle
