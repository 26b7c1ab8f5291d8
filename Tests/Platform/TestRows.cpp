/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <boost/json.hpp>
#include <fstream>
#include <map>
#include <platform/Dialect.h>
#include <platform/Rows.h>
#include <rapidcheck/catch.h>
#include <regex>
#include <sstream>

namespace Json = boost::json;

static Json::object valid_entry()
{
    return { { "service", "models" }, { "addr", "10.0.0.9:8080" }, { "zone", "hall-a" }, { "version", "v1" },
        { "slots", 24 }, { "state", "ready" }, { "cold_left_ms", 1500.5 }, { "stage", "both" },
        { "models", Json::array {} }, { "call_seq", 4 }, { "born", 1'790'000'000'123 } };
}

static Result<Serving::BackendServer> decode(std::string const& value)
{
    return Adapter::decode_backend_server({ "i-1", value, 7 });
}

static Result<Serving::BackendServer> decode(Json::object const& entry) { return decode(Json::serialize(entry)); }

/// Whether an entry was rejected or all its decoded values are within their bounds.
static bool is_rejected_or_in_bounds(Result<Serving::BackendServer> const& read)
{
    if (!read)
        return true;
    auto const& server = read.value();
    return server.slots >= 1 && server.slots <= 100'000 && server.warm_up_left >= 0s && server.warm_up_left <= 24h
        && server.start >= ServerStart(0) && !server.service.value().empty() && !server.failure_domain.value().empty()
        && Http::parse_endpoint(server.address.value());
}

