#include <jaydrift/decide/member_text.hpp>

#include <jaydrift/decide/text_fields.hpp>

namespace jaydrift::decide {

std::string encode_member(member_info const& member)
{
    text_fields fields;
    fields.set("daemon", member.daemon);
    fields.set("address", member.address);
    fields.set("region", member.region);
    fields.set("zone", member.zone);
    return fields.encode();
}

std::optional<member_info> decode_member(std::string_view text)
{
    text_fields const fields(text);
    auto const daemon = fields.text("daemon");
    auto const address = fields.text("address");
    auto const region = fields.text("region");
    auto const zone = fields.text("zone");
    if (!daemon || daemon->empty() || !address || !region || !zone)
    {
        return {};
    }
    return member_info{*daemon, *address, *region, *zone};
}

} // namespace jaydrift::decide
