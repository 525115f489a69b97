#pragma once

/// Socket options of links.
namespace rosemarymill::runtime {

/// Sets TCP_NODELAY, so that small frames are sent at once, and TCP_USER_TIMEOUT to linkSendTimeout.
void setLinkOptions(int socket) noexcept;

} // namespace rosemarymill::runtime
