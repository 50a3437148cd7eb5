#pragma once

#include <string>

namespace lacewing {

/// @brief Boot id of the host's kernel; it changes with each boot.
/// @return Empty if the kernel does not provide it; a restarted process then waits until the lease of its
/// predecessor has expired.
std::string host_boot_id();

} // namespace lacewing
