#include <rosemarymill/wire/node/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>

#include <variant>

namespace rosemarymill::wire::node {

using rosemarymill::node::PeerMessage;

// Each module adds one handler here and one case below.
std::optional<FrameKind> encode(const PeerMessage& message, Buffer& payload)
{
    (void)payload;
    return std::visit(
        Overloaded {
            [](const auto&) -> std::optional<FrameKind> { return std::nullopt; },
        },
        message);
}

Result<PeerMessage> decode(FrameKind kind, std::span<const std::byte> payload)
{
    (void)payload;
    switch (kind) {
    default:
        // Hello and Forward never reach this codec: the link and the forwarder handle them.
        return DecodeError::UnexpectedKind;
    }
}

} // namespace rosemarymill::wire::node
