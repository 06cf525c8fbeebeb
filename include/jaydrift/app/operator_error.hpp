#ifndef JAYDRIFT_APP_OPERATOR_ERROR_HPP
#define JAYDRIFT_APP_OPERATOR_ERROR_HPP

#include <stdexcept>

namespace jaydrift::app {

/// A command of an operator has no reply; the message is one line that says
/// why and what to do.
class operator_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_ERROR_HPP
