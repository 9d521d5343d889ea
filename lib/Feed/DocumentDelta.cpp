#include "bergamotpaddle/Feed/DocumentDelta.h"

#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Support/MessagePack.h"
#include "bergamotpaddle/Support/Text.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace bergamotpaddle {

namespace {

/// A step of a delta: copies a range of the base, then inserts text.
struct DeltaStep
{
  std::uint64_t m_offset = 0; ///< Offset in the base.
  std::uint64_t m_length = 0;
  std::string m_text;
  MSGPACK_DEFINE(m_offset, m_length, m_text)
};

struct Delta
{
  std::uint64_t m_baseHash = 0;
  std::uint64_t m_targetHash = 0;
  std::uint64_t m_targetSize = 0;
  std::vector<DeltaStep> m_steps;
  MSGPACK_DEFINE(m_baseHash, m_targetHash, m_targetSize, m_steps)
};

/// Ends each entry of a document.
constexpr char kEntryTerminator = '}';

/// Splits \p aText after each entry terminator.
std::vector<std::string_view>
Entries(std::string_view aText)
{
  std::vector<std::string_view> entries;
  while (!aText.empty()) {
    const std::size_t end = aText.find(kEntryTerminator);
    const std::size_t length =
      end == std::string_view::npos ? aText.size() : end + 1;
    entries.push_back(aText.substr(0, length));
    aText.remove_prefix(length);
  }
  return entries;
}

/// Builds the steps of a delta; merges adjacent ranges and adjacent insertions.
class StepWriter
{
public:
  explicit StepWriter(std::string_view aBase)
    : m_base(aBase)
  {
  }

  /// Copies \p aRange, which points into the base.
  void Copy(std::string_view aRange)
  {
    const auto offset =
      static_cast<std::uint64_t>(aRange.data() - m_base.data());
    const bool isAdjacent =
      !m_steps.empty() && m_steps.back().m_text.empty() &&
      m_steps.back().m_offset + m_steps.back().m_length == offset;
    if (isAdjacent) {
      m_steps.back().m_length += aRange.size();
    } else if (!aRange.empty()) {
      m_steps.push_back({ offset, aRange.size(), {} });
    }
  }

  void Insert(std::string_view aText)
  {
    if (m_steps.empty()) {
      m_steps.push_back({});
    }
    m_steps.back().m_text.append(aText);
  }

  /// Returns the steps. The writer can't be used any more.
  std::vector<DeltaStep> Finish() { return std::move(m_steps); }

private:
  std::string_view m_base;
  std::vector<DeltaStep> m_steps;
};

} // namespace

std::string
MakeDelta(std::string_view aBase, std::string_view aTarget)
{
  // Match the common prefix and suffix directly, without a lookup of entries.
  const std::size_t minSize = std::min(aBase.size(), aTarget.size());
  const auto prefix = static_cast<std::size_t>(
    std::mismatch(aBase.begin(), aBase.begin() + minSize, aTarget.begin())
      .first -
    aBase.begin());
  const auto maxSuffix = static_cast<std::ptrdiff_t>(minSize - prefix);
  const auto suffix = static_cast<std::size_t>(
    std::mismatch(aBase.rbegin(), aBase.rbegin() + maxSuffix, aTarget.rbegin())
      .first -
    aBase.rbegin());
  const std::string_view base =
    aBase.substr(prefix, aBase.size() - prefix - suffix);
  const std::string_view target =
    aTarget.substr(prefix, aTarget.size() - prefix - suffix);

  absl::flat_hash_map<std::string_view, std::size_t> entryIndices;
  const std::vector<std::string_view> entries = Entries(base);
  for (std::size_t i = entries.size(); i-- > 0;) {
    entryIndices[entries[i]] = i;
  }
  StepWriter steps(aBase);
  steps.Copy(aBase.substr(0, prefix));
  std::size_t next = entries.size();
  for (const std::string_view entry : Entries(target)) {
    // Prefer the entry that follows the last match to other equal entries, so
    // that adjacent ranges merge.
    if (next >= entries.size() || entries[next] != entry) {
      const auto found = entryIndices.find(entry);
      next = found == entryIndices.end() ? entries.size() : found->second;
    }
    if (next < entries.size()) {
      steps.Copy(entries[next++]);
    } else {
      steps.Insert(entry);
    }
  }
  steps.Copy(aBase.substr(aBase.size() - suffix));
  const Delta delta{
    PlacementHash(aBase), PlacementHash(aTarget), aTarget.size(), steps.Finish()
  };
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, delta);
  return { buffer.data(), buffer.size() };
}

absl::StatusOr<std::string>
ApplyDelta(std::string_view aBase,
           std::string_view aDelta,
           std::uint64_t aMaxBytes)
{
  Delta delta;
  try {
    UnpackMessage(aDelta).get().convert(delta);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("delta: ", error.what()));
  }
  if (delta.m_targetSize > aMaxBytes) {
    return absl::InvalidArgumentError("delta: the target is too long");
  }
  if (delta.m_baseHash != PlacementHash(aBase)) {
    return absl::InvalidArgumentError("delta: base document does not match");
  }
  std::string target;
  for (const DeltaStep& step : delta.m_steps) {
    const bool isInside = step.m_offset <= aBase.size() &&
                          step.m_length <= aBase.size() - step.m_offset;
    if (!isInside || target.size() + step.m_length + step.m_text.size() >
                       delta.m_targetSize) {
      return absl::InvalidArgumentError(
        "delta: step exceeds the base or the target size");
    }
    target.append(aBase.substr(step.m_offset, step.m_length));
    target.append(step.m_text);
  }
  if (PlacementHash(target) != delta.m_targetHash) {
    return absl::InvalidArgumentError(
      "delta: result does not match the target hash");
  }
  return target;
}

} // namespace bergamotpaddle
