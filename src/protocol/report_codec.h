#pragma once

#include "coordination/vm_report.h"

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Encodes a report as a JSON-RPC 2.0 notification that fits into one datagram.
std::string encode_report(const vm_report& report);

/// @brief Decodes a report.
/// @throws error with error_kind::bad_request for any other text.
vm_report decode_report(std::string_view text);

} // namespace lacewing
