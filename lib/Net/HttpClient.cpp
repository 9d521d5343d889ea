#include "bergamotpaddle/Net/HttpClient.h"

#include "ResponseHeadCheck.h"

#include <atomic>
#include <curl/curl.h>
#include <map>
#include <mutex>
#include <thread>

namespace bergamotpaddle {

namespace {

constexpr int kPollMilliseconds = 1000;
constexpr long kMaxPersistentConnections = 64;
/// Limit for the heads and trailers of one call's responses.
constexpr std::size_t kMaxHeadBytes = 64UL << 10U;
/// Limit for all bodies and chunks that are received and not yet passed on.
constexpr std::size_t kMaxBufferedBytes = 64UL << 20U;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContent = 204;
constexpr int kFirstRedirection = 300;

/// A call with its libcurl handle; owned by the client's thread once started.
struct Transfer
{
  HttpCallId m_id = 0;
  HttpCall m_call;
  HttpClient::DoneHook m_onDone;
  HttpClient::ChunkHook m_onChunk;
  HttpClient::Executor* m_executor = nullptr;
  /// Bytes of all calls that are received and not yet passed on.
  std::shared_ptr<std::atomic<std::size_t>> m_bufferedBytes;
  CURL* m_easy = nullptr;
  curl_slist* m_headerList = nullptr;
  HttpReply m_reply;
  bool m_isHeadComplete = false;
  ResponseHeadCheck m_headCheck;
  bool m_isHeadInvalid = false; ///< Or a trailer.
  std::size_t m_headBytes = 0;  ///< Interim responses and trailers included.

