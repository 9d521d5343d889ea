#include "FrameConnection.h"

#include "bergamotpaddle/Support/Hash.h"

#include <cassert>

namespace bergamotpaddle {

namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxFrameBytes = 16U << 20U;
constexpr std::size_t kMaxPendingBytes = 32U << 20U;
constexpr nng_duration kDialTimeoutMilliseconds = 1000;

void
AppendBigEndian(std::string& aText, std::uint64_t aValue, std::size_t aBytes)
{
  for (std::size_t i = aBytes; i-- > 0;) {
    aText.push_back(static_cast<char>((aValue >> (8U * i)) & 0xFFU));
  }
}

std::size_t
ReadLength(std::string_view aText)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aText[i]);
  }
  return length;
}

} // namespace

FrameConnection::FrameConnection(std::string aSecret,
                                 FrameConnectionHooks aHooks)
  : m_secret(std::move(aSecret))
  , m_hooks(std::move(aHooks))
  , m_localNonce(RandomHex(kNonceBytes / 2))
{
  nng_aio_alloc(&m_dialAio, &FrameConnection::OnDialled, this);
  nng_aio_alloc(&m_receiveAio, &FrameConnection::OnReceived, this);
  nng_aio_alloc(&m_sendAio, &FrameConnection::OnSent, this);
  nng_aio_set_timeout(m_dialAio, kDialTimeoutMilliseconds);
  nng_aio_set_timeout(m_receiveAio, NNG_DURATION_INFINITE);
  nng_aio_set_timeout(m_sendAio, NNG_DURATION_INFINITE);
}

FrameConnection::~FrameConnection()
{
  {
    std::lock_guard lock(m_mutex);
    m_isClosed = true;
    if (m_stream != nullptr) {
      nng_stream_close(m_stream);
    }
  }
  for (nng_aio* aio : { m_dialAio, m_receiveAio, m_sendAio }) {
    nng_aio_stop(aio);
    nng_aio_free(aio);
  }
  if (m_stream != nullptr) {
    nng_stream_free(m_stream);
  }
  if (m_dialer != nullptr) {
    nng_stream_dialer_free(m_dialer);
  }
}

void
FrameConnection::Dial(const std::string& aUrl)
{
  m_isDialer = true;
  if (nng_stream_dialer_alloc(&m_dialer, aUrl.c_str()) != 0) {
    Fail();
    return;
  }
  nng_stream_dialer_dial(m_dialer, m_dialAio);
}

void
FrameConnection::Accept(nng_stream* aStream)
{
  Begin(aStream);
}

void
FrameConnection::OnDialled(void* aSelf)
{
  auto* self = static_cast<FrameConnection*>(aSelf);
  if (nng_aio_result(self->m_dialAio) != 0) {
    self->Fail();
    return;
  }
  self->Begin(static_cast<nng_stream*>(nng_aio_get_output(self->m_dialAio, 0)));
}

void
FrameConnection::Begin(nng_stream* aStream)
{
  std::lock_guard lock(m_mutex);
  m_stream = aStream;
  if (m_isClosed) {
    nng_stream_close(m_stream);
    return;
  }
  nng_stream_set_bool(m_stream, NNG_OPT_TCP_NODELAY, true);
  m_pending.append(m_localNonce);
  StartSend();
  StartReceive();
}

void
FrameConnection::StartReceive()
{
  nng_iov buffer{ m_receiveBuffer.data(), m_receiveBuffer.size() };
  nng_aio_set_iov(m_receiveAio, 1, &buffer);
  nng_stream_recv(m_stream, m_receiveAio);
}

void
FrameConnection::OnReceived(void* aSelf)
{
  auto* self = static_cast<FrameConnection*>(aSelf);
  const std::size_t count = nng_aio_count(self->m_receiveAio);
  if (nng_aio_result(self->m_receiveAio) != 0 || count == 0) {
    self->Fail();
    return;
  }
  *self->m_hooks.m_bytesReceived += count;
  self->m_unparsed.append(self->m_receiveBuffer.data(), count);
  if (!self->ParseReceived()) {
    self->Fail();
    return;
  }
  self->StartReceive();
}

bool
FrameConnection::ParseReceived()
{
  if (m_sessionKey.empty() && !ParseNonce()) {
    return true;
  }
  bool parsed = true;
  while (parsed) {
    if (!ParseFrame(parsed)) {
      return false;
    }
  }
  return true;
}

