/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

static std::string read_file(std::filesystem::path const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Names of all scenarios and test cases in Tests/.
static std::set<std::string> all_tests()
{
    std::set<std::string> names;
    std::regex name_pattern(R"re((?:SCENARIO|TEST_CASE)\("([^"]+)")re");
    for (auto const& entry :
        std::filesystem::recursive_directory_iterator(std::string(LILAC_SOURCE_DIRECTORY) + "/Tests")) {
        if (entry.path().extension() != ".cpp")
            continue;
        auto text = read_file(entry.path());
        for (std::sregex_iterator match(text.begin(), text.end(), name_pattern), end; match != end; ++match)
            names.insert((*match)[1]);
    }
    return names;
}

SCENARIO("each test that the page of promises names is there")
{
    auto page = read_file(std::string(LILAC_SOURCE_DIRECTORY) + "/docs/PROMISES.md");
    auto tests = all_tests();
    std::regex quoted("\u201c([^\u201d]+)\u201d");
    size_t named = 0;
    for (std::sregex_iterator match(page.begin(), page.end(), quoted), end; match != end; ++match) {
        INFO((*match)[1]);
        CHECK(tests.contains((*match)[1]));
        ++named;
    }
    CHECK(named >= 9);
}
