#include <jaydrift/core/network_address.hpp>

#include <string>

#include <gtest/gtest.h>

namespace jaydrift {

// Guards against an address of another writer that is found to be unusable only
// when a connection is opened.
TEST(network_address, accepts_only_a_numeric_address_and_a_port)
{
    for (auto const* const text :
         {"10.0.0.9:80", "127.0.0.1:1", "10.0.0.9:65535", "[::1]:8000"})
    {
        EXPECT_TRUE(is_network_address(text)) << text;
    }
    for (auto const& text : {std::string(),
                             std::string("10.0.0.9"),
                             std::string("10.0.0.9:"),
                             std::string("10.0.0.9:0"),
                             std::string("10.0.0.9:65536"),
                             std::string("10.0.0.9:-1"),
                             std::string("10.0.0.9:+80"),
                             std::string("10.0.0.9:80x"),
                             std::string("10.0.0.9: 80"),
                             std::string("10.0.0.9:99999999999999999999"),
                             std::string("10.0.0:80"),
                             std::string("10.0.0.256:80"),
                             std::string("host.example:80"),
                             std::string(":80"),
                             std::string("::1:80"),
                             std::string("[:80"),
                             std::string("[]:80"),
                             std::string("[::1:80"),
                             std::string("]:80"),
                             std::string("10.0.0.9\0:80", 12),
                             std::string(100000, '1') + ":80"})
    {
        EXPECT_FALSE(is_network_address(text)) << text.substr(0, 40);
    }
}

} // namespace jaydrift
