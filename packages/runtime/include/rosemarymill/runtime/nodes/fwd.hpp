#pragma once

/// Forward declarations of the processes of a fleet.
namespace rosemarymill::runtime::nodes {

class ControlLink;
class ControlNode;
class EntryNode;
class ServerClient;
class SubscriberServer;
struct PlatformAdapter;

} // namespace rosemarymill::runtime::nodes
