#pragma once

#include "http.hpp"

#include <functional>
#include <string>
#include <utility>
#include <vector>

/// Announcements of a stand-in to the entry VMs.
namespace standin {

/// Announces a server at the interval that the entry VM returns, and switches to the home that it returns. After two
/// announcements without an answer it switches to the next entry VM of its list.
class Announcer {
public:
    using Document = std::function<nlohmann::json()>;

    Announcer(event_base* base, std::vector<std::string> entries, Document document)
        : m_base(base)
        , m_entries(std::move(entries))
        , m_document(std::move(document))
        , m_home(m_entries.front())
        , m_timer(event_new(
              base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Announcer*>(self)->announce(); }, this))
    {
        announce();
    }

    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    ~Announcer()
    {
        if (m_connection)
            evhttp_connection_free(m_connection);
        event_free(m_timer);
    }

    /// Announces at once, as after a change of the group.
    void announce()
    {
        scheduleNext();
        if (m_awaitingAnswer) {
            m_announceAgain = true;
            return;
        }
        if (!m_connection)
            connect();
        auto* request = evhttp_request_new(
            [](evhttp_request* answer, void* self) { static_cast<Announcer*>(self)->handleAnswer(answer); }, this);
        addHeader(request, "Host", m_home);
        addHeader(request, "Content-Type", "application/json");
        const auto text = m_document().dump();
        evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
        m_awaitingAnswer = true;
        if (evhttp_make_request(m_connection, request, EVHTTP_REQ_POST, "/v1/backends/announce") != 0) {
            m_awaitingAnswer = false;
            handleMissingAnswer();
        }
    }

private:
    void scheduleNext()
    {
        const timeval delay { m_intervalMs / 1000, (m_intervalMs % 1000) * 1000 };
        event_add(m_timer, &delay);
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_home);
        const timeval timeout { 1, 0 };
        m_connection = evhttp_connection_base_new(m_base, nullptr, endpoint.ip.c_str(), endpoint.port);
        evhttp_connection_set_timeout_tv(m_connection, &timeout);
    }

    void handleAnswer(evhttp_request* answer)
    {
        m_awaitingAnswer = false;
        const int status = answer ? evhttp_request_get_response_code(answer) : 0;
        if (status == 0) {
            handleMissingAnswer();
            return;
        }
        m_missedAnswers = 0;
        if (status != 200) {
            std::cerr << "rejected announcement: " << bodyOf(answer) << std::endl;
        } else {
            const auto document = nlohmann::json::parse(bodyOf(answer));
            m_intervalMs = document.at("interval_ms").get<long>();
            moveTo(document.at("home").get<std::string>());
        }
        if (std::exchange(m_announceAgain, false))
            announceSoon();
    }

    void announceSoon()
    {
        const timeval now { 0, 0 };
        event_add(m_timer, &now);
    }

    void handleMissingAnswer()
    {
        if (++m_missedAnswers < 2)
            return;
        m_missedAnswers = 0;
        m_entry = (m_entry + 1) % m_entries.size();
        moveTo(m_entries[m_entry]);
    }

    void moveTo(const std::string& home)
    {
        if (home.empty() || home == m_home)
            return;
        m_home = home;
        // The connection may be in its own callback; libevent frees it afterwards.
        if (m_connection)
            evhttp_connection_free_on_completion(m_connection);
        m_connection = nullptr;
    }

    event_base* m_base;
    std::vector<std::string> m_entries;
    Document m_document;
    std::string m_home;
    std::size_t m_entry { 0 };
    event* m_timer;
    evhttp_connection* m_connection { nullptr };
    long m_intervalMs { 1000 };
    int m_missedAnswers { 0 };
    bool m_awaitingAnswer { false };
    bool m_announceAgain { false };
};

} // namespace standin
