#pragma once

#include <rosemarymill/core/membership/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the membership module's messages.
namespace rosemarymill::wire::membership {

void encode(const rosemarymill::membership::Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::membership::Message> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::membership
