#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

/// Server on its own thread that sends the same bytes in response to each request.
namespace rosemarymill::test {

class RawServer {
public:
    /// What happens to a connection after the response: it stays open until the peer closes it, or is reset.
    enum class Ending { StaysOpen, Reset };

    explicit RawServer(std::string response, Ending ending = Ending::StaysOpen)
        : m_response(std::move(response))
        , m_ending(ending)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(it);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&it), length) != 0 || ::listen(m_listener, 16) != 0)
            throw std::runtime_error("cannot listen");
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&it), &length);
        m_address = "127.0.0.1:" + std::to_string(ntohs(it.sin_port));
        m_thread = std::thread([this] { run(); });
    }

    ~RawServer()
    {
        m_stopped = true;
        m_thread.join();
        ::close(m_listener);
    }

    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }

private:
    static constexpr int pollMs = 20;
    /// Time in which a response reaches the peer before the connection is reset.
    static constexpr std::chrono::milliseconds untilReset { 50 };

    void run() const
    {
        while (!m_stopped) {
            if (readable(m_listener))
                serve(::accept(m_listener, nullptr, nullptr));
        }
    }

    static bool readable(int socket)
    {
        pollfd it { socket, POLLIN, 0 };
        return ::poll(&it, 1, pollMs) == 1;
    }

    /// Answers the first request on a connection, then waits for its end.
    void serve(int socket) const
    {
        std::array<char, 4096> buf {};
        std::string received;
        bool answered = false;
        while (!m_stopped) {
            if (!readable(socket))
                continue;
            const auto n = ::recv(socket, buf.data(), buf.size(), 0);
            if (n <= 0)
                break;
            received.append(buf.data(), static_cast<std::size_t>(n));
            if (answered || received.find("\r\n\r\n") == std::string::npos)
                continue;
            answered = true;
            static_cast<void>(::send(socket, m_response.data(), m_response.size(), MSG_NOSIGNAL));
            if (m_ending != Ending::Reset)
                continue;
            std::this_thread::sleep_for(untilReset);
            const linger immediately { 1, 0 };
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
            break;
        }
        ::close(socket);
    }

    std::string m_response;
    Ending m_ending;
    int m_listener;
    std::string m_address;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace rosemarymill::test
