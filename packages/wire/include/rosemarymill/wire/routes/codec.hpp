#pragma once

#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the changes of the document. They may be longer than a frame; see fleet::splitPush.
namespace rosemarymill::wire::routes {

void encode(const rosemarymill::routes::DocumentChanges& changes, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::routes::DocumentChanges> decode(std::span<const std::byte> payload);

/// Encodes and compresses changes. The error is that of wire::compress.
[[nodiscard]] Result<std::string> pack(const rosemarymill::routes::DocumentChanges& changes);

/// Changes of a text that pack() returned, of `maxBytes` at most before they were compressed. The errors are those of
/// wire::decompress and decode().
[[nodiscard]] Result<rosemarymill::routes::DocumentChanges> unpack(
    std::span<const std::byte> packed, std::size_t maxBytes);

} // namespace rosemarymill::wire::routes
