#ifndef JAYDRIFT_SCENARIO_SCRIPT_ERROR_HPP
#define JAYDRIFT_SCENARIO_SCRIPT_ERROR_HPP

#include <stdexcept>

namespace jaydrift::scenario {

/// A scenario file has a mistake; the text begins with the file and the line.
class script_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::scenario

#endif // JAYDRIFT_SCENARIO_SCRIPT_ERROR_HPP
