/// \file
/// Private to Net: one link, from its handshake to its last frame.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nng/nng.h>
#include <string>
#include <string_view>

namespace bergamotpaddle {

/// What a connection reports, from nng's threads.
struct FrameConnectionHooks
{
  std::function<void()> m_opened;
  std::function<void(std::string)> m_received;
  std::function<void()> m_closed;
  std::atomic<std::uint64_t>* m_bytesReceived = nullptr;
  std::atomic<std::uint64_t>* m_bytesSent = nullptr;
};

/// One authenticated connection.
///
/// Each side sends a nonce of 16 bytes; both derive the session key from the
/// fleet's secret and the two nonces. A frame is its content's length (4 bytes,
/// big endian), the first 16 bytes of HMAC-SHA-256 over direction, sequence
/// number and content, and the content. The first frame of each side is empty
/// and proves that it holds the secret.
class FrameConnection
{
public:
  FrameConnection(std::string aSecret, FrameConnectionHooks aHooks);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  void Dial(const std::string& aUrl);
  void Accept(nng_stream* aStream);
  bool Send(std::string_view aFrame);
  void Close();

private:
  static void OnDialled(void* aSelf);
  static void OnReceived(void* aSelf);
  static void OnSent(void* aSelf);

  void Begin(nng_stream* aStream);
  void StartReceive();
  /// Sends what waits, if the stream is free. Needs m_mutex.
  void StartSend();
  void AppendFrame(std::string_view aFrame);
  bool Consume();
  bool TakeNonce();
  bool TakeFrame(bool& aTook);
  std::string Tag(bool aFromDialer,
                  std::uint64_t aSequence,
                  std::string_view aFrame) const;
  void Fail();

  std::string m_secret;
  FrameConnectionHooks m_hooks;
  bool m_isDialer = false;
  std::string m_ownNonce;
  std::string m_sessionKey;

  nng_stream_dialer* m_dialer = nullptr;
  nng_stream* m_stream = nullptr;
  nng_aio* m_dialAio = nullptr;
  nng_aio* m_receiveAio = nullptr;
  nng_aio* m_sendAio = nullptr;

  // Receiving: nng's callback alone.
  std::array<char, 65536> m_receiveBuffer{};
  std::string m_unparsed;
  std::uint64_t m_receivedFrames = 0;

  // Sending.
  std::mutex m_mutex;
  std::string m_waiting;
  std::string m_sending;
  std::size_t m_sentOfSending = 0;
  std::uint64_t m_sentFrames = 0;
  bool m_sendBusy = false;
  bool m_closed = false;
};

} // namespace bergamotpaddle
