/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpPlatform.h>
#include <LibPlatform/PlatformJson.h>
#include <Poco/URI.h>

namespace Platform {

static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_conflict = 409;

static std::string escape(std::string const& text)
{
    std::string encoded;
    Poco::URI::encode(text, "/?&=#+%", encoded);
    return encoded;
}

HttpPlatform::HttpPlatform(Address address, Duration timeout)
    : address(std::move(address))
    , timeout(timeout)
{
}

/// Makes a read-only call. Every failure is PlatformUnavailable, since no failed read has changed anything.
static Result<HttpResponse> read_only(Address const& address, std::string const& path, Duration timeout)
{
    auto response = call_http(address, { "GET", path, {}, {} }, timeout);
    if (!response)
        return platform_unavailable(response.error().detail);
    if (response.value().status != status_ok && response.value().status != status_not_found)
        return platform_unavailable("status " + std::to_string(response.value().status));
    return response.value();
}

Result<Row> HttpPlatform::read(std::string const& key)
{
    TRY(auto response, read_only(this->address, "/table/row?key=" + escape(key), this->timeout));
    TRY(auto rows, parse_rows(response.body));
    if (rows.empty())
        return Row { key, {}, 0 };
    return rows.front();
}

Result<std::vector<Row>> HttpPlatform::scan(std::string const& prefix, std::string const& after, size_t limit)
{
    auto path = "/table/scan?prefix=" + escape(prefix) + "&after=" + escape(after) + "&limit=" + std::to_string(limit);
    TRY(auto response, read_only(this->address, path, this->timeout));
    return parse_rows(response.body);
}

Result<CommitResult> HttpPlatform::commit(Transaction const& transaction)
{
    auto response
        = call_http(this->address, { "POST", "/table/commit", format_transaction(transaction), {} }, this->timeout);
    if (!response) {
        if (response.error().progress == CallProgress::NothingSent)
            return platform_unavailable(response.error().detail);
        return platform_answer_lost(response.error().detail);
    }
    switch (response.value().status) {
    case status_ok:
        return CommitResult::Committed;
    case status_conflict:
        return CommitResult::ConditionFailed;
    case 503:
        return platform_unavailable("status 503");
    default:
        return platform_answer_lost("status " + std::to_string(response.value().status));
    }
}

Result<void> HttpPlatform::put_object(std::string const& name, std::string const& body)
{
    auto response = call_http(this->address, { "PUT", "/object/" + escape(name), body, {} }, this->timeout);
    if (!response)
        return platform_answer_lost(response.error().detail);
    if (response.value().status != status_ok)
        return platform_unavailable("status " + std::to_string(response.value().status));
    return success();
}

Result<std::string> HttpPlatform::get_object(std::string const& name)
{
    TRY(auto response, read_only(this->address, "/object/" + escape(name), this->timeout));
    if (response.status == status_not_found)
        return Error { ErrorKind::UnknownEntity, "there is no object " + name + "; check the name" };
    return response.body;
}

Result<std::vector<BackendServerRecord>> HttpPlatform::list_backend_servers(FailureDomainId const& domain)
{
    TRY(auto response, read_only(this->address, "/hosts?failure_domain=" + escape(domain.value()), this->timeout));
    return parse_backend_servers(response.body);
}

}
