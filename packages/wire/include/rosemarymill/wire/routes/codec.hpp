#pragma once

#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/wire/codec/codec.hpp>

/// Codec of the changes of the document. They may be longer than a frame; see fleet::splitPush.
namespace rosemarymill::wire::routes {

void encode(const rosemarymill::routes::DocumentChanges& changes, Buffer& buf);

/// The error is DecodeError::Malformed.
[[nodiscard]] Result<rosemarymill::routes::DocumentChanges> decode(std::span<const std::byte> payload);

} // namespace rosemarymill::wire::routes