bool
FrameConnection::ParseNonce()
{
  if (m_unparsed.size() < kNonceBytes) {
    return false;
  }
  const std::string peerNonce = m_unparsed.substr(0, kNonceBytes);
  m_unparsed.erase(0, kNonceBytes);
  const std::string nonces =
    m_isDialer ? m_localNonce + peerNonce : peerNonce + m_localNonce;
  std::lock_guard lock(m_mutex);
  m_sessionKey = HmacSha256(m_secret, nonces);
  AppendFrame("");
  StartSend();
  return true;
}

bool
FrameConnection::ParseFrame(bool& aParsed)
{
  aParsed = false;
  if (m_unparsed.size() < kLengthBytes) {
    return true;
  }
  const std::size_t length = ReadLength(m_unparsed);
  // The first frame proves that the peer knows the secret; before, nothing is
  // buffered for it.
  const std::size_t maxLength = m_receivedFrames == 0 ? 0 : kMaxFrameBytes;
  if (length > maxLength) {
    return false;
  }
  const std::size_t totalBytes = kLengthBytes + kTagBytes + length;
  if (m_unparsed.size() < totalBytes) {
    return true;
  }
  const std::string_view all(m_unparsed);
  const std::string_view tag = all.substr(kLengthBytes, kTagBytes);
  const std::string_view frame = all.substr(kLengthBytes + kTagBytes, length);
  if (!EqualInConstantTime(tag, Tag(!m_isDialer, m_receivedFrames, frame))) {
    return false;
  }
  aParsed = true;
  if (m_receivedFrames++ == 0) {
    m_hooks.m_opened();
  }
  if (length > 0) {
    m_hooks.m_received(std::string(frame));
  }
  m_unparsed.erase(0, totalBytes);
  return true;
}

std::string
FrameConnection::Tag(bool aFromDialer,
                     std::uint64_t aSequence,
                     std::string_view aFrame) const
{
  std::string text;
  text.reserve(1 + sizeof(aSequence) + aFrame.size());
  text.push_back(aFromDialer ? 'd' : 'a');
  AppendBigEndian(text, aSequence, sizeof(aSequence));
  text.append(aFrame);
  return HmacSha256(m_sessionKey, text).substr(0, kTagBytes);
}

void
FrameConnection::AppendFrame(std::string_view aFrame)
{
  AppendBigEndian(m_pending, aFrame.size(), kLengthBytes);
  m_pending.append(Tag(m_isDialer, m_sentFrames++, aFrame));
  m_pending.append(aFrame);
}

bool
FrameConnection::Send(std::string_view aFrame)
{
  assert(!aFrame.empty() && "an empty frame is reserved for the handshake");
  std::lock_guard lock(m_mutex);
  if (m_isClosed || m_sessionKey.empty()) {
    return false;
  }
  if (m_pending.size() + aFrame.size() > kMaxPendingBytes) {
    // A peer that reads too slowly is treated as disconnected.
    nng_stream_close(m_stream);
    return false;
  }
  AppendFrame(aFrame);
  StartSend();
  return true;
}

void
FrameConnection::StartSend()
{
  if (m_isSending || m_isClosed) {
    return;
  }
  if (m_sendOffset == m_sendBuffer.size()) {
    // Send everything that was queued during the last write in one write.
    m_sendBuffer.clear();
    m_sendBuffer.swap(m_pending);
    m_sendOffset = 0;
  }
  if (m_sendBuffer.empty()) {
    return;
  }
  m_isSending = true;
  nng_iov remaining{ m_sendBuffer.data() + m_sendOffset,
                     m_sendBuffer.size() - m_sendOffset };
  nng_aio_set_iov(m_sendAio, 1, &remaining);
  nng_stream_send(m_stream, m_sendAio);
}

void
FrameConnection::OnSent(void* aSelf)
{
  auto* self = static_cast<FrameConnection*>(aSelf);
  if (nng_aio_result(self->m_sendAio) != 0) {
    self->Fail();
    return;
  }
  const std::size_t count = nng_aio_count(self->m_sendAio);
  *self->m_hooks.m_bytesSent += count;
  std::lock_guard lock(self->m_mutex);
  self->m_sendOffset += count;
  self->m_isSending = false;
  self->StartSend();
}

void
FrameConnection::Close()
{
  Fail();
}

void
FrameConnection::Fail()
{
  {
    std::lock_guard lock(m_mutex);
    if (m_isClosed) {
      return;
    }
    m_isClosed = true;
    if (m_stream != nullptr) {
      nng_stream_close(m_stream);
    }
  }
  m_hooks.m_closed();
}

} // namespace bergamotpaddle
