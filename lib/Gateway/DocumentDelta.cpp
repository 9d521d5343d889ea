#include "bergamotpaddle/Gateway/DocumentDelta.h"

#include "bergamotpaddle/Support/Hash.h"
#include "bergamotpaddle/Support/Text.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace bergamotpaddle {

namespace {

/// A run of the base, then new text.
struct DeltaStep
{
  std::uint64_t m_offset = 0; ///< In the base.
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

/// A document is a list of entries in text: each ends with this.
constexpr char kEntryEnd = '}';

/// Splits \p aText after each entry.
std::vector<std::string_view>
Entries(std::string_view aText)
{
  std::vector<std::string_view> entries;
  while (!aText.empty()) {
    const std::size_t end = aText.find(kEntryEnd);
    const std::size_t length =
      end == std::string_view::npos ? aText.size() : end + 1;
    entries.push_back(aText.substr(0, length));
    aText.remove_prefix(length);
  }
  return entries;
}

/// Builds the steps: neighbouring runs and texts become one.
class StepWriter
{
public:
  explicit StepWriter(std::string_view aBase)
    : m_base(aBase)
  {
  }

  /// \p aRun lies in the base.
  void Copy(std::string_view aRun)
  {
    const auto offset = static_cast<std::uint64_t>(aRun.data() - m_base.data());
    const bool isNext =
      !m_steps.empty() && m_steps.back().m_text.empty() &&
      m_steps.back().m_offset + m_steps.back().m_length == offset;
    if (isNext) {
      m_steps.back().m_length += aRun.size();
    } else if (!aRun.empty()) {
      m_steps.push_back({ offset, aRun.size(), {} });
    }
  }

  void Insert(std::string_view aText)
  {
    if (m_steps.empty()) {
      m_steps.push_back({});
    }
    m_steps.back().m_text.append(aText);
  }

  std::vector<DeltaStep> Take() { return std::move(m_steps); }

private:
  std::string_view m_base;
  std::vector<DeltaStep> m_steps;
};

} // namespace

std::string
MakeDelta(std::string_view aBase, std::string_view aTarget)
{
  // What both begin and end with needs no look-up.
  const std::size_t shorter = std::min(aBase.size(), aTarget.size());
  const auto head = static_cast<std::size_t>(
    std::mismatch(aBase.begin(), aBase.begin() + shorter, aTarget.begin())
      .first -
    aBase.begin());
  const auto left = static_cast<std::ptrdiff_t>(shorter - head);
  const auto tail = static_cast<std::size_t>(
    std::mismatch(aBase.rbegin(), aBase.rbegin() + left, aTarget.rbegin())
      .first -
    aBase.rbegin());
  const std::string_view base = aBase.substr(head, aBase.size() - head - tail);
  const std::string_view target =
    aTarget.substr(head, aTarget.size() - head - tail);

  absl::flat_hash_map<std::string_view, std::size_t> places;
  const std::vector<std::string_view> entries = Entries(base);
  for (std::size_t i = entries.size(); i-- > 0;) {
    places[entries[i]] = i;
  }
  StepWriter steps(aBase);
  steps.Copy(aBase.substr(0, head));
  std::size_t expected = entries.size();
  for (const std::string_view entry : Entries(target)) {
    // The entry after the last one that matched, before any other like it.
    if (expected >= entries.size() || entries[expected] != entry) {
      const auto place = places.find(entry);
      expected = place == places.end() ? entries.size() : place->second;
    }
    if (expected < entries.size()) {
      steps.Copy(entries[expected++]);
    } else {
      steps.Insert(entry);
    }
  }
  steps.Copy(aBase.substr(aBase.size() - tail));
  const Delta delta{
    PlacementHash(aBase), PlacementHash(aTarget), aTarget.size(), steps.Take()
  };
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, delta);
  return { buffer.data(), buffer.size() };
}

absl::StatusOr<std::string>
ApplyDelta(std::string_view aBase, std::string_view aDelta)
{
  Delta delta;
  try {
    msgpack::unpack(aDelta.data(), aDelta.size()).get().convert(delta);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(Cat("delta: ", error.what()));
  }
  if (delta.m_baseHash != PlacementHash(aBase)) {
    return absl::InvalidArgumentError("delta: made from another document");
  }
  std::string target;
  for (const DeltaStep& step : delta.m_steps) {
    const bool isInside = step.m_offset <= aBase.size() &&
                          step.m_length <= aBase.size() - step.m_offset;
    if (!isInside || target.size() + step.m_length + step.m_text.size() >
                       delta.m_targetSize) {
      return absl::InvalidArgumentError("delta: a run is out of bounds");
    }
    target.append(aBase.substr(step.m_offset, step.m_length));
    target.append(step.m_text);
  }
  if (PlacementHash(target) != delta.m_targetHash) {
    return absl::InvalidArgumentError("delta: the result is not its target");
  }
  return target;
}

} // namespace bergamotpaddle
