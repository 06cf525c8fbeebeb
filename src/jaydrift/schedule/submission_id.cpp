#include <jaydrift/schedule/submission_id.hpp>

#include <algorithm>
#include <cstddef>

namespace jaydrift::schedule {

bool is_submission_id(std::string_view text)
{
    constexpr std::size_t length = 16;
    return text.size() == length
           && std::all_of(text.begin(), text.end(), [](char each) {
                  return (each >= '0' && each <= '9')
                         || (each >= 'a' && each <= 'f')
                         || (each >= 'A' && each <= 'F');
              });
}

} // namespace jaydrift::schedule
