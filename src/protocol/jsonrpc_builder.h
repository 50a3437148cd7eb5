#pragma once

#include <json/value.h>
#include <string>

namespace lacewing {

/// @brief Encodes a JSON-RPC 2.0 notification with the client of libjsonrpccpp.
/// @param method Name of the method.
/// @param params Named parameters, a JSON object.
/// @return The encoded message, which ends with the newline that the library adds.
std::string build_notification(const std::string& method, const Json::Value& params);

} // namespace lacewing
