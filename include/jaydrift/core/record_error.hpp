#ifndef JAYDRIFT_CORE_RECORD_ERROR_HPP
#define JAYDRIFT_CORE_RECORD_ERROR_HPP

#include <stdexcept>

namespace jaydrift {

/// A text, such as a value of the store, is not a record of the expected form.
class record_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift

#endif // JAYDRIFT_CORE_RECORD_ERROR_HPP
