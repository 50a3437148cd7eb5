#pragma once

#include "coordination/duty_lease.h"
#include "coordination/usage_message.h"

#include <json/value.h>

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Whether a datagram holds a usage message.
bool is_usage_message(std::string_view datagram);
/// @brief Encodes a message as one datagram.
std::string encode_usage_message(const usage_message& message);
/// @brief Decodes a datagram.
/// @throws error with error_kind::bad_request for a malformed one.
usage_message decode_usage_message(std::string_view datagram);

/// @brief Encodes the stored lease of a duty.
Json::Value encode_duty_record(const duty_record& record);
/// @brief Decodes the stored lease of a duty.
/// @throws error with error_kind::bad_request for a malformed one.
duty_record decode_duty_record(const Json::Value& spec);

} // namespace lacewing
