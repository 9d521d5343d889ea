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
  m_waiting.push_back(std::move(aDone));
  if (!m_isBusy) {
    Start();
  }
}

void
LedgerWriter::Start()
{
  m_isBusy = true;
  m_started.swap(m_waiting);
  UpdateOptions options;
  options.m_maxUnavailableResults = 0;
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
        Finish(aEntry);
      }
    },
    options);
}

TransformResult
LedgerWriter::Transform(const std::optional<std::string>& aPresent)
{
  if (!aPresent.has_value() && m_isCreated) {
    return TransformResult::Stop(SealedStatus());
  }
  if (aPresent.has_value()) {
    // If the key is missing after it has existed, a recovery has removed it.
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
LedgerWriter::Finish(const absl::StatusOr<KeyValueEntry>& aEntry)
{
  m_isBusy = false;
  std::vector<DoneHook> started;
  started.swap(m_started);
  if (aEntry.ok()) {
    m_isCreated = true;
    m_hooks.m_durable(m_written);
  }
  if (!aEntry.ok() && !m_isSealed) {
    m_isSealed = true;
    started.insert(started.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
    m_hooks.m_sealed();
  }
  for (const DoneHook& done : started) {
    done(aEntry.status());
  }
  if (!m_isBusy && !m_waiting.empty()) {
    Start();
  }
}

} // namespace bergamotpaddle
