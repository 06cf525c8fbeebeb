#ifndef JAYDRIFT_DECIDE_SHARD_RECORD_TEXT_HPP
#define JAYDRIFT_DECIDE_SHARD_RECORD_TEXT_HPP

#include <jaydrift/core/shard_record.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace jaydrift::decide {

/// Returns the store's key of a shard's record.
std::string shard_record_key(shard_id const& shard);

/// Returns the value of a shard's record in the store.
std::string encode_shard_record(shard_record const& record);

/// Returns nothing if the text is not a record.
std::optional<shard_record> decode_shard_record(std::string_view text);

} // namespace jaydrift::decide

#endif // JAYDRIFT_DECIDE_SHARD_RECORD_TEXT_HPP
