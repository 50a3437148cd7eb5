#pragma once

#include "coordination/vm_report.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing {

/// @brief Encodes a report as text without characters that JSON escapes, so that other VMs can pass it on as
/// it is.
std::string encode_report(const vm_report& report);

/// @brief Decodes a report.
/// @throws error with error_kind::bad_request when the text is not a valid report.
vm_report decode_report(std::string_view text);

/// @brief Decodes only the header of a report.
/// @throws error with error_kind::bad_request when the text does not begin with a valid header.
report_header decode_report_header(std::string_view text);

/// Bytes of encoded reports in one datagram, unless a single report is longer.
inline constexpr std::size_t max_datagram_reports_bytes = 16'384;

/// @brief Encodes reports as JSON-RPC 2.0 notifications, one for each datagram.
/// @param own Report of the sender, the first one of each datagram.
/// @param relayed Reports of other VMs that the sender passes on.
/// @return At least one datagram.
std::vector<std::string> encode_report_datagrams(std::string_view own,
                                                 std::span<const std::string> relayed = {});

/// @brief Splits a datagram into its encoded reports, that of the sender first.
/// @return Views into the datagram, at least one.
/// @throws error with error_kind::bad_request when the text is not such a notification.
std::vector<std::string_view> split_report_datagram(std::string_view datagram);

} // namespace lacewing
