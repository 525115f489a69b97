#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/backend/client.hpp>
#include <rosemarymill/runtime/backend/outgoing_request.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/link/peer_links.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>
#include <rosemarymill/wire/forward/codec.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

/// Forwarding of calls to another data centre.
namespace rosemarymill::runtime::forward {

/// Interval between Check messages to one server.
inline constexpr Duration checkInterval = 2s;

/// Time without any message from a server after which its attempts fail.
inline constexpr Duration serverTimeout = 10s;

/// Largest non-streaming response in bytes. It has to fit into one frame.
inline constexpr std::size_t maxForwardedResponseBytes = wire::maxFramePayloadBytes - 4096;

/// Finds the parsed request of a call, with the time left until its deadline; nothing when the call has ended.
using CallRequestLookup = std::function<std::optional<call::Request>(CallId)>;

/// Forwards calls at the origin, and at the server passes received calls to the core and sends back the responses.
class Forwarder {
public:
    Forwarder(event_base* base, PeerLinks& links, const node::Settings& self, std::string replyAddress, PostEvent post,
        backend::RequestLookup findOutgoingRequest, CallRequestLookup findCallRequest);
    ~Forwarder();
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    // Origin.
    void forward(const node::ForwardCall& effect);
    /// Whether the attempt was forwarded to another data centre.
    [[nodiscard]] bool owns(AttemptId attempt) const { return m_attempts.contains(attempt); }
    void cancel(const node::CancelAttempt& effect);
    void setReading(const node::SetReading& effect);
    /// Bytes of the token event whose TokenReceived event is being processed.
    [[nodiscard]] std::string_view currentToken() const noexcept { return m_currentToken; }
    /// Response of the attempt whose ResponseFinished event is being processed.
    [[nodiscard]] backend::BufferedResponse answer(AttemptId attempt) noexcept;

    // Server.
    /// Whether the call arrived from another data centre.
    [[nodiscard]] bool owns(CallId call) const { return m_calls.contains(call); }
    /// Request of a call from another data centre; null when there is no such call.
    [[nodiscard]] const backend::OutgoingRequest* find(CallId call) const;
    void begin(const node::BeginResponse& effect);
    void append(CallId call, std::string_view token);
    void finish(CallId call, const backend::BufferedResponse& answer);
    /// Sends a response that the ledger has stored.
    void answer(const node::AnswerCall& effect);
    void refuse(const node::RefuseCall& effect);
    /// Number of calls from other data centres in progress.
    [[nodiscard]] std::size_t calls() const noexcept { return m_calls.size(); }

private:
    using Key = std::tuple<VmId, BootId, AttemptId>;

    struct Attempt {
        VmId server;
        std::string address;
        int status { 0 };
        std::string contentType;
        BufferHandle body;
        bool captureAnswer { false };
    };

    struct Server {
        Instant lastReceivedAt;
        Instant lastCheckAt;
    };

    struct Call {
        Key key;
        std::string replyAddress;
        backend::OutgoingRequest request;
        std::uint64_t resumeFrom { 0 };
        std::uint64_t nextToken { 0 };
        bool begun { false };
        /// The origin has paused the stream.
        bool paused { false };
    };

    bool receive(const VmId& from, std::span<const std::byte> payload);
    bool send(const VmId& to, const std::string& address, wire::forward::Message&& message);
    void end(std::unordered_map<CallId, Call>::iterator call);
    void reportBacklog(CallId id, const Call& call);
    bool reply(const Call& call, decltype(wire::forward::Message::body)&& body);
    void peerLost(const VmId& vm);
    void failAttempt(AttemptId id, bool mayHaveRun);
    void failAttemptsAt(const VmId& server);
    void cancelCall(CallId id);
    void tick();

    // Messages to the server.
    void handle(const VmId& from, const BootId& boot, wire::forward::Open&& message);
    void handle(const VmId& from, const BootId& boot, const wire::forward::Cancel& message);
    void handle(const VmId& from, const BootId& boot, const wire::forward::Flow& message);
    void handle(const VmId& from, const BootId& boot, const wire::forward::Check& message);
    // Messages to the origin.
    void handle(const VmId& from, const BootId& boot, const wire::forward::Alive& message);
    void handle(const VmId& from, const BootId& boot, wire::forward::Head&& message);
    void handle(const VmId& from, const BootId& boot, const wire::forward::Chunk& message);
    void handle(const VmId& from, const BootId& boot, const wire::forward::Close& message);
    [[nodiscard]] Attempt* attemptOf(const VmId& from, const BootId& boot, AttemptId id);

    PeerLinks& m_links;
    BootId m_boot;
    std::string m_replyAddress;
    PostEvent m_post;
    backend::RequestLookup m_findOutgoingRequest;
    CallRequestLookup m_findCallRequest;
    EventHandle m_timer;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::map<VmId, Server> m_servers;
    std::string_view m_currentToken;
    std::unordered_map<CallId, Call> m_calls;
    std::map<Key, CallId> m_callsByKey;
    CallId m_lastCallId;
};

} // namespace rosemarymill::runtime::forward
