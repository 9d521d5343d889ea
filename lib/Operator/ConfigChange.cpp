#include "bergamotpaddle/Operator/ConfigChange.h"

#include "bergamotpaddle/Config/Configuration.h"

#include <absl/strings/str_cat.h>

namespace bergamotpaddle {

namespace {

using nlohmann::json;

/// Width of a version in its key, so that keys sort by version.
constexpr std::size_t kVersionDigits = 12;

/// One change under way; keeps itself alive through its callbacks.
class ChangeRun : public std::enable_shared_from_this<ChangeRun>
{
public:
  /// Makes the new content from the current document, or says why not.
  using Prepare = std::function<absl::StatusOr<json>(const ConfigDocument&)>;

  ChangeRun(const KeyValueHooks& aKeyValue,
            const TimerHooks& aTimers,
            ChangeOrigin aOrigin,
            Prepare aPrepare,
            ChangeDone aDone)
    : m_keyValue(aKeyValue)
    , m_timers(aTimers)
    , m_origin(std::move(aOrigin))
    , m_prepare(std::move(aPrepare))
    , m_done(std::move(aDone))
  {
  }

  void Read()
  {
    m_keyValue.m_get(
      kConfigKey,
      [self = shared_from_this()](absl::StatusOr<KeyValueEntry> aEntry) {
        if (!aEntry.ok()) {
          self->Unclear(aEntry.status());
          return;
        }
        self->Judge(*aEntry);
      });
  }

private:
  static constexpr int kMaxUnclear = 5;
  static constexpr Duration kPause = std::chrono::milliseconds(300);

  void Judge(const KeyValueEntry& aEntry)
  {
    ConfigDocument current;
    if (aEntry.m_revision != 0) {
      absl::StatusOr<ConfigDocument> parsed =
        ConfigDocument::FromJson(aEntry.m_value);
      if (!parsed.ok()) {
        m_done(parsed.status());
        return;
      }
      current = *parsed;
    }
    if (current.m_changeId == m_origin.m_changeId) {
      m_done(current);
      return;
    }
    if (m_triedVersion != 0 && current.m_version > m_triedVersion) {
      FindOursInHistory(current, aEntry);
      return;
    }
    Prepared(current, aEntry);
  }

  /// A write of ours had no answer and others have written since: whoever
  /// replaced version n put it under its version key first.
  void FindOursInHistory(const ConfigDocument& aCurrent,
                         const KeyValueEntry& aEntry)
  {
    m_keyValue.m_get(VersionKey(m_triedVersion),
                     [self = shared_from_this(), aCurrent, aEntry](
                       absl::StatusOr<KeyValueEntry> aOld) {
                       if (!aOld.ok()) {
                         self->Unclear(aOld.status());
                         return;
                       }
                       const absl::StatusOr<ConfigDocument> old =
                         ConfigDocument::FromJson(aOld->m_value);
                       if (old.ok() &&
                           old->m_changeId == self->m_origin.m_changeId) {
                         self->m_done(*old);
                         return;
                       }
                       self->m_triedVersion = 0;
                       self->Prepared(aCurrent, aEntry);
                     });
  }

  void Prepared(const ConfigDocument& aCurrent, const KeyValueEntry& aEntry)
  {
    absl::StatusOr<json> content = m_prepare(aCurrent);
    if (!content.ok()) {
      m_done(content.status());
      return;
    }
    ConfigDocument next;
    next.m_version = aCurrent.m_version + 1;
    next.m_changeId = m_origin.m_changeId;
    next.m_author = m_origin.m_author;
    next.m_timeMs = m_origin.m_timeMs;
    next.m_comment = m_origin.m_comment;
    next.m_content = std::move(*content);
    if (aCurrent.m_version == 0) {
      Write(next, aEntry.m_revision);
      return;
    }
    KeepOld(aCurrent, next, aEntry.m_revision);
  }

  void KeepOld(const ConfigDocument& aCurrent,
               const ConfigDocument& aNext,
               std::uint64_t aRevision)
  {
    m_keyValue.m_compareAndSwap(
      VersionKey(aCurrent.m_version),
      0,
      aCurrent.ToJson(),
      [self = shared_from_this(), aNext, aRevision](
        const absl::StatusOr<std::uint64_t>& aWritten) {
        // Aborted: it is kept already; a version's document never changes.
        if (!aWritten.ok() && !absl::IsAborted(aWritten.status())) {
          self->Unclear(aWritten.status());
          return;
        }
        self->Write(aNext, aRevision);
      });
  }

