#include <jaydrift/decide/shard_record_text.hpp>

#include <jaydrift/decide/text_fields.hpp>

#include <limits>

namespace jaydrift::decide {

std::string shard_record_key(shard_id const& shard)
{
    return "shards/" + to_string(shard);
}

std::string encode_shard_record(shard_record const& record)
{
    text_fields fields;
    fields.set("region", record.shard.region);
    fields.set("number", record.shard.number);
    fields.set("epoch", record.epoch);
    fields.set("owner", record.owner);
    fields.set("generation", record.generation);
    fields.set("voters", record.voters);
    fields.set("previous", record.previous_voters);
    return fields.encode();
}

std::optional<shard_record> decode_shard_record(std::string_view text)
{
    text_fields const fields(text);
    auto const region = fields.text("region");
    auto const number = fields.number("number");
    auto const epoch = fields.number("epoch");
    auto const owner = fields.text("owner");
    auto const generation = fields.number("generation");
    if (!region || !number || !epoch || !owner || !generation
        || *number > std::numeric_limits<std::uint32_t>::max())
    {
        return {};
    }
    return shard_record{{*region, static_cast<std::uint32_t>(*number)},
                        *epoch,
                        *owner,
                        *generation,
                        fields.list("voters"),
                        fields.list("previous")};
}

} // namespace jaydrift::decide
