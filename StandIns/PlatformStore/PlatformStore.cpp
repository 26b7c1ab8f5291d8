/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>
#include <StandIns/PlatformStore/PlatformStore.h>
#include <algorithm>
#include <sstream>

namespace StandIns {

namespace Json = boost::json;

static std::string to_base64(std::string const& text)
{
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << text;
    encoder.close();
    return stream.str();
}

static std::string from_base64(std::string const& text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    return { std::istreambuf_iterator<char>(decoder), {} };
}

static std::string text_in(Json::object const& object, std::string_view name)
{
    return std::string(object.at(name).as_string());
}

/// The name under which a part of a table is stored.
static std::string name_of(std::string const& table, std::string const& part)
{
    return part.empty() ? table : table + '/' + part;
}

static std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> query;
    for (auto const& [name, value] : Poco::URI(target).getQueryParameters())
        query[name] = value;
    return query;
}

PlatformStore::PlatformStore(Http::asio::io_context& loop, Http::tcp::endpoint endpoint)
    : loop(loop)
    , server(loop, endpoint, [this] {
        auto context = std::make_shared<Http::CallerContext>();
        context->on_request
            = [this](std::shared_ptr<Http::Exchange> const& exchange) { this->handle_request(exchange); };
        return context;
    }())
{
}

void PlatformStore::put(std::string const& table, std::string const& key, std::string const& value)
{
    this->tables[table][key] = { value, ++this->latest_version, false, false };
    this->serve_waiting();
}

std::string PlatformStore::Row::encoded_value() const
{
    return this->is_undecodable ? "\x01 not base64 \x7f" : to_base64(this->value);
}

void PlatformStore::put_undecodable(std::string const& table, std::string const& key)
{
    this->tables[table][key] = { {}, ++this->latest_version, false, true };
    this->serve_waiting();
}

void PlatformStore::remove(std::string const& table, std::string const& key)
{
    this->tables[table][key] = { {}, ++this->latest_version, true, false };
    this->serve_waiting();
}

std::map<std::string, std::string> PlatformStore::rows(std::string const& table) const
{
    std::map<std::string, std::string> result;
    auto found = this->tables.find(table);
    if (found == this->tables.end())
        return result;
    for (auto const& [key, row] : found->second) {
        if (!row.gone)
            result[key] = row.value;
    }
    return result;
}

void PlatformStore::set_mode(Mode changed)
{
    this->mode = changed;
    if (changed == Mode::Serving)
        return;
    for (auto& entry : this->waiting) {
        entry.timer->cancel();
        this->unanswered.push_back(entry.exchange);
    }
    this->waiting.clear();
}

void PlatformStore::discard_history()
{
    this->oldest_followed = ++this->latest_version;
    for (auto& entry : this->waiting) {
        entry.timer->cancel();
        send_response(*entry.exchange, Http::Status::gone, "{}");
    }
    this->waiting.clear();
}

void PlatformStore::send_response(Http::Exchange& exchange, Http::Status status, std::string body)
{
    Http::Response response(status, Http::http_1_1);
    response.set(Http::Name::content_type, "application/json");
    response.body() = std::move(body);
    exchange.respond(std::move(response));
}

void PlatformStore::handle_request(std::shared_ptr<Http::Exchange> const& exchange)
{
    ++this->calls;
    if (this->mode == Mode::Silent) {
        this->unanswered.push_back(exchange);
        return;
    }
    if (this->mode == Mode::Busy)
        return send_response(*exchange, Http::Status::service_unavailable, "{}");
    std::string const target(exchange->request().target());
    auto query = query_of(target);
    if (target.starts_with("/rows-get"))
        return this->send_rows(*exchange, name_of(query["table"], query["part"]), query["from"]);
    if (target.starts_with("/rows-parts"))
        return this->send_parts(*exchange, query["table"]);
    if (target.starts_with("/rows-feed"))
        return this->follow(exchange, query["table"], std::stoull(query["after_rev"]), std::stoull(query["wait_ms"]));
    if (target.starts_with("/rows-tx"))
        return this->commit(*exchange);
    send_response(*exchange, Http::Status::not_found, "{}");
}

void PlatformStore::send_parts(Http::Exchange& exchange, std::string const& table)
{
    Json::array parts;
    for (auto const& [name, rows] : this->tables) {
        if (name.starts_with(table + '/'))
            parts.push_back(Json::string(name.substr(table.size() + 1)));
    }
    send_response(
        exchange, Http::Status::ok, Json::serialize(Json::object { { "parts", std::move(parts) }, { "more", false } }));
}

