#pragma once

namespace bg {

/// Runs a proxy until SIGTERM or SIGINT. Prints one line
/// "listening port=N admin_port=N peer_port=N" on standard output when it accepts connections.
/// @return Exit code: 0 after a graceful shutdown, 1 for bad settings or an address in use, 2 for
/// wrong arguments.
int RunProxy(int argc, char** argv);

} // namespace bg
