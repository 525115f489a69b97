#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/dispatch/balancer.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/proxy/event_buffer.hpp>
#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarymill::runtime::proxy {

/// One client request, from its last byte to the last byte of the response.
class Call {
public:
    /// `body` may be null.
    Call(Proxy& proxy, ClientConnection& client, MessageHead head, BufferHandle body);
    ~Call();
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    /// Matches the request against the routing table and sends it to a server, or rejects it.
    void start();

    /// Called every 50 ms. Enforces the deadline, detects stalled servers and retries streams that wait for a server.
    void tick(Instant now);

    /// Ends the call now, with an answer that states whether it may have run unless its stream has begun.
    void end(Instant now, std::string_view why);

    /// The server was reported as dead or stalled.
    void serverLost(const ServerId& server);

    /// Cancels the request if it was found to crash servers, unless a server has begun to respond, or it must not run
    /// twice and may have begun to run.
    void enforceQuarantine();

    /// Memory in bytes that the response received so far takes.
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return m_bufferedBytes; }
    /// Memory in bytes that the request and the response received so far take.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_bufferedBytes + m_requestBytes; }
    /// Ends the attempt, because the buffered responses of all calls exceed their limit and this one is the largest.
    void dropBuffered();

    /// The client disconnected: the request is cancelled at the server.
    void clientDisconnected();

    /// Bytes were sent to the client; reading from the server may continue.
    void clientDrained();

    // Called by the connection to the server.
    void onConnected();
    void onResponse();
    void onUpstreamEnd(Upstream::End end);

    [[nodiscard]] const Upstream* upstream() const noexcept { return m_upstream; }

private:
    /// Response of a server that is held back while the call may be retried on another server.
    struct HeldResponse {
        MessageHead head;
        BufferHandle body;
    };

    [[nodiscard]] bool admit();
    void attempt();
    /// Request line and headers.
    [[nodiscard]] std::string buildHead(const fleet::Target& target, Instant now) const;
    [[nodiscard]] std::size_t bodyBytes() const noexcept;
    [[nodiscard]] Duration timeLeft(Instant now) const;

    /// Checks the attempt id of a response before anything else of it is used. On a mismatch, skips a response to an
    /// earlier request or ends the attempt.
    [[nodiscard]] bool checkResponseId();
    void onHead();
    void onStreamBytes();
    void onPlainBytes();
    /// Moves parsed bytes of the response's body out of the parser.
    void takeResponseBody();
    void onPlainComplete();
    /// The server sent a response head, an event or a complete response.
    void progressed(Instant now);
    /// Records the memory that the response takes, and enforces the limit for all responses.
    void setBuffered(std::size_t bytes);
    /// Sets the traits by which the request is known to the quarantine.
    void setTraits();
    /// The trait for which the request is refused, or null.
    [[nodiscard]] const Fingerprint* refusedTrait() const;
    void quarantined();
    /// The response has neither length nor chunks, so that its end is that of the connection.
    [[nodiscard]] bool endsWithConnection() const;
    /// The request ran to completion, so it does not crash servers.
    void completed();
    /// The server has been writing the answer for long enough that the request does not crash it.
    void survived(Instant now);
    /// Reports that the attempt's server crashed or has not responded until now.
    void reportEnd(quarantine::ReportKind kind);
    /// Whether the request may not be sent to any further server.
    [[nodiscard]] bool isRefused() const;
    /// Whether the request must not be sent to another server now: it is refused, or may have crashed one with a part
    /// that is suspected.
    [[nodiscard]] bool isHeldBack() const;
    /// Whether the server has sent nothing for long enough that it may have crashed.
    [[nodiscard]] bool unanswered(Instant now) const;
    void endAttempt(dispatch::AttemptOutcome end, std::string_view why);
    void dropUpstream();
    void finishAttempt();

    void forwardResponse(const MessageHead& head, BufferHandle body);
    void beginStream(const MessageHead& head);
    void finishStream();
    void refuse(unsigned status, std::string_view why, Duration retryAfter);
    void giveUp(dispatch::Step step, std::string_view why);
    void refuseWithoutServer(const dispatch::Refusal& refusal);
    /// Keeps an interrupted stream open for a limited time until it can be resumed on another server.
    void waitForServer(Instant now, std::string_view why);
    void log(std::string_view outcome, unsigned status, std::string_view why);

    Proxy& m_proxy;
    ClientConnection& m_client;
    MessageHead m_head;
    /// Shared with the connections to servers, which reference its bytes.
    BufferHandle m_body;
    /// Memory in bytes that the request takes.
    std::size_t m_requestBytes { 0 };
    std::shared_ptr<const routes::Table> m_table;
    const routes::Route* m_route { nullptr };
    const routes::Account* m_account { nullptr };
    const routes::Service* m_service { nullptr };
    ModelName m_model;
    dispatch::Work m_work;
    std::string m_attemptId;
    quarantine::Traits m_traits;
    /// The request is quarantined and is sent once to test whether it still crashes servers.
    bool m_trial { false };

    dispatch::CallState m_state;
    /// The attempt's server survived the request.
    bool m_survived { false };
    /// The last attempt's server closed its connection before the request was known not to crash it.
    bool m_mayHaveCrashedServer { false };
    /// How the last attempt ended.
    dispatch::AttemptOutcome m_lastOutcome { dispatch::AttemptOutcome::NotSent };
    std::vector<ServerId> m_tried;
    Instant m_startedAt;
    Instant m_clientDeadline;

    Upstream* m_upstream { nullptr };
    ServerId m_server;
    BootId m_bootId;
    /// Time at which the attempt began, and at which the server's connection was established.
    Instant m_sentAt;
    Instant m_attemptAt;
    Instant m_lastProgressAt;
    Instant m_firstEventAt;
    double m_chosenLoad { 0 };
    unsigned m_candidates { 0 };
    bool m_headReceived { false };
    bool m_streaming { false };
    /// A response to an earlier request was skipped in this attempt.
    bool m_skipped { false };
    /// The attempt resumes a stream that has begun.
    bool m_resumesStream { false };
    /// Events received in this attempt, and the time of the first one.
    std::uint64_t m_attemptEvents { 0 };
    Instant m_attemptFirstEventAt;
    /// Since when the stream has been waiting for a server to resume on.
    std::optional<Instant> m_waitingSince;
    EventBuffer m_events;
    std::uint64_t m_eventCount { 0 };
    std::size_t m_bufferedBytes { 0 };
    /// Body size in bytes at which the response next counts as having made progress.
    std::size_t m_nextProgress { 0 };
    HeldResponse m_heldResponse;
    /// Body of a response that is not a stream, as far as it was received.
    BufferHandle m_responseBody;
    bool m_readingPaused { false };
    bool m_done { false };
};

} // namespace rosemarymill::runtime::proxy
