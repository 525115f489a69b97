#pragma once

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <platform/names.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

/// Stand-in for a plain service of the users' platform whose servers crash when they begin to run certain requests.
namespace rosemarymill::test {

class CrashingServers {
public:
    using Clock = std::chrono::steady_clock;

    static constexpr std::uint16_t port = 8080;
    static constexpr const char* service = "desk";
    /// Requests with this text in their body, or as the id of a part of their prompt, crash the server that begins to
    /// run them.
    static constexpr const char* crashMarker = "deadly";

    /// A server's crash and the request that caused it.
    struct Crash {
        Clock::time_point at;
        std::string server;
        std::string request;
    };

    /// How requests are answered that do not crash a server.
    struct Answers {
        std::chrono::milliseconds delay { 0 };
        std::string body { "ok" };
    };

    CrashingServers(const std::string& network, std::size_t n, std::vector<std::string> controls)
        : CrashingServers(network, n, std::move(controls), Answers {})
    {
    }

    /// Servers at `network` + 101 and the following addresses, which announce themselves to the control VMs.
    CrashingServers(const std::string& network, std::size_t n, std::vector<std::string> controls, Answers answers)
        : m_controls(std::move(controls))
        , m_answers(std::move(answers))
        , m_base(event_base_new())
    {
        for (std::size_t i = 0; i < n; ++i)
            m_servers.push_back(std::make_unique<Server>(network + std::to_string(101 + i), i));
        m_thread = std::thread([this] { run(); });
    }

    ~CrashingServers()
    {
        m_stopped = true;
        m_thread.join();
    }

    CrashingServers(const CrashingServers&) = delete;
    CrashingServers& operator=(const CrashingServers&) = delete;

    [[nodiscard]] std::vector<Crash> crashes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

private:
    static constexpr std::chrono::milliseconds heartbeat { 400 };
    /// Time between a server's crash and its restart.
    static constexpr std::chrono::milliseconds downTime { 1000 };

    struct FreeListener {
        void operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }
    };

    struct Server {
        Server(std::string address, std::size_t n)
            : ip(std::move(address))
            , number(n)
        {
        }

        [[nodiscard]] std::string id() const
        {
            // Servers with an even number restart under a new id, the others under the id that they had.
            const auto name = number % 2 == 0 ? incarnation : 0;
            return "i-" + std::to_string(number) + '-' + std::to_string(name);
        }

        std::string ip;
        std::size_t number;
        unsigned incarnation { 0 };
        std::int64_t startedAtMs { 0 };
        std::uint64_t sequence { 0 };
        Clock::time_point restartAt;
        Clock::time_point lastHeartbeatAt;
        std::unique_ptr<evconnlistener, FreeListener> listener;
        std::list<RawConnection> peers;
        bool crashed { false };
    };

    void run()
    {
        while (!m_stopped) {
            for (auto& it : m_servers) {
                const auto now = Clock::now();
                if (it->crashed)
                    end(*it);
                else if (!it->listener && now >= it->restartAt)
                    start(*it);
                else if (it->listener && now >= it->lastHeartbeatAt + heartbeat)
                    announce(*it);
                it->peers.remove_if([](const auto& peer) { return peer.closed; });
            }
            sendDelayedAnswers();
            runFor(m_base.get(), std::chrono::milliseconds { 5 });
        }
    }

    void start(Server& server)
    {
        using std::chrono::system_clock;
        ++server.incarnation;
        server.sequence = 0;
        server.startedAtMs
            = std::chrono::duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
        auto address = runtime::parseAddress(server.ip + ':' + std::to_string(port)).value();
        auto* context = new std::pair<CrashingServers*, Server*>(this, &server);
        m_contexts.emplace_back(context);
        server.listener.reset(evconnlistener_new_bind(
            m_base.get(),
            [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* it) {
                auto& [self, to] = *static_cast<std::pair<CrashingServers*, Server*>*>(it);
                auto& peer = to->peers.emplace_back(self->m_base.get(), socket);
                peer.onReceived = [self = self, to = to](RawConnection& from) { self->receive(*to, from); };
            },
            context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64, address.get(), static_cast<int>(address.length)));
        if (server.listener)
            announce(server);
    }

