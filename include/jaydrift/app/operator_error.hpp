#ifndef JAYDRIFT_APP_OPERATOR_ERROR_HPP
#define JAYDRIFT_APP_OPERATOR_ERROR_HPP

#include <stdexcept>

namespace jaydrift::app {

/// Thrown if a command of jaydriftctl gets no reply or cannot read a document.
/// The message says why and, where possible, what to do, in one line without a
/// line break.
class operator_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::app

#endif // JAYDRIFT_APP_OPERATOR_ERROR_HPP
