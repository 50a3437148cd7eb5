#pragma once

#include <string_view>

namespace lacewing {

/// @brief Names of the HTTP headers, cookie and paths of one caller and endpoint interface.
/// Requests are handled in the same way for every interface; only these names differ.
struct caller_dialect {
    /// Header with the id of one attempt of a caller; forwarded unchanged and echoed by endpoints.
    std::string_view attempt_id;
    /// Header with the time that the sender will wait, in milliseconds.
    std::string_view deadline;
    /// Header with the key of the client account.
    std::string_view key;
    /// Cookie that names the object of a request; on routes with affinity, requests for one object prefer the
    /// same endpoint.
    std::string_view affinity_cookie;
    /// Header with the id of the endpoint that must handle the request; any other endpoint answers 421.
    std::string_view expected_endpoint;
    /// Header that tells the endpoint the client account.
    std::string_view account;
    /// Header of an endpoint's answer; present when the endpoint did not execute the request.
    std::string_view not_run;
    /// Header with the load of the answering endpoint: "running,waiting,slots".
    std::string_view load;
    /// Header with the requests per second that the answering endpoint takes from all VMs together.
    std::string_view limit;
    /// Header of all answers of an endpoint that is leaving, with the value "1".
    std::string_view leaving;
    /// Path at which callers request the addresses of entry VMs.
    std::string_view lookup_path;
    /// Path of the readiness check.
    std::string_view ready_path;
};

} // namespace lacewing
