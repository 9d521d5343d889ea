#include "bergamotpaddle/Budget/LedgerWriter.h"

namespace bergamotpaddle {

LedgerWriter::LedgerWriter(HolderId aHolder,
                           KeyValueHooks aKeyValue,
                           TimerHooks aTimers,
                           LedgerWriterHooks aHooks)
  : m_holder(std::move(aHolder))
  , m_keyValue(std::move(aKeyValue))
  , m_timers(std::move(aTimers))
  , m_hooks(std::move(aHooks))
{
}

void
LedgerWriter::Flush(DoneHook aDone)
{
  if (m_isSealed) {
    aDone(SealedStatus());
    return;
  }
  m_nextWriteHooks.push_back(std::move(aDone));
  if (!m_isBusy) {
    StartWrite();
  }
}

void
LedgerWriter::StartWrite()
{
  m_isBusy = true;
  m_currentWriteHooks.swap(m_nextWriteHooks);
  UpdateOptions options;
  options.m_maxUnavailableResults = 0; // No limit.
  Update(
    m_keyValue,
    m_timers,
    LedgerKey(m_holder),
    [this, alive = std::weak_ptr(m_alive)](
      const std::optional<std::string>& aPresent) {
      return alive.expired() ? TransformResult::Stop(SealedStatus())
                             : Transform(aPresent);
    },
    [this, alive = std::weak_ptr(m_alive)](
      const absl::StatusOr<KeyValueEntry>& aEntry) {
      if (!alive.expired()) {
        FinishWrite(aEntry);
      }
    },
    options);
}

TransformResult
LedgerWriter::Transform(const std::optional<std::string>& aPresent)
{
  // If the key is missing after it has existed, a recovery has removed it.
  if (!aPresent.has_value() && m_isCreated) {
    return TransformResult::Stop(SealedStatus());
  }
  if (aPresent.has_value()) {
    m_isCreated = true;
    const absl::StatusOr<LedgerValue> present =
      LedgerValue::FromJson(*aPresent);
    if (!present.ok() || present->m_isSealed) {
      return TransformResult::Stop(SealedStatus());
    }
  }
  m_written = m_hooks.m_snapshot();
  return TransformResult::Write(m_written.ToJson());
}

void
LedgerWriter::FinishWrite(const absl::StatusOr<KeyValueEntry>& aEntry)
{
  m_isBusy = false;
  std::vector<DoneHook> hooks;
  hooks.swap(m_currentWriteHooks);
  if (aEntry.ok()) {
    m_isCreated = true;
    m_hooks.m_durable(m_written);
  }
  if (!aEntry.ok() && !m_isSealed) {
    m_isSealed = true;
    hooks.insert(hooks.end(), m_nextWriteHooks.begin(), m_nextWriteHooks.end());
    m_nextWriteHooks.clear();
    m_hooks.m_sealed();
  }
  for (const DoneHook& done : hooks) {
    done(aEntry.status());
  }
  if (!m_isBusy && !m_nextWriteHooks.empty()) {
    StartWrite();
  }
}

} // namespace bergamotpaddle