  ~Transfer()
  {
    if (m_bufferedBytes) {
      *m_bufferedBytes -= m_reply.m_body.size();
    }
    curl_slist_free_all(m_headerList);
    if (m_easy != nullptr) {
      curl_easy_cleanup(m_easy);
    }
  }
};

long
StatusOf(CURL* aEasy)
{
  long status = 0;
  curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/// Whether the response is a success whose body is empty and ended with the
/// connection.
bool
IsBare(CURL* aEasy)
{
  const long status = StatusOf(aEasy);
  curl_off_t received = 0;
  curl_easy_getinfo(aEasy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  curl_off_t length = 0;
  curl_easy_getinfo(aEasy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  curl_header* ignored = nullptr;
  const bool hasTransferEncoding =
    curl_easy_header(
      aEasy, "Transfer-Encoding", 0, CURLH_HEADER, -1, &ignored) == CURLHE_OK;
  return status < kFirstRedirection && status != kNoContent && received == 0 &&
         length < 0 && !hasTransferEncoding;
}

/// Gets each line of a head, with its line end, once it is complete.
std::size_t
OnHeadLine(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  const std::string_view line(aData, aSize * aCount);
  transfer->m_headBytes += line.size();
  transfer->m_isHeadInvalid = !transfer->m_headCheck.Accept(line);
  if (transfer->m_headBytes > kMaxHeadBytes || transfer->m_isHeadInvalid) {
    return 0; // Fails the call.
  }
  // The empty line that ends an interim response is followed by another head.
  if ((line.starts_with('\r') || line.starts_with('\n')) &&
      StatusOf(transfer->m_easy) >= kFirstFinalStatus) {
    transfer->m_isHeadComplete = true;
  }
  return line.size();
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto* transfer = static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (*transfer->m_bufferedBytes + bytes > kMaxBufferedBytes) {
    return 0; // Fails the call.
  }
  try {
    if (transfer->m_onChunk && StatusOf(transfer->m_easy) == 200) {
      *transfer->m_bufferedBytes += bytes;
      (*transfer->m_executor)([hook = transfer->m_onChunk,
                               chunk = std::string(aData, bytes),
                               buffered = transfer->m_bufferedBytes] {
        *buffered -= chunk.size();
        hook(chunk);
      });
      return bytes;
    }
    if (transfer->m_reply.m_body.size() + bytes >
        transfer->m_call.m_maxBodyBytes) {
      return 0;
    }
    transfer->m_reply.m_body.append(aData, bytes);
    *transfer->m_bufferedBytes += bytes;
  } catch (const std::bad_alloc&) {
    return 0;
  }
  return bytes;
}

/// Returns the scheme, host and port of \p aUrl.
std::string
ServerOf(const std::string& aUrl)
{
  const std::string separator = "://";
  const std::size_t at = aUrl.find(separator);
  const std::size_t begin = at == std::string::npos ? 0 : at + separator.size();
  return aUrl.substr(0, aUrl.find('/', begin));
}

void
SetOptions(Transfer& aTransfer)
{
  CURL* easy = aTransfer.m_easy;
  const HttpCall& call = aTransfer.m_call;
  curl_easy_setopt(easy, CURLOPT_URL, call.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.m_method.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(call.m_connectTimeout.count()));
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.m_totalTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeadLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aTransfer);
  if (call.m_useNewConnection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (call.m_method != "GET") {
    curl_easy_setopt(
      easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.m_body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.m_body.c_str());
  }
  for (const auto& [name, value] : call.m_headers) {
    std::string line = name;
    line += ": ";
    line += value;
    aTransfer.m_headerList =
      curl_slist_append(aTransfer.m_headerList, line.c_str());
  }
  // Otherwise libcurl waits a second for "100 Continue" before it sends a large
  // body.
  aTransfer.m_headerList = curl_slist_append(aTransfer.m_headerList, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aTransfer.m_headerList);
}

} // namespace

class HttpClient::Impl
{
public:
  Impl(Executor aExecutor, TruncationHook aOnTruncatedHead)
    : m_executor(std::move(aExecutor))
    , m_onTruncatedHead(std::move(aOnTruncatedHead))
  {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kMaxPersistentConnections);
    m_thread = std::thread([this] { Run(); });
  }

  ~Impl()
  {
    m_isShuttingDown = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (auto& [easy, transfer] : m_transfers) {
      curl_multi_remove_handle(m_multi, easy);
    }
    m_transfers.clear();
    curl_multi_cleanup(m_multi);
  }

  HttpCallId Start(HttpCall aCall, DoneHook aOnDone, ChunkHook aOnChunk)
  {
    auto transfer = std::make_unique<Transfer>();
    transfer->m_id = ++m_lastId;
    transfer->m_call = std::move(aCall);
    transfer->m_onDone = std::move(aOnDone);
    transfer->m_onChunk = std::move(aOnChunk);
    transfer->m_executor = &m_executor;
    transfer->m_bufferedBytes = m_bufferedBytes;
    const HttpCallId id = transfer->m_id;
    {
      std::lock_guard lock(m_mutex);
      m_starting.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_multi);
    return id;
  }

  void Cancel(HttpCallId aId)
  {
    {
      std::lock_guard lock(m_mutex);
      m_cancelled.push_back(aId);
    }
    curl_multi_wakeup(m_multi);
  }

private:
  void Run()
  {
    while (!m_isShuttingDown) {
      ApplyQueuedCommands();
      int running = 0;
      curl_multi_perform(m_multi, &running);
      FinishTransfers();
      curl_multi_poll(m_multi, nullptr, 0, kPollMilliseconds, nullptr);
    }
  }

  void ApplyQueuedCommands()
  {
    std::vector<std::unique_ptr<Transfer>> starting;
    std::vector<HttpCallId> cancelled;
    {
      std::lock_guard lock(m_mutex);
      starting.swap(m_starting);
      cancelled.swap(m_cancelled);
    }
    for (auto& transfer : starting) {
      Begin(std::move(transfer));
    }
    for (HttpCallId id : cancelled) {
      CancelTransfer(id);
    }
  }

  void Begin(std::unique_ptr<Transfer> aTransfer)
  {
    aTransfer->m_easy = curl_easy_init();
    SetOptions(*aTransfer);
    CURL* easy = aTransfer->m_easy;
    m_byId[aTransfer->m_id] = easy;
    m_transfers[easy] = std::move(aTransfer);
    curl_multi_add_handle(m_multi, easy);
  }

  void CancelTransfer(HttpCallId aId)
  {
    auto found = m_byId.find(aId);
    if (found == m_byId.end()) {
      return;
    }
    Transfer& transfer = *m_transfers.at(found->second);
    transfer.m_reply.m_error = "cancelled";
    Finish(found->second);
  }

  void FinishTransfers()
  {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(m_multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      Transfer& transfer = *m_transfers.at(easy);
      if (code == CURLE_OK && transfer.m_isHeadComplete) {
        transfer.m_reply.m_status = static_cast<int>(StatusOf(easy));
        transfer.m_reply.m_isBare = IsBare(easy);
      } else if (code == CURLE_OK) {
        // libcurl takes the end of the connection as the end of the head.
        transfer.m_reply.m_error = "the connection closed within the head";
      } else {
        transfer.m_reply.m_error = transfer.m_isHeadInvalid
                                     ? "the head of the response is invalid"
                                     : curl_easy_strerror(code);
        transfer.m_reply.m_isUnsent =
          code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
      }
      if (code != CURLE_OPERATION_TIMEDOUT && !transfer.m_isHeadInvalid) {
        ReportTruncatedHead(transfer);
      }
      Finish(easy);
    }
  }

  void ReportTruncatedHead(const Transfer& aTransfer)
  {
    const auto status = static_cast<int>(StatusOf(aTransfer.m_easy));
    if (aTransfer.m_isHeadComplete || status == 0 || !m_onTruncatedHead) {
      return;
    }
    m_executor([hook = m_onTruncatedHead,
                head = TruncatedHead{ aTransfer.m_call.m_method,
                                      ServerOf(aTransfer.m_call.m_url),
                                      status }] { hook(head); });
  }

  void Finish(CURL* aEasy)
  {
    auto found = m_transfers.find(aEasy);
    curl_multi_remove_handle(m_multi, aEasy);
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_transfers.erase(found);
    m_byId.erase(transfer->m_id);
    *m_bufferedBytes -= transfer->m_reply.m_body.size();
    if (!transfer->m_reply.HasResponse()) {
      transfer->m_reply.m_body = {}; // Not a whole one.
    }
    m_executor([hook = std::move(transfer->m_onDone),
                reply = std::exchange(transfer->m_reply, {})] { hook(reply); });
  }

  Executor m_executor;
  TruncationHook m_onTruncatedHead;
  CURLM* m_multi = nullptr;
  std::thread m_thread;
  std::atomic<bool> m_isShuttingDown = false;
  std::atomic<HttpCallId> m_lastId = 0;
  std::shared_ptr<std::atomic<std::size_t>> m_bufferedBytes =
    std::make_shared<std::atomic<std::size_t>>(0);
  std::mutex m_mutex;
  std::vector<std::unique_ptr<Transfer>> m_starting;
  std::vector<HttpCallId> m_cancelled;
  // Used by the client's thread only.
  std::map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  std::map<HttpCallId, CURL*> m_byId;
};

HttpClient::HttpClient(Executor aExecutor, TruncationHook aOnTruncatedHead)
  : m_impl(
      std::make_unique<Impl>(std::move(aExecutor), std::move(aOnTruncatedHead)))
{
}

HttpClient::~HttpClient() = default;

HttpCallId
HttpClient::Start(HttpCall aCall, DoneHook aOnDone, ChunkHook aOnChunk)
{
  return m_impl->Start(
    std::move(aCall), std::move(aOnDone), std::move(aOnChunk));
}

void
HttpClient::Cancel(HttpCallId aId)
{
  m_impl->Cancel(aId);
}

} // namespace bergamotpaddle
