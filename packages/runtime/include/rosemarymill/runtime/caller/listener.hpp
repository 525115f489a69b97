#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/runtime/backend/client.hpp>
#include <rosemarymill/runtime/backend/outgoing_request.hpp>
#include <rosemarymill/runtime/http/server.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Listener for callers: model calls, service calls and their responses.
namespace rosemarymill::runtime::caller {

/// Unsent bytes in the connection's output buffer up to which a stream's tokens are moved there. The rest stays in the
/// stream's own buffer, which can be dropped when the stream is suspended.
inline constexpr std::size_t writeWindowBytes = 4 * 1024;

/// Turns callers' requests into events and sends the responses.
class Listener {
public:
    Listener(event_base* base, http::Server& server, PostEvent post);
    ~Listener();

    /// Request of a call in progress; null when the call has ended.
    [[nodiscard]] const backend::OutgoingRequest* find(CallId call) const;

    void begin(const node::BeginResponse& effect);
    /// Appends one token event to the stream of a call.
    void append(CallId call, std::string_view token);
    /// Ends a stream, or sends a buffered response.
    void finish(CallId call, const backend::BufferedResponse& answer);
    /// Sends a response that was recorded earlier.
    void answer(const node::AnswerCall& effect);
    void refuse(const node::RefuseCall& effect);
    /// Drops the tokens that have not been moved to the connection's output buffer.
    void suspend(const node::ParkStream& effect);

    /// Calls whose response has not been written to the socket completely.
    [[nodiscard]] std::size_t calls() const noexcept { return m_calls.size(); }

private:
    struct Call;

    void receiveModelCall(http::Exchange& exchange);
    void receiveServiceCall(http::Exchange& exchange);
    void accept(http::Exchange& exchange, call::Request request, std::string target);
    void exchangeClosed(CallId id);
    void scheduleWrite(Call& call);
    void flush();
    void writePending(Call& call);
    void reportBacklog(Call& call);

    PostEvent m_post;
    EventHandle m_flush;
    std::unordered_map<CallId, std::unique_ptr<Call>> m_calls;
    std::vector<CallId> m_callsToWrite;
    CallId m_lastCallId;
};

} // namespace rosemarymill::runtime::caller
