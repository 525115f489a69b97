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

/// Time after which an operator whose command the core has not answered is told that the outcome is unknown.
inline constexpr Duration operatorReplyTimeout = 15s;

/// Longest body of an operator's request in bytes.
inline constexpr std::uint64_t maxOperatorBodyBytes = 1024 * 1024;

/// Turns operators' requests into ManifestSubmitted and AvailabilityCommand events and carries out ReplyOperator. The
/// state is only read, for the pages.
class OperatorListener {
public:
    /// Listens on "ip:port"; port 0 takes a free port. Errors are those of bind(2) and parseAddress().
    [[nodiscard]] static Result<std::unique_ptr<OperatorListener>> open(event_base& base, const std::string& address,
        const node::State& state, PostEvent post, MetricsText metrics = {});

    ~OperatorListener();
    OperatorListener(const OperatorListener&) = delete;
    OperatorListener& operator=(const OperatorListener&) = delete;

    /// Answers an operator's request. Requests that are no longer waiting are ignored.
    void executeEffect(const node::ReplyOperator& effect);

    /// Port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    struct Impl;
    explicit OperatorListener(std::unique_ptr<Impl> impl) noexcept;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rosemarymill::runtime
