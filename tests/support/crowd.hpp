#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Many connections to one listener that all send the same bytes.
namespace rosemarymill::test {

/// What each connection of a crowd does.
struct CrowdPlan {
    std::string ip {};
    std::uint16_t port { 0 };
    std::size_t connections { 0 };
    /// Bytes that each connection sends, as fast as they are read.
    std::string script;
    /// Offset at which a connection goes on after the end of the script; without one it stays open and sends no more.
    std::optional<std::size_t> loopFrom {};
    /// Sends the script again on the same connection once it was answered.
    bool repeats { false };
    /// Whether answers are read.
    bool reads { true };
    /// Connections that are opened in a second; without a number, all at once.
    std::optional<std::size_t> opensPerSecond {};
};

/// Runs the connections of a plan on the caller's thread. A connection that is closed is opened again.
class Crowd {
public:
    explicit Crowd(CrowdPlan plan)
        : m_plan(std::move(plan))
        , m_members(m_plan.connections)
    {
    }

    ~Crowd()
    {
        for (auto& it : m_members)
            disconnect(it);
    }

    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Runs for a time and calls `onSample` every 50 ms.
    void run(std::chrono::milliseconds time, const std::function<void()>& onSample)
    {
        constexpr std::chrono::milliseconds sampleInterval { 50 };
        m_startedAt = Clock::now();
        const auto end = Clock::now() + time;
        auto nextSample = Clock::now();
        while (Clock::now() < end) {
            step();
            if (Clock::now() < nextSample)
                continue;
            onSample();
            nextSample = Clock::now() + sampleInterval;
        }
    }

    /// Connections that were closed by the peer.
    [[nodiscard]] std::size_t closed() const noexcept { return m_closed; }
    [[nodiscard]] std::uint64_t sentBytes() const noexcept { return m_sentBytes; }

private:
    using Clock = std::chrono::steady_clock;

    struct Member {
        int socket { -1 };
        std::size_t offset { 0 };
    };

    void step()
    {
        constexpr int pollTimeoutMs = 10;
        m_polls.clear();
        for (auto& it : m_members) {
            if (it.socket < 0 && mayOpen())
                connect(it);
            const bool finished = it.offset >= m_plan.script.size();
            m_polls.push_back(
                { it.socket, static_cast<short>((finished ? 0 : POLLOUT) | (m_plan.reads ? POLLIN : 0)), 0 });
        }
        ::poll(m_polls.data(), m_polls.size(), pollTimeoutMs);
        for (std::size_t i = 0; i < m_members.size(); ++i)
            handle(m_members[i], m_polls[i].revents);
    }

    [[nodiscard]] bool mayOpen()
    {
        if (!m_plan.opensPerSecond)
            return true;
        const std::chrono::duration<double> elapsed = Clock::now() - m_startedAt;
        if (static_cast<double>(m_opened) >= elapsed.count() * static_cast<double>(*m_plan.opensPerSecond))
            return false;
        ++m_opened;
        return true;
    }

    void connect(Member& member)
    {
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(m_plan.port);
        inet_pton(AF_INET, m_plan.ip.c_str(), &it.sin_addr);
        member = { ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0), 0 };
        if (member.socket >= 0 && ::connect(member.socket, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0
            && errno != EINPROGRESS)
            disconnect(member);
    }

    static void disconnect(Member& it)
    {
        if (it.socket >= 0)
            ::close(std::exchange(it.socket, -1));
    }

    void handle(Member& it, short events)
    {
        if ((events & POLLIN) != 0 && !receive(it))
            return leave(it);
        if ((events & POLLOUT) != 0 && !send(it))
            return leave(it);
        if ((events & (POLLERR | POLLHUP)) != 0)
            leave(it);
    }

    void leave(Member& it)
    {
        ++m_closed;
        disconnect(it);
    }

    /// Returns false at the end of the connection.
    bool receive(Member& it)
    {
        std::array<char, 65536> buf {};
        const auto n = ::recv(it.socket, buf.data(), buf.size(), 0);
        if (n <= 0)
            return n < 0 && errno == EAGAIN;
        if (m_plan.repeats && it.offset >= m_plan.script.size())
            it.offset = 0;
        return true;
    }

    bool send(Member& it)
    {
        constexpr std::size_t maxBytes = 256 * 1024;
        const auto rest = std::string_view { m_plan.script }.substr(it.offset, maxBytes);
        const auto n = ::send(it.socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (n < 0)
            return errno == EAGAIN;
        m_sentBytes += static_cast<std::uint64_t>(n);
        it.offset += static_cast<std::size_t>(n);
        if (m_plan.loopFrom && it.offset >= m_plan.script.size())
            it.offset = *m_plan.loopFrom;
        return true;
    }

    CrowdPlan m_plan;
    std::vector<Member> m_members;
    std::vector<pollfd> m_polls;
    Clock::time_point m_startedAt;
    std::size_t m_opened { 0 };
    std::size_t m_closed { 0 };
    std::uint64_t m_sentBytes { 0 };
};

} // namespace rosemarymill::test
