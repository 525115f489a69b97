#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/dispatch/balancer.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/runtime/proxy/event_buffer.hpp>
#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarymill::runtime::proxy {

/// One request of a client, from its last byte to the last byte of its answer.
class Call {
public:
    Call(Proxy& proxy, ClientConnection& client, MessageHead head, std::string body);
    ~Call();
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    /// Checks the request against the routing table and sends it to a server, or answers it.
    void start();

    /// Called every few milliseconds: time limits, stalled servers, waiting streams.
    void tick(Instant now);

    /// The servers are known to be dead or stalled.
    void serverLost(const ServerId& server);

    /// The request was found to crash servers. It is given up unless it is being answered, or must not run twice and
    /// may have begun.
    void quarantined();

    /// Names the request among those of all callers: the client account, the path and the body.
    [[nodiscard]] const Fingerprint& fingerprint() const noexcept { return m_fingerprint; }

    /// Memory in bytes that the answer so far takes.
    [[nodiscard]] std::size_t collectedBytes() const noexcept { return m_collected; }
    /// The answers of all calls take too much memory, and this one's most of it: the attempt ends.
    void dropCollected();

    /// The client has gone: the request is cancelled at the server.
    void clientGone();

    /// The client took bytes; reading from the server may continue.
    void clientDrained();

    // Called by the connection to the server.
    void onConnected();
    void onAnswer();
    void onUpstreamEnd(Upstream::End end);

    [[nodiscard]] const Upstream* upstream() const noexcept { return m_upstream; }

private:
    /// Answer of a server that was held back because the call may go on elsewhere.
    struct HeldAnswer {
        MessageHead head;
        std::string body;
    };

    [[nodiscard]] bool admit();
    void attempt();
    [[nodiscard]] std::string requestFor(const fleet::Target& target, Instant now) const;
    [[nodiscard]] Duration timeLeft(Instant now) const;

    /// Checks the id of an answer before anything else is taken from it. Skips one to an earlier request, or ends the
    /// attempt.
    [[nodiscard]] bool answersThisRequest();
    void onHead();
    void onStreamBytes();
    void onPlainBytes();
    void onPlainComplete();
    /// The server sent a head, an event or a whole answer.
    void progressed(Instant now);
    /// Reports the memory that the answer takes, and keeps that of all answers within its bound.
    void setCollected(std::size_t bytes);
    /// The server answered the request, so it does not crash servers.
    void completed();
    /// Reports how the server of the attempt ended, or that it was silent until now.
    void reportEnd(quarantine::ReportKind kind);
    /// Whether the request may not be sent to any further server.
    [[nodiscard]] bool isRefused() const;
    /// Whether the server has been silent since the request was sent for long enough to have ended.
    [[nodiscard]] bool unanswered(Instant now) const;
    void endAttempt(dispatch::AttemptOutcome end, std::string_view why);
    void dropUpstream();
    void finishAttempt();

    void passOn(const MessageHead& head, std::string_view body);
    void beginStream(const MessageHead& head);
    void finishStream();
    void refuse(unsigned status, std::string_view why, Duration retryAfter);
    void giveUp(dispatch::Step step, std::string_view why);
    void refuseWithoutServer(const dispatch::Refusal& refusal);
    /// Leaves a broken stream waiting for a server to continue on, for a time.
    void waitForServer(Instant now, std::string_view why);
    void log(std::string_view outcome, unsigned status, std::string_view why);

    Proxy& m_proxy;
    ClientConnection& m_client;
    MessageHead m_head;
    std::string m_body;
    std::shared_ptr<const routes::Table> m_table;
    const routes::Route* m_route { nullptr };
    const routes::Account* m_account { nullptr };
    const routes::Service* m_service { nullptr };
    ModelName m_model;
    dispatch::Work m_work;
    std::string m_attemptId;
    Fingerprint m_fingerprint;
    /// The request is refused otherwise, and shows whether it still crashes servers.
    bool m_trial { false };

    dispatch::CallState m_state;
    /// How the last attempt ended.
    dispatch::AttemptOutcome m_lastEnd { dispatch::AttemptOutcome::NotSent };
    std::vector<ServerId> m_tried;
    Instant m_startedAt;
    Instant m_clientDeadline;

    Upstream* m_upstream { nullptr };
    ServerId m_server;
    BootId m_bootId;
    Instant m_attemptAt;
    Instant m_lastBytesAt;
    Instant m_firstEventAt;
    double m_chosenLoad { 0 };
    unsigned m_candidates { 0 };
    bool m_headSeen { false };
    bool m_streaming { false };
    /// An answer to an earlier request has been skipped in this attempt.
    bool m_skipped { false };
    /// The attempt is to bring the rest of a stream that has begun.
    bool m_continues { false };
    /// Events that the attempt brought.
    std::uint64_t m_attemptEvents { 0 };
    /// The stream waits for a server to continue on, since this time.
    std::optional<Instant> m_waitingSince;
    EventBuffer m_events;
    std::uint64_t m_eventCount { 0 };
    std::size_t m_collected { 0 };
    /// Size of the body at which the answer has made progress again.
    std::size_t m_nextProgress { 0 };
    HeldAnswer m_held;
    bool m_readingPaused { false };
    bool m_done { false };
};

} // namespace rosemarymill::runtime::proxy
