#pragma once

#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the changes of the document. Encoded changes can be longer than a frame; fleet::splitPush() splits them.
namespace rosemarymill::wire::routes {

void encode(const rosemarymill::routes::DocumentChanges& changes, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::routes::DocumentChanges> decode(std::span<const std::byte> payload);

/// Encodes and compresses changes. The error is that of wire::compress.
[[nodiscard]] Result<std::string> pack(const rosemarymill::routes::DocumentChanges& changes);

/// Decompresses and decodes the result of pack(). `maxBytes` limits the size of the encoded changes before compression.
/// The errors are those of wire::decompress and decode().
[[nodiscard]] Result<rosemarymill::routes::DocumentChanges> unpack(
    std::span<const std::byte> packed, std::size_t maxBytes);

} // namespace rosemarymill::wire::routes
