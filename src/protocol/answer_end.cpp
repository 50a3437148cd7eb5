#include "protocol/answer_end.h"

namespace lacewing {

bool is_complete_answer(answer_delimiter delimiter, answer_end end, request_progress request) {
    // An endpoint may answer a long upload before it has read all of it.
    if (delimiter != answer_delimiter::connection_end) return end == answer_end::delimiter_read;
    return end == answer_end::closed && request == request_progress::written;
}

status_kind kind_of_status(unsigned status) {
    if (status < 100 || status > 599) return status_kind::invalid;
    return status < 200 ? status_kind::interim : status_kind::final;
}

} // namespace lacewing
