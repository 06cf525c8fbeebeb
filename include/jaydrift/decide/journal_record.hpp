#ifndef JAYDRIFT_DECIDE_JOURNAL_RECORD_HPP
#define JAYDRIFT_DECIDE_JOURNAL_RECORD_HPP

#include <cstdint>
#include <string>

namespace jaydrift::decide {

/// A record that is not known to be in the store yet.
struct journal_record
{
    std::uint64_t sequence = 0;
    std::string text;
};

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_JOURNAL_RECORD_HPP
