#pragma once

namespace lacewing {

/// @brief Drives the pure control code of fleets of 10 to 870 nodes in virtual time and prints the cost per
/// node.
/// @return Exit status: 0 when the targets of design 1.3 are met.
int bench_spread();

} // namespace lacewing
