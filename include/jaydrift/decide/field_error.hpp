#ifndef JAYDRIFT_DECIDE_FIELD_ERROR_HPP
#define JAYDRIFT_DECIDE_FIELD_ERROR_HPP

#include <stdexcept>

namespace jaydrift::decide {

/// Stored text that cannot be read as fields.
class field_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_FIELD_ERROR_HPP
