#ifndef JAYDRIFT_APP_STANDIN_SUPPORT_HPP
#define JAYDRIFT_APP_STANDIN_SUPPORT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jaydrift::net {
class rpc_thread;
struct http_settings;
} // namespace jaydrift::net

namespace jaydrift::app {

/// Returns an address with the port that the kernel chose.
std::string with_port(std::string_view address, std::uint16_t port);

/// Logs where a stand-in listens.
void announce(std::string_view part, std::string_view whom,
              std::string_view address);

/// Waits until the thread has run its work and written small answers.
void flush(net::rpc_thread& thread);

/// Returns the settings of a front end.
net::http_settings http_on(std::string_view address, std::size_t threads);

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_STANDIN_SUPPORT_HPP
