#include "transport/reset_on_close.h"

#include "transport/log.h"

#include <sys/socket.h>

#include <cerrno>

namespace lacewing {

void set_reset_on_close(boost::asio::ip::tcp::socket& socket) {
    // The destructor of an Asio socket undoes a linger option that was set through Asio.
    const ::linger option{.l_onoff = 1, .l_linger = 0};
    if (::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option)) == 0) return;
    const boost::system::error_code failure(errno, boost::system::system_category());
    log(log_level::warn, "reset_on_close_failed", {{"reason", failure.message()}});
}

} // namespace lacewing
