/// \file
/// Client of the key-value service: HTTP with JSON bodies, as specified in
/// docs/PLATFORM.md.
#pragma once

#include "bergamotpaddle/Net/HttpClient.h"
#include "bergamotpaddle/Platform/KeyValue.h"

namespace bergamotpaddle {

/// Numbers of calls to the service, for /metrics.
struct KeyValueCallCounts
{
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_watches = 0;
  /// Calls without a valid response or with a status other than 200 and 409.
  std::uint64_t m_unavailable = 0;
};

/// Returns hooks that call the service at \p aBaseUrl, for example
/// "http://127.0.0.1:7000". \p aClient and \p aCounts must outlive the hooks.
KeyValueHooks
MakeHttpKeyValue(HttpClient& aClient,
                 const std::string& aBaseUrl,
                 KeyValueCallCounts& aCounts);

} // namespace bergamotpaddle
