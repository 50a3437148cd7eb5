#pragma once

#include <json/value.h>
#include <string>

namespace lacewing {

/// @brief Builds the text of a JSON-RPC 2.0 notification with libjsonrpccpp's client.
/// @param method Name of the method.
/// @param params Named parameters, a JSON object.
/// @return The message as it is sent; the library adds a line end.
std::string build_notification(const std::string& method, const Json::Value& params);

} // namespace lacewing
