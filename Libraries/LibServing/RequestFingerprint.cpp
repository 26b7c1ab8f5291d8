/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibServing/RequestFingerprint.h>
#include <charconv>
#include <xxhash.h>

namespace Serving {

static u64 chained(u64 before, std::string_view text) { return XXH3_64bits_withSeed(text.data(), text.size(), before); }

static std::string_view view_of(boost::beast::string_view text) { return { text.data(), text.size() }; }

RequestFingerprint fingerprint_of(Http::Request const& request, OrganisationId const& organisation)
{
    auto digest = chained(0, organisation.value());
    digest = chained(digest, view_of(request.method_string()));
    digest = chained(digest, view_of(request[Http::Name::host]));
    digest = chained(digest, view_of(request.target()));
    digest = chained(digest, request.body());
    return { organisation, digest };
}

std::vector<RequestFingerprint> fingerprints_of_parts(
    std::span<std::string const> parts, OrganisationId const& organisation)
{
    std::vector<RequestFingerprint> fingerprints;
    for (auto const& part : parts) {
        auto const digest = chained(chained(0, organisation.value()), part);
        fingerprints.push_back({ organisation, digest, static_cast<u32>(fingerprints.size() + 1) });
    }
    return fingerprints;
}

std::string to_text(RequestFingerprint const& fingerprint)
{
    constexpr int base = 16;
    std::array<char, base> digits {};
    auto const written = std::to_chars(digits.data(), digits.data() + digits.size(), fingerprint.digest, base);
    return { digits.data(), written.ptr };
}

std::string to_text(std::span<RequestFingerprint const> fingerprints)
{
    std::string text;
    for (auto const& fingerprint : fingerprints)
        text += (text.empty() ? "" : ",") + to_text(fingerprint);
    return text.empty() ? "none" : text;
}

}
