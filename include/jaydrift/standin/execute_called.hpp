#ifndef JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP
#define JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP

#include <cstdint>
#include <string>

namespace jaydrift::standin {

/// A worker asks a backend server to execute a request.
struct execute_called
{
    std::uint64_t number = 0;
    std::string request;
    std::string kind;
    std::string payload;
};

} // namespace jaydrift::standin

#endif // JAYDRIFT_STANDIN_EXECUTE_CALLED_HPP
