#include "bergamotpaddle/Gateway/PeerDigest.h"
#include "bergamotpaddle/Support/MessagePack.h"
#include "bergamotpaddle/Support/Text.h"

namespace bergamotpaddle {

namespace {

constexpr double kPercent = 100;

template<typename T>
msgpack::sbuffer
Pack(const T& aValue)
{
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, aValue);
  return buffer;
}

} // namespace

std::size_t
UpstreamDigest::EncodedSize() const
{
  return Pack(*this).size();
}

FeedStatus
PeerDigest::ToFeedStatus() const
{
  FeedStatus status;
  status.m_linkMbps = m_linkMbps;
  status.m_zone = m_zone;
  if (m_feedAgeMs >= 0) {
    status.m_age = std::chrono::milliseconds(m_feedAgeMs);
  }
  status.m_changedRevisions = m_feedChangedRevisions;
  return status;
}

void
PeerDigest::SetFeedStatus(const FeedStatus& aStatus)
{
  m_linkMbps = aStatus.m_linkMbps;
  m_zone = aStatus.m_zone;
  m_feedAgeMs =
    aStatus.m_age
      ? std::chrono::duration_cast<std::chrono::milliseconds>(*aStatus.m_age)
          .count()
      : -1;
  m_feedChangedRevisions = aStatus.m_changedRevisions;
}

std::string
PeerDigest::Encode() const
{
  const msgpack::sbuffer buffer = Pack(*this);
  return { buffer.data(), buffer.size() };
}

absl::StatusOr<PeerDigest>
PeerDigest::Decode(std::string_view aBytes)
{
  try {
    PeerDigest digest;
    UnpackMessage(aBytes).get().convert(digest);
    if (digest.m_version != kVersion) {
      return absl::UnimplementedError(
        Cat("peer digest: unsupported layout ", digest.m_version));
    }
    return digest;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("peer digest: ", error.what()));
  }
}

void
ApplyDigest(const PeerDigest& aDigest, UpstreamView& aView, Instant aNow)
{
  for (const UpstreamDigest& upstream : aDigest.m_upstreams) {
    const std::optional<UpstreamId> id =
      aView.FindByShortHash(upstream.m_upstream);
    if (!id) {
      continue; // Not listed in this view, or no longer.
    }
    aView.NotePeerLoad(aDigest.m_senderIncarnation,
                       *id,
                       { upstream.m_requests,
                         upstream.m_streams,
                         std::chrono::milliseconds(upstream.m_prefillLeftMs) },
                       aNow);
    if (upstream.m_slownessPercent > 0) {
      aView.NoteSlowness(*id,
                         upstream.m_slownessPercent / kPercent,
                         aNow -
                           std::chrono::milliseconds(upstream.m_slownessAgeMs));
    }
    aView.NotePeerParts(*id, upstream.m_newParts, aNow);
  }
  aView.NotePeerSpeeds(aDigest.m_senderIncarnation, aDigest.m_speeds);
}

} // namespace bergamotpaddle
