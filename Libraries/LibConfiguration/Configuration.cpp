/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/Configuration.h>
#include <algorithm>

namespace Configuration {

static constexpr size_t max_name_length = 128;
static constexpr size_t key_hash_digits = 64;
static constexpr size_t max_resume_keys = 4;
static constexpr size_t min_secret_digits = 32;

static Error invalid(std::string message) { return { ErrorKind::InvalidRequest, std::move(message), {} }; }

static Error unknown(std::string const& kind, std::string const& name)
{
    return { ErrorKind::UnknownEntity, kind + " '" + name + "' does not exist; create it first or correct the name",
        {} };
}

static Result<void> validate_name(std::string const& what, std::string const& name)
{
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (!name.empty() && name.size() <= max_name_length && name.find_first_not_of(allowed) == std::string::npos)
        return success();
    return invalid(what + " '" + name + "' is not a name; use 1 to 128 letters, digits, '-', '_' or '.'");
}

static bool is_lower_hexadecimal(std::string const& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Result<void> Document::validate_organisation(wire::Organisation const& organisation) const
{
    TRYV(validate_name("organisation", organisation.id()));
    if (organisation.weight() < 0 || organisation.maximum_rate() < 0)
        return invalid("weight and maximum_rate must not be negative; use 0 for the default");
    for (auto const& hash : organisation.api_key_hashes()) {
        if (hash.size() != key_hash_digits || !is_lower_hexadecimal(hash))
            return invalid("an API key hash must be 64 lower-case hexadecimal digits; send the key's SHA-256");
        auto owner = this->organisation_of_key_hash.find(hash);
        if (owner != this->organisation_of_key_hash.end() && owner->second.value() != organisation.id())
            return Error { ErrorKind::Conflict, "an API key belongs to another organisation; make a new key", {} };
    }
    return success();
}

Result<void> Document::validate_model(wire::Model const& model) const
{
    TRYV(validate_name("model", model.id()));
    for (auto const& [key, route] : this->routes) {
        auto const& adapters = model.adapters();
        if (route.model() == model.id() && !route.adapter().empty()
            && std::ranges::find(adapters, route.adapter()) == adapters.end()) {
            return Error { ErrorKind::Conflict,
                "route '" + route.name() + "' of " + route.organisation() + " uses adapter '" + route.adapter()
                    + "'; delete the route first",
                {} };
        }
    }
    return success();
}

Result<void> Document::validate_route(wire::Route const& route) const
{
    TRYV(validate_name("route", route.name()));
    if (!this->organisations.contains(OrganisationId(route.organisation())))
        return unknown("organisation", route.organisation());
    auto model = this->models.find(route.model());
    if (model == this->models.end())
        return unknown("model", route.model());
    auto const& adapters = model->second.adapters();
    if (!route.adapter().empty() && std::ranges::find(adapters, route.adapter()) == adapters.end())
        return unknown("adapter", route.adapter());
    auto const& weights = route.weights();
    if (weights.stall() < 0 || weights.token_gap() < 0 || weights.preemption() < 0)
        return invalid("the weights of a route must not be negative; use 0 for a measure that does not matter");
    return success();
}

Result<void> Document::validate_model_deletion(std::string const& model) const
{
    if (!this->models.contains(model))
        return unknown("model", model);
    for (auto const& [key, route] : this->routes) {
        if (route.model() == model)
            return Error { ErrorKind::Conflict,
                "model '" + model + "' is used by route '" + route.name() + "' of " + route.organisation()
                    + "; delete the route first",
                {} };
    }
    return success();
}

Result<void> Document::validate_organisation_deletion(std::string const& organisation) const
{
    if (!this->organisations.contains(OrganisationId(organisation)))
        return unknown("organisation", organisation);
    return success();
}

static Result<void> validate_service(wire::PlainService const& service)
{
    TRYV(validate_name("service", service.name()));
    for (auto const& path : service.repeatable_paths()) {
        if (!path.starts_with('/'))
            return invalid("repeatable path '" + path + "' must start with '/'");
    }
    return success();
}

static Result<void> validate_resume_key(wire::ResumeKey const& key)
{
    TRYV(validate_name("resume key", key.id()));
    if (key.secret_hexadecimal().size() < min_secret_digits || key.secret_hexadecimal().size() % 2 != 0
        || !is_lower_hexadecimal(key.secret_hexadecimal()))
        return invalid("a resume key's secret must be at least 32 lower-case hexadecimal digits, an even number");
    return success();
}

Result<void> Document::validate(wire::Change const& change) const
{
    switch (change.change_case()) {
    case wire::Change::kPutOrganisation:
        return this->validate_organisation(change.put_organisation());
    case wire::Change::kDeleteOrganisation:
        return this->validate_organisation_deletion(change.delete_organisation());
    case wire::Change::kPutModel:
        return this->validate_model(change.put_model());
    case wire::Change::kDeleteModel:
        return this->validate_model_deletion(change.delete_model());
    case wire::Change::kPutRoute:
        return this->validate_route(change.put_route());
    case wire::Change::kDeleteRoute: {
        auto const& key = change.delete_route();
        if (!this->find_route(OrganisationId(key.organisation()), RouteName(key.name())))
            return unknown("route", key.name());
        return success();
    }
    case wire::Change::kPutService:
        return validate_service(change.put_service());
    case wire::Change::kDeleteService:
        if (!this->services.contains(change.delete_service()))
            return unknown("service", change.delete_service());
        return success();
    case wire::Change::kPutResumeKey:
        return validate_resume_key(change.put_resume_key());
    case wire::Change::kDrain:
        return validate_name("backend server", change.drain().id());
    case wire::Change::CHANGE_NOT_SET:
        break;
    }
    return invalid("the change is empty or newer than this version; set one of the fields of Change");
}

void Document::put_organisation(wire::Organisation const& organisation)
{
    OrganisationId id(organisation.id());
    std::erase_if(this->organisation_of_key_hash, [&](auto const& entry) { return entry.second == id; });
    for (auto const& hash : organisation.api_key_hashes())
        this->organisation_of_key_hash[hash] = id;
    this->organisations[id] = organisation;
}

void Document::delete_organisation(OrganisationId const& id)
{
    std::erase_if(this->organisation_of_key_hash, [&](auto const& entry) { return entry.second == id; });
    std::erase_if(this->routes, [&](auto const& entry) { return entry.first.first == id; });
    this->organisations.erase(id);
}

void Document::put_resume_key(wire::ResumeKey const& key)
{
    std::erase_if(this->resume_keys, [&](auto const& other) { return other.id() == key.id(); });
    this->resume_keys.push_back(key);
    if (this->resume_keys.size() > max_resume_keys)
        this->resume_keys.erase(this->resume_keys.begin());
}

void Document::apply(wire::LogEntry const& entry)
{
    VERIFY(entry.revision() == this->current_revision.value() + 1);
    auto const& change = entry.change();
    switch (change.change_case()) {
    case wire::Change::kPutOrganisation:
        this->put_organisation(change.put_organisation());
        break;
    case wire::Change::kDeleteOrganisation:
        this->delete_organisation(OrganisationId(change.delete_organisation()));
        break;
    case wire::Change::kPutModel:
        this->models[change.put_model().id()] = change.put_model();
        break;
    case wire::Change::kDeleteModel:
        this->models.erase(change.delete_model());
        break;
    case wire::Change::kPutRoute: {
        auto const& route = change.put_route();
        this->routes[{ OrganisationId(route.organisation()), RouteName(route.name()) }] = route;
        break;
    }
    case wire::Change::kDeleteRoute:
        this->routes.erase(
            { OrganisationId(change.delete_route().organisation()), RouteName(change.delete_route().name()) });
        break;
    case wire::Change::kPutService:
        this->services[change.put_service().name()] = change.put_service();
        break;
    case wire::Change::kDeleteService:
        this->services.erase(change.delete_service());
        break;
    case wire::Change::kPutResumeKey:
        this->put_resume_key(change.put_resume_key());
        break;
    case wire::Change::kDrain:
        if (change.drain().draining())
            this->draining.insert(EngineId(change.drain().id()));
        else
            this->draining.erase(EngineId(change.drain().id()));
        break;
    case wire::Change::CHANGE_NOT_SET:
        // The change was written by a newer version and is unknown to this one. It still counts as a revision.
        break;
    }
    this->current_revision = Revision(entry.revision());
}

wire::ConfigurationSnapshot Document::snapshot() const
{
    wire::ConfigurationSnapshot snapshot;
    snapshot.set_revision(this->current_revision.value());
    for (auto const& [id, organisation] : this->organisations)
        *snapshot.add_organisations() = organisation;
    for (auto const& [id, model] : this->models)
        *snapshot.add_models() = model;
    for (auto const& [key, route] : this->routes)
        *snapshot.add_routes() = route;
    for (auto const& [name, service] : this->services)
        *snapshot.add_services() = service;
    for (auto const& key : this->resume_keys)
        *snapshot.add_resume_keys() = key;
    for (auto const& id : this->draining)
        snapshot.add_draining_backend_servers(id.value());
    return snapshot;
}

Document Document::from_snapshot(wire::ConfigurationSnapshot const& snapshot)
{
    Document document;
    document.current_revision = Revision(snapshot.revision());
    for (auto const& organisation : snapshot.organisations())
        document.put_organisation(organisation);
    for (auto const& model : snapshot.models())
        document.models[model.id()] = model;
    for (auto const& route : snapshot.routes())
        document.routes[{ OrganisationId(route.organisation()), RouteName(route.name()) }] = route;
    for (auto const& service : snapshot.services())
        document.services[service.name()] = service;
    for (auto const& key : snapshot.resume_keys())
        document.resume_keys.push_back(key);
    for (auto const& id : snapshot.draining_backend_servers())
        document.draining.insert(EngineId(id));
    return document;
}

template<typename Map, typename Key>
static auto const* find_in(Map const& map, Key const& key)
{
    auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

wire::Organisation const* Document::find_organisation(OrganisationId const& id) const
{
    return find_in(this->organisations, id);
}

wire::Organisation const* Document::find_organisation_by_key_hash(std::string const& hash) const
{
    auto const* id = find_in(this->organisation_of_key_hash, hash);
    return id ? this->find_organisation(*id) : nullptr;
}

wire::Route const* Document::find_route(OrganisationId const& organisation, RouteName const& name) const
{
    return find_in(this->routes, RouteKey(organisation, name));
}

wire::Model const* Document::find_model(ModelId const& id) const { return find_in(this->models, id.value()); }

wire::PlainService const* Document::find_service(ServiceName const& name) const
{
    return find_in(this->services, name.value());
}

wire::ResumeKey const* Document::find_resume_key(std::string const& id) const
{
    auto found = std::ranges::find(this->resume_keys, id, &wire::ResumeKey::id);
    return found == this->resume_keys.end() ? nullptr : &*found;
}

wire::ResumeKey const* Document::newest_resume_key() const
{
    return this->resume_keys.empty() ? nullptr : &this->resume_keys.back();
}

bool Document::is_draining(EngineId const& id) const { return this->draining.contains(id); }

}
