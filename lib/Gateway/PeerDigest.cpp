#include "bergamotpaddle/Gateway/PeerDigest.h"
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
  FeedStatus sign;
  sign.m_linkMbps = m_linkMbps;
  sign.m_zone = m_zone;
  if (m_feedAgeMs >= 0) {
    sign.m_age = std::chrono::milliseconds(m_feedAgeMs);
  }
  sign.m_changedRevisions = m_feedsChanged;
  return sign;
}

void
PeerDigest::SetFeedStatus(const FeedStatus& aSign)
{
  m_linkMbps = aSign.m_linkMbps;
  m_zone = aSign.m_zone;
  m_feedAgeMs =
    aSign.m_age
      ? std::chrono::duration_cast<std::chrono::milliseconds>(*aSign.m_age)
          .count()
      : -1;
  m_feedsChanged = aSign.m_changedRevisions;
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
    msgpack::unpack(aBytes.data(), aBytes.size()).get().convert(digest);
    if (digest.m_version != kVersion) {
      return absl::UnimplementedError(
        Cat("peer digest: layout ", digest.m_version));
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
      continue; // Not in our list yet, or any more.
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
}

} // namespace bergamotpaddle
