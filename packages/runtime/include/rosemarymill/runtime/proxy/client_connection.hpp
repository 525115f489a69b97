#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/connection_budget.hpp>
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

    /// Sends a whole response, then waits for the next request or closes the connection. The bytes of the body, which
    /// may be null, are moved out of it.
    void sendResponse(unsigned status, std::string_view reason, std::string_view headers, evbuffer* body, bool close);

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
    void close() noexcept;

    /// Closes the connection because the process's limits are exceeded. A request that is not complete is rejected.
    void closeForOverload();

    /// Records in the process's limits what the connection does and holds.
    void updateUsage();

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
    /// Checks the message parsed so far. Returns false if it was rejected.
    [[nodiscard]] bool withinLimits();
    /// Moves parsed bytes of the body out of the parser.
    void takeBody();
    [[nodiscard]] std::size_t bodyBytes() const noexcept;
    /// Rejects the request and closes the connection.
    void refuse(unsigned status, std::string_view reason);
    /// Rejects a request that cannot be executed now because of the memory that others take. The rest of it is received
    /// and dropped, so that the response is not lost by a reset.
    void refuseForMemory();
    void discardInput();
    void requestComplete();
    void responseWritten(bool close);
    void drained();
    /// Closes the connection after its last response. Returns whether it is closed.
    bool closeIfWritten();

    Proxy& m_proxy;
    detail::BuffereventHandle m_buf;
    Parser m_parser;
    /// Body of the request that is being received.
    BufferHandle m_body;
    std::unique_ptr<Call> m_call;
    bool m_keepAlive { true };
    bool m_continueSent { false };
    bool m_closeAfterWrite { false };
    /// Bytes of a rejected request that are still received and dropped.
    std::size_t m_discardBytes { 0 };
    bool m_parsing { false };
    /// Start of the current phase: the request, or the time since the client last read bytes of a response.
    Instant m_phaseStartedAt;
    /// Unsent bytes when the timeout was last checked.
    std::size_t m_unsentBytes { 0 };
    ConnectionSlot m_slot;
};

} // namespace rosemarymill::runtime::proxy