SCENARIO("a backend server's entry is read, or names no server")
{
    auto entry = valid_entry();
    auto read = decode(entry);
    REQUIRE(read);
    CHECK(read.value().id == EngineId("i-1"));
    CHECK(read.value().start == ServerStart(1'790'000'000'123));
    CHECK(read.value().slots == 24);
    CHECK_FALSE(read.value().is_leaving);
    CHECK(read.value().warm_up_left == 1500500us);

    WHEN("it is draining")
    {
        entry["state"] = "draining";
        CHECK(decode(entry).value().is_leaving);
    }
    WHEN("it has no start")
    {
        entry.erase("born");
        CHECK(decode(entry).value().start == ServerStart(0));
    }
    WHEN("it has unknown fields")
    {
        entry["colour"] = Json::array { 1, 2 };
        CHECK(decode(entry));
    }
    WHEN("a field is missing")
    {
        entry.erase(GENERATE("service", "addr", "zone", "slots", "state", "cold_left_ms"));
        CHECK_FALSE(decode(entry));
    }
    WHEN("a field has another type")
    {
        auto const* name = GENERATE("service", "addr", "zone", "slots", "state", "cold_left_ms", "born");
        entry[name] = GENERATE(0, 1, 2) == 0 ? Json::value(Json::array {}) : Json::value(nullptr);
        CHECK_FALSE(decode(entry));
    }
    WHEN("a number is out of range")
    {
        auto const* name = GENERATE("slots", "cold_left_ms", "born");
        entry[name] = GENERATE(-1.0, -1e300, 1e300, 1e19);
        CHECK_FALSE(decode(entry));
    }
    WHEN("an integer field has a fraction")
    {
        entry[GENERATE("slots", "born")] = 12.5;
        CHECK_FALSE(decode(entry));
    }
    WHEN("its state is unknown")
    {
        entry["state"] = GENERATE("", "READY", "starting");
        CHECK_FALSE(decode(entry));
    }
    WHEN("its address is invalid")
    {
        entry["addr"] = GENERATE("", "10.0.0.9", "10.0.0.9:", "10.0.0.9:99999", "somewhere:80", "10.0.0.9:80 ");
        CHECK_FALSE(decode(entry));
    }
    WHEN("its bytes are not an entry")
    {
        CHECK_FALSE(decode(std::string(GENERATE("", "null", "[]", "{", "\xff\xfe", "{\"service\":\"\xc3\x28\"}"))));
        CHECK_FALSE(decode(std::string(100'000, '[')));
    }
}

static bool is_rejected_or_in_bounds(Result<Serving::Configuration> const& read)
{
    if (!read)
        return true;
    return std::ranges::all_of(read.value().routes, [](Serving::Route const& route) {
        return !route.services.empty() && route.timeout >= 0s && route.latency_goal >= 0s;
    });
}

/// Corrupts or truncates a text.
static std::string corrupted(std::string text, std::vector<std::pair<u32, u8>> const& changes)
{
    for (auto const& [where, what] : changes) {
        if (text.empty())
            break;
        if (what == 0)
            text.resize(where % text.size());
        else
            text[where % text.size()] = static_cast<char>(what);
    }
    return text;
}

SCENARIO("whatever bytes an entry holds, it is read within bounds or names no server")
{
    rc::prop("corrupted entries", [](std::vector<std::pair<u32, u8>> const& changes) {
        RC_ASSERT(is_rejected_or_in_bounds(decode(corrupted(Json::serialize(valid_entry()), changes))));
    });
    rc::prop("any number in any field", [](double number) {
        auto entry = valid_entry();
        auto const names
            = std::to_array<std::string>({ "service", "addr", "zone", "slots", "state", "cold_left_ms", "born" });
        entry[*rc::gen::elementOf(names)] = number;
        RC_ASSERT(is_rejected_or_in_bounds(decode(entry)));
    });
    rc::prop("any bytes", [](std::string const& bytes) { RC_ASSERT(!decode(bytes)); });
}

SCENARIO("decoding corrupted bytes of a configuration or a report throws nothing")
{
    Json::object const configuration { { "version", 7 },
        { "routes",
            Json::array { Json::object { { "name", "r" }, { "host", "h" }, { "path_prefix", "/a/" }, { "kind", "safe" },
                { "timeout_ms", 600 }, { "service", "lanes" }, { "max_attempts", 2 }, { "priority", 1 } } } },
        { "services",
            Json::array { Json::object { { "name", "lanes" }, { "max_conns", 5 },
                { "engine", Json::object { { "slots", 8 }, { "kv_capacity", 30000 }, { "handle_s", 5.0 } } } } } },
        { "limits", Json::object { { "max_header_bytes", 4096 }, { "idle_timeout_ms", 15000 } } },
        { "tenants", Json::array { Json::object { { "name", "plaza" }, { "api_keys", Json::array { "k" } } } } } };
    REQUIRE(Adapter::decode_configuration({ "config", Json::serialize(configuration), 7 }));
    rc::prop("corrupted configurations", [&](std::vector<std::pair<u32, u8>> const& changes) {
        auto read = Adapter::decode_configuration({ "config", corrupted(Json::serialize(configuration), changes), 7 });
        RC_ASSERT(is_rejected_or_in_bounds(read));
    });
    Json::object const report { { "stage", "both" }, { "waiting", 1 }, { "running", 12 }, { "kv_used", 41000 },
        { "kv_total", 90000 }, { "state", "draining" }, { "leaves_ms", 1500 }, { "born", 17 } };
    REQUIRE(Adapter::Dialect::decode_engine_report(Json::serialize(report)).value().start == ServerStart(17));
    rc::prop("corrupted reports", [&](std::vector<std::pair<u32, u8>> const& changes) {
        auto read = Adapter::Dialect::decode_engine_report(corrupted(Json::serialize(report), changes));
        bool const is_rejected_or_in_bounds = !read || read.value().used >= TokenCount(0);
        RC_ASSERT(is_rejected_or_in_bounds);
    });
}

SCENARIO("an invalid order to evacuate a failure domain is rejected")
{
    CHECK(Adapter::evacuated_domain("evacuate/hall-a") == FailureDomainId("hall-a"));
    CHECK_FALSE(Adapter::evacuated_domain("evacuate/"));
    CHECK_FALSE(Adapter::evacuated_domain("config"));
    CHECK(Adapter::check_evacuation({ "evacuate/hall-a", "{}", 7 }));
    CHECK(Adapter::check_evacuation({ "evacuate/hall-a", R"({"by":"operator"})", 7 }));
    for (std::string const value : { "", "[]", "3", "{", "\xff\xfe" }) {
        auto checked = Adapter::check_evacuation({ "evacuate/hall-a", value, 7 });
        REQUIRE_FALSE(checked);
        CHECK(checked.error().message.find("write it again") != std::string::npos);
    }
    rc::prop("any bytes", [](std::string const& bytes) {
        static_cast<void>(Adapter::check_evacuation({ "evacuate/hall-a", bytes, 7 }));
        static_cast<void>(Adapter::evacuated_domain(bytes));
    });
}

SCENARIO("the request rate of cold servers is clamped to its bounds")
{
    auto rate_of = [](Json::value const& rate) {
        Json::object const configuration { { "version", 7 }, { "routes", Json::array {} },
            { "services", Json::array { Json::object { { "name", "lanes" }, { "cold_per_s", rate } } } } };
        auto read = Adapter::decode_configuration({ "config", Json::serialize(configuration), 7 });
        REQUIRE(read);
        return read.value().services.front().cold_requests_per_second;
    };
    CHECK(rate_of(25.0) == 25);
    CHECK(rate_of(0) == 0);
    CHECK(rate_of(-3) == 0);
    CHECK(rate_of(1e300) == 1e6);
    CHECK(rate_of("many") == 0);
}

SCENARIO("an invalid limit in a response is ignored")
{
    auto limit_in = [](std::string const& text) {
        Http::ResponseHead head;
        head.set("Server-Limit", text);
        return Adapter::Dialect::decode_response(head).limit;
    };
    CHECK(limit_in("2.8") == Serving::RequestRate(2.8));
    CHECK(limit_in("50") == Serving::RequestRate(50));
    CHECK(limit_in("0") == Serving::RequestRate(0));
    for (auto const* text : { "", "-1", "2.8 a second", "many", "inf", "nan", "1e999", "2,8" }) {
        INFO(text);
        CHECK(!limit_in(text));
    }
    CHECK(!Adapter::Dialect::decode_response({}).limit);
}

SCENARIO("an invalid backoff in a refusal is ignored")
{
    auto back_off_in = [](Http::Status status, std::vector<std::string> const& values) {
        Http::ResponseHead head;
        head.result(status);
        for (auto const& value : values)
            head.insert("Retry-After", value);
        return Adapter::Dialect::decode_response(head).back_off_for;
    };
    auto const refused = Http::Status::service_unavailable;
    CHECK(back_off_in(refused, { "3" }) == Duration(3s));
    CHECK(back_off_in(refused, { "0.25" }) == Duration(250ms));
    CHECK(back_off_in(Http::Status::too_many_requests, { "1" }) == Duration(1s));
    CHECK(back_off_in(refused, { "31536000" }) == Duration(8760h));
    WHEN("the head has several backoffs")
    {
        THEN("the longest is used") { CHECK(back_off_in(refused, { "1", "4", "x" }) == Duration(4s)); }
    }
    WHEN("the backoff is out of range")
    {
        THEN("it is clamped") { CHECK(back_off_in(refused, { "1e300" }) == Duration(8784h)); }
    }
    WHEN("the value is not a number of seconds")
    {
        for (auto const* text :
            { "", "0", "-3", "3 s", "soon", "inf", "nan", "1e999", "Thu, 03 Dec 2026 12:00:00 GMT" }) {
            INFO(text);
            CHECK(!back_off_in(refused, { text }));
        }
    }
    WHEN("the response is not a refusal")
    {
        CHECK(!back_off_in(Http::Status::ok, { "3" }));
        CHECK(!back_off_in(Http::Status::internal_server_error, { "3" }));
    }
    CHECK(!Adapter::Dialect::decode_response({}).back_off_for);
}

SCENARIO("responses of any status report that a backend server is leaving")
{
    auto leaves = [](Http::Status status, std::vector<std::string> const& values) {
        Http::ResponseHead head;
        head.result(status);
        for (auto const& value : values)
            head.insert("Server-Leaving", value);
        return Adapter::Dialect::decode_response(head).is_leaving;
    };
    for (auto status : { Http::Status::ok, Http::Status::service_unavailable, Http::Status::internal_server_error }) {
        CHECK(leaves(status, { "1" }));
        CHECK(leaves(status, { "0", "1" }));
        CHECK_FALSE(leaves(status, {}));
        for (auto const* text : { "", "0", "true", "2", "1x" }) {
            INFO(text);
            CHECK_FALSE(leaves(status, { text }));
        }
    }
}

namespace {

/// Formats all values that are decoded from a response head.
std::string described(Serving::BackendResponseHead const& response)
{
    std::ostringstream text;
    text << response.attempt << ' ' << response.is_not_run << response.is_misdirected << response.is_signed
         << response.is_leaving << ' ' << response.load.has_value() << response.limit.has_value()
         << response.back_off_for.has_value();
    return text.str();
}

/// Returns the headers in the first table on responses of docs/PLATFORM.md, and whether it documents that they are
/// read.
std::map<std::string, bool> headers_of_page()
{
    std::ifstream page(std::string(LILAC_SOURCE_DIRECTORY) + "/docs/PLATFORM.md");
    std::regex const row(R"re(\| `([A-Z][A-Za-z-]+)` \| [^|]+ \| ([^|]+) \|)re");
    std::map<std::string, bool> headers;
    std::smatch match;
    for (std::string line; std::getline(page, line);) {
        if (std::regex_match(line, match, row))
            headers[match[1]] = !match[2].str().starts_with("nothing:");
    }
    return headers;
}

}

SCENARIO("exactly the response headers that docs/PLATFORM.md documents as read are read")
{
    std::map<std::string, std::string> const samples { { "Lilactiller-Attempt-Id", "a1" },
        { "Lilactiller-Response-Stamp", "s" }, { "Lilactiller-Not-Executed", "1" },
        { "Lilactiller-Server-Load", "1,0,8" }, { "Server-Limit", "2.5" }, { "Retry-After", "3" },
        { "Server-Leaving", "1" }, { "Keep-Alive", "timeout=5" }, { "Versions", "2" },
        { "Lilactiller-Instance-Id", "i-1" }, { "Lilactiller-Cold-Ms", "900" } };
    auto const headers = headers_of_page();
    CHECK(headers.size() == samples.size());
    for (auto const& [name, is_read] : headers) {
        INFO(name);
        REQUIRE(samples.contains(name));
        Http::ResponseHead head;
        head.result(Http::Status::service_unavailable);
        auto const without = described(Adapter::Dialect::decode_response(head));
        head.set(name, samples.at(name));
        CHECK((described(Adapter::Dialect::decode_response(head)) != without) == is_read);
    }
}
