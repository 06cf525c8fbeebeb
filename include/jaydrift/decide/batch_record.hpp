#ifndef JAYDRIFT_DECIDE_BATCH_RECORD_HPP
#define JAYDRIFT_DECIDE_BATCH_RECORD_HPP

#include <jaydrift/decide/cancel_record.hpp>
#include <jaydrift/decide/evict_record.hpp>
#include <jaydrift/decide/fail_record.hpp>
#include <jaydrift/decide/finish_record.hpp>
#include <jaydrift/decide/submit_record.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace jaydrift::decide {

/// A change of a shard's jobs, as the journal keeps it.
using batch_record = std::variant<submit_record, finish_record, evict_record,
                                  fail_record, cancel_record>;

/// Returns the text of a record for the journal.
std::string encode(batch_record const& record);

/// Returns the record that `encode` wrote.
///
/// @throws field_error if the text is malformed or has more fields than its
/// type of record.
batch_record decode_batch_record(std::string_view text);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_BATCH_RECORD_HPP
