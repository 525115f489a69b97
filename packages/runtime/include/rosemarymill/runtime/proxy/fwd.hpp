#pragma once

/// Forward declarations of the proxy.
namespace rosemarymill::runtime::proxy {

class Call;
class ClientConnection;
class Parser;
class Proxy;
class Upstream;
class UpstreamPool;
struct HeaderNames;
struct MessageHead;

} // namespace rosemarymill::runtime::proxy
