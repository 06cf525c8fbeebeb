#ifndef JAYDRIFT_SCENARIO_SCENARIO_FILE_ERROR_HPP
#define JAYDRIFT_SCENARIO_SCENARIO_FILE_ERROR_HPP

#include <stdexcept>

namespace jaydrift::scenario {

/// Thrown for a scenario file that cannot be read or has an invalid command.
/// The message begins with the file and, for a command, the line.
class scenario_file_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SCENARIO_FILE_ERROR_HPP
