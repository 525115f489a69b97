#include "socket.hpp"

#include <rosemarymill/runtime/link/peer_links.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarymill::runtime {

void setLinkOptions(int socket) noexcept
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto timeout = static_cast<unsigned>(std::chrono::milliseconds { linkSendTimeout / 1ms }.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace rosemarymill::runtime
