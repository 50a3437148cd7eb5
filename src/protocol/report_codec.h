#pragma once

#include "coordination/vm_report.h"

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Encodes a report as a JSON-RPC 2.0 notification, which is sent as one datagram.
std::string encode_report(const vm_report& report);

/// @brief Decodes a report.
/// @throws error with error_kind::bad_request when the text is not a valid report.
vm_report decode_report(std::string_view text);

} // namespace lacewing
