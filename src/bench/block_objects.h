#pragma once

#include <string>

namespace lacewing::bench {

/// An object of 10,000 blocks takes about 220 KB: below the store's limit of 1 MB per object and the limit of
/// 512 KB per message part.
constexpr int blocks_per_object = 10000;

/// @brief Returns the JSON value of the stored object `blocks/<object>`: /24 and /48 blocks assigned to 150
/// sites.
/// @param object Number of the object; different objects contain different blocks.
/// @param count Number of blocks in the object.
/// @param moved_blocks Number of leading blocks that are assigned to another site than with 0.
std::string block_object(int object, int count, int moved_blocks);

} // namespace lacewing::bench
