#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/proxy/message.hpp>
#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace rosemarymill::runtime::proxy {

/// Client connection. Requests on it are handled one after the other.
class ClientConnection {
public:
    ClientConnection(Proxy& proxy, int socket);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Sends a whole response, then waits for the next request or closes the connection.
    void sendResponse(
        unsigned status, std::string_view reason, std::string_view headers, std::string_view body, bool close);

    /// Begins a chunked response.
    void beginChunked(std::string_view head);
    void writeChunk(std::string_view bytes);
    /// Ends a chunked response.
    void endChunked(bool close);

    /// Closes the connection without finishing the response.
    void abort();

    /// Ends the call on the connection; an unfinished call is cancelled.
    void dropCall();

    /// Closes the socket; the object is destroyed later.
    void close() noexcept { m_buf.reset(); }

    /// Response bytes that have not been written to the socket.
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /// Whether the connection closes after the response: the client asked for it, or the proxy is shutting down.
    [[nodiscard]] bool closing() const noexcept;

    /// Whether the connection is to be closed: its request took longer than the header timeout, or it was idle, or read
    /// nothing of its response, for longer than the idle timeout. Called regularly, since it observes what was read.
    [[nodiscard]] bool timedOut(Instant now);
    [[nodiscard]] bool busy() const noexcept { return m_call != nullptr; }
    /// Whether neither a request nor a response is in progress.
    [[nodiscard]] bool idle() const noexcept;

private:
    static void onRead(bufferevent* buf, void* self);
    static void onWrite(bufferevent* buf, void* self);
    static void onEvent(bufferevent* buf, short what, void* self);

    void parse();
    /// Moves parsed bytes of the body out of the parser.
    void takeBody();
    [[nodiscard]] std::size_t bodyBytes() const noexcept;
    void refuse(unsigned status, std::string_view reason);
    void requestComplete();
    void responseWritten(bool close);
    void drained();

    Proxy& m_proxy;
    detail::BuffereventHandle m_buf;
    Parser m_parser;
    /// Body of the request that is being received.
    BufferHandle m_body;
    std::unique_ptr<Call> m_call;
    bool m_keepAlive { true };
    bool m_continueSent { false };
    bool m_closeAfterWrite { false };
    bool m_parsing { false };
    /// Start of the current phase: the request, or the time since the client last read bytes of a response.
    Instant m_phaseStartedAt;
    /// Unsent bytes when the timeout was last checked.
    std::size_t m_unsentBytes { 0 };
};

} // namespace rosemarymill::runtime::proxy