  void Write(const ConfigDocument& aNext, std::uint64_t aRevision)
  {
    m_triedVersion = aNext.m_version;
    m_keyValue.m_compareAndSwap(
      kConfigKey,
      aRevision,
      aNext.ToJson(),
      [self = shared_from_this(),
       aNext](const absl::StatusOr<std::uint64_t>& aWritten) {
        if (aWritten.ok()) {
          self->m_done(aNext);
          return;
        }
        if (absl::IsAborted(aWritten.status())) {
          self->Read();
          return;
        }
        self->Unclear(aWritten.status());
      });
  }

  void Unclear(const absl::Status& aStatus)
  {
    if (++m_unclear >= kMaxUnclear) {
      m_done(absl::UnavailableError(absl::StrCat(
        aStatus.message(),
        "; the change may or may not be in force: ask again with change id ",
        m_origin.m_changeId)));
      return;
    }
    m_timers.m_after(kPause, [self = shared_from_this()] { self->Read(); });
  }

  KeyValueHooks m_keyValue;
  TimerHooks m_timers;
  ChangeOrigin m_origin;
  Prepare m_prepare;
  ChangeDone m_done;
  std::uint64_t m_triedVersion = 0;
  int m_unclear = 0;
};

} // namespace

std::string
ConfigDocument::ToJson() const
{
  return json{
    { "version", m_version }, { "change_id", m_changeId },
    { "author", m_author },   { "time_ms", m_timeMs },
    { "comment", m_comment }, { "content", m_content }
  }.dump();
}

absl::StatusOr<ConfigDocument>
ConfigDocument::FromJson(const std::string& aText)
{
  try {
    const json value = json::parse(aText);
    ConfigDocument document;
    document.m_version = value.at("version").get<std::uint64_t>();
    document.m_changeId = value.at("change_id").get<std::string>();
    document.m_author = value.at("author").get<std::string>();
    document.m_timeMs = value.value("time_ms", std::uint64_t{ 0 });
    document.m_comment = value.value("comment", std::string());
    document.m_content = value.at("content");
    return document;
  } catch (const std::exception& error) {
    return absl::DataLossError(
      absl::StrCat("configuration document does not parse: ", error.what()));
  }
}

std::string
VersionKey(std::uint64_t aVersion)
{
  const std::string digits = std::to_string(aVersion);
  return "config/version/" +
         std::string(kVersionDigits - std::min(kVersionDigits, digits.size()),
                     '0') +
         digits;
}

void
ReplaceContent(const KeyValueHooks& aKeyValue,
               const TimerHooks& aTimers,
               std::uint64_t aExpectedVersion,
               json aContent,
               ChangeOrigin aOrigin,
               ChangeDone aDone)
{
  auto prepare = [aExpectedVersion, content = std::move(aContent)](
                   const ConfigDocument& aCurrent) -> absl::StatusOr<json> {
    if (aCurrent.m_version != aExpectedVersion) {
      return absl::AbortedError(
        absl::StrCat("version ",
                     aCurrent.m_version,
                     " by ",
                     aCurrent.m_author,
                     " (change ",
                     aCurrent.m_changeId,
                     ") came first; look at it and apply again"));
    }
    return content;
  };
  std::make_shared<ChangeRun>(aKeyValue,
                              aTimers,
                              std::move(aOrigin),
                              std::move(prepare),
                              std::move(aDone))
    ->Read();
}

void
EditContent(const KeyValueHooks& aKeyValue,
            const TimerHooks& aTimers,
            std::function<absl::Status(json&)> aEdit,
            ChangeOrigin aOrigin,
            ChangeDone aDone)
{
  auto prepare = [edit = std::move(aEdit)](
                   const ConfigDocument& aCurrent) -> absl::StatusOr<json> {
    if (aCurrent.m_version == 0) {
      return absl::FailedPreconditionError(
        "there is no configuration yet; apply one first");
    }
    json content = aCurrent.m_content;
    const absl::Status edited = edit(content);
    if (!edited.ok()) {
      return edited;
    }
    return content;
  };
  std::make_shared<ChangeRun>(aKeyValue,
                              aTimers,
                              std::move(aOrigin),
                              std::move(prepare),
                              std::move(aDone))
    ->Read();
}

} // namespace bergamotpaddle
