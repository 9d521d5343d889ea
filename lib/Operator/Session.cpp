#include "bergamotpaddle/Operator/Session.h"

namespace bergamotpaddle {

namespace {

constexpr std::chrono::milliseconds kQueryTimeout{ 2000 };

} // namespace

Session::Session(OperatorSettings aSettings)
  : m_settings(std::move(aSettings))
{
}

KeyValueEntry
Session::Get(const std::string& aKey, absl::Status& aStatus)
{
  using Result = absl::StatusOr<KeyValueEntry>;
  const Result entry = Await<Result>([&](std::function<void(Result)> aDone) {
    m_keyValue.m_get(aKey, std::move(aDone));
  });
  aStatus = entry.status();
  return entry.ok() ? *entry : KeyValueEntry{};
}

std::map<std::string, KeyValueEntry>
Session::List(const std::string& aPrefix, absl::Status& aStatus)
{
  using Result = absl::StatusOr<std::map<std::string, KeyValueEntry>>;
  const Result entries = Await<Result>([&](std::function<void(Result)> aDone) {
    m_keyValue.m_list(aPrefix, std::move(aDone));
  });
  aStatus = entries.status();
  return entries.ok() ? *entries : std::map<std::string, KeyValueEntry>{};
}

std::vector<nlohmann::json>
Session::QueryAll(const std::string& aPath)
{
  using Result = std::vector<nlohmann::json>;
  if (m_settings.m_processes.empty()) {
    return {};
  }
  auto responses = std::make_shared<Result>(m_settings.m_processes.size());
  auto pending = std::make_shared<std::size_t>(m_settings.m_processes.size());
  return Await<Result>([&](const std::function<void(Result)>& aDone) {
    for (std::size_t i = 0; i < m_settings.m_processes.size(); ++i) {
      HttpCall call;
      call.m_url = m_settings.m_processes[i] + aPath;
      call.m_headers = { { "Authorization", "Bearer " + m_settings.m_secret } };
      call.m_totalTimeout = kQueryTimeout;
      m_client->Start(std::move(call),
                      [responses, pending, i, aDone](const HttpReply& aReply) {
                        if (aReply.m_status == 200) {
                          (*responses)[i] = nlohmann::json::parse(
                            aReply.m_body, nullptr, false);
                        }
                        if (--*pending == 0) {
                          aDone(*responses);
                        }
                      });
    }
  });
}

} // namespace bergamotpaddle
