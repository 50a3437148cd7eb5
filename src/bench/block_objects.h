#pragma once

#include <string>

namespace lacewing::bench {

/// An object of 10,000 blocks has about 220 KB, below the 1 MB of the store and the 512 KB of a message part.
constexpr int blocks_per_object = 10000;

/// @brief Value of the object `blocks/<object>`: /24 and /48 blocks steered to 150 sites.
/// @param shifted Number of leading blocks that have another site than with 0.
std::string block_object(int object, int count, int shifted);

} // namespace lacewing::bench
