#pragma once

#include "daemon/entry_view.h"

#include <string>
#include <string_view>

namespace lacewing {

/// @brief Returns the JSON body of the answer to GET /v1/entry: the entry VMs that the caller should use.
/// @param view Null before the control thread has sent the first view.
/// @param target Request target; its query parameter `client`, if present, replaces the caller's address.
/// @param caller IP address of the caller as text.
/// @throws error with error_kind::bad_request for a malformed address, with error_kind::not_configured when
/// no entry VM is known.
std::string make_lookup_body(const entry_view* view, std::string_view target, std::string_view caller);

} // namespace lacewing
