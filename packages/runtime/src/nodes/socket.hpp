#pragma once

/// Options of the sockets between processes of a fleet.
namespace rosemarymill::runtime::nodes {

/// Sends small frames at once and gives up on unacknowledged bytes before the contact time of the platform is over.
void setFleetSocketOptions(int socket) noexcept;

} // namespace rosemarymill::runtime::nodes
