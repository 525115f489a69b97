#pragma once

/// Forward declarations of the ledger of non-idempotent calls.
namespace rosemarymill::ledger {

struct Key;
struct Token;
struct Answer;
struct Record;
class Machine;
class Client;
class Home;

} // namespace rosemarymill::ledger
