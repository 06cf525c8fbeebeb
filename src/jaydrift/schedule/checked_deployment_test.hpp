#ifndef JAYDRIFT_SCHEDULE_CHECKED_DEPLOYMENT_TEST_HPP
#define JAYDRIFT_SCHEDULE_CHECKED_DEPLOYMENT_TEST_HPP

#include "simulated_deployment_test.hpp"

#include <gtest/gtest.h>

namespace jaydrift::schedule::testing {

/// A deployment that fails its test at the end if a guarantee was broken.
class checked_deployment : public simulated_deployment
{
public:
    using simulated_deployment::simulated_deployment;
    checked_deployment(checked_deployment const&) = delete;
    checked_deployment& operator=(checked_deployment const&) = delete;

    ~checked_deployment()
    {
        EXPECT_TRUE(violations.empty()) << violations.front();
    }
};

} // namespace jaydrift::schedule::testing

#endif // JAYDRIFT_SCHEDULE_CHECKED_DEPLOYMENT_TEST_HPP
