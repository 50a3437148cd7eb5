#pragma once

#include <string_view>

namespace lacewing {

/// @brief Names of headers and paths of the interface that callers and endpoints speak.
/// The request path is the same for every interface; only the names differ.
struct caller_dialect {
    /// Identifies one attempt of a caller; forwarded unchanged and echoed by endpoints.
    std::string_view attempt_id;
    /// Milliseconds that the sender will wait.
    std::string_view deadline;
    /// Key of the client account.
    std::string_view key;
    /// Cookie with the object that a request is about.
    std::string_view affinity_cookie;
    /// Id of the endpoint that must handle the request; another one answers 421.
    std::string_view expected_endpoint;
    /// Client account, set for the endpoint.
    std::string_view account;
    /// Present in an answer of an endpoint that did not execute the request.
    std::string_view not_run;
    /// "running,waiting,slots" of the answering endpoint.
    std::string_view load;
    /// Path at which callers ask for entry VMs.
    std::string_view lookup_path;
    /// Path of the readiness check.
    std::string_view ready_path;
};

} // namespace lacewing
