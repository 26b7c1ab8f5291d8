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

HttpPlatform::HttpPlatform(Address address, Duration patience)
    : address(std::move(address))
    , patience(patience)
{
}

/// A call that only reads: whatever went wrong, nothing was changed.
static Result<HttpResponse> read_only(Address const& address, std::string const& path, Duration patience)
{
    auto answer = call_http(address, { "GET", path, {}, {} }, patience);
    if (!answer)
        return platform_unavailable(answer.error().detail);
    if (answer.value().status != status_ok && answer.value().status != status_not_found)
        return platform_unavailable("status " + std::to_string(answer.value().status));
    return answer.value();
}

Result<Row> HttpPlatform::read(std::string const& key)
{
    TRY(auto answer, read_only(this->address, "/table/row?key=" + escape(key), this->patience));
    TRY(auto rows, parse_rows(answer.body));
    if (rows.empty())
        return Row { key, {}, 0 };
    return rows.front();
}

Result<std::vector<Row>> HttpPlatform::scan(std::string const& prefix, std::string const& after, size_t limit)
{
    auto path = "/table/scan?prefix=" + escape(prefix) + "&after=" + escape(after) + "&limit=" + std::to_string(limit);
    TRY(auto answer, read_only(this->address, path, this->patience));
    return parse_rows(answer.body);
}

Result<CommitResult> HttpPlatform::commit(Transaction const& transaction)
{
    auto answer
        = call_http(this->address, { "POST", "/table/commit", format_transaction(transaction), {} }, this->patience);
    if (!answer) {
        if (answer.error().progress == CallProgress::NothingSent)
            return platform_unavailable(answer.error().detail);
        return platform_answer_lost(answer.error().detail);
    }
    switch (answer.value().status) {
    case status_ok:
        return CommitResult::Committed;
    case status_conflict:
        return CommitResult::ConditionFailed;
    case 503:
        return platform_unavailable("status 503");
    default:
        return platform_answer_lost("status " + std::to_string(answer.value().status));
    }
}

Result<void> HttpPlatform::put_object(std::string const& name, std::string const& body)
{
    auto answer = call_http(this->address, { "PUT", "/object/" + escape(name), body, {} }, this->patience);
    if (!answer)
        return platform_answer_lost(answer.error().detail);
    if (answer.value().status != status_ok)
        return platform_unavailable("status " + std::to_string(answer.value().status));
    return success();
}

Result<std::string> HttpPlatform::get_object(std::string const& name)
{
    TRY(auto answer, read_only(this->address, "/object/" + escape(name), this->patience));
    if (answer.status == status_not_found)
        return Error { ErrorKind::UnknownEntity, "there is no object " + name + "; check the name" };
    return answer.body;
}

Result<std::vector<BackendServerRecord>> HttpPlatform::list_backend_servers(FailureDomainId const& domain)
{
    TRY(auto answer, read_only(this->address, "/hosts?failure_domain=" + escape(domain.value()), this->patience));
    return parse_backend_servers(answer.body);
}

}
