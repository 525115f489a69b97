#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/proxy/message.hpp>
#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace rosemarymill::runtime::proxy {

/// Connection of a client. Requests on it are answered one after the other.
class ClientConnection {
public:
    ClientConnection(Proxy& proxy, int socket);
    ~ClientConnection();
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    /// Sends a whole answer and waits for the next request, or closes the connection after it.
    void answer(unsigned status, std::string_view reason, std::string_view headers, std::string_view body, bool close);

    /// Begins an answer in chunks.
    void beginChunked(std::string_view head);
    void writeChunk(std::string_view bytes);
    /// Ends an answer in chunks.
    void endChunked(bool close);

    /// Closes the connection without finishing the answer.
    void abort();

    /// Ends the call on the connection. A call that is not finished is cancelled.
    void dropCall();

    /// Closes the socket; the object is destroyed later.
    void close() noexcept { m_buf.reset(); }

    /// Bytes of answers that the kernel has not taken.
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /// Whether the client asked to close the connection, or the system is about to stop.
    [[nodiscard]] bool closing() const noexcept;

    /// Ends connections whose request does not arrive in time or that are idle. Returns whether it is to be closed.
    [[nodiscard]] bool overdue(Instant now) const;
    [[nodiscard]] bool busy() const noexcept { return m_call != nullptr; }
    /// Neither a request nor an answer is under way.
    [[nodiscard]] bool idle() const noexcept;

private:
    static void onRead(bufferevent* buf, void* self);
    static void onWrite(bufferevent* buf, void* self);
    static void onEvent(bufferevent* buf, short what, void* self);

    void parse();
    void refuse(unsigned status, std::string_view reason);
    void requestComplete();
    void answered(bool close);
    void drained();

    Proxy& m_proxy;
    detail::BuffereventHandle m_buf;
    Parser m_parser;
    std::unique_ptr<Call> m_call;
    bool m_keepAlive { true };
    bool m_continueSent { false };
    bool m_closeAfterWrite { false };
    bool m_parsing { false };
    Instant m_since;
};

} // namespace rosemarymill::runtime::proxy
