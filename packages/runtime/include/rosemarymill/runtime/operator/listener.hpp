#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>
#include <rosemarymill/runtime/operator/pages.hpp>

#include <cstdint>
#include <memory>
#include <string>

struct event_base;

/// HTTP listener for operators.
namespace rosemarymill::runtime {

/// Time to wait for the core's reply to an operator's command. After it, the operator gets the result "unknown".
inline constexpr Duration operatorReplyTimeout = 15s;

/// Maximum body size of an operator's request in bytes.
inline constexpr std::uint64_t maxOperatorBodyBytes = 1024 * 1024;

/// Converts operators' requests to ManifestSubmitted and AvailabilityCommand events and executes ReplyOperator. The
/// state is only read, to render the pages.
class OperatorListener {
public:
    /// Listens on "ip:port"; port 0 takes a free port. Errors are those of bind(2) and parseAddress().
    [[nodiscard]] static Result<std::unique_ptr<OperatorListener>> open(event_base& base, const std::string& address,
        const node::State& state, PostEvent post, MetricsText metrics = {});

    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    /// Answers an operator's request. A reply to a request that was answered or closed before is ignored.
    void executeEffect(const node::ReplyOperator& effect);

    /// Port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    struct Impl;
    explicit OperatorListener(std::unique_ptr<Impl> impl) noexcept;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rosemarymill::runtime
