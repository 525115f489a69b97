#pragma once

/// Socket options of links.
namespace rosemarymill::runtime {

/// Sends small frames at once and limits the time for unacknowledged bytes.
void setLinkOptions(int socket) noexcept;

} // namespace rosemarymill::runtime
