#pragma once

/// Forward declarations of rosemarymillctl.
namespace rosemarymill::ctl {

enum class Command;
enum class ExitCode : int;
struct Arguments;
struct Answer;
class Client;

} // namespace rosemarymill::ctl
