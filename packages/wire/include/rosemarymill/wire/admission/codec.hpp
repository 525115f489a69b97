#pragma once

#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the admission module's messages.
namespace rosemarymill::wire::admission {

void encode(const rosemarymill::admission::Message& message, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::admission::Message> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::admission