    static void end(Server& server)
    {
        server.crashed = false;
        server.peers.clear();
        server.listener.reset();
        server.restartAt = Clock::now() + downTime;
    }

    void announce(Server& server)
    {
        constexpr timeval timeout { 0, 300'000 };
        server.lastHeartbeatAt = Clock::now();
        const nlohmann::json body { { "service", service }, { "address", server.ip + ':' + std::to_string(port) },
            { "zone", "zone-0" }, { "version", "v1" }, { "slots", 6 }, { "state", "healthy" }, { "cold_left_ms", 0 },
            { "sequence", ++server.sequence }, { "born", server.startedAtMs } };
        const auto id = server.id();
        auto to = m_controls[m_next % m_controls.size()];
        for (unsigned hop = 0; hop < 3; ++hop) {
            const auto response = request(*m_base, to, 8229, timeout, EVHTTP_REQ_PUT, platform::serversPath + id,
                body.dump(), { { "Content-Type", "application/json" } });
            if (response.status != 307) {
                if (response.status != 200)
                    ++m_next;
                return;
            }
            const auto begin = response.location.find("//") + 2;
            to = response.location.substr(begin, response.location.find(':', begin) - begin);
        }
    }

    static std::string headerOf(const std::string& head, const std::string& name)
    {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const auto begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    void receive(Server& server, RawConnection& from)
    {
        const auto headEnd = from.received.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        const auto head = from.received.substr(0, headEnd + 2);
        std::size_t length = 0;
        const auto text = headerOf(head, "Content-Length");
        std::from_chars(text.data(), text.data() + text.size(), length);
        if (from.received.size() < headEnd + 4 + length)
            return;
        const auto body = from.received.substr(headEnd + 4, length);
        from.received.erase(0, headEnd + 4 + length);
        const auto names = platform::headerNames();
        const auto id = headerOf(head, names.attemptId);
        const auto echo = names.attemptId + ": " + id + "\r\n";
        if (const auto expected = headerOf(head, names.expectServer); expected != server.id())
            return from.send("HTTP/1.1 421 Misdirected\r\n" + echo + "Content-Length: 0\r\n\r\n");
        if (body.find(crashMarker) != std::string::npos
            || headerOf(head, names.promptParts).find(crashMarker) != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            m_crashes.push_back({ Clock::now(), server.id() + '/' + std::to_string(server.incarnation), id });
            // The run loop closes the connections, as they must not be freed in their own callbacks.
            server.crashed = true;
            return;
        }
        auto answer = "HTTP/1.1 200 OK\r\n" + echo + names.seal
            + ": s\r\nContent-Length: " + std::to_string(m_answers.body.size()) + "\r\n\r\n" + m_answers.body;
        if (m_answers.delay.count() == 0)
            return from.send(answer);
        m_delayed.push_back({ Clock::now() + m_answers.delay, &server, &from, std::move(answer) });
    }

    void sendDelayedAnswers()
    {
        while (!m_delayed.empty() && m_delayed.front().at <= Clock::now()) {
            const auto it = std::move(m_delayed.front());
            m_delayed.pop_front();
            auto& peers = it.server->peers;
            const auto peer
                = std::find_if(peers.begin(), peers.end(), [&](const auto& other) { return &other == it.peer; });
            if (peer != peers.end())
                peer->send(it.text);
        }
    }

    struct DelayedAnswer {
        Clock::time_point at;
        Server* server;
        RawConnection* peer;
        std::string text;
    };

    std::vector<std::string> m_controls;
    Answers m_answers;
    std::deque<DelayedAnswer> m_delayed;
    EventBase m_base;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::unique_ptr<std::pair<CrashingServers*, Server*>>> m_contexts;
    std::size_t m_next { 0 };
    mutable std::mutex m_mutex;
    std::vector<Crash> m_crashes;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace rosemarymill::test
