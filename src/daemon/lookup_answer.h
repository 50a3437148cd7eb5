#pragma once

#include "daemon/entry_view.h"

#include <string>
#include <string_view>

namespace lacewing {

/// @brief JSON body of the answer to GET /v1/entry.
/// @param target Request target; the query parameter `client` replaces the caller's own address.
/// @param caller Address from which the request came, in text form.
/// @throws error with error_kind::bad_request for a malformed address, error_kind::not_configured when no VM
/// is known.
std::string lookup_answer(const entry_view* view, std::string_view target, std::string_view caller);

} // namespace lacewing
