#include <rosemarymill/wire/node/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/admission/codec.hpp>
#include <rosemarymill/wire/quarantine/codec.hpp>

#include <utility>
#include <variant>

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::node {

using rosemarymill::node::PeerMessage;

// Each module adds one handler here and one case below.
std::optional<FrameKind> encode(const PeerMessage& message, Buffer& payload)
{
    return std::visit(Overloaded {
                          [](std::monostate) -> std::optional<FrameKind> { return std::nullopt; },
                          [&](const rosemarymill::admission::Message& it) -> std::optional<FrameKind> {
                              admission::encode(it, payload);
                              return FrameKind::Admission;
                          },
                          [&](const rosemarymill::quarantine::Message& it) -> std::optional<FrameKind> {
                              quarantine::encode(it, payload);
                              return FrameKind::Quarantine;
                          },
                      },
        message);
}

Result<PeerMessage> decode(FrameKind kind, std::span<const std::byte> payload)
{
    switch (kind) {
    case FrameKind::Admission: {
        BOOST_OUTCOME_TRY(message, admission::decode(payload));
        return PeerMessage { std::move(message) };
    }
    case FrameKind::Quarantine: {
        BOOST_OUTCOME_TRY(message, quarantine::decode(payload));
        return PeerMessage { std::move(message) };
    }
    default:
        // Hello and Forward never reach this codec: the link and the forwarder handle them.
        return DecodeError::UnexpectedKind;
    }
}

} // namespace rosemarymill::wire::node
