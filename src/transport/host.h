#pragma once

#include <string>

namespace lacewing {

/// @brief Identifier of the running kernel of this host; another one after each boot.
/// @return Empty when the kernel does not tell it; a restarted process then waits for the lease of its
/// predecessor.
std::string host_boot_id();

} // namespace lacewing
