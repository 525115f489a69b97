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

/// Listener for callers: model calls, plain services and their answers.
namespace rosemarymill::runtime::caller {

/// Bytes of a stream handed to the connection's output buffer at once. The rest stays in the stream's own buffer, which
/// can be dropped when the stream is suspended.
inline constexpr std::size_t writeWindowBytes = 4 * 1024;

/// Turns callers' requests into events and sends the answers.
class Listener {
public:
    Listener(event_base* base, http::Server& server, PostEvent post);
    ~Listener();

    /// Request of a call in progress; null when the call has ended.
    [[nodiscard]] const backend::OutgoingRequest* find(CallId call) const;

    void begin(const node::BeginResponse& effect);
    /// Appends one token event to the stream of a call.
    void append(CallId call, std::string_view token);
    /// Ends a stream, or sends a whole answer.
    void finish(CallId call, const backend::BufferedResponse& answer);
    /// Sends an answer that was recorded earlier.
    void answer(const node::AnswerCall& effect);
    void refuse(const node::RefuseCall& effect);
    /// Drops the tokens that are not handed to the caller's connection.
    void suspend(const node::ParkStream& effect);

    /// Calls whose answer has not been taken whole by the kernel.
    [[nodiscard]] std::size_t calls() const noexcept { return m_calls.size(); }

private:
    struct Call;

    void receiveModelCall(http::Exchange& exchange);
    void receiveServiceCall(http::Exchange& exchange);
    void accept(http::Exchange& exchange, call::Request request, std::string target);
    void closed(CallId id);
    void markDirty(Call& call);
    void flush();
    void pump(Call& call);
    void reportBacklog(Call& call);

    PostEvent m_post;
    EventHandle m_flush;
    std::unordered_map<CallId, std::unique_ptr<Call>> m_calls;
    std::vector<CallId> m_dirty;
    CallId m_last;
};

} // namespace rosemarymill::runtime::caller
