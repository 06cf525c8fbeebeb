#include <jaydrift/scenario/runner.hpp>
#include <jaydrift/scenario/script.hpp>
#include <jaydrift/scenario/script_error.hpp>
#include <jaydrift/scenario/world.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <string>
#include <vector>

namespace jaydrift::scenario {

namespace {

std::vector<std::string> scenario_files()
{
    std::vector<std::string> files;
    for (auto const& entry :
         std::filesystem::directory_iterator(JAYDRIFT_SCENARIO_DIR))
    {
        files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::string test_name(testing::TestParamInfo<std::string> const& info)
{
    auto name = std::filesystem::path(info.param).stem().string();
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

class scenario_file : public testing::TestWithParam<std::string>
{
};

} // namespace

// Each file says which failure it guards against.
TEST_P(scenario_file, holds)
{
    runner executor;
    auto const failures = executor.run(load_script(GetParam()));
    EXPECT_GT(executor.checked(), 0U);
    for (auto const& failure : failures)
    {
        ADD_FAILURE() << failure;
    }
}

INSTANTIATE_TEST_SUITE_P(files, scenario_file,
                         testing::ValuesIn(scenario_files()), test_name);

// Guards against a scenario that passes because a line of it is ignored.
TEST(script, mistakes_name_the_file_and_the_line)
{
    auto const mistake = [](std::string const& text) -> std::string {
        try
        {
            runner().run(parse_script("x", text));
        }
        catch (script_error const& error)
        {
            return error.what();
        }
        return {};
    };
    EXPECT_EQ(mistake("deployment kallaloo\n\nfly away"),
              "x:3: unknown verb 'fly'");
    EXPECT_EQ(mistake("deployment kallaloo\nadvance soon"),
              "x:2: 'soon' is not a number from 0");
    EXPECT_EQ(mistake("deployment kallaloo\nkill nobody"),
              "x:2: unknown process 'nobody'");
    EXPECT_EQ(mistake("advance 5"),
              "x:1: the first command must be 'deployment'");
}

} // namespace jaydrift::scenario