void PlatformStore::send_rows(Http::Exchange& exchange, std::string const& table, std::string const& from)
{
    Json::array rows;
    for (auto const& [key, row] : this->tables[table]) {
        if (row.gone || key < from)
            continue;
        rows.push_back(Json::object { { "table", table }, { "part", "" }, { "key", key },
            { "value", row.encoded_value() }, { "ver", row.version } });
    }
    Json::object const body { { "rows", std::move(rows) }, { "more", false },
        { "ver", this->latest_version - this->version_lag }, { "now_ms", 0 } };
    send_response(exchange, Http::Status::ok, Json::serialize(body));
}

bool PlatformStore::send_changes(Http::Exchange& exchange, std::string const& table, u64 after, bool allows_empty)
{
    std::map<u64, Json::object> changes;
    for (auto const& [key, row] : this->tables[table]) {
        if (row.version <= after)
            continue;
        Json::object change { { "table", table }, { "part", "" }, { "key", key }, { "value", row.encoded_value() },
            { "ver", row.version } };
        if (row.gone)
            change["gone"] = true;
        changes[row.version] = std::move(change);
    }
    if (changes.empty() && !allows_empty)
        return false;
    Json::array rows;
    for (auto& [version, change] : changes)
        rows.push_back(std::move(change));
    send_response(exchange, Http::Status::ok,
        Json::serialize(
            Json::object { { "rows", std::move(rows) }, { "ver", this->latest_version - this->version_lag } }));
    return true;
}

void PlatformStore::follow(
    std::shared_ptr<Http::Exchange> const& exchange, std::string const& table, u64 after, u64 wait_milliseconds)
{
    if (after < this->oldest_followed)
        return send_response(*exchange, Http::Status::gone, "{}");
    if (this->send_changes(*exchange, table, after, false))
        return;
    auto timer = std::make_shared<AK::Timer>(this->loop, std::chrono::milliseconds(wait_milliseconds));
    this->waiting.push_back({ exchange, table, after, timer });
    timer->async_wait([this, exchange, table, after](boost::system::error_code error) {
        if (error)
            return;
        std::erase_if(this->waiting, [&](Waiting const& entry) { return entry.exchange == exchange; });
        this->send_changes(*exchange, table, after, true);
    });
}

void PlatformStore::serve_waiting()
{
    std::erase_if(this->waiting, [this](Waiting& entry) {
        if (!this->send_changes(*entry.exchange, entry.table, entry.after, false))
            return false;
        entry.timer->cancel();
        return true;
    });
}

bool PlatformStore::conditions_hold(Json::object const& transaction)
{
    auto const* expected = transaction.if_contains("expected_rev");
    if (!expected)
        return true;
    return std::ranges::all_of(expected->as_array(), [this](Json::value const& value) {
        auto const& condition = value.as_object();
        auto& rows = this->tables[std::string(condition.at("table").as_string())];
        auto const row = rows.find(std::string(condition.at("key").as_string()));
        auto const version = row == rows.end() || row->second.gone ? 0 : row->second.version;
        return version == condition.at("ver").to_number<u64>();
    });
}

void PlatformStore::commit(Http::Exchange& exchange)
{
    auto const body = Json::parse(exchange.request().body()).as_object();
    if (!this->conditions_hold(body))
        return send_response(exchange, Http::Status::precondition_failed, "{}");
    // All rows of a transaction get the same version.
    auto const version = ++this->latest_version;
    if (auto const* puts = body.if_contains("put")) {
        for (auto const& put : puts->as_array()) {
            auto const& row = put.as_object();
            this->tables[name_of(text_in(row, "table"), text_in(row, "part"))][text_in(row, "key")]
                = { from_base64(text_in(row, "value")), version, false, false };
        }
    }
    if (auto const* removals = body.if_contains("remove")) {
        for (auto const& removal : removals->as_array()) {
            auto const& row = removal.as_object();
            this->tables[name_of(text_in(row, "table"), text_in(row, "part"))][text_in(row, "key")]
                = { {}, version, true };
        }
    }
    this->serve_waiting();
    send_response(exchange, Http::Status::ok, Json::serialize(Json::object { { "ver", version }, { "now_ms", 0 } }));
}

}
