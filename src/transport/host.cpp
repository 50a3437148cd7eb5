#include "transport/host.h"

#include <fstream>

namespace lacewing {

std::string host_boot_id() {
    std::ifstream file("/proc/sys/kernel/random/boot_id");
    std::string id;
    file >> id;
    return id;
}

} // namespace lacewing
