/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Error.h>
#include <StandIns/PlatformRunner/PlatformRunner.h>
#include <Tests/Soak/Configuration.h>
#include <array>
#include <boost/json.hpp>

namespace Soak {

namespace Json = boost::json;

RouteSettings const& route_of(CallKind kind)
{
    static std::array const routes {
        RouteSettings { CallKind::Lookup, "/lookup/", plain_service, 3s, 1 },
        RouteSettings { CallKind::Tariff, "/tariff/", plain_service, 3s, 2 },
        RouteSettings { CallKind::Draft, "/drafts/", engine_service, 12s, 1 },
    };
    return routes.at(static_cast<size_t>(kind));
}

static std::string_view kind_text(CallKind kind)
{
    switch (kind) {
    case CallKind::Lookup:
        return "unsafe";
    case CallKind::Tariff:
        return "safe";
    case CallKind::Draft:
        return "streaming";
    }
    VERIFY(false);
}

static Json::object route_entry(RouteSettings const& route, std::string const& name, std::string const& prefix)
{
    return { { "name", name }, { "host", caller_host }, { "path_prefix", prefix }, { "kind", kind_text(route.kind) },
        { "timeout_ms", AK::to_milliseconds(route.timeout) }, { "goal_ms", 300 }, { "priority", 1 },
        { "service", route.service }, { "max_attempts", route.max_dispatches }, { "public", false } };
}

u64 Configuration::add_version() { return ++this->current; }

std::string Configuration::probe_path(u64 version) { return "/probe/" + std::to_string(version) + '/'; }

static Json::object service_entry(std::string const& name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_conns", 100 } };
}

static Json::array services()
{
    using StandIns::PlatformRunner;
    auto engines = service_entry(engine_service);
    // Token bytes, link rate and stride are those of Tests/Platform/HostFixture.h.
    engines["engine"] = Json::object { { "slots", PlatformRunner::slots }, { "kv_capacity", PlatformRunner::kv_tokens },
        { "kv_token_bytes", 18'432 }, { "link_mbps", 2700.0 }, { "moves", true }, { "stride", 4 } };
    return { service_entry(plain_service), engines };
}

std::string Configuration::text() const
{
    Json::array routes;
    for (auto kind : { CallKind::Lookup, CallKind::Tariff, CallKind::Draft })
        routes.push_back(route_entry(route_of(kind), route_of(kind).prefix.substr(1), route_of(kind).prefix));
    for (u64 version = 1; version <= this->current; ++version)
        routes.push_back(
            route_entry(route_of(CallKind::Tariff), "probe-" + std::to_string(version), probe_path(version)));
    Json::array const keys { organisation_key };
    Json::object const limits { { "max_header_bytes", 4096 }, { "max_body_bytes", 65'536 },
        { "header_timeout_ms", 3000 }, { "idle_timeout_ms", AK::to_milliseconds(idle_timeout) } };
    Json::object const tenant { { "name", organisation }, { "api_keys", keys }, { "priority", 1 } };
    return Json::serialize(Json::object { { "version", this->current }, { "routes", routes },
        { "services", services() }, { "limits", limits }, { "tenants", Json::array { tenant } } });
}

}
