#pragma once

/// Options of the sockets between processes of a fleet.
namespace rosemarymill::runtime::nodes {

/// Disables Nagle's algorithm, and closes connections whose bytes stay unacknowledged before the platform's contact
/// time is over.
void setFleetSocketOptions(int socket) noexcept;

} // namespace rosemarymill::runtime::nodes
