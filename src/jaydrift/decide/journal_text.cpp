#include <jaydrift/decide/journal_steps.hpp>

#include <jaydrift/decide/field_reader.hpp>
#include <jaydrift/decide/field_writer.hpp>
#include <jaydrift/decide/journal_record.hpp>

#include <algorithm>
#include <map>

namespace jaydrift::decide::journal {

namespace {

/// What the value of a slot holds besides its number.
struct slot_content
{
    std::uint64_t epoch = 0;
    std::vector<std::string> records;
};

std::vector<std::string> read_records(field_reader& reader)
{
    std::vector<std::string> records;
    while (!reader.empty())
    {
        records.emplace_back(reader.text());
    }
    return records;
}

void read_snapshot(journal_content& content, store_entry const& entry)
{
    field_reader reader(entry.value);
    content.snapshot_revision = entry.revision;
    content.snapshot_slot = reader.number<std::uint64_t>();
    content.epoch = std::max(content.epoch, reader.number<std::uint64_t>());
    content.snapshot = reader.text();
    content.records = read_records(reader);
}

} // namespace

std::string prefix_of(shard_id const& shard)
{
    return "batch/" + to_string(shard) + '/';
}

std::string snapshot_key(shard_id const& shard)
{
    return prefix_of(shard) + "snapshot";
}

std::string slot_key(shard_id const& shard, std::uint64_t slot)
{
    // Two digits, so that no slot's key is the prefix of another's.
    auto const index = slot % journal_keys;
    return prefix_of(shard) + "slot-" + (index < 10 ? "0" : "")
           + std::to_string(index);
}

std::string slot_value(std::uint64_t slot, std::uint64_t epoch,
                       std::span<journal_record const> records)
{
    field_writer writer;
    writer.add(slot).add(epoch);
    for (auto const& record : records)
    {
        writer.add(std::string_view(record.text));
    }
    return writer.take();
}

std::string snapshot_value(std::uint64_t slot, std::uint64_t epoch,
                           std::string_view table_text,
                           std::span<std::string const> records)
{
    field_writer writer;
    writer.add(slot).add(epoch).add(table_text);
    for (auto const& record : records)
    {
        writer.add(std::string_view(record));
    }
    return writer.take();
}

std::uint64_t epoch_of(std::string_view value)
{
    field_reader reader(value);
    reader.text();
    return reader.number<std::uint64_t>();
}

journal_content decode_content(shard_id const& shard,
                               std::span<store_entry const> entries)
{
    journal_content content;
    std::map<std::uint64_t, slot_content> slots;
    for (auto const& entry : entries)
    {
        if (entry.key == snapshot_key(shard))
        {
            read_snapshot(content, entry);
            continue;
        }
        field_reader reader(entry.value);
        auto const slot = reader.number<std::uint64_t>();
        if (entry.key != slot_key(shard, slot))
        {
            throw field_error("slot " + std::to_string(slot)
                              + " is stored under the key of another slot, "
                              + entry.key);
        }
        content.revisions[slot % journal_keys] = entry.revision;
        auto const epoch = reader.number<std::uint64_t>();
        content.epoch = std::max(content.epoch, epoch);
        slots[slot] = {epoch, read_records(reader)};
    }
    content.last_slot = content.snapshot_slot;
    for (auto& [slot, stored] : slots)
    {
        if (slot <= content.snapshot_slot)
        {
            continue;
        }
        if (slot != content.last_slot + 1)
        {
            throw field_error("slot " + std::to_string(content.last_slot + 1)
                              + " is missing");
        }
        content.last_slot = slot;
        std::move(stored.records.begin(), stored.records.end(),
                  std::back_inserter(content.records));
    }
    return content;
}

} // namespace jaydrift::decide::journal
