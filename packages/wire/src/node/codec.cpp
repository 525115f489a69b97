#include <rosemarymill/wire/node/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/membership/codec.hpp>
#include <rosemarymill/wire/placement/codec.hpp>

#include <variant>

namespace rosemarymill::wire::node {

using rosemarymill::node::PeerMessage;

namespace {

template <typename Message> Result<PeerMessage> convert(Result<Message>&& message)
{
    if (!message)
        return message.error();
    return PeerMessage { std::move(message.value()) };
}

} // namespace

// Each module adds one handler here and one case below.
std::optional<FrameKind> encode(const PeerMessage& message, Buffer& payload)
{
    return std::visit(Overloaded {
                          [&](const rosemarymill::membership::Message& it) -> std::optional<FrameKind> {
                              membership::encode(it, payload);
                              return FrameKind::Membership;
                          },
                          [&](const rosemarymill::placement::Message& it) -> std::optional<FrameKind> {
                              placement::encode(it, payload);
                              return FrameKind::Placement;
                          },
                          [](const auto&) -> std::optional<FrameKind> { return std::nullopt; },
                      },
        message);
}

Result<PeerMessage> decode(FrameKind kind, std::span<const std::byte> payload)
{
    switch (kind) {
    case FrameKind::Membership:
        return convert(membership::decode(payload));
    case FrameKind::Placement:
        return convert(placement::decode(payload));
    default:
        // Hello and Forward never reach this codec: the link and the forwarder handle them.
        return DecodeError::UnexpectedKind;
    }
}

} // namespace rosemarymill::wire::node
