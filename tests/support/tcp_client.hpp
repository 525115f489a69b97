#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

/// Plain TCP client that sends and reads raw HTTP, for requests that an HTTP library would refuse to send.
namespace rosemarymill::test {

class TcpClient {
public:
    /// Connects to "ip:port". A receive buffer size above 0 limits the bytes that the kernel accepts ahead of reads.
    explicit TcpClient(const std::string& address, int receiveBufferBytes = 0)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto colon = address.rfind(':');
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &it.sin_addr);
        if (receiveBufferBytes > 0)
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        if (connect(m_socket, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0)
            throw std::runtime_error("cannot connect to " + address);
    }

    TcpClient(TcpClient&& other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
        , m_received(std::move(other.m_received))
    {
    }
    TcpClient& operator=(TcpClient&&) = delete;

    ~TcpClient()
    {
        if (m_socket >= 0)
            close(m_socket);
    }

    /// Sends all bytes and blocks while the server does not read. Returns false when the connection is closed.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads until the text has been received. Returns false at the end of the connection or after 60 s.
    bool readUntil(std::string_view text)
    {
        while (m_received.find(text) == std::string::npos) {
            if (!readSome())
                return false;
        }
        return true;
    }

    /// Reads to the end of the connection. Returns false when it stays open for 60 s.
    bool readToEnd()
    {
        while (readSome()) { }
        return m_atEnd;
    }

    [[nodiscard]] const std::string& received() const noexcept { return m_received; }

    /// Body of a chunked response as far as it was received.
    [[nodiscard]] std::string chunkedBody() const
    {
        std::string body;
        auto pos = m_received.find("\r\n\r\n");
        pos = pos == std::string::npos ? m_received.size() : pos + 4;
        while (pos < m_received.size()) {
            const auto end = m_received.find("\r\n", pos);
            std::size_t size = 0;
            if (end == std::string::npos)
                break;
            std::from_chars(m_received.data() + pos, m_received.data() + end, size, 16);
            body += m_received.substr(end + 2, size);
            pos = end + 2 + size + 2;
        }
        return body;
    }

private:
    bool readSome()
    {
        constexpr int timeoutMs = 60'000;
        std::array<char, 65536> buf {};
        pollfd it { m_socket, POLLIN, 0 };
        if (poll(&it, 1, timeoutMs) != 1)
            return false;
        const auto n = recv(m_socket, buf.data(), buf.size(), 0);
        if (n <= 0) {
            m_atEnd = true;
            return false;
        }
        m_received.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }

    int m_socket;
    std::string m_received;
    bool m_atEnd { false };
};

} // namespace rosemarymill::test
