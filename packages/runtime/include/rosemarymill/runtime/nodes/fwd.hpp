#pragma once

/// Forward declarations of the processes of a fleet.
namespace rosemarymill::runtime::nodes {

class ControlLink;
class ControlNode;
class EntryNode;
class ServerClient;
class SubscriberServer;
struct Environment;

} // namespace rosemarymill::runtime::nodes
