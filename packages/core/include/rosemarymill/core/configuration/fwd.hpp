#pragma once

/// Forward declarations of the configuration types.
namespace rosemarymill::configuration {

struct AdapterSpec;
struct ReplicaRange;
struct ModelSpec;
struct RequestKind;
struct ClientAccount;
struct Route;
struct ServiceSpec;
struct Manifest;
struct TakeOut;
struct Answer;
class EntryTable;
class Machine;
class Readiness;

} // namespace rosemarymill::configuration
