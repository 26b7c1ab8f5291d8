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

RequestFingerprint fingerprint_of_part(std::string_view part, OrganisationId const& organisation)
{
    return { organisation, chained(chained(0, organisation.value()), part) };
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
