#pragma once

/// Forward declarations of the replicated log.
namespace rosemarymill::agreement {

enum class Role;
enum class ProposalError;
struct Settings;
struct HardState;

template <typename Command> struct Entry;
template <typename Command, typename Snapshot> struct PersistedState;
template <typename Command, typename Snapshot> class Log;
template <typename StateMachine, typename Rules> class Replica;

} // namespace rosemarymill::agreement
