#pragma once

#include <utility>

#include <boost/asio.hpp>

namespace lacewing {

/// @brief Makes every end of a connection a reset, which discards what the peer has not acknowledged: a
/// close, the destructor of the socket, and the end of the process.
///
/// With an ordinary close the kernel goes on sending, so a request that was given up arrives when the path to
/// the peer is back, after its caller has been answered. For connections on which this side sends requests
/// and has read all answers that it wants when it closes.
/// @param socket An open socket; a failure is logged and leaves the ordinary close.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket);

} // namespace lacewing
