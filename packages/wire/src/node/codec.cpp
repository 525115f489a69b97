#include <rosemarymill/wire/node/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/admission/codec.hpp>
#include <rosemarymill/wire/agreement/codec.hpp>
#include <rosemarymill/wire/configuration/codec.hpp>
#include <rosemarymill/wire/ledger/codec.hpp>
#include <rosemarymill/wire/membership/codec.hpp>
#include <rosemarymill/wire/placement/codec.hpp>
#include <rosemarymill/wire/quarantine/codec.hpp>

#include <utility>
#include <variant>

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::node {

using rosemarymill::node::PeerMessage;
using ConfigurationCodec = wire::configuration::Codec;

namespace {

Result<PeerMessage> decodeLogMessage(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(raw, agreement::decode(payload));
    constexpr std::string_view ledgerPrefix = rosemarymill::ledger::logNamePrefix;
    if (raw.log.text().starts_with(ledgerPrefix)) {
        BOOST_OUTCOME_TRY(ledgerMessage, agreement::fromRaw<ledger::Codec>(raw.message));
        const DataCentreId home { raw.log.text().substr(ledgerPrefix.size()) };
        return PeerMessage { rosemarymill::ledger::LogMessage { home, std::move(ledgerMessage) } };
    }
    if (raw.log.text() != rosemarymill::configuration::logName)
        return DecodeError::UnexpectedKind;
    BOOST_OUTCOME_TRY(message, agreement::fromRaw<ConfigurationCodec>(raw.message));
    return PeerMessage { std::move(message) };
}

template <typename Message> Result<PeerMessage> convert(Result<Message>&& message)
{
    if (!message)
        return message.error();
    return PeerMessage { std::move(message.value()) };
}

} // namespace

// Each module adds one visitor here and one case in decode().
std::optional<FrameKind> encode(const PeerMessage& message, Buffer& payload)
{
    return std::visit(
        Overloaded {
            [&](const rosemarymill::configuration::LogMessage& it) -> std::optional<FrameKind> {
                agreement::encode(agreement::LogMessage { agreement::LogId { rosemarymill::configuration::logName },
                                      agreement::toRaw<ConfigurationCodec>(it) },
                    payload);
                return FrameKind::Agreement;
            },
            [&](const rosemarymill::configuration::Message& it) -> std::optional<FrameKind> {
                wire::configuration::encode(it, payload);
                return FrameKind::Configuration;
            },
            [](std::monostate) -> std::optional<FrameKind> { return std::nullopt; },
            [&](const rosemarymill::admission::Message& it) -> std::optional<FrameKind> {
                admission::encode(it, payload);
                return FrameKind::Admission;
            },
            [&](const rosemarymill::quarantine::Message& it) -> std::optional<FrameKind> {
                quarantine::encode(it, payload);
                return FrameKind::Quarantine;
            },
            [&](const rosemarymill::ledger::Message& it) -> std::optional<FrameKind> {
                ledger::encode(it, payload);
                return FrameKind::Ledger;
            },
            [&](const rosemarymill::ledger::LogMessage& it) -> std::optional<FrameKind> {
                const agreement::LogId log { rosemarymill::ledger::logName(it.home) };
                agreement::encode(agreement::LogMessage { log, agreement::toRaw<ledger::Codec>(it.message) }, payload);
                return FrameKind::Agreement;
            },
            [&](const rosemarymill::membership::Message& it) -> std::optional<FrameKind> {
                membership::encode(it, payload);
                return FrameKind::Membership;
            },
            [&](const rosemarymill::placement::Message& it) -> std::optional<FrameKind> {
                placement::encode(it, payload);
                return FrameKind::Placement;
            },
        },
        message);
}

Result<PeerMessage> decode(FrameKind kind, std::span<const std::byte> payload)
{
    switch (kind) {
    case FrameKind::Agreement:
        return decodeLogMessage(payload);
    case FrameKind::Configuration: {
        BOOST_OUTCOME_TRY(message, wire::configuration::decode(payload));
        return PeerMessage { std::move(message) };
    }
    case FrameKind::Admission: {
        BOOST_OUTCOME_TRY(message, admission::decode(payload));
        return PeerMessage { std::move(message) };
    }
    case FrameKind::Ledger: {
        BOOST_OUTCOME_TRY(message, ledger::decode(payload));
        return PeerMessage { std::move(message) };
    }
    case FrameKind::Quarantine: {
        BOOST_OUTCOME_TRY(message, quarantine::decode(payload));
        return PeerMessage { std::move(message) };
    }
    case FrameKind::Membership:
        return convert(membership::decode(payload));
    case FrameKind::Placement:
        return convert(placement::decode(payload));
    default:
        // The link decodes Hello, the forwarder decodes Forward, and entry and control nodes decode Fleet.
        return DecodeError::UnexpectedKind;
    }
}

} // namespace rosemarymill::wire::node
