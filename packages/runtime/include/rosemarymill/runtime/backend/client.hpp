#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/runtime/backend/connection_pool.hpp>
#include <rosemarymill/runtime/backend/outgoing_request.hpp>
#include <rosemarymill/runtime/base/receive_limit.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// HTTP client for backend servers, based on evhttp.
namespace rosemarymill::runtime::backend {

using runtime::maxResponseBytes;

namespace detail {
struct Exchange;
} // namespace detail

/// Response that is not a stream.
struct BufferedResponse {
    int status { 0 };
    std::string contentType;
    evbuffer* body { nullptr };
};

/// Sends requests to backend servers and posts their responses as events.
class Client {
public:
    /// The id prefix is unique among all processes and their incarnations, so that request ids are unique at the
    /// servers. An attempt fails if its response makes no progress for the given time, however many bytes are received
    /// meanwhile.
    Client(event_base* base, ConnectionPool& pool, PostEvent post, RequestLookup findRequest, std::string idPrefix,
        Duration progressTimeout = defaultProgressTimeout);
    ~Client();

    void dispatch(const node::Dispatch& effect);
    void cancel(const node::CancelAttempt& effect);
    void setReading(const node::SetReading& effect);

    /// Bytes of the token event whose TokenReceived is being reduced; empty for another attempt.
    [[nodiscard]] std::string_view currentToken(AttemptId attempt) const noexcept;

    /// Response of the attempt whose ResponseFinished is being reduced; no body for an unknown attempt.
    [[nodiscard]] BufferedResponse answer(AttemptId attempt) noexcept;

    /// Requests in flight.
    [[nodiscard]] std::size_t inFlight() const noexcept { return m_exchanges.size(); }

private:
    friend struct detail::Exchange;

    void addHeaders(evhttp_request* request, const node::Dispatch& effect, const OutgoingRequest& outgoing) const;
    [[nodiscard]] std::string requestIdOf(AttemptId attempt) const;
    void fail(AttemptId attempt, node::AttemptError error, bool requestSent);
    void sendCancel(const std::string& address, AttemptId attempt);
    /// Removes an attempt that has ended. Its connection is returned to the pool or closed.
    void finish(AttemptId attempt, bool reuseConnection);
    void dispose(std::unique_ptr<detail::Exchange> exchange);

    event_base* m_base;
    ConnectionPool& m_pool;
    PostEvent m_post;
    RequestLookup m_findRequest;
    std::string m_idPrefix;
    Duration m_progressTimeout;
    EventHandle m_cleanUp;
    std::unordered_map<AttemptId, std::unique_ptr<detail::Exchange>> m_exchanges;
    std::vector<std::unique_ptr<detail::Exchange>> m_disposed;
    AttemptId m_currentAttempt;
    std::string_view m_currentToken;
};

} // namespace rosemarymill::runtime::backend
